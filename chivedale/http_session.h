// Internal to http_server.cc: serving one accepted connection, and what the
// connections of one server share. Not for other files.
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

// What the set of sessions needs of each.
class HttpSession {
 public:
  virtual ~HttpSession() = default;
  // Closes when no request has begun after a while.
  virtual void Drain() = 0;
  virtual void Abort() = 0;
};

class HttpServerState {
 public:
  HttpServerState(const HttpServer::Options& options, HttpHandler handler);

  // Commands.
  // False when the server has all the connections it may have.
  bool Add(const std::shared_ptr<HttpSession>& session);
  void Remove(HttpSession* session);
  // `idle` runs once when no connection is left, at once when there is none.
  void Drain(std::function<void()> idle);
  void Abort();
  // Lets go of the sessions without closing them, when no thread runs them.
  void Forget();
  // False when too many bytes of bodies are being received.
  bool Reserve(size_t bytes);
  void Unreserve(size_t bytes);

  // Queries.
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
  // A session stays until its connection is closed.
  std::unordered_map<HttpSession*, std::shared_ptr<HttpSession>> sessions_;
  std::function<void()> idle_;
  bool aborted_ = false;
  std::atomic<bool> draining_{false};
  std::atomic<size_t> receiving_bytes_{0};
};

void ServeHttpConnection(const std::shared_ptr<HttpServerState>& state,
                         boost::asio::ip::tcp::socket socket);

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_SESSION_H_
