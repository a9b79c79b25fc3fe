// HTTP/1.1 server with keep-alive. Requests of one connection are handled one
// at a time and in order, also if they are pipelined.
//
//   const auto handler = [](HttpRequest request, HttpResponder respond) {
//     respond(HttpResponse::Json(200, "{}"));  // now or later, on any thread
//   };
//   HttpServer server(io, options, handler);
//   ... server.Close([] { /* the last connection is closed */ });
//
// The handler runs on the threads of `io`. Destroy an HttpServer only after
// `io` has stopped or the callback of Close has run.
#ifndef CHIVEDALE_HTTP_SERVER_H_
#define CHIVEDALE_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "chivedale/http_types.h"

namespace chivedale {

// The connection of a request, valid until the response is sent.
class HttpRequestContext {
 public:
  virtual ~HttpRequestContext() = default;
  // True if the connection was closed, or if the peer has closed its side and
  // possibly no longer expects the response.
  virtual bool closed() const = 0;
  // Runs `run` when the peer closes its side, or at once if it already has.
  // Runs on a thread of `io`. Discarded when the response is sent.
  virtual void OnClosed(std::function<void()> run) = 0;
  // Closes the connection without a response.
  virtual void Abort() = 0;
};

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  Body body;           // never null
  std::string remote;  // IP:port
  std::shared_ptr<HttpRequestContext> caller;
};

struct HttpResponse {
  int status = 200;
  std::string content_type;
  HttpHeaders headers;
  Body body;

  static HttpResponse Json(int status, std::string text);
  // An application/problem+json body with the status and retry flag of `kind`.
  static HttpResponse Problem(ErrorKind kind, const std::string& detail);
};

// Only the first call has an effect. If all copies are destroyed without a
// call, the response is the error `internal` with `ran` unknown.
using HttpResponder = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpResponder)>;

class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    uint16_t port = 0;  // 0: any free port
    size_t max_connections = 10'000;
    uint32_t max_header_bytes = 16'384;
    size_t max_body_bytes = size_t{8} << 20;
    // Total size of request bodies being received; requests beyond it are
    // refused.
    size_t max_receiving_bytes = size_t{256} << 20;
    // Limit of the time between requests.
    Millis idle_timeout{60'000};
    // From a request's first byte to its last.
    Millis receive_timeout{30'000};
    // From a response's first byte to its last.
    Millis send_timeout{30'000};
    // After Close, idle connections stay open for this long, to receive
    // requests that the peer has already sent.
    Millis close_linger{200};
  };
  struct Counts {
    int64_t connections = 0;  // open now
    int64_t accepted = 0;
    int64_t rejected = 0;  // above max_connections
    int64_t requests = 0;
    int64_t responses = 0;
    int64_t cut_off = 0;  // connections that ended within a request
    // Requests refused before the handler: malformed, too large, or above
    // max_receiving_bytes.
    int64_t refused = 0;
    int64_t timeouts = 0;  // receive and send timeouts
  };

  // Listens at once. Throws std::runtime_error if it cannot, for example
  // because the address is in use.
  HttpServer(boost::asio::io_context& io,
             const Options& options,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Stops listening after it has accepted the connections in the backlog.
  // Completes requests in progress with "Connection: close", and runs `on_idle`
  // on a thread of `io` after the last connection is closed.
  void Close(std::function<void()> on_idle);
  // Closes all connections at once.
  void Abort();

  uint16_t port() const;
  Counts counts() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_SERVER_H_
