// Queue of callbacks that a test runs explicitly, by due time, or in random
// order among those that are due. Used by fake_store.h and fake_worker.h.
//
//   FakeClock clock;
//   FakeCallbackQueue queue(clock, 1);
//   queue.Post([] { ... }, Millis(5));
//   queue.Advance(Millis(10));  // advances the clock and runs due callbacks
#ifndef CHIVEDALE_TESTING_FAKE_CALLBACK_QUEUE_H_
#define CHIVEDALE_TESTING_FAKE_CALLBACK_QUEUE_H_

#include <functional>
#include <map>
#include <utility>

#include "chivedale/testing/fake_clock.h"
#include "chivedale/work.h"
#include "util/random.h"

namespace chivedale::testing {

class FakeCallbackQueue {
 public:
  FakeCallbackQueue(FakeClock& clock, uint64_t seed)
      : clock_(clock), random_(seed) {}

  void Post(std::function<void()> run, Millis delay = Millis(0)) {
    events_.emplace(clock_.Now() + delay, std::move(run));
  }
  // If set, due callbacks run in random order.
  void set_reorder(bool reorder) { reorder_ = reorder; }
  // Runs one due callback. Returns false if none was due.
  bool RunNext() {
    const auto end = events_.upper_bound(clock_.Now());
    const auto due = std::distance(events_.begin(), end);
    if (due == 0) {
      return false;
    }
    const auto pick =
        reorder_ ? random_.UniformInt(static_cast<uint64_t>(due)) : 0;
    const auto it = std::next(events_.begin(), static_cast<long>(pick));
    const std::function<void()> run = std::move(it->second);
    events_.erase(it);
    run();
    return true;
  }
  // Runs callbacks until none is due, including those posted meanwhile.
  void RunDue() {
    while (RunNext()) {
    }
  }
  // Advances the clock by `step`, running each callback at its due time.
  void Advance(util::Duration step) {
    const util::TimePoint end = clock_.Now() + step;
    RunDue();
    while (!events_.empty() && events_.begin()->first <= end) {
      clock_.Advance(events_.begin()->first - clock_.Now());
      RunDue();
    }
    clock_.Advance(end - clock_.Now());
  }

  bool empty() const { return events_.empty(); }
  const FakeClock& clock() const { return clock_; }
  util::Random& random() { return random_; }

 private:
  FakeClock& clock_;
  util::Random random_;
  std::multimap<util::TimePoint, std::function<void()>> events_;
  bool reorder_ = false;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_CALLBACK_QUEUE_H_
