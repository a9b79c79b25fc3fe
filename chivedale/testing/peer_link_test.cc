// Guards against messages delivered to the wrong process, a peer that blocks or
// crashes another one, unbounded queues, and messages delivered after the
// sender has given them up.
#include "chivedale/peer_link.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "chivedale/peer_codec.h"
#include "chivedale/peer_connection.h"
#include "chivedale/testing/fake_clock.h"

namespace chivedale {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// One end of a link with two traffic threads. The control thread's tasks run on
// the thread of the test, in RunTasks and RunUntil.
class Node {
 public:
  explicit Node(const std::string& id,
                const std::string& address = "127.0.0.1:0",
                PeerLink::Options options = {},
                const std::string& region = "r1")
      : work_(asio::make_work_guard(io_)),
        link_(std::make_unique<PeerLink>(
            io_,
            clock_,
            log_,
            metrics_,
            options,
            [this](std::function<void()> f) {
              const std::lock_guard lock(mutex_);
              tasks_.push_back(std::move(f));
            },
            [this](const MemberId& from, Message message) {
              received_.emplace_back(from, std::move(message));
            })) {
    self_.id = MemberId(id);
    self_.region = RegionId(region);
    self_.address = link_->Listen(address);
    link_->Start(self_);
    for (int i = 0; i < 2; ++i) {
      threads_.emplace_back([this] { io_.run(); });
    }
  }
  ~Node() {
    link_->Close();
    work_.reset();
    io_.stop();
    for (std::thread& thread : threads_) {
      thread.join();
    }
    tasks_.clear();
    link_.reset();
  }

  PeerLink& link() { return *link_; }
  Metrics& metrics() { return metrics_; }
  const MemberId& id() const { return self_.id; }
  const std::string& address() const { return self_.address; }

  // Runs tasks of the control thread until `done`. Returns false after 5 s.
  bool RunUntil(const std::function<bool()>& done) {
    const auto end = std::chrono::steady_clock::now() + milliseconds(5'000);
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      RunTasks();
      std::this_thread::sleep_for(milliseconds(1));
    }
    return true;
  }
  void RunTasks() {
    std::deque<std::function<void()>> tasks;
    {
      const std::lock_guard lock(mutex_);
      tasks.swap(tasks_);
    }
    for (auto& task : tasks) {
      task();
    }
  }
  size_t waiting() {
    const std::lock_guard lock(mutex_);
    return tasks_.size();
  }
  template <typename T>
  std::vector<std::pair<MemberId, T>> Received() const {
    std::vector<std::pair<MemberId, T>> found;
    for (const auto& [from, message] : received_) {
      if (const T* typed = std::get_if<T>(&message)) {
        found.emplace_back(from, *typed);
      }
    }
    return found;
  }

 private:
  util::SteadyClock clock_;
  NullEventLog log_;
  Metrics metrics_;
  asio::io_context io_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  std::mutex mutex_;
  std::deque<std::function<void()>> tasks_;
  std::vector<std::pair<MemberId, Message>> received_;
  MemberInfo self_;
  std::unique_ptr<PeerLink> link_;
  std::vector<std::thread> threads_;
};

Ping MakePing(uint64_t sequence) {
  Ping ping;
  ping.sequence = sequence;
  return ping;
}

Dispatch MakeDispatch(uint32_t attempt, size_t bytes) {
  Dispatch dispatch;
  dispatch.key = {TaskId("r/1"), attempt};
  dispatch.payload = std::make_shared<const std::string>(bytes, 'x');
  return dispatch;
}

// A plain TCP connection, for input that PeerLink never sends.
class RawClient {
 public:
  explicit RawClient(const std::string& address) : socket_(io_) {
    const size_t colon = address.rfind(':');
    socket_.connect(
        {asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
  }
  void Write(const std::string& bytes) {
    asio::write(socket_, asio::buffer(bytes));
  }
  void Hello(const std::string& id) {
    chivedale::Hello hello;
    hello.sender.id = MemberId(id);
    std::string frame;
    AppendFrame(hello, frame);
    Write(frame);
  }
  // Blocks until the peer has closed the connection, then returns true.
  bool WaitUntilClosed() {
    boost::system::error_code error;
    std::array<char, 1024> buffer{};
    while (!error) {
      socket_.read_some(asio::buffer(buffer), error);
    }
    return true;
  }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Delivery)

BOOST_AUTO_TEST_CASE(SeedIdsAreResolvedAndMessagesKeepOrder) {
  Node a("a/1");
  Node b("b/1", "127.0.0.1:0", {}, "r2");
  BOOST_TEST(!a.link().Send(b.id(), MakePing(1)));  // no address yet
  a.link().SendToAddress(b.address(), MakePing(1));
  BOOST_REQUIRE(b.RunUntil([&] { return !b.Received<Ping>().empty(); }));
  BOOST_TEST((b.Received<Ping>()[0].first == a.id()));
  BOOST_TEST((b.Received<Hello>()[0].first == a.id()));
  BOOST_REQUIRE(a.RunUntil([&] { return !a.Received<Hello>().empty(); }));
  BOOST_TEST((a.Received<Hello>()[0].first == b.id()));
  for (uint32_t i = 0; i < 500; ++i) {
    BOOST_REQUIRE(a.link().Send(b.id(), MakeDispatch(i, 100)));
  }
  BOOST_REQUIRE(
      b.RunUntil([&] { return b.Received<Dispatch>().size() == 500; }));
  const auto received = b.Received<Dispatch>();
  for (uint32_t i = 0; i < 500; ++i) {
    BOOST_REQUIRE_EQUAL(received[i].second.key.attempt, i);
  }
  BOOST_TEST(a.metrics().Value(Counter::kPeerMessagesSent) == 501);
  BOOST_TEST(a.metrics().Value(Counter::kPeerBytesSent) > 50'000);
  BOOST_TEST(a.metrics().Value(Counter::kPeerBytesCrossRegion) ==
             a.metrics().Value(Counter::kPeerBytesSent));
}

BOOST_AUTO_TEST_CASE(BadAddressesAreRefused) {
  Node a("a/1");
  a.link().SetAddress(MemberId("x/1"), "host:1");
  BOOST_TEST(!a.link().Send(MemberId("x/1"), MakePing(1)));
  a.link().SetAddress(MemberId("x/1"), "127.0.0.1:0");
  BOOST_TEST(!a.link().Send(MemberId("x/1"), MakePing(1)));
  BOOST_CHECK_THROW(a.link().Listen("nowhere"), Error);
}

BOOST_AUTO_TEST_CASE(ReconnectsToRestartedPeerWithNewId) {
  Node a("a/1");
  std::optional<Node> b(std::in_place, "b/1");
  const std::string address = b->address();
  a.link().SetAddress(b->id(), address);
  BOOST_REQUIRE(a.link().Send(b->id(), MakePing(1)));
  BOOST_REQUIRE(b->RunUntil([&] { return !b->Received<Ping>().empty(); }));
  b.reset();
  b.emplace("b/2", address);
  // The first messages may be written to the closed connection.
  const auto send_until_received = [&] {
    a.link().SendToAddress(address, MakePing(2));
    return !b->Received<Ping>().empty();
  };
  BOOST_REQUIRE(b->RunUntil(send_until_received));
  BOOST_REQUIRE(a.RunUntil([&] { return a.Received<Hello>().size() >= 2; }));
  // A message to the previous process must not reach the new one.
  BOOST_TEST(!a.link().Send(MemberId("b/1"), MakePing(3)));
  a.link().SetAddress(MemberId("b/1"), address);
  BOOST_TEST(a.link().Send(MemberId("b/1"), MakePing(3)));
  BOOST_TEST(a.link().Send(MemberId("b/2"), MakePing(4)));
  BOOST_REQUIRE(b->RunUntil(
      [&] { return b->Received<Ping>().back().second.sequence == 4; }));
  for (const auto& [from, ping] : b->Received<Ping>()) {
    BOOST_TEST(ping.sequence != 3u);
  }
  BOOST_TEST(a.link().counts().misaddressed == 1);
}

BOOST_AUTO_TEST_CASE(MessagesOfAnUnreachablePeerExpire) {
  PeerLink::Options options;
  options.queue.max_age = milliseconds(50);
  Node a("a/1", "127.0.0.1:0", options);
  std::optional<Node> b(std::in_place, "b/1");
  const std::string address = b->address();
  b.reset();
  a.link().SetAddress(MemberId("b/1"), address);
  BOOST_TEST(a.link().Send(MemberId("b/1"), MakePing(1)));
  BOOST_TEST(a.RunUntil([&] { return a.link().counts().expired == 1; }));
}

BOOST_AUTO_TEST_CASE(CloseFlushesQueue) {
  Node b("b/1");
  {
    Node a("a/1");
    a.link().SetAddress(b.id(), b.address());
    BOOST_REQUIRE(a.link().Send(b.id(), MakePing(1)));
    BOOST_REQUIRE(b.RunUntil([&] { return !b.Received<Ping>().empty(); }));
    for (uint64_t i = 2; i <= 100; ++i) {
      BOOST_REQUIRE(a.link().Send(b.id(), MakePing(i)));
    }
    a.link().Close();
    BOOST_TEST(!a.link().Send(b.id(), MakePing(101)));
    BOOST_TEST(b.RunUntil([&] { return b.Received<Ping>().size() == 100; }));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InvalidPeers)

BOOST_AUTO_TEST_CASE(InvalidInputClosesConnection) {
  Node b("b/1");
  const std::vector<std::string> cases = {
      std::string("\0\0\0\0", 4),          // empty frame
      std::string("\xff\xff\xff\xff", 4),  // frame length of 4 GB
      "GET / HTTP/1.1\r\n\r\n",            // read as a frame length of 1.2 GB
      std::string("\0\0\0\1\xc1", 5),      // invalid msgpack
      std::string("\0\0\0\3\x92\x01\x01", 7),  // Hello without fields
  };
  for (const std::string& bytes : cases) {
    RawClient client(b.address());
    client.Write(bytes);
    BOOST_TEST(client.WaitUntilClosed());
  }
  {
    RawClient client(b.address());
    std::string frame;
    AppendFrame(MakePing(1), frame);
    client.Write(frame);  // no Hello first
    BOOST_TEST(client.WaitUntilClosed());
  }
  {
    RawClient client(b.address());
    client.Hello("evil/1");
    client.Write(std::string("\0\0\0\1\xc1", 5));
    BOOST_TEST(client.WaitUntilClosed());
  }
  BOOST_TEST(b.link().counts().rejected ==
             static_cast<int64_t>(cases.size()) + 2);
  // Other connections still work.
  Node a("a/1");
  a.link().SendToAddress(b.address(), MakePing(1));
  BOOST_TEST(b.RunUntil([&] { return !b.Received<Ping>().empty(); }));
}

BOOST_AUTO_TEST_CASE(UnknownTypesAreSkipped) {
  Node b("b/1");
  RawClient client(b.address());
  client.Hello("later/1");
  client.Write(std::string("\0\0\0\4\x93\x7f\x01\x05", 8));
  std::string frame;
  AppendFrame(MakePing(7), frame);
  client.Write(frame);
  BOOST_TEST(b.RunUntil([&] { return !b.Received<Ping>().empty(); }));
  BOOST_TEST(b.link().counts().unknown_types == 1);
}

BOOST_AUTO_TEST_CASE(SilentConnectionsAreClosed) {
  PeerLink::Options options;
  options.hello_timeout = milliseconds(100);
  Node b("b/1", "127.0.0.1:0", options);
  RawClient client(b.address());
  BOOST_TEST(client.WaitUntilClosed());
}

BOOST_AUTO_TEST_CASE(BusyControlThreadPausesReading) {
  PeerLink::Options options;
  options.max_unhandled = 8;
  Node b("b/1", "127.0.0.1:0", options);
  PeerLink::Options sender;
  sender.queue.max_age = milliseconds(10'000);
  sender.unacknowledged_timeout = milliseconds(10'000);
  Node a("a/1", "127.0.0.1:0", sender);
  a.link().SetAddress(b.id(), b.address());
  for (uint32_t i = 0; i < 200; ++i) {
    BOOST_REQUIRE(a.link().Send(b.id(), MakeDispatch(i, 1'000)));
  }
  std::this_thread::sleep_for(milliseconds(200));
  BOOST_TEST(b.waiting() <= 8u);
  BOOST_TEST(b.RunUntil([&] { return b.Received<Dispatch>().size() == 200; }));
}

BOOST_AUTO_TEST_CASE(ASlowPeerFillsOnlyItsOwnQueue) {
  PeerLink::Options options;
  options.queue.max_bytes = 4 << 20;
  Node a("a/1", "127.0.0.1:0", options);
  PeerLink::Options slow;
  slow.max_unhandled = 1;
  Node b("b/1", "127.0.0.1:0", slow);
  Node c("c/1");
  a.link().SetAddress(b.id(), b.address());
  a.link().SetAddress(c.id(), c.address());
  int refused = 0;
  for (uint32_t i = 0; i < 40; ++i) {
    refused += a.link().Send(b.id(), MakeDispatch(i, 1 << 20)) ? 0 : 1;
  }
  BOOST_TEST(refused > 0);
  // Control messages can still be queued, and other peers are not affected.
  BOOST_TEST(a.link().Send(b.id(), MakePing(1)));
  BOOST_TEST(a.link().Send(c.id(), MakePing(2)));
  BOOST_TEST(c.RunUntil([&] { return !c.Received<Ping>().empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SendQueue)

BOOST_AUTO_TEST_CASE(ControlGoesFirstAndOtherLanesTakeTurns) {
  testing::FakeClock clock;
  PeerQueue queue{{}};
  const auto push = [&](const Message& message) {
    return queue.Push({MemberId(), message, 1'000, clock.Now()});
  };
  TableData data;
  data.json = std::string(1'000, 'x');
  for (uint32_t i = 0; i < 3; ++i) {
    push(MakeDispatch(i, 1'000));
    push(data);
  }
  push(Cancel{{TaskId("r/1"), 2}, false});
  push(MakePing(1));
  std::vector<size_t> order;
  while (auto next = queue.Pop(clock.Now())) {
    order.push_back(static_cast<size_t>(LaneForMessage(next->message)));
  }
  const std::vector<size_t> expected = {0, 2, 3, 2, 3, 2, 3, 2};
  BOOST_TEST(order == expected, boost::test_tools::per_element());
}

// Guards against a Cancel that overtakes its Dispatch, or a WorkerTaken that
// overtakes an Answer: the receiver would conclude that the work did not run.
RC_BOOST_PROP(DependentMessagesKeepTheirOrder,
              (const std::vector<int>& kinds)) {
  testing::FakeClock clock;
  PeerQueue queue{{}};
  std::vector<std::vector<size_t>> pushed(kPeerLaneCount);
  std::vector<std::vector<size_t>> popped(kPeerLaneCount);
  const std::vector<Message> messages = {
      MakePing(1), Dispatch(), Cancel(), Answer(), WorkerTaken(), TableData()};
  for (int kind : kinds) {
    const Message& message =
        messages[static_cast<size_t>(kind & 0xff) % messages.size()];
    queue.Push({MemberId(), message, 10, clock.Now()});
    pushed[static_cast<size_t>(LaneForMessage(message))].push_back(
        message.index());
  }
  while (auto next = queue.Pop(clock.Now())) {
    popped[static_cast<size_t>(LaneForMessage(next->message))].push_back(
        next->message.index());
  }
  RC_ASSERT(pushed == popped);
  RC_ASSERT(queue.bytes() == 0u);
  RC_ASSERT(LaneForMessage(Cancel()) == LaneForMessage(Dispatch()));
  RC_ASSERT(LaneForMessage(WorkerTaken()) == LaneForMessage(Answer()));
}

BOOST_AUTO_TEST_CASE(BytesAndAgeAreBounded) {
  testing::FakeClock clock;
  PeerQueue queue{{100, 50, milliseconds(10)}};
  BOOST_TEST(queue.Push({MemberId(), Dispatch(), 100, clock.Now()}));
  BOOST_TEST(!queue.Push({MemberId(), Dispatch(), 1, clock.Now()}));
  BOOST_TEST(queue.Push({MemberId(), MakePing(1), 50, clock.Now()}));
  BOOST_TEST(!queue.Push({MemberId(), MakePing(1), 1, clock.Now()}));
  clock.Advance(milliseconds(11));
  BOOST_TEST(!queue.Pop(clock.Now()).has_value());
  BOOST_TEST(queue.expired() == 2);
  BOOST_TEST(queue.bytes() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
