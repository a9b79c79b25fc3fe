// HTTP/1.1 server with keep-alive. Requests of one connection are handled one
// after the other, in order, also when the caller pipelines them.
//
//   HttpServer server(io, options, [](HttpRequest request, HttpRespond respond)
//   {
//     respond(HttpResponse::Json(200, "{}"));  // now or later, on any thread
//   });
//   ... server.Close([] { /* last connection is closed */ });
//
// The handler runs on the threads of `io`. Before an HttpServer is destroyed,
// either `io` has stopped or Close has reported.
#ifndef CHIVEDALE_HTTP_SERVER_H_
#define CHIVEDALE_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string>

#include "chivedale/http_types.h"

namespace chivedale {

// The connection of one request, until its response is sent.
class HttpCaller {
 public:
  virtual ~HttpCaller() = default;
  // The caller closed its side: nobody may be waiting for the response.
  virtual bool closed() const = 0;
  // Runs `run` on a traffic thread when the caller closes, at once when it
  // has. Dropped when the response is sent.
  virtual void OnClosed(std::function<void()> run) = 0;
  // Closes the connection without a response.
  virtual void Drop() = 0;
};

struct HttpRequest {
  std::string method;
  std::string target;
  HttpHeaders headers;
  Body body;           // never null
  std::string remote;  // IP:port
  std::shared_ptr<HttpCaller> caller;
};

struct HttpResponse {
  int status = 200;
  std::string content_type;
  HttpHeaders headers;
  Body body;

  static HttpResponse Json(int status, std::string text);
  // application/problem+json for `kind`, with its status and retry advice.
  static HttpResponse Problem(ErrorKind kind, const std::string& detail);
};

// The first call counts. When all copies are gone without a call, the caller
// gets `internal` with `ran` unknown.
using HttpRespond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

class HttpServer {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    uint16_t port = 0;  // 0: any free port
    size_t max_connections = 10'000;
    uint32_t max_header_bytes = 16'384;
    size_t max_body_bytes = size_t{8} << 20;
    // Of all request bodies being received; above it a request is refused.
    size_t max_receiving_bytes = size_t{256} << 20;
    // Without a request.
    Millis idle_timeout{60'000};
    // From a request's first byte to its last.
    Millis receive_timeout{30'000};
    // From a response's first byte to its last.
    Millis send_timeout{30'000};
    // After Close, idle connections stay open this long for requests that are
    // already on their way.
    Millis close_linger{200};
  };
  struct Counts {
    int64_t connections = 0;  // open now
    int64_t accepted = 0;
    int64_t rejected = 0;  // above max_connections
    int64_t requests = 0;
    int64_t responses = 0;
    int64_t cut_off = 0;   // ended within a request
    int64_t refused = 0;   // malformed or too large
    int64_t timeouts = 0;  // receive and send
  };

  // Listens at once; throws std::runtime_error when the address is taken.
  HttpServer(boost::asio::io_context& io,
             const Options& options,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Commands.
  // Stops accepting, answers what is in progress with "Connection: close", and
  // runs `idle` on a traffic thread when the last connection is closed.
  void Close(std::function<void()> idle);
  // Closes all connections at once.
  void Abort();

  // Queries.
  uint16_t port() const;
  Counts counts() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_SERVER_H_
