// Guards against a lost answer that is reported as a call that was never sent,
// and against a call that exceeds its timeout.
#include "chivedale/ctl_transport.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace chivedale {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// Accepts one connection, reads the whole request and writes `answer`.
class OneAnswer {
 public:
  OneAnswer(std::string answer, bool hold)
      : acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        socket_(io_),
        thread_([this, answer = std::move(answer), hold] {
          boost::system::error_code error;
          acceptor_.accept(socket_, error);
          asio::read_until(socket_, asio::dynamic_buffer(request_), "END",
                           error);
          asio::write(socket_, asio::buffer(answer), error);
          if (!hold) {
            socket_.shutdown(Tcp::socket::shutdown_both, error);
          }
        }) {}
  ~OneAnswer() { thread_.join(); }

  CallResult Call(Millis timeout = Millis(5'000)) {
    const CtlRequest request{"PUT", "/v1/table", "{}END", "key-1"};
    return TcpCtlTransport().Call(
        {"127.0.0.1", acceptor_.local_endpoint().port()}, request, timeout);
  }
  const std::string& request() const { return request_; }

 private:
  asio::io_context io_;
  Tcp::acceptor acceptor_;
  Tcp::socket socket_;
  std::string request_;
  std::thread thread_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Calls)

BOOST_AUTO_TEST_CASE(AnAnswerIsReadWhole) {
  OneAnswer server("HTTP/1.1 409 Conflict\r\nContent-Length: 5\r\n\r\nhello",
                   false);
  const CallResult result = server.Call();
  BOOST_TEST((result.outcome == CallOutcome::kAnswered));
  BOOST_TEST(result.status == 409);
  BOOST_TEST(result.body == "hello");
  BOOST_TEST(server.request().find("PUT /v1/table HTTP/1.1\r\n") == 0u);
  BOOST_TEST(server.request().find("Idempotency-Key: key-1") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ATruncatedAnswerIsReportedAsLost) {
  for (const char* answer :
       {"", "HTTP/1.1 200 OK\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", "garbage\r\n\r\n"}) {
    OneAnswer server(answer, false);
    BOOST_TEST((server.Call().outcome == CallOutcome::kLost), answer);
  }
}

BOOST_AUTO_TEST_CASE(ASilentServerTimesOut) {
  OneAnswer server("", true);
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST((server.Call(Millis(200)).outcome == CallOutcome::kLost));
  BOOST_TEST(
      (std::chrono::steady_clock::now() - start < std::chrono::seconds(2)));
}

BOOST_AUTO_TEST_CASE(ARefusedConnectionIsNotSent) {
  asio::io_context io;
  Tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  const uint16_t port = acceptor.local_endpoint().port();
  acceptor.close();
  const CallResult result = TcpCtlTransport().Call(
      {"127.0.0.1", port}, {"GET", "/", "", ""}, Millis(1'000));
  BOOST_TEST((result.outcome == CallOutcome::kNotSent));
  BOOST_TEST(!result.error.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
