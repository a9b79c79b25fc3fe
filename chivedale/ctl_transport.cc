// The timeouts of Beast's tcp_stream apply to asynchronous operations only, so
// each call runs its own io_context to completion.
#include "chivedale/ctl_transport.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <utility>

namespace chivedale {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

// Connecting to a server that is down must leave time to try the next one.
constexpr Millis kConnectTimeout{2'000};
constexpr size_t kMaxAnswerBytes = 256u << 20;

struct Exchange {
  asio::io_context io;
  beast::tcp_stream stream{io};
  http::request<http::string_body> request;
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  CallResult result;
  Millis timeout{0};

  void Connect(const asio::ip::tcp::endpoint& endpoint) {
    stream.expires_after(std::min(timeout, kConnectTimeout));
    stream.async_connect(endpoint, [this](const ErrorCode& error) {
      if (error) {
        End(CallOutcome::kNotSent, error);
      } else {
        Write();
      }
    });
  }
  void Write() {
    stream.expires_after(timeout);
    http::async_write(stream, request, [this](const ErrorCode& error, size_t) {
      if (error) {
        End(CallOutcome::kLost, error);
      } else {
        Read();
      }
    });
  }
  void Read() {
    parser.body_limit(kMaxAnswerBytes);
    http::async_read(
        stream, buffer, parser, [this](const ErrorCode& error, size_t) {
          if (error) {
            End(CallOutcome::kLost, error);
            return;
          }
          result.outcome = CallOutcome::kAnswered;
          result.status = static_cast<int>(parser.get().result_int());
          result.body = std::move(parser.get().body());
        });
  }
  void End(CallOutcome outcome, const ErrorCode& error) {
    result.outcome = outcome;
    result.error = error.message();
  }
};

}  // namespace

CallResult TcpCtlTransport::Call(const util::IpPort& server,
                                 const CtlRequest& request,
                                 Millis timeout) {
  Exchange exchange;
  exchange.timeout = timeout;
  exchange.request.version(11);
  exchange.request.method_string(request.method);
  exchange.request.target(request.target);
  exchange.request.set(http::field::host,
                       server.ip + ":" + std::to_string(server.port));
  exchange.request.set(http::field::connection, "close");
  if (!request.body.empty()) {
    exchange.request.set(http::field::content_type, "application/json");
  }
  if (!request.idempotency_key.empty()) {
    exchange.request.set("Idempotency-Key", request.idempotency_key);
  }
  exchange.request.body() = request.body;
  exchange.request.prepare_payload();
  exchange.Connect({asio::ip::make_address(server.ip), server.port});
  exchange.io.run();
  return std::move(exchange.result);
}

}  // namespace chivedale
