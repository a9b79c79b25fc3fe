// Guards against a server that mixes up pipelined responses, lets slow or
// faulty clients occupy its memory, or drops requests when it is closed.
#include "chivedale/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <mutex>

#include "chivedale/testing/http_test_support.h"
#include "chivedale/testing/threaded_io_context.h"

namespace chivedale::testing {
namespace {

namespace asio = boost::asio;

// A plain TCP connection, to send arbitrary bytes.
class RawConnection {
 public:
  explicit RawConnection(uint16_t port) : socket_(io_) {
    socket_.connect({asio::ip::make_address("127.0.0.1"), port});
  }
  void Write(const std::string& bytes) {
    boost::system::error_code ignored;
    asio::write(socket_, asio::buffer(bytes), ignored);
  }
  // Reads until the server closes the connection.
  std::string ReadToEnd() {
    std::string bytes;
    boost::system::error_code error;
    asio::read(socket_, asio::dynamic_buffer(bytes), error);
    return bytes;
  }
  // Reads until the input contains `text`.
  std::string ReadUntil(const std::string& text) {
    std::string bytes;
    boost::system::error_code error;
    while (bytes.find(text) == std::string::npos && !error) {
      char chunk[4096];
      const size_t received = socket_.read_some(asio::buffer(chunk), error);
      bytes.append(chunk, received);
    }
    return bytes;
  }
  void Close() { socket_.close(); }

 private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_;
};

// A handler that holds requests until the test responds to them.
struct HeldRequests {
  std::mutex mutex;
  std::vector<std::pair<HttpRequest, HttpResponder>> requests;

  HttpHandler Handler() {
    return [this](HttpRequest request, HttpResponder respond) {
      const std::lock_guard<std::mutex> lock(mutex);
      requests.emplace_back(std::move(request), std::move(respond));
    };
  }
  size_t size() {
    const std::lock_guard<std::mutex> lock(mutex);
    return requests.size();
  }
  void RespondToAll() {
    std::vector<std::pair<HttpRequest, HttpResponder>> pending;
    {
      const std::lock_guard<std::mutex> lock(mutex);
      pending.swap(requests);
    }
    for (auto& [request, respond] : pending) {
      respond(HttpResponse::Json(200, "held " + request.target));
    }
  }
};

void Echo(const HttpRequest& request, const HttpResponder& respond) {
  respond(HttpResponse::Json(200, request.target + "|" + *request.body));
}

struct TestServer {
  ThreadedIoContext threads{2};
  HeldRequests held;
  HttpServer server;

  TestServer(const HttpServer::Options& options, HttpHandler handler)
      : server(threads.io(), options, std::move(handler)) {}
  explicit TestServer(const HttpServer::Options& options)
      : server(threads.io(), options, held.Handler()) {}
  ~TestServer() { threads.Stop(); }
};

int CountOccurrences(const std::string& text, const std::string& part) {
  int count = 0;
  for (size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + part.size())) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpServerRequests)

BOOST_AUTO_TEST_CASE(PipelinedRequestsAreHandledInOrder) {
  TestServer fixture({}, Echo);
  RawConnection caller(fixture.server.port());
  caller.Write(
      "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
      "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
      "POST /3 HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "2\r\nde\r\n0\r\n\r\n"
      "GET /4 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  const std::string responses = caller.ReadToEnd();
  const size_t first = responses.find("/1|");
  const size_t second = responses.find("/2|abc");
  const size_t third = responses.find("/3|de");
  const size_t fourth = responses.find("/4|");
  BOOST_REQUIRE(fourth != std::string::npos);
  BOOST_TEST((first < second && second < third && third < fourth));
  BOOST_TEST(CountOccurrences(responses, "HTTP/1.1 200") == 4);
}

BOOST_AUTO_TEST_CASE(PipelinedRequestWaitsForHandler) {
  TestServer fixture(HttpServer::Options{});
  RawConnection caller(fixture.server.port());
  caller.Write("GET /1 HTTP/1.1\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return fixture.held.size() == 1; }));
  caller.Write("GET /2 HTTP/1.1\r\n\r\n");
  std::this_thread::sleep_for(Millis(50));
  BOOST_TEST(fixture.held.size() == 1U);
  fixture.held.RespondToAll();
  BOOST_TEST(WaitUntil([&] { return fixture.held.size() == 1; }));
  fixture.held.RespondToAll();
  BOOST_TEST(CountOccurrences(caller.ReadUntil("held /2"), "held /") == 2);
}

BOOST_AUTO_TEST_CASE(DestroyedRespondFunctionSendsInternalError) {
  TestServer fixture({}, [](const HttpRequest&, const HttpResponder&) {});
  RawConnection caller(fixture.server.port());
  caller.Write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  BOOST_TEST(caller.ReadToEnd().find("\"ran\":\"unknown\"") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ThrowingHandlerSendsErrorKind) {
  TestServer fixture({}, [](const HttpRequest&, const HttpResponder&) {
    throw Error(ErrorKind::kNoRow, "no such row");
  });
  RawConnection caller(fixture.server.port());
  caller.Write("GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  BOOST_TEST(caller.ReadToEnd().find("HTTP/1.1 422") == 0U);
}

BOOST_AUTO_TEST_CASE(HandlerIsNotifiedWhenCallerCloses) {
  TestServer fixture(HttpServer::Options{});
  RawConnection caller(fixture.server.port());
  caller.Write("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return fixture.held.size() == 1; }));
  const auto connection = fixture.held.requests[0].first.caller;
  std::atomic<int> closed{0};
  connection->OnClosed([&] { ++closed; });
  BOOST_TEST(!connection->closed());
  caller.Close();
  BOOST_TEST(WaitUntil([&] { return closed == 1; }));
  BOOST_TEST(connection->closed());
  fixture.held.RespondToAll();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpServerLimits)

BOOST_AUTO_TEST_CASE(OversizedBodiesAreRefused) {
  HttpServer::Options options;
  options.max_body_bytes = 100;
  const std::string bodies[] = {
      "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n" + std::string(101, 'x'),
      "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" +
          std::string(101, 'x') + "\r\n0\r\n\r\n"};
  for (const std::string& body : bodies) {
    TestServer fixture(options, Echo);
    RawConnection caller(fixture.server.port());
    caller.Write(body);
    const std::string answer = caller.ReadToEnd();
    BOOST_TEST(answer.find("HTTP/1.1 413") == 0U);
    BOOST_TEST(answer.find("application/problem+json") != std::string::npos);
    BOOST_TEST(answer.find("body_too_large") != std::string::npos);
    BOOST_TEST(fixture.server.counts().requests == 0);
  }
}

BOOST_AUTO_TEST_CASE(MalformedAndOversizedHeadersAreRefused) {
  const std::string inputs[] = {
      "nonsense\r\n\r\n", "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
      "GET / HTTP/1.1\r\nA: " + std::string(64'000, 'a') + "\r\n\r\n"};
  for (const std::string& input : inputs) {
    TestServer fixture({}, Echo);
    RawConnection caller(fixture.server.port());
    caller.Write(input);
    BOOST_TEST(caller.ReadToEnd().find("HTTP/1.1 400") == 0U);
    BOOST_TEST(fixture.server.counts().refused == 1);
  }
}

BOOST_AUTO_TEST_CASE(TruncatedRequestIsDroppedAndCounted) {
  const std::string inputs[] = {
      "POST / HTT", "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc"};
  for (const std::string& input : inputs) {
    TestServer fixture(HttpServer::Options{});
    RawConnection caller(fixture.server.port());
    caller.Write(input);
    caller.Close();
    BOOST_TEST(WaitUntil([&] { return fixture.server.counts().cut_off == 1; }));
    BOOST_TEST(fixture.held.size() == 0U);
    BOOST_TEST(
        WaitUntil([&] { return fixture.server.counts().connections == 0; }));
  }
}

BOOST_AUTO_TEST_CASE(IdleAndSlowConnectionsAreClosed) {
  HttpServer::Options options;
  options.idle_timeout = Millis(50);
  options.receive_timeout = Millis(100);
  TestServer fixture(options, Echo);
  RawConnection idle(fixture.server.port());
  BOOST_TEST(idle.ReadToEnd().empty());
  BOOST_TEST(fixture.server.counts().cut_off == 0);
  RawConnection slow(fixture.server.port());
  slow.Write("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\na");
  BOOST_TEST(slow.ReadToEnd().empty());
  BOOST_TEST(fixture.server.counts().cut_off == 1);
  BOOST_TEST(fixture.server.counts().timeouts == 1);
}

BOOST_AUTO_TEST_CASE(SendTimeoutClosesConnection) {
  HttpServer::Options options;
  options.send_timeout = Millis(200);
  TestServer fixture(
      options, [](const HttpRequest&, const HttpResponder& respond) {
        respond(HttpResponse::Json(200, std::string(size_t{32} << 20, 'x')));
      });
  RawConnection caller(fixture.server.port());
  caller.Write("GET / HTTP/1.1\r\n\r\n");
  BOOST_TEST(WaitUntil([&] { return fixture.server.counts().timeouts == 1; }));
  BOOST_TEST(
      WaitUntil([&] { return fixture.server.counts().connections == 0; }));
}

BOOST_AUTO_TEST_CASE(ConnectionsAndReceivedBytesAreBounded) {
  HttpServer::Options options;
  options.max_connections = 2;
  options.max_receiving_bytes = 1'000;
  TestServer fixture(options, Echo);
  RawConnection first(fixture.server.port());
  first.Write("POST / HTTP/1.1\r\nContent-Length: 900\r\n\r\n");
  BOOST_TEST(
      WaitUntil([&] { return fixture.server.counts().connections == 1; }));
  std::this_thread::sleep_for(Millis(50));
  RawConnection second(fixture.server.port());
  second.Write("POST / HTTP/1.1\r\nContent-Length: 200\r\n\r\n");
  BOOST_TEST(second.ReadUntil("overloaded").find("HTTP/1.1 503") == 0U);
  RawConnection third(fixture.server.port());
  BOOST_TEST(third.ReadToEnd().empty());
  BOOST_TEST(fixture.server.counts().rejected == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HttpServerClose)

BOOST_AUTO_TEST_CASE(CloseCompletesRequestsInProgress) {
  TestServer fixture(HttpServer::Options{});
  RawConnection busy(fixture.server.port());
  busy.Write("GET /busy HTTP/1.1\r\n\r\n");
  RawConnection idle(fixture.server.port());
  BOOST_TEST(WaitUntil([&] {
    return fixture.held.size() == 1 && fixture.server.counts().connections == 2;
  }));
  std::atomic<bool> closed{false};
  fixture.server.Close([&] { closed = true; });
  BOOST_TEST(idle.ReadToEnd().empty());
  BOOST_TEST(!closed);
  BOOST_CHECK_THROW(RawConnection(fixture.server.port()),
                    boost::system::system_error);
  fixture.held.RespondToAll();
  const std::string answer = busy.ReadToEnd();
  BOOST_TEST(answer.find("held /busy") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  busy.Close();
  BOOST_TEST(WaitUntil([&] { return closed.load(); }));
}

BOOST_AUTO_TEST_CASE(RequestSentBeforeCloseIsAnswered) {
  HttpServer::Options options;
  options.close_linger = Millis(1'000);
  TestServer fixture(options, Echo);
  RawConnection caller(fixture.server.port());
  caller.Write("GET /1 HTTP/1.1\r\n\r\n");
  caller.ReadUntil("/1|");
  std::atomic<bool> closed{false};
  fixture.server.Close([&] { closed = true; });
  std::this_thread::sleep_for(Millis(50));
  caller.Write("GET /2 HTTP/1.1\r\n\r\n");
  const std::string answer = caller.ReadToEnd();
  BOOST_TEST(answer.find("/2|") != std::string::npos);
  BOOST_TEST(answer.find("Connection: close") != std::string::npos);
  caller.Close();
  BOOST_TEST(WaitUntil([&] { return closed.load(); }));
}

BOOST_AUTO_TEST_CASE(CloseWithoutConnectionsCompletesAtOnce) {
  TestServer fixture({}, Echo);
  std::atomic<bool> closed{false};
  fixture.server.Close([&] { closed = true; });
  BOOST_TEST(WaitUntil([&] { return closed.load(); }));
}

// Guards against a leak of the server: its threads stop while a connection is
// still open after Close.
BOOST_AUTO_TEST_CASE(AServerThatIsDestroyedWhileItClosesIsFreed) {
  auto held = std::make_shared<int>(0);
  const std::weak_ptr<int> handler = held;
  {
    ThreadedIoContext threads(2);
    HttpServer::Options options;
    options.close_linger = kWaitTimeout;
    HttpServer server(
        threads.io(), options,
        [held = std::move(held)](const HttpRequest&, const HttpResponder&) {});
    RawConnection caller(server.port());
    BOOST_REQUIRE(WaitUntil([&] { return server.counts().connections == 1; }));
    std::atomic<bool> closed{false};
    server.Close([&] { closed = true; });
    // The server has stopped listening once a new connection is refused.
    BOOST_REQUIRE(WaitUntil([&] {
      try {
        RawConnection refused(server.port());
        return false;
      } catch (const boost::system::system_error&) {
        return true;
      }
    }));
    threads.Stop();
    BOOST_TEST(!closed);
  }
  BOOST_TEST(handler.expired());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
