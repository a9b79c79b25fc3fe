// The scheduler may start the work elsewhere only if the request was not sent.
// A call therefore ends kNotSent only if no byte was written to the socket, and
// kUnreachable if some were and no complete response arrived.
//
// The server may have closed a pooled connection meanwhile. Before use, the
// connection is checked with MSG_PEEK and replaced if the end of stream has
// arrived. This is not a retry, since nothing was written. If the server closes
// later, the call ends kUnreachable.
#include "chivedale/http_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace chivedale {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Size of the receive buffer beyond the largest header; bodies pass through it.
constexpr size_t kBufferSlack = size_t{64} << 10;
// Initial size of the receive buffer: most responses arrive in one read.
constexpr size_t kInitialBuffer = 2'048;

std::string RequestHeader(const HttpCall& call, const HttpAddress& address) {
  std::string out =
      call.method + " " + address.prefix + call.target + " HTTP/1.1\r\n";
  const bool ipv6 = address.ip.find(':') != std::string::npos;
  AppendHeader(out, "Host",
               (ipv6 ? "[" + address.ip + "]" : address.ip) + ":" +
                   std::to_string(address.port));
  for (const HttpHeader& header : call.headers) {
    AppendHeader(out, header.name, header.value);
  }
  const size_t length =
      call.body_prefix.size() + (call.body ? call.body->size() : 0);
  if (length > 0 || call.method == "POST" || call.method == "PUT") {
    AppendHeader(out, "Content-Length", std::to_string(length));
  }
  return out += "\r\n";
}

}  // namespace

HttpResult FailedCall(CallStatus status, std::string reason) {
  HttpResult result;
  result.status = status;
  result.error = std::move(reason);
  return result;
}

HttpConnection::HttpConnection(asio::io_context& io,
                               std::shared_ptr<HttpConnectionOwner> owner,
                               const HttpClient::Options& options,
                               std::string key,
                               HttpAddress address)
    : owner_(std::move(owner)),
      options_(options),
      key_(std::move(key)),
      address_(std::move(address)),
      socket_(asio::make_strand(io)),
      timer_(socket_.get_executor()),
      buffer_(options.max_header_bytes + kBufferSlack) {
  buffer_.reserve(std::min(kInitialBuffer, buffer_.max_size()));
}

void HttpConnection::Run(PendingCall pending) {
  asio::post(socket_.get_executor(), [self = shared_from_this(),
                                      pending = std::move(pending)]() mutable {
    self->Begin(std::move(pending));
  });
}

void HttpConnection::Close() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->CloseSocket(); });
}

void HttpConnection::Begin(PendingCall pending) {
  if (closed_ || (connected_ && IsStale())) {
    CloseSocket();
    return owner_->Replace(shared_from_this(), std::move(pending));
  }
  pending_ = std::move(pending);
  received_bytes_ = 0;
  ArmTimer();
  if (connected_) {
    return Send();
  }
  const tcp::endpoint endpoint(asio::ip::make_address(address_.ip),
                               address_.port);
  socket_.async_connect(endpoint,
                        [self = shared_from_this()](error_code error) {
                          self->OnConnect(error);
                        });
}

// True if the peer has closed the connection or sent unsolicited bytes.
bool HttpConnection::IsStale() {
  char byte = 0;
  const ssize_t received =
      ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void HttpConnection::OnConnect(error_code error) {
  if (error) {
    return FinishCall(FailedCall(CallStatus::kNotSent, error.message()), false);
  }
  connected_ = true;
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  Send();
}

void HttpConnection::Send() {
  header_ = RequestHeader(pending_->call, address_);
  const HttpCall& call = pending_->call;
  const std::array<asio::const_buffer, 3> buffers = {
      asio::buffer(header_), asio::buffer(call.body_prefix),
      call.body ? asio::buffer(*call.body) : asio::const_buffer()};
  asio::async_write(
      socket_, buffers,
      [self = shared_from_this()](error_code error, size_t bytes) {
        self->OnSent(error, bytes);
      });
}

void HttpConnection::OnSent(error_code error, size_t bytes) {
  if (error && bytes == 0) {
    return FinishCall(FailedCall(CallStatus::kNotSent, error.message()), false);
  }
  // A server may respond before it has read the whole request, so read a
  // response also after a failed write.
  parser_.emplace();
  parser_->header_limit(static_cast<uint32_t>(options_.max_header_bytes));
  parser_->body_limit(options_.max_body_bytes);
  parser_->skip(pending_->call.method == "HEAD");
  http::async_read_header(socket_, buffer_, *parser_,
                          [self = shared_from_this(), failed = bool(error)](
                              error_code read_error, size_t) {
                            self->OnHeader(read_error, failed);
                          });
}

void HttpConnection::OnHeader(error_code error, bool write_failed) {
  if (error) {
    return OnReceived(error, write_failed);
  }
  // The parser of Boost 1.74 does not compare a response's Content-Length with
  // the body limit.
  const auto length = parser_->content_length();
  if (length && *length > options_.max_body_bytes) {
    return OnReceived(http::error::body_limit, write_failed);
  }
  receive_limit_ = SteadyClock::now() + options_.max_receive_time;
  ExtendDeadline();
  ReceivePart(write_failed);
}

// Aborting a large response that still arrives would waste what the network has
// carried; a repeated call would then load it even more.
void HttpConnection::ExtendDeadline() {
  const Millis stall_timeout = pending_->call.stall_timeout;
  if (stall_timeout > Millis(0)) {
    pending_->deadline =
        std::max(pending_->deadline,
                 std::min(SteadyClock::now() + stall_timeout, receive_limit_));
  }
}

void HttpConnection::ReceivePart(bool write_failed) {
  if (parser_->is_done()) {
    return OnReceived({}, write_failed);
  }
  http::async_read_some(socket_, buffer_, *parser_,
                        [self = shared_from_this(), write_failed](
                            error_code error, size_t bytes) {
                          self->received_bytes_ += bytes;
                          if (error) {
                            return self->OnReceived(error, write_failed);
                          }
                          self->ExtendDeadline();
                          self->ReceivePart(write_failed);
                        });
}

void HttpConnection::OnReceived(error_code error, bool write_failed) {
  if (error) {
    return FinishCall(FailedCall(CallStatus::kUnreachable, error.message()),
                      false);
  }
  const bool reusable =
      parser_->keep_alive() && !write_failed && buffer_.size() == 0;
  auto message = parser_->release();
  HttpResult result;
  result.status = CallStatus::kAnswered;
  result.http_status = static_cast<int>(message.result_int());
  if (options_.keep_response_headers) {
    for (const auto& field : message) {
      result.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
  }
  result.body = std::make_shared<const std::string>(std::move(message.body()));
  FinishCall(std::move(result), reusable);
}

void HttpConnection::FinishCall(HttpResult result, bool reusable) {
  parser_.reset();
  header_.clear();
  const PendingCall pending = std::move(*pending_);
  pending_.reset();
  reusable = reusable && !closed_;
  result.received_bytes = received_bytes_;
  if (timed_out_ && result.status != CallStatus::kAnswered) {
    result.error = "timeout";
  }
  if (!reusable) {
    CloseSocket();
  }
  owner_->Release(shared_from_this(), reusable,
                  result.status == CallStatus::kUnreachable);
  owner_->Finish(pending, std::move(result));
}

// The timer keeps running between calls. It is rescheduled only when it fires
// or when a call has an earlier deadline.
void HttpConnection::ArmTimer() {
  if (timer_armed_ && timer_.expiry() <= pending_->deadline) {
    return;
  }
  timer_armed_ = true;
  timer_.expires_at(pending_->deadline);
  timer_.async_wait([self = shared_from_this()](error_code error) {
    if (!error) {
      self->OnTimer();
    }
  });
}

void HttpConnection::OnTimer() {
  timer_armed_ = false;
  if (!pending_ || closed_) {
    return;
  }
  if (SteadyClock::now() < pending_->deadline) {
    return ArmTimer();
  }
  timed_out_ = true;
  CloseSocket();
}

// Pending operations complete with an error.
void HttpConnection::CloseSocket() {
  closed_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

}  // namespace chivedale
