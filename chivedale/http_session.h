// Internal to http_server.cc: serves one accepted connection, and holds the
// state that the connections of a server share.
#ifndef CHIVEDALE_HTTP_SESSION_H_
#define CHIVEDALE_HTTP_SESSION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>

#include "chivedale/http_server.h"

namespace chivedale {

// A session as seen by HttpServerState.
class HttpSession {
 public:
  virtual ~HttpSession() = default;
  // Closes the connection if no request begins within `close_linger`.
  virtual void Drain() = 0;
  virtual void Abort() = 0;
};

class HttpServerState {
 public:
  HttpServerState(const HttpServer::Options& options, HttpHandler handler);

  // Returns false if max_connections is reached.
  bool Add(const std::shared_ptr<HttpSession>& session);
  void Remove(HttpSession* session);
  // Runs `on_idle` once, as soon as no connection is left.
  void Drain(std::function<void()> on_idle);
  void Abort();
  // Releases the sessions without closing them, and the callback of Drain
  // without running it; for use after `io` has stopped.
  void Release();
  // Returns false if max_receiving_bytes would be exceeded.
  bool Reserve(size_t bytes);
  void Unreserve(size_t bytes);

  bool draining() const { return draining_; }
  HttpServer::Counts ReadCounts() const;

  const HttpServer::Options options;
  const HttpHandler handler;
  std::atomic<int64_t> accepted{0};
  std::atomic<int64_t> rejected{0};
  std::atomic<int64_t> requests{0};
  std::atomic<int64_t> responses{0};
  std::atomic<int64_t> cut_off{0};
  std::atomic<int64_t> refused{0};
  std::atomic<int64_t> timeouts{0};

 private:
  std::vector<std::shared_ptr<HttpSession>> Sessions() const;

  mutable std::mutex mutex_;
  // Holds each session until its connection is closed.
  std::unordered_map<HttpSession*, std::shared_ptr<HttpSession>> sessions_;
  std::function<void()> on_idle_;
  bool aborted_ = false;
  std::atomic<bool> draining_{false};
  std::atomic<size_t> receiving_bytes_{0};
};

void ServeHttpConnection(const std::shared_ptr<HttpServerState>& state,
                         boost::asio::ip::tcp::socket socket);

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_SESSION_H_
