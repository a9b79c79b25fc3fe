#include "chivedale/testing/store_standin.h"

#include <list>
#include <nlohmann/json.hpp>
#include <set>

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"
#include "chivedale/testing/standin_host.h"
#include "chivedale/testing/store_model.h"
#include "util/clock.h"

namespace chivedale::testing {
namespace {

// The largest value that the platform's store accepts, and the largest request
// body, in which a byte of the value may be escaped as six.
constexpr size_t kMaxValue = size_t{1} << 20;
constexpr size_t kMaxBody = size_t{6} << 20;

// Counts calls of one kind in the current second.
struct RateWindow {
  util::TimePoint start{};
  int64_t calls = 0;

  bool Take(util::TimePoint now, int64_t limit) {
    if (now - start >= std::chrono::seconds(1)) {
      start = now;
      calls = 0;
    }
    return limit == 0 || ++calls <= limit;
  }
};

HttpResponse Answer(const StoreResult& result, const std::string& found) {
  switch (result.status) {
    case StoreStatus::kOk:
      return HttpResponse::Json(200, found);
    case StoreStatus::kConflict:
      return HttpResponse::Json(409, protocol::EncodeRevision(result.revision));
    default:
      return HttpResponse::Json(404, "{}");
  }
}

}  // namespace

struct StoreStandin::Impl {
  struct Watcher {
    std::string prefix;
    uint64_t after = 0;
    HttpResponder respond;
  };
  struct KeyLease {
    util::TimePoint end;
    Millis ttl{0};
    std::set<std::string> keys;
  };
  using WatcherList = std::list<std::shared_ptr<Watcher>>;

  void Handle(HttpRequest request, const HttpResponder& respond);
  void Apply(const HttpRequest& request, const HttpResponder& respond);
  void ApplyKey(const HttpRequest& request,
                const HttpTarget& target,
                const HttpResponder& respond);
  void ApplyLease(const HttpRequest& request, const HttpResponder& respond);
  StoreResult Write(const HttpRequest& request,
                    const HttpTarget& target,
                    const std::string& key);
  void Watch(const HttpTarget& target, const HttpResponder& respond);
  void NotifyWatchers();
  void ExpireLease(const std::string& id);

  std::string ip;
  uint16_t port = 0;
  util::SteadyClock clock;
  StoreModel model;
  Faults faults;
  Counts counts;
  RateWindow reads;
  RateWindow writes;
  WatcherList watchers;
  std::map<std::string, KeyLease> leases;
  uint64_t last_lease = 0;
  // Declared last, so that its thread ends before the other members are
  // destroyed.
  StandinHost host;
};

void StoreStandin::Impl::Handle(HttpRequest request,
                                const HttpResponder& respond) {
  if (faults.down) {
    return request.caller->Abort();
  }
  const bool write = request.method != "GET";
  const bool taken = write ? writes.Take(clock.Now(), faults.max_writes_per_s)
                           : reads.Take(clock.Now(), faults.max_reads_per_s);
  if (!taken) {
    ++counts.refused;
    return respond(HttpResponse::Json(429, "{}"));
  }
  if (write) {
    ++counts.writes;
  } else if (request.target.rfind(protocol::kWatchPath, 0) == 0) {
    ++counts.watches;
  } else {
    ++counts.reads;
  }
  if (faults.slow > Millis(0)) {
    auto shared = std::make_shared<HttpRequest>(std::move(request));
    host.RunAfter(faults.slow, [this, shared, respond] {
      // The server handles exceptions only during its own call of the handler.
      try {
        Apply(*shared, respond);
      } catch (const std::exception& error) {
        respond(HttpResponse::Problem(ErrorKind::kBadRequest, error.what()));
      }
    });
    return;
  }
  try {
    Apply(request, respond);
  } catch (const std::exception& error) {
    respond(HttpResponse::Problem(ErrorKind::kBadRequest, error.what()));
  }
}

void StoreStandin::Impl::Apply(const HttpRequest& request,
                               const HttpResponder& respond) {
  const HttpTarget target = ParseHttpTarget(request.target);
  const std::string kind = target.path.size() < 2 ? "" : target.path[1];
  if (kind == "watch") {
    return Watch(target, respond);
  }
  if (kind == "leases") {
    return ApplyLease(request, respond);
  }
  if (kind != "kv") {
    return respond(HttpResponse::Problem(ErrorKind::kNotFound, "no such path"));
  }
  if (target.path.size() == 2) {
    return respond(HttpResponse::Json(
        200,
        protocol::EncodeEntries(model.List(target.Query(protocol::kPrefix)))));
  }
  ApplyKey(request, target, respond);
}

void StoreStandin::Impl::ApplyKey(const HttpRequest& request,
                                  const HttpTarget& target,
                                  const HttpResponder& respond) {
  std::string key = target.path[2];
  for (size_t i = 3; i < target.path.size(); ++i) {
    key += "/" + target.path[i];
  }
  if (request.method == "GET") {
    const StoreResult result = model.Get(key);
    return respond(
        Answer(result, result.entries.empty()
                           ? ""
                           : protocol::EncodeEntry(result.entries[0])));
  }
  const StoreResult result = Write(request, target, key);
  if (result.status == StoreStatus::kOk) {
    NotifyWatchers();
  }
  if (faults.lose_writes > 0) {
    --faults.lose_writes;
    return request.caller->Abort();
  }
  respond(Answer(result, protocol::EncodeRevision(result.revision)));
}

StoreResult StoreStandin::Impl::Write(const HttpRequest& request,
                                      const HttpTarget& target,
                                      const std::string& key) {
  if (request.method == "DELETE") {
    return model.Delete(key, target.QueryNumber(protocol::kExpected, 0));
  }
  if (request.method != "PUT") {
    throw std::invalid_argument("no such method");
  }
  const protocol::PutCall call = protocol::DecodePut(*request.body);
  if (call.value.size() > kMaxValue) {
    throw std::invalid_argument("value above 1 MB");
  }
  const auto lease = leases.find(call.lease);
  if (!call.lease.empty() && lease == leases.end()) {
    return {StoreStatus::kNotFound, {}, 0};
  }
  StoreResult result = model.Put(key, call.value, call.expected);
  if (result.status == StoreStatus::kOk && lease != leases.end()) {
    lease->second.keys.insert(key);
  }
  return result;
}

void StoreStandin::Impl::Watch(const HttpTarget& target,
                               const HttpResponder& respond) {
  const std::string prefix = target.Query(protocol::kPrefix);
  const uint64_t after = target.QueryNumber(protocol::kAfter, 0);
  if (model.ChangedSince(prefix, after)) {
    return respond(
        HttpResponse::Json(200, protocol::EncodeEntries(model.List(prefix))));
  }
  auto watcher = std::make_shared<Watcher>(Watcher{prefix, after, respond});
  watchers.push_back(watcher);
  const Millis wait(target.QueryNumber(protocol::kWaitMs, 0));
  host.RunAfter(wait, [this, watcher] {
    watchers.remove(watcher);
    // Only the first response is sent, so this has no effect if the watcher was
    // already notified.
    watcher->respond(HttpResponse::Json(
        200,
        protocol::EncodeEntries({StoreStatus::kOk, {}, model.revision()})));
  });
}

void StoreStandin::Impl::NotifyWatchers() {
  for (auto it = watchers.begin(); it != watchers.end();) {
    Watcher& watcher = **it;
    if (!model.ChangedSince(watcher.prefix, watcher.after)) {
      ++it;
      continue;
    }
    watcher.respond(HttpResponse::Json(
        200, protocol::EncodeEntries(model.List(watcher.prefix))));
    it = watchers.erase(it);
  }
}

void StoreStandin::Impl::ApplyLease(const HttpRequest& request,
                                    const HttpResponder& respond) {
  const auto body = nlohmann::json::parse(*request.body);
  std::string id;
  if (request.method == "POST") {
    id = std::to_string(++last_lease);
    leases[id].ttl = Millis(body.at(protocol::kTtlMs).get<int64_t>());
  } else {
    id = body.at(protocol::kLease).get<std::string>();
    if (leases.count(id) == 0) {
      return respond(HttpResponse::Json(404, "{}"));
    }
  }
  KeyLease& lease = leases[id];
  lease.end = clock.Now() + lease.ttl;
  host.RunAfter(lease.ttl + Millis(1), [this, id] { ExpireLease(id); });
  const nlohmann::json answer = {{protocol::kLease, id},
                                 {protocol::kTtlMs, lease.ttl.count()}};
  respond(HttpResponse::Json(200, answer.dump()));
}

void StoreStandin::Impl::ExpireLease(const std::string& id) {
  const auto it = leases.find(id);
  if (it == leases.end() || clock.Now() < it->second.end) {
    return;
  }
  for (const std::string& key : it->second.keys) {
    const StoreResult current = model.Get(key);
    if (current.status == StoreStatus::kOk) {
      model.Delete(key, current.revision);
    }
  }
  leases.erase(it);
  NotifyWatchers();
}

StoreStandin::StoreStandin(const Options& options)
    : impl_(std::make_unique<Impl>()) {
  HttpServer::Options http;
  http.address = options.ip;
  http.port = options.port;
  http.max_body_bytes = kMaxBody;
  impl_->ip = options.ip;
  Impl* impl = impl_.get();
  impl_->port = impl_->host.Listen(
      http, [impl](HttpRequest request, const HttpResponder& respond) {
        impl->Handle(std::move(request), respond);
      });
}

StoreStandin::~StoreStandin() = default;

void StoreStandin::SetFaults(const Faults& faults) {
  impl_->host.Run([&] { impl_->faults = faults; });
}

StoreStandin::Faults StoreStandin::faults() const {
  Faults faults;
  impl_->host.Run([&] { faults = impl_->faults; });
  return faults;
}

StoreStandin::Counts StoreStandin::counts() const {
  Counts counts;
  impl_->host.Run([&] {
    counts = impl_->counts;
    counts.entries = static_cast<int64_t>(impl_->model.entries().size());
    counts.revision = impl_->model.revision();
  });
  return counts;
}

std::string StoreStandin::address() const {
  return impl_->ip + ":" + std::to_string(impl_->port);
}

}  // namespace chivedale::testing
