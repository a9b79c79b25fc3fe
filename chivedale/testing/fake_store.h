// In-memory StorePort. Each call consists of two events in the queue: first it
// takes effect, then its callback runs. With FakeCallbackQueue::set_reorder the
// events of several calls interleave.
//
//   FakeStore store(queue);
//   store.faults().lose_writes = 1;  // takes effect, but the answer is lost
//   store.Put("table", "{}", 0, [](StoreResult result) { ... });
//   queue.RunDue();
#ifndef CHIVEDALE_TESTING_FAKE_STORE_H_
#define CHIVEDALE_TESTING_FAKE_STORE_H_

#include <list>
#include <string>

#include "chivedale/ports.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/store_model.h"

namespace chivedale::testing {

class FakeStore final : public StorePort {
 public:
  struct Faults {
    // Calls end with kUnavailable after `delay`, without taking effect.
    bool down = false;
    // Number of further writes that take effect but end with kUnavailable.
    int lose_writes = 0;
    // Time from a call to its effect, and again from its effect to its
    // callback.
    Millis delay{0};
  };
  struct Counts {
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t watches = 0;
  };

  explicit FakeStore(FakeCallbackQueue& queue) : queue_(queue) {}

  Faults& faults() { return faults_; }
  const Counts& counts() const { return counts_; }
  // Direct access to the content, without faults.
  StoreModel& model() { return model_; }

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

 private:
  struct Watcher {
    std::string prefix;
    uint64_t after = 0;
    Done done;
  };
  using Watchers = std::list<std::shared_ptr<Watcher>>;

  void Call(bool write, std::function<StoreResult()> apply, Done done);
  void Answer(const Done& done, const StoreResult& result);
  void NotifyWatchers();

  FakeCallbackQueue& queue_;
  StoreModel model_;
  Faults faults_;
  Counts counts_;
  Watchers watchers_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_STORE_H_
