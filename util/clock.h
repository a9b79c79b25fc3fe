// Time source. Classes that depend on time take a Clock& in the constructor, so
// that tests can use chivedale/testing/fake_clock.h.
#ifndef UTIL_CLOCK_H_
#define UTIL_CLOCK_H_

#include <chrono>
#include <ctime>

namespace chivedale::util {

using Duration = std::chrono::nanoseconds;
// Monotonic time. Only differences are meaningful.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;
// Calendar time, for records that are read by people or other processes.
using WallTime = std::chrono::time_point<std::chrono::system_clock,
                                         std::chrono::milliseconds>;

class Clock {
 public:
  virtual ~Clock() = default;
  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
  // Time since the VM started, including the time for which it was suspended,
  // which Now() does not count.
  virtual Duration SinceBoot() const { return Now().time_since_epoch(); }
  // Processor time that this process has used.
  virtual Duration ProcessorTime() const = 0;
};

class SteadyClock final : public Clock {
 public:
  TimePoint Now() const override {
    return std::chrono::time_point_cast<Duration>(
        std::chrono::steady_clock::now());
  }
  WallTime WallNow() const override {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
  }
  Duration SinceBoot() const override {
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) +
           std::chrono::nanoseconds(time.tv_nsec);
  }
  Duration ProcessorTime() const override {
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) +
           std::chrono::nanoseconds(used.tv_nsec);
  }
};

}  // namespace chivedale::util

#endif  // UTIL_CLOCK_H_
