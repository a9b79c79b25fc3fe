// Every answer that violates the protocol is treated as "unavailable": the
// caller then reads the value back, which is correct whether or not a write
// took effect.
#include "chivedale/store_client.h"

#include <map>
#include <mutex>
#include <utility>

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"
#include "util/read_limit.h"

namespace chivedale {
namespace {

// Bounds the memory for failed reads that are not repeated.
constexpr size_t kMaxFailedReads = 1'024;

std::string KeyTarget(const std::string& key) {
  return std::string(protocol::kKeysPath) + "/" + PercentEncode(key);
}

std::string Query(const char* name, const std::string& value) {
  return std::string(name) + "=" + PercentEncode(value);
}

StoreResult ParseRead(const HttpResult& http) {
  if (http.http_status == 404) {
    return {StoreStatus::kNotFound, {}, 0};
  }
  if (http.http_status != 200) {
    return {};
  }
  StoreEntry entry = protocol::DecodeEntry(*http.body);
  const uint64_t revision = entry.revision;
  return {StoreStatus::kOk, {std::move(entry)}, revision};
}

StoreResult ParseWrite(const HttpResult& http) {
  if (http.http_status == 404) {
    return {StoreStatus::kNotFound, {}, 0};
  }
  if (http.http_status != 200 && http.http_status != 409) {
    return {};
  }
  return {http.http_status == 200 ? StoreStatus::kOk : StoreStatus::kConflict,
          {},
          protocol::DecodeRevision(*http.body)};
}

StoreResult ParseEntries(const HttpResult& http) {
  if (http.http_status != 200) {
    return {};
  }
  return protocol::DecodeEntries(*http.body);
}

}  // namespace

// Limits of the reads that failed last, by what is read. Thread-safe.
class StoreClient::ReadLimits {
 public:
  Millis Of(const std::string& read, Millis first) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = limits_.find(read);
    return found == limits_.end() ? first : found->second.Of(first);
  }
  void OnRead(const std::string& read, bool succeeded) {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (succeeded) {
      limits_.erase(read);
      return;
    }
    // Reads that are not repeated stay here; those that are come back.
    if (limits_.size() >= kMaxFailedReads) {
      limits_.clear();
    }
    limits_[read].OnRead(false);
  }

 private:
  std::mutex mutex_;
  std::map<std::string, util::ReadLimit> limits_;
};

StoreClient::StoreClient(HttpClient& http, Options options, PostFunction post)
    : http_(http),
      options_(std::move(options)),
      post_(std::move(post)),
      limits_(std::make_shared<ReadLimits>()) {}

void StoreClient::Call(HttpCall call,
                       std::function<StoreResult(const HttpResult&)> parse,
                       Done done) {
  call.address = options_.address;
  if (!call.body_prefix.empty()) {
    call.headers.push_back({"Content-Type", protocol::kJsonType});
  }
  http_.Call(std::move(call),
             DeliverOn<StoreResult>(post_, std::move(parse), StoreResult(),
                                    std::move(done)));
}

void StoreClient::Read(HttpCall call,
                       const std::string& read,
                       Millis wait,
                       Millis limit,
                       std::function<StoreResult(const HttpResult&)> parse,
                       Done done) {
  const Millis allowed = limits_->Of(read, limit);
  call.timeout = wait + allowed;
  call.stall_timeout = allowed / 2;
  Call(std::move(call), std::move(parse),
       [limits = limits_, read, done = std::move(done)](StoreResult result) {
         limits->OnRead(read, result.status != StoreStatus::kUnavailable);
         done(std::move(result));
       });
}

void StoreClient::Get(const std::string& key, Done done) {
  HttpCall call;
  call.method = "GET";
  call.target = KeyTarget(key);
  const std::string read = call.target;
  Read(std::move(call), read, Millis(0), options_.timeout, ParseRead,
       std::move(done));
}

void StoreClient::Put(const std::string& key,
                      const std::string& value,
                      uint64_t expected,
                      Done done) {
  HttpCall call;
  call.method = "PUT";
  call.target = KeyTarget(key);
  try {
    call.body_prefix = protocol::EncodePut({value, expected, ""});
  } catch (const std::exception&) {
    return post_([done = std::move(done)] { done(StoreResult()); });
  }
  call.timeout = options_.timeout;
  Call(std::move(call), ParseWrite, std::move(done));
}

void StoreClient::Delete(const std::string& key, uint64_t expected, Done done) {
  HttpCall call;
  call.method = "DELETE";
  call.target = KeyTarget(key) + "?" +
                Query(protocol::kExpected, std::to_string(expected));
  call.timeout = options_.timeout;
  Call(std::move(call), ParseWrite, std::move(done));
}

void StoreClient::List(const std::string& prefix, Done done) {
  HttpCall call;
  call.method = "GET";
  call.target =
      std::string(protocol::kKeysPath) + "?" + Query(protocol::kPrefix, prefix);
  const std::string read = call.target;
  Read(std::move(call), read, Millis(0), options_.timeout, ParseEntries,
       std::move(done));
}

void StoreClient::Watch(const std::string& prefix,
                        uint64_t after,
                        Millis wait,
                        Done done) {
  HttpCall call;
  call.method = "GET";
  const std::string read = std::string(protocol::kWatchPath) + "?" +
                           Query(protocol::kPrefix, prefix);
  call.target = read + "&" + Query(protocol::kAfter, std::to_string(after)) +
                "&" + Query(protocol::kWaitMs, std::to_string(wait.count()));
  Read(std::move(call), read, wait, options_.watch_margin, ParseEntries,
       std::move(done));
}

}  // namespace chivedale
