// A StorePort that counts calls and tracks whether the store is available.
#ifndef CHIVEDALE_COUNTED_STORE_H_
#define CHIVEDALE_COUNTED_STORE_H_

#include <string>

#include "chivedale/event_log.h"
#include "chivedale/metrics.h"
#include "chivedale/ports.h"

namespace chivedale {

class CountedStore final : public StorePort {
 public:
  CountedStore(StorePort& store, Metrics& metrics, EventLog& log);

  void Get(const std::string& key, Done done) override;
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override;
  void Delete(const std::string& key, uint64_t expected, Done done) override;
  void List(const std::string& prefix, Done done) override;
  void Watch(const std::string& prefix,
             uint64_t after,
             Millis wait,
             Done done) override;

  // Returns whether the last completed call was answered.
  bool up() const { return up_; }

 private:
  Done RecordOutcome(Done done);

  StorePort& store_;
  Metrics& metrics_;
  EventLog& log_;
  bool up_ = true;
};

}  // namespace chivedale

#endif  // CHIVEDALE_COUNTED_STORE_H_
