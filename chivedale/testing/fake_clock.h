// A clock that only advances when a test calls Advance.
#ifndef CHIVEDALE_TESTING_FAKE_CLOCK_H_
#define CHIVEDALE_TESTING_FAKE_CLOCK_H_

#include "util/clock.h"

namespace chivedale::testing {

class FakeClock final : public util::Clock {
 public:
  util::TimePoint Now() const override { return now_; }
  util::WallTime WallNow() const override {
    return util::WallTime(std::chrono::milliseconds(1'700'000'000'000)) +
           std::chrono::duration_cast<std::chrono::milliseconds>(
               now_.time_since_epoch());
  }
  util::Duration ProcessorTime() const override { return processor_time_; }
  void Advance(util::Duration step) { now_ += step; }
  // Likewise, and the process is busy meanwhile.
  void Work(util::Duration step) {
    now_ += step;
    processor_time_ += step;
  }

 private:
  // Nonzero, so that a default TimePoint lies in the past.
  util::TimePoint now_{std::chrono::hours(1)};
  util::Duration processor_time_{0};
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_CLOCK_H_
