// HTTP/1.1 client with a bounded pool of keep-alive connections per address.
// Requests are never retried; the user of the class decides about retries.
//
//   HttpClient client(io, {});
//   client.Call({"10.0.0.7:8080/w/12", "POST", "/v1/tasks", {}, body_prefix,
//                payload, Millis(500)},
//               [](HttpResult result) { ... });  // on a thread of `io`
#ifndef CHIVEDALE_HTTP_CLIENT_H_
#define CHIVEDALE_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>

#include "chivedale/http_types.h"

namespace chivedale {

struct HttpCall {
  std::string address;  // IP:PORT or IP:PORT/prefix
  std::string method;
  std::string target;  // appended to the prefix of the address
  HttpHeaders headers;
  // The request body is `body_prefix` followed by `body`; neither is copied.
  std::string body_prefix;
  Body body;
  // From Call to the last byte of the response, including the wait for a
  // connection.
  Millis timeout{1'000};
  // If not zero, a response that has begun may exceed `timeout` while data
  // arrives: the call ends once none has arrived for this long, or at
  // Options::max_receive_time.
  Millis stall_timeout{0};
};

enum class CallStatus {
  kAnswered,
  kNotSent,      // no byte of the request was written
  kUnreachable,  // partly or fully written, no valid response
};

struct HttpResult {
  CallStatus status = CallStatus::kUnreachable;
  int http_status = 0;
  HttpHeaders headers;
  Body body;          // never null with kAnswered
  std::string error;  // reason if there is no response
  // Bytes of the response body, also if it is incomplete.
  size_t received_bytes = 0;
};

class HttpClient {
 public:
  struct Options {
    size_t max_connections_per_address = 64;
    // Limit of calls that wait for a connection; calls beyond it end kNotSent.
    size_t max_waiting_per_address = 1'024;
    size_t max_header_bytes = 16'384;
    size_t max_body_bytes = size_t{64} << 20;
    // From the first byte of a response to the last one, for calls with a
    // stall_timeout.
    Millis max_receive_time{60'000};
    // If false, HttpResult::headers is empty.
    bool keep_response_headers = true;
    // Shorter than the idle timeout of servers, so that the client closes
    // first.
    Millis idle_timeout{30'000};
  };
  struct Counts {
    int64_t connections = 0;  // open now
    int64_t opened = 0;
    int64_t calls = 0;
    int64_t answered = 0;
    int64_t not_sent = 0;
    int64_t unreachable = 0;
  };
  using Done = std::function<void(HttpResult)>;

  HttpClient(boost::asio::io_context& io, Options options);
  // Aborts all calls. Their callbacks still run if `io` does.
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // `done` runs exactly once, on a thread of `io`. Thread-safe.
  void Call(HttpCall call, Done done);
  // Aborts all calls. Later calls end kNotSent.
  void Close();

  Counts counts() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_CLIENT_H_
