// Tests of reads of the table from a store on a slow path.
#include "chivedale/store_client.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

#include "chivedale/testing/http_test_support.h"
#include "chivedale/testing/store_standin.h"
#include "chivedale/testing/threaded_io_context.h"

namespace chivedale::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char kKey[] = "table";
constexpr Millis kTimeout{400};

struct Bench {
  explicit Bench(const std::string& address)
      : store(http,
              {address, kTimeout, kTimeout},
              [](const std::function<void()>& run) { run(); }) {}
  ~Bench() { threads.Stop(); }

  StoreStatus Get(const std::string& key = kKey) {
    return CallAndGet<StoreResult>(
               [&](StorePort::Done done) { store.Get(key, std::move(done)); })
        .status;
  }
  StoreStatus List() {
    return CallAndGet<StoreResult>(
               [&](StorePort::Done done) { store.List(kKey, std::move(done)); })
        .status;
  }
  StoreStatus Watch() {
    return CallAndGet<StoreResult>([&](StorePort::Done done) {
             store.Watch(kKey, 0, Millis(100), std::move(done));
           })
        .status;
  }

  ThreadedIoContext threads{2};
  HttpClient http{threads.io(), {}};
  StoreClient store;
};

struct LateStore {
  explicit LateStore(Millis delay) {
    CallAndGet<StoreResult>([&](StorePort::Done done) {
      bench.store.Put(kKey, "t", 0, std::move(done));
    });
    StoreStandin::Faults faults;
    faults.slow = delay;
    standin.SetFaults(faults);
  }

  StoreStandin standin{{}};
  Bench bench{standin.address()};
};

BOOST_AUTO_TEST_SUITE(AStoreClientOnASlowPath)

// Regression: each attempt had the same time limit, so that a table was never
// read as long as responses began later.
BOOST_AUTO_TEST_SUITE(WithLateResponses)

BOOST_AUTO_TEST_CASE(ReadsAKeyAtTheSecondAttempt) {
  LateStore late(Millis(600));
  BOOST_TEST((late.bench.Get() == StoreStatus::kUnavailable));
  BOOST_TEST((late.bench.Get() == StoreStatus::kOk));
}

BOOST_AUTO_TEST_CASE(ReadsAListAtTheSecondAttempt) {
  LateStore late(Millis(600));
  BOOST_TEST((late.bench.List() == StoreStatus::kUnavailable));
  BOOST_TEST((late.bench.List() == StoreStatus::kOk));
}

BOOST_AUTO_TEST_CASE(WatchesAtTheSecondAttempt) {
  LateStore late(Millis(700));
  BOOST_TEST((late.bench.Watch() == StoreStatus::kUnavailable));
  BOOST_TEST((late.bench.Watch() == StoreStatus::kOk));
}

// Guards against a table that is never read because many other reads failed
// before.
BOOST_AUTO_TEST_CASE(ReadsAKeyAtTheSecondAttemptAfterManyFailedReads) {
  constexpr int kFailedReads = 1'100;
  LateStore late(Millis(600));
  StoreStandin::Faults down;
  down.down = true;
  late.standin.SetFaults(down);
  for (int i = 0; i < kFailedReads; ++i) {
    BOOST_REQUIRE((late.bench.Get("job-" + std::to_string(i)) ==
                   StoreStatus::kUnavailable));
  }
  StoreStandin::Faults slow;
  slow.slow = Millis(600);
  late.standin.SetFaults(slow);
  BOOST_TEST((late.bench.Get() == StoreStatus::kUnavailable));
  BOOST_TEST((late.bench.Get() == StoreStatus::kOk));
}

// Guards against a first read of one key that waits longer because of another.
BOOST_AUTO_TEST_CASE(KeepsTheLimitOfOtherKeys) {
  LateStore late(Millis(600));
  BOOST_TEST((late.bench.Get() == StoreStatus::kUnavailable));
  BOOST_TEST((late.bench.Get("other") == StoreStatus::kUnavailable));
}

BOOST_AUTO_TEST_SUITE_END()

// Regression: a table that took longer than the limit was never read.
BOOST_AUTO_TEST_CASE(ReadsAResponseThatArrivesInParts) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
  std::thread server([&] {
    const std::string body = R"({"key":"table","value":"t","revision":1})";
    tcp::socket socket = acceptor.accept();
    std::array<char, 1'024> request{};
    boost::system::error_code ignored;
    socket.read_some(asio::buffer(request), ignored);
    asio::write(socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(body.size()) + "\r\n\r\n"),
                ignored);
    for (const char& byte : body) {
      std::this_thread::sleep_for(Millis(20));
      asio::write(socket, asio::buffer(&byte, 1), ignored);
    }
  });
  {
    Bench bench("127.0.0.1:" +
                std::to_string(acceptor.local_endpoint().port()));
    BOOST_TEST((bench.Get() == StoreStatus::kOk));
  }
  server.join();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::testing
