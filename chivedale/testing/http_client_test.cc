// Guards against a client that reports "not sent" for a call that may have been
// executed, mixes up responses, or opens too many connections.
#include "chivedale/http_client.h"

#include <rapidcheck/boost_test.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <set>
#include <thread>

#include "chivedale/http_server.h"
#include "chivedale/testing/http_test_support.h"
#include "chivedale/testing/threaded_io_context.h"

namespace chivedale::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string AddressOf(const HttpServer& server) {
  return "127.0.0.1:" + std::to_string(server.port());
}

struct ServerAndClient {
  ThreadedIoContext threads{3};
  HttpServer server;
  HttpClient client;

  explicit ServerAndClient(HttpHandler handler,
                           const HttpServer::Options& server_options = {},
                           HttpClient::Options options = {})
      : server(threads.io(), server_options, std::move(handler)),
        client(threads.io(), options) {}
  ~ServerAndClient() { threads.Stop(); }

  HttpResult Get(const std::string& target, Millis timeout = Millis(5'000)) {
    HttpCall call = MakeCall(AddressOf(server), "GET", target);
    call.timeout = timeout;
    return CallAndWait(client, std::move(call));
  }
};

void Echo(const HttpRequest& request, const HttpResponder& respond) {
  HttpResponse response;
  response.body = request.body;
  response.headers = {{"Echo-Target", request.target}};
  respond(std::move(response));
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpClientResponses)

RC_BOOST_PROP(EachCallGetsItsOwnResponse, ()) {
  static ServerAndClient fixture(Echo);
  const auto sizes = *rc::gen::container<std::vector<int>>(
      rc::gen::oneOf(rc::gen::inRange(0, 200), rc::gen::inRange(0, 300'000)));
  std::vector<std::future<HttpResult>> responses;
  std::vector<std::string> bodies;
  for (size_t i = 0; i < sizes.size(); ++i) {
    auto promise = std::make_shared<std::promise<HttpResult>>();
    responses.push_back(promise->get_future());
    HttpCall call =
        MakeCall(AddressOf(fixture.server) + "/w/" + std::to_string(i % 3),
                 "POST", "/x?n=" + std::to_string(i), "head\n");
    call.body = MakeBody(std::string(static_cast<size_t>(sizes[i]),
                                     static_cast<char>('a' + i % 26)));
    bodies.push_back("head\n" + *call.body);
    fixture.client.Call(std::move(call), [promise](HttpResult result) {
      promise->set_value(std::move(result));
    });
  }
  for (size_t i = 0; i < responses.size(); ++i) {
    const HttpResult result = responses[i].get();
    RC_ASSERT(result.status == CallStatus::kAnswered);
    RC_ASSERT(*result.body == bodies[i]);
    RC_ASSERT(FindHeader(result.headers, "echo-target") ==
              "/w/" + std::to_string(i % 3) + "/x?n=" + std::to_string(i));
  }
}

BOOST_AUTO_TEST_CASE(ConnectionsAreReusedAndBounded) {
  std::atomic<int> now{0};
  std::atomic<int> most{0};
  HttpClient::Options options;
  options.max_connections_per_address = 4;
  ServerAndClient fixture(
      [&](const HttpRequest&, const HttpResponder& respond) {
        const int current = ++now;
        int seen = most;
        while (seen < current && !most.compare_exchange_weak(seen, current)) {
        }
        std::this_thread::sleep_for(Millis(1));
        --now;
        respond(HttpResponse::Json(200, "{}"));
      },
      {}, options);
  std::atomic<int> answered{0};
  for (int i = 0; i < 100; ++i) {
    fixture.client.Call(MakeCall(AddressOf(fixture.server), "GET", "/"),
                        [&](const HttpResult& result) {
                          answered += result.status == CallStatus::kAnswered;
                        });
  }
  BOOST_TEST(WaitUntil([&] { return answered == 100; }));
  BOOST_TEST(most <= 4);
  BOOST_TEST(fixture.client.counts().opened <= 4);
}

BOOST_AUTO_TEST_CASE(StaleConnectionIsReplaced) {
  HttpServer::Options options;
  options.idle_timeout = Millis(30);
  ServerAndClient fixture(Echo, options);
  for (int i = 0; i < 3; ++i) {
    BOOST_TEST((fixture.Get("/").status == CallStatus::kAnswered));
    BOOST_TEST(
        WaitUntil([&] { return fixture.server.counts().connections == 0; }));
  }
  BOOST_TEST(fixture.client.counts().opened == 3);
}

BOOST_AUTO_TEST_CASE(IdleConnectionsAreClosed) {
  HttpClient::Options options;
  options.idle_timeout = Millis(10);
  ServerAndClient fixture(Echo, {}, options);
  fixture.Get("/");
  BOOST_TEST(
      WaitUntil([&] { return fixture.client.counts().connections == 0; }));
  BOOST_TEST(
      WaitUntil([&] { return fixture.server.counts().connections == 0; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpClientFailures)

BOOST_AUTO_TEST_CASE(FailedConnectionIsNotSent) {
  ThreadedIoContext threads(1);
  HttpClient client(threads.io(), {});
  uint16_t port = 0;
  {
    ThreadedIoContext other(1);
    HttpServer server(other.io(), {}, Echo);
    port = server.port();
    other.Stop();
  }
  const std::string addresses[] = {"127.0.0.1:" + std::to_string(port), "",
                                   "nonsense", "host:80", "127.0.0.1:99999"};
  for (const std::string& address : addresses) {
    const HttpResult result =
        CallAndWait(client, MakeCall(address, "POST", "/", "x"));
    BOOST_TEST((result.status == CallStatus::kNotSent), address);
  }
  threads.Stop();
}

BOOST_AUTO_TEST_CASE(DroppedConnectionIsUnreachable) {
  std::atomic<int> handled{0};
  ServerAndClient fixture(
      [&](const HttpRequest& request, const HttpResponder& respond) {
        if (++handled > 1) {
          return request.caller->Abort();
        }
        respond(HttpResponse::Json(200, "{}"));
      });
  // The second call reuses the connection of the first, the third opens a new
  // one.
  BOOST_TEST((fixture.Get("/").status == CallStatus::kAnswered));
  BOOST_TEST((fixture.Get("/").status == CallStatus::kUnreachable));
  BOOST_TEST((fixture.Get("/").status == CallStatus::kUnreachable));
  BOOST_TEST(handled == 3);
}

BOOST_AUTO_TEST_CASE(TimeoutAfterSendIsUnreachable) {
  std::mutex mutex;
  std::vector<HttpResponder> held;
  HttpClient::Options options;
  options.max_connections_per_address = 1;
  ServerAndClient fixture(
      [&](const HttpRequest&, const HttpResponder& respond) {
        const std::lock_guard<std::mutex> lock(mutex);
        held.push_back(respond);
      },
      {}, options);
  std::atomic<int> first{-1};
  HttpCall call = MakeCall(AddressOf(fixture.server), "GET", "/");
  call.timeout = Millis(300);
  fixture.client.Call(call, [&](const HttpResult& result) {
    first = static_cast<int>(result.status);
  });
  // The only connection is in use, so this call times out before it is sent.
  BOOST_TEST((fixture.Get("/", Millis(100)).status == CallStatus::kNotSent));
  BOOST_TEST(WaitUntil([&] { return first >= 0; }));
  BOOST_TEST(first == static_cast<int>(CallStatus::kUnreachable));
  const std::lock_guard<std::mutex> lock(mutex);
  BOOST_TEST(held.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CloseAbortsAllCalls) {
  std::mutex mutex;
  std::vector<HttpResponder> held;
  HttpClient::Options options;
  options.max_connections_per_address = 1;
  ServerAndClient fixture(
      [&](const HttpRequest&, const HttpResponder& respond) {
        const std::lock_guard<std::mutex> lock(mutex);
        held.push_back(respond);
      },
      {}, options);
  std::mutex result_mutex;
  std::multiset<CallStatus> results;
  for (int i = 0; i < 2; ++i) {
    fixture.client.Call(MakeCall(AddressOf(fixture.server), "GET", "/"),
                        [&](const HttpResult& result) {
                          const std::lock_guard<std::mutex> lock(result_mutex);
                          results.insert(result.status);
                        });
  }
  BOOST_TEST(WaitUntil([&] {
    const std::lock_guard<std::mutex> lock(mutex);
    return held.size() == 1;
  }));
  fixture.client.Close();
  BOOST_TEST(WaitUntil([&] {
    const std::lock_guard<std::mutex> lock(result_mutex);
    return results.size() == 2;
  }));
  BOOST_TEST(results.count(CallStatus::kUnreachable) == 1U);
  BOOST_TEST(results.count(CallStatus::kNotSent) == 1U);
  BOOST_TEST((fixture.Get("/").status == CallStatus::kNotSent));
}

BOOST_AUTO_TEST_CASE(InvalidResponseIsUnreachable) {
  const std::string responses[] = {
      "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n" +
          std::string(1'001, 'x'),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3e9\r\n" +
          std::string(1'001, 'x') + "\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + std::string(1'001, 'x'),
      "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
      "HTTP/1.1 200 OK\r\nContent-Le",
      "HTTP/1.1 200 OK\r\nA: " + std::string(100'000, 'x') + "\r\n\r\n",
      "nonsense\r\n\r\n",
      "",
  };
  HttpClient::Options options;
  options.max_body_bytes = 1'000;
  ThreadedIoContext threads(1);
  HttpClient client(threads.io(), options);
  for (const std::string& response : responses) {
    asio::io_context io;
    asio::ip::tcp::acceptor acceptor(io,
                                     {asio::ip::make_address("127.0.0.1"), 0});
    std::thread server([&] {
      asio::ip::tcp::socket socket = acceptor.accept();
      char request[4096];
      boost::system::error_code error;
      socket.read_some(asio::buffer(request), error);
      asio::write(socket, asio::buffer(response), error);
    });
    const std::string address =
        "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    const HttpResult result =
        CallAndWait(client, MakeCall(address, "GET", "/"));
    server.join();
    BOOST_TEST((result.status == CallStatus::kUnreachable),
               response.substr(0, 60));
  }
  threads.Stop();
}

// A server that sends a response of `parts` parts, one each `interval`, and
// then closes the connection or, if `announced` is larger, falls silent.
class SlowServer {
 public:
  SlowServer(int parts, int announced, Millis interval)
      : acceptor_(threads_.io(), {asio::ip::address_v4::loopback(), 0}),
        thread_([this, parts, announced, interval] {
          tcp::socket socket(threads_.io());
          acceptor_.accept(socket);
          std::array<char, 1'024> request{};
          socket.read_some(asio::buffer(request));
          boost::system::error_code ignored;
          asio::write(socket,
                      asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                                   std::to_string(announced) + "\r\n\r\n"),
                      ignored);
          for (int i = 0; i < parts; ++i) {
            std::this_thread::sleep_for(interval);
            asio::write(socket, asio::buffer("x", 1), ignored);
          }
          // Ends when the client closes the connection.
          socket.read_some(asio::buffer(request), ignored);
        }) {}
  ~SlowServer() { thread_.join(); }

  // Calls the server and returns the result.
  HttpResult Get(Millis stall_timeout, const HttpClient::Options& options) {
    HttpClient client(threads_.io(), options);
    HttpCall call = MakeCall(
        "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()), "GET",
        "/");
    call.timeout = Millis(200);
    call.stall_timeout = stall_timeout;
    HttpResult result = CallAndWait(client, std::move(call));
    client.Close();
    return result;
  }

 private:
  ThreadedIoContext threads_{2};
  tcp::acceptor acceptor_;
  std::thread thread_;
};

// Guards against reads that are aborted and repeated while their data arrives.
BOOST_AUTO_TEST_CASE(LongResponseIsReceivedWhileDataArrives) {
  SlowServer server(8, 8, Millis(60));
  const HttpResult result = server.Get(Millis(2'000), {});
  BOOST_TEST((result.status == CallStatus::kAnswered));
  BOOST_TEST(result.received_bytes == 8u);
}

BOOST_AUTO_TEST_CASE(LongResponseTimesOutWithoutAStallTimeout) {
  SlowServer server(8, 8, Millis(60));
  const HttpResult result = server.Get(Millis(0), {});
  BOOST_TEST((result.status == CallStatus::kUnreachable));
  BOOST_TEST(result.received_bytes < 8u);
}

// Guards against a call that never ends because its connection was lost.
BOOST_AUTO_TEST_CASE(StalledResponseTimesOut) {
  SlowServer server(2, 8, Millis(10));
  const HttpResult result = server.Get(Millis(300), {});
  BOOST_TEST((result.status == CallStatus::kUnreachable));
  BOOST_TEST(result.error == "timeout");
  BOOST_TEST(result.received_bytes == 2u);
}

BOOST_AUTO_TEST_CASE(EndlessResponseIsCutAtTheReceiveLimit) {
  SlowServer server(200, 200, Millis(20));
  HttpClient::Options options;
  options.max_receive_time = Millis(500);
  const HttpResult result = server.Get(Millis(2'000), options);
  BOOST_TEST((result.status == CallStatus::kUnreachable));
  BOOST_TEST(result.error == "timeout");
}

BOOST_AUTO_TEST_CASE(EarlyResponseToLargeUploadIsRead) {
  HttpServer::Options options;
  options.max_body_bytes = 1'000;
  ServerAndClient fixture(Echo, options);
  HttpCall call = MakeCall(AddressOf(fixture.server), "POST", "/");
  call.body = MakeBody(std::string(size_t{8} << 20, 'x'));
  const HttpResult result = CallAndWait(fixture.client, std::move(call));
  BOOST_TEST(result.http_status == 413);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpTypes)

RC_BOOST_PROP(TargetsRoundTrip,
              (const std::string& key, const std::string& value)) {
  const HttpTarget target = ParseHttpTarget("/v1/" + PercentEncode(key) +
                                            "?q=" + PercentEncode(value));
  RC_ASSERT(target.path.at(0) == "v1");
  RC_ASSERT((key.empty() ? target.path.size() == 1 : target.path.at(1) == key));
  RC_ASSERT(target.Query("q") == value);
}

BOOST_AUTO_TEST_CASE(AddressesMayHaveAPrefix) {
  const HttpAddress plain = ParseHttpAddress("10.0.0.7:80");
  BOOST_TEST((plain.ip == "10.0.0.7" && plain.port == 80));
  BOOST_TEST(ParseHttpAddress("10.0.0.7:80/w/1/").prefix == "/w/1");
  BOOST_TEST(ParseHttpAddress("[::1]:80").ip == "::1");
}

BOOST_AUTO_TEST_CASE(HeaderValueCannotInjectHeader) {
  std::string out;
  AppendHeader(out, "A", "x\r\nB: y");
  BOOST_TEST(out == "A: xB: y\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
