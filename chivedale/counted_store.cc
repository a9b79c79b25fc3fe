// The platform bills each call, and a waiting watch as one call. The calls of
// all modules pass through this class, so they are counted here.
#include "chivedale/counted_store.h"

#include <utility>

namespace chivedale {

CountedStore::CountedStore(StorePort& store, Metrics& metrics, EventLog& log)
    : store_(store), metrics_(metrics), log_(log) {}

StorePort::Done CountedStore::RecordOutcome(Done done) {
  return [this, done = std::move(done)](StoreResult result) {
    const bool up = result.status != StoreStatus::kUnavailable;
    if (!up) {
      metrics_.Count(Counter::kStoreFailures);
    }
    if (up != up_) {
      up_ = up;
      log_.Write(up ? Event::kStoreUp : Event::kStoreDown, {});
    }
    done(std::move(result));
  };
}

void CountedStore::Get(const std::string& key, Done done) {
  metrics_.Count(Counter::kStoreReads);
  store_.Get(key, RecordOutcome(std::move(done)));
}

void CountedStore::Put(const std::string& key,
                       const std::string& value,
                       uint64_t expected,
                       Done done) {
  metrics_.Count(Counter::kStoreWrites);
  store_.Put(key, value, expected, RecordOutcome(std::move(done)));
}

void CountedStore::Delete(const std::string& key,
                          uint64_t expected,
                          Done done) {
  metrics_.Count(Counter::kStoreWrites);
  store_.Delete(key, expected, RecordOutcome(std::move(done)));
}

void CountedStore::List(const std::string& prefix, Done done) {
  metrics_.Count(Counter::kStoreReads);
  store_.List(prefix, RecordOutcome(std::move(done)));
}

void CountedStore::Watch(const std::string& prefix,
                         uint64_t after,
                         Millis wait,
                         Done done) {
  metrics_.Count(Counter::kStoreReads);
  store_.Watch(prefix, after, wait, RecordOutcome(std::move(done)));
}

}  // namespace chivedale
