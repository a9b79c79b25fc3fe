// Internal to http_client.cc: a keep-alive connection that makes one call at a
// time.
#ifndef CHIVEDALE_HTTP_CONNECTION_H_
#define CHIVEDALE_HTTP_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "chivedale/http_client.h"

namespace chivedale {

struct PendingCall {
  HttpCall call;
  HttpClient::Done done;
  std::chrono::steady_clock::time_point deadline;
};

HttpResult FailedCall(CallStatus status, std::string reason);

class HttpConnection;

class HttpConnectionOwner {
 public:
  virtual ~HttpConnectionOwner() = default;
  // Called when the connection has finished its call. `failed`: the call ended
  // kUnreachable.
  virtual void Release(const std::shared_ptr<HttpConnection>& connection,
                       bool reusable,
                       bool failed) = 0;
  // Called if the connection is found stale before `pending` is sent. The owner
  // sends it on another connection.
  virtual void Replace(const std::shared_ptr<HttpConnection>& stale,
                       PendingCall pending) = 0;
  virtual void Finish(const PendingCall& pending, HttpResult result) = 0;
};

class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  HttpConnection(boost::asio::io_context& io,
                 std::shared_ptr<HttpConnectionOwner> owner,
                 const HttpClient::Options& options,
                 std::string key,
                 HttpAddress address);

  // Connects first if necessary. Thread-safe.
  void Run(PendingCall pending);
  void Close();

  // Address of the calls, the key of the owner's connection pool.
  const std::string& key() const { return key_; }
  // Guarded by the owner's mutex.
  std::chrono::steady_clock::time_point idle_since() const {
    return idle_since_;
  }
  void set_idle_since(std::chrono::steady_clock::time_point at) {
    idle_since_ = at;
  }

 private:
  void Begin(PendingCall pending);
  bool IsStale();
  void OnConnect(boost::system::error_code error);
  void Send();
  void OnSent(boost::system::error_code error, size_t bytes);
  void OnHeader(boost::system::error_code error, bool write_failed);
  void ReceivePart(bool write_failed);
  // Moves the deadline of a call with a stall_timeout after data has arrived.
  void ExtendDeadline();
  void OnReceived(boost::system::error_code error, bool write_failed);
  void FinishCall(HttpResult result, bool reusable);
  void ArmTimer();
  void OnTimer();
  void CloseSocket();

  const std::shared_ptr<HttpConnectionOwner> owner_;
  const HttpClient::Options options_;
  const std::string key_;
  const HttpAddress address_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser_;
  std::optional<PendingCall> pending_;
  std::string header_;
  std::chrono::steady_clock::time_point receive_limit_;
  size_t received_bytes_ = 0;  // of the current call's response body
  std::chrono::steady_clock::time_point idle_since_;
  bool connected_ = false;
  bool timer_armed_ = false;
  bool timed_out_ = false;
  bool closed_ = false;
};

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_CONNECTION_H_
