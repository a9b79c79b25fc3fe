#include "cell/executor_boot.h"

#include <algorithm>

namespace chivedale::cell {
namespace {

// Executor clocks may run 2% slow; 1% more covers rounding.
constexpr double kClockDriftFactor = 1.03;
constexpr double kMinClockSpeed = 0.98;
constexpr Millis kExpiryMargin{100};
// Covers the rounding of clocks to milliseconds.
constexpr Millis kClockMargin{5};
// Maximum time from the first call that a boot executes to its registration.
constexpr Millis kRegistrationTime{500};

Millis ToMillis(Duration time) {
  return std::chrono::duration_cast<Millis>(time);
}

}  // namespace

Duration MaxTimeOf(Millis lease) {
  return std::chrono::duration_cast<Duration>(lease * kClockDriftFactor);
}

void ExecutorBoot::OnClock(Millis clock, TimePoint sent, TimePoint now) {
  clock_known_ = true;
  clock_ = clock;
  clock_sent_ = sent;
  clock_at_ = now;
  alive_at_ = std::max(alive_at_, sent);
}

void ExecutorBoot::OnDeadlineSent(Millis until) {
  sent_deadline_ = std::max(sent_deadline_, until);
}

// An executor compares a deadline with its own clock, also one that was meant
// for the clock of an earlier boot, so that no lease outlasts the latest one.
void ExecutorBoot::CountUnknownLeases(Millis longest, Millis latest_deadline) {
  unknown_deadline_ = std::min(clock_ + longest, latest_deadline);
}

void ExecutorBoot::CountLateLeases(Millis longest, Millis latest_deadline) {
  unknown_deadline_ =
      std::min(clock_ + kMaxCallDelay + longest, latest_deadline);
}

Millis ExecutorBoot::ClockAt(TimePoint now) const {
  return clock_ + ToMillis(now - clock_at_);
}

Millis ExecutorBoot::EarliestClockAt(TimePoint now) const {
  return clock_ +
         std::chrono::duration_cast<Millis>((now - clock_at_) * kMinClockSpeed);
}

bool ExecutorBoot::MayShow(Millis clock, TimePoint sent, TimePoint now) const {
  // The known clock was read between `clock_sent_` and `clock_at_`, the new one
  // between `sent` and `now`.
  const Millis earliest =
      sent < clock_at_ ? ClockAt(sent) : EarliestClockAt(sent);
  const Millis latest = clock_ + ToMillis(now - clock_sent_);
  return clock_known_ && clock >= earliest - kClockMargin &&
         clock <= latest + kClockMargin;
}

Millis ExecutorBoot::max_deadline() const {
  return std::max(sent_deadline_, unknown_deadline_);
}

TimePoint ExecutorBoot::LeasesExpiredBy() const {
  return ExpiredBy(max_deadline());
}

TimePoint ExecutorBoot::UnknownLeasesExpiredBy() const {
  return unknown_deadline_ <= clock_ ? clock_at_ : ExpiredBy(unknown_deadline_);
}

TimePoint ExecutorBoot::ExpiredBy(Millis deadline) const {
  if (!clock_known_) {
    return clock_at_;
  }
  const Millis left = std::max(Millis(0), deadline - clock_);
  return clock_at_ + MaxTimeOf(left) + kExpiryMargin;
}

void ExecutorBoot::OnEntryListed(TimePoint begin, bool other_boot, bool gap) {
  other_boot_listed_ = other_boot_listed_ || other_boot;
  if (only_boot_since_ == TimePoint() || gap) {
    only_boot_since_ = begin;
  }
  only_boot_until_ = begin;
}

bool ExecutorBoot::IsOnlyBootUntil(TimePoint time) const {
  return !other_boot_listed_ && only_boot_since_ != TimePoint() &&
         only_boot_since_ <= alive_at_ &&
         only_boot_until_ > time + kRegistrationTime;
}

bool ExecutorBoot::IsSettled(TimePoint now) const {
  return confirmed && EarliestClockAt(now) > unknown_deadline_;
}

}  // namespace chivedale::cell
