// Connection pools, one per address. http_connection.cc makes a single call.
//
// The mutex is held while a connection is chosen, never while a callback runs.
#include "chivedale/http_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <mutex>
#include <unordered_map>
#include <unordered_set>

#include "chivedale/http_connection.h"

namespace chivedale {

namespace asio = boost::asio;
using boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

namespace {

// Interval of the timeout check of waiting calls.
constexpr Millis kWaitingSweepInterval{20};
// Interval of the timeout check of idle connections.
constexpr Millis kIdleSweepInterval{1'000};

struct Pool {
  HttpAddress address;
  std::deque<PendingCall> waiting;
  // Ordered by last use; the most recently used connection is reused first.
  std::vector<std::shared_ptr<HttpConnection>> idle;
  std::unordered_set<std::shared_ptr<HttpConnection>> open;
};

}  // namespace

struct HttpClient::Impl final : HttpConnectionOwner,
                                std::enable_shared_from_this<HttpClient::Impl> {
  Impl(asio::io_context& io, const Options& options)
      : io_(io), options_(options), sweep_(io) {}

  void Start(PendingCall pending);
  void Close();
  void Release(const std::shared_ptr<HttpConnection>& connection,
               bool reusable,
               bool failed) override;
  void Replace(const std::shared_ptr<HttpConnection>& stale,
               PendingCall pending) override;
  void Finish(const PendingCall& pending, HttpResult result) override;
  void Fail(PendingCall pending, CallStatus status, const char* reason);
  void ScheduleSweep(Millis after);
  void Sweep();

  asio::io_context& io_;
  const Options options_;
  std::mutex mutex_;
  asio::steady_timer sweep_;
  bool sweep_armed_ = false;
  bool closed_ = false;
  size_t waiting_ = 0;
  std::unordered_map<std::string, Pool> pools_;
  Counts counts_;

 private:
  // Runs the call on a connection or queues it. Returns false if the queue is
  // full. Requires mutex_.
  bool RunOrQueue(Pool& pool, PendingCall& pending);
  void Open(Pool& pool, PendingCall pending);
  void EraseIfUnused(const std::string& key);
};

void HttpClient::Impl::Finish(const PendingCall& pending, HttpResult result) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    counts_.answered += result.status == CallStatus::kAnswered;
    counts_.not_sent += result.status == CallStatus::kNotSent;
    counts_.unreachable += result.status == CallStatus::kUnreachable;
  }
  pending.done(std::move(result));
}

void HttpClient::Impl::Fail(PendingCall pending,
                            CallStatus status,
                            const char* reason) {
  asio::post(io_,
             [self = shared_from_this(), pending = std::move(pending), status,
              reason] { self->Finish(pending, FailedCall(status, reason)); });
}

void HttpClient::Impl::Open(Pool& pool, PendingCall pending) {
  auto connection = std::make_shared<HttpConnection>(
      io_, shared_from_this(), options_, pending.call.address, pool.address);
  pool.open.insert(connection);
  ++counts_.opened;
  ++counts_.connections;
  connection->Run(std::move(pending));
}

bool HttpClient::Impl::RunOrQueue(Pool& pool, PendingCall& pending) {
  if (!pool.idle.empty()) {
    const std::shared_ptr<HttpConnection> connection = pool.idle.back();
    pool.idle.pop_back();
    connection->Run(std::move(pending));
    return true;
  }
  if (pool.open.size() < options_.max_connections_per_address) {
    Open(pool, std::move(pending));
    return true;
  }
  if (pool.waiting.size() < options_.max_waiting_per_address) {
    pool.waiting.push_back(std::move(pending));
    ++waiting_;
    ScheduleSweep(kWaitingSweepInterval);
    return true;
  }
  return false;
}

void HttpClient::Impl::Start(PendingCall pending) {
  const char* reason = "too many calls are waiting for a connection";
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    ++counts_.calls;
    const std::string& key = pending.call.address;
    auto it = pools_.find(key);
    if (closed_) {
      reason = "closed";
    } else {
      try {
        if (it == pools_.end()) {
          Pool pool;
          pool.address = ParseHttpAddress(key);
          it = pools_.emplace(key, std::move(pool)).first;
        }
        if (RunOrQueue(it->second, pending)) {
          return;
        }
      } catch (const std::invalid_argument&) {
        reason = "invalid address";
      }
    }
  }
  Fail(std::move(pending), CallStatus::kNotSent, reason);
}

void HttpClient::Impl::EraseIfUnused(const std::string& key) {
  const auto it = pools_.find(key);
  if (it != pools_.end() && it->second.open.empty() &&
      it->second.waiting.empty()) {
    pools_.erase(it);
  }
}

void HttpClient::Impl::Release(
    const std::shared_ptr<HttpConnection>& connection,
    bool reusable,
    bool failed) {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto it = pools_.find(connection->key());
  if (it == pools_.end()) {
    return;
  }
  Pool& pool = it->second;
  if (closed_ || !reusable) {
    counts_.connections -= static_cast<int64_t>(pool.open.erase(connection));
    connection->Close();
  }
  if (!closed_ && failed) {
    // The cause of the failure may affect the other connections to the address.
    for (const auto& idle : pool.idle) {
      counts_.connections -= static_cast<int64_t>(pool.open.erase(idle));
      idle->Close();
    }
    pool.idle.clear();
  }
  if (!closed_ && !pool.waiting.empty()) {
    PendingCall next = std::move(pool.waiting.front());
    pool.waiting.pop_front();
    --waiting_;
    if (reusable) {
      connection->Run(std::move(next));
    } else {
      Open(pool, std::move(next));
    }
  } else if (!closed_ && reusable) {
    connection->set_idle_since(SteadyClock::now());
    pool.idle.push_back(connection);
    ScheduleSweep(kIdleSweepInterval);
  }
  EraseIfUnused(connection->key());
}

void HttpClient::Impl::Replace(const std::shared_ptr<HttpConnection>& stale,
                               PendingCall pending) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto it = pools_.find(stale->key());
    if (!closed_ && it != pools_.end()) {
      counts_.connections -= static_cast<int64_t>(it->second.open.erase(stale));
      // The stale connection no longer counts, so the limit cannot be reached.
      Open(it->second, std::move(pending));
      return;
    }
  }
  Fail(std::move(pending), CallStatus::kNotSent, "closed");
}

void HttpClient::Impl::ScheduleSweep(Millis after) {
  const auto at = SteadyClock::now() + after;
  if (sweep_armed_ && sweep_.expiry() <= at) {
    return;
  }
  sweep_armed_ = true;
  sweep_.expires_at(at);
  sweep_.async_wait([weak = weak_from_this()](error_code error) {
    const auto self = weak.lock();
    if (self && !error) {
      self->Sweep();
    }
  });
}

void HttpClient::Impl::Sweep() {
  const std::lock_guard<std::mutex> lock(mutex_);
  sweep_armed_ = false;
  const auto now = SteadyClock::now();
  bool idle = false;
  for (auto& [key, pool] : pools_) {
    for (size_t i = 0; i < pool.waiting.size();) {
      if (pool.waiting[i].deadline > now) {
        ++i;
        continue;
      }
      Fail(std::move(pool.waiting[i]), CallStatus::kNotSent, "timeout");
      pool.waiting.erase(pool.waiting.begin() + static_cast<long>(i));
      --waiting_;
    }
    const auto first_unexpired = std::find_if(
        pool.idle.begin(), pool.idle.end(), [&](const auto& connection) {
          return connection->idle_since() + options_.idle_timeout > now;
        });
    for (auto it = pool.idle.begin(); it != first_unexpired; ++it) {
      counts_.connections -= static_cast<int64_t>(pool.open.erase(*it));
      (*it)->Close();
    }
    pool.idle.erase(pool.idle.begin(), first_unexpired);
    idle = idle || !pool.idle.empty();
  }
  for (auto it = pools_.begin(); it != pools_.end();) {
    const bool unused = it->second.open.empty() && it->second.waiting.empty();
    it = unused ? pools_.erase(it) : std::next(it);
  }
  if (waiting_ > 0) {
    ScheduleSweep(kWaitingSweepInterval);
  } else if (idle) {
    ScheduleSweep(kIdleSweepInterval);
  }
}

void HttpClient::Impl::Close() {
  const std::lock_guard<std::mutex> lock(mutex_);
  if (closed_) {
    return;
  }
  closed_ = true;
  sweep_.cancel();
  for (auto& [key, pool] : pools_) {
    for (PendingCall& pending : pool.waiting) {
      Fail(std::move(pending), CallStatus::kNotSent, "closed");
    }
    for (const auto& connection : pool.open) {
      connection->Close();
    }
  }
  pools_.clear();
  waiting_ = 0;
  counts_.connections = 0;
}

HttpClient::HttpClient(asio::io_context& io, Options options)
    : impl_(std::make_shared<Impl>(io, options)) {}

HttpClient::~HttpClient() {
  Close();
}

void HttpClient::Call(HttpCall call, Done done) {
  const auto deadline = SteadyClock::now() + call.timeout;
  impl_->Start({std::move(call), std::move(done), deadline});
}

void HttpClient::Close() {
  impl_->Close();
}

HttpClient::Counts HttpClient::counts() const {
  const std::lock_guard<std::mutex> lock(impl_->mutex_);
  return impl_->counts_;
}

}  // namespace chivedale
