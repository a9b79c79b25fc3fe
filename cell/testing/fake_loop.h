// Runs events in time order on a fake clock.
//
//   FakeLoop loop;
//   loop.After(Millis(5), [] { ... });
//   loop.RunFor(Millis(100));
#ifndef CELL_TESTING_FAKE_LOOP_H_
#define CELL_TESTING_FAKE_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "cell/types.h"
#include "chivedale/testing/fake_clock.h"

namespace chivedale::cell::testing {

class FakeLoop {
 public:
  // The clock of the processes that run here. Each reading of it takes
  // `reading_time`, so that work takes time in proportion to its steps.
  class ProcessClock final : public Clock {
   public:
    explicit ProcessClock(FakeLoop& loop) : loop_(loop) {}
    TimePoint Now() const override {
      loop_.Spend(loop_.reading_time);
      return loop_.clock().Now();
    }
    WallTime WallNow() const override { return loop_.clock().WallNow(); }
    Duration ProcessorTime() const override {
      return loop_.clock().ProcessorTime();
    }

   private:
    FakeLoop& loop_;
  };

  Duration reading_time{0};

  void After(Duration delay, std::function<void()> run) {
    events_.emplace(std::make_pair(clock_.Now() + delay, next_++),
                    std::move(run));
  }
  void RunFor(Duration time) {
    const TimePoint end = clock_.Now() + time;
    while (!events_.empty() && events_.begin()->first.first <= end) {
      const auto first = events_.begin();
      if (first->first.first > clock_.Now()) {
        clock_.Advance(first->first.first - clock_.Now());
      }
      const std::function<void()> run = std::move(first->second);
      events_.erase(first);
      run();
    }
    if (end > clock_.Now()) {
      clock_.Advance(end - clock_.Now());
    }
  }
  // Processor time used by the event that runs: all later ones are delayed.
  void Spend(Duration time) { clock_.Work(time); }
  const chivedale::testing::FakeClock& clock() const { return clock_; }

 private:
  chivedale::testing::FakeClock clock_;
  uint64_t next_ = 0;
  std::map<std::pair<TimePoint, uint64_t>, std::function<void()>> events_;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_FAKE_LOOP_H_
