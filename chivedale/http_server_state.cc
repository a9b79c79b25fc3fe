// The mutex guards only the set of sessions. It is never held while a session
// or the callback of Drain runs.
#include "chivedale/http_session.h"

namespace chivedale {

HttpServerState::HttpServerState(const HttpServer::Options& options,
                                 HttpHandler handler)
    : options(options), handler(std::move(handler)) {}

bool HttpServerState::Add(const std::shared_ptr<HttpSession>& session) {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (aborted_ || sessions_.size() >= options.max_connections) {
    return false;
  }
  sessions_.emplace(session.get(), session);
  return true;
}

void HttpServerState::Remove(HttpSession* session) {
  std::function<void()> on_idle;
  std::shared_ptr<HttpSession> removed;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = sessions_.find(session);
    if (it != sessions_.end()) {
      removed = std::move(it->second);
      sessions_.erase(it);
    }
    if (sessions_.empty()) {
      on_idle.swap(on_idle_);
    }
  }
  if (on_idle) {
    on_idle();
  }
}

std::vector<std::shared_ptr<HttpSession>> HttpServerState::Sessions() const {
  std::vector<std::shared_ptr<HttpSession>> sessions;
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const auto& [key, session] : sessions_) {
    sessions.push_back(session);
  }
  return sessions;
}

void HttpServerState::Drain(std::function<void()> on_idle) {
  draining_ = true;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    on_idle_ = std::move(on_idle);
  }
  for (const auto& session : Sessions()) {
    session->Drain();
  }
  Remove(nullptr);
}

void HttpServerState::Abort() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    aborted_ = true;
  }
  for (const auto& session : Sessions()) {
    session->Abort();
  }
}

void HttpServerState::Release() {
  std::unordered_map<HttpSession*, std::shared_ptr<HttpSession>> sessions;
  std::function<void()> on_idle;  // refers to the owner of this state
  const std::lock_guard<std::mutex> lock(mutex_);
  sessions.swap(sessions_);
  on_idle.swap(on_idle_);
}

bool HttpServerState::Reserve(size_t bytes) {
  const size_t before = receiving_bytes_.fetch_add(bytes);
  if (bytes > 0 && before + bytes > options.max_receiving_bytes) {
    receiving_bytes_ -= bytes;
    return false;
  }
  return true;
}

void HttpServerState::Unreserve(size_t bytes) {
  receiving_bytes_ -= bytes;
}

HttpServer::Counts HttpServerState::ReadCounts() const {
  HttpServer::Counts counts;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    counts.connections = static_cast<int64_t>(sessions_.size());
  }
  counts.accepted = accepted;
  counts.rejected = rejected;
  counts.requests = requests;
  counts.responses = responses;
  counts.cut_off = cut_off;
  counts.refused = refused;
  counts.timeouts = timeouts;
  return counts;
}

}  // namespace chivedale
