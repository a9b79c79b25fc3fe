// The budget is a token bucket filled by first attempts and by time, so that a
// cell in which everything fails gets at most a tenth more load from retries.
// The backoff is drawn from the upper half of its range, so that work that
// failed together is not retried together.
#include "chivedale/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace chivedale {
namespace {

// Capacity of the bucket: this many seconds of the minimum budget plus a
// constant number of retries, so that the work of one failed owner can be
// retried immediately.
constexpr double kBurstSeconds = 10;
constexpr double kBurstRetries = 100;

}  // namespace

RetryPolicy::RetryPolicy(const util::Clock& clock,
                         util::Random& random,
                         Options options)
    : clock_(clock),
      random_(random),
      options_(options),
      budget_(options.budget_min_per_s),
      refilled_(clock.Now()) {}

void RetryPolicy::OnFirstAttempt() {
  Refill();
  budget_ += options_.budget_ratio;
}

std::optional<Millis> RetryPolicy::Grant(const WorkRow& row,
                                         uint32_t attempts_made,
                                         Ran ran,
                                         util::TimePoint deadline) {
  if (ran != Ran::kNo) {
    const auto retries_made =
        static_cast<int64_t>(std::max<uint32_t>(attempts_made, 1)) - 1;
    if (!row.repeatable || retries_made >= row.max_retries) {
      return std::nullopt;
    }
  }
  const double doublings = std::min<double>(attempts_made, 30) - 1;
  const double upper_bound_ms =
      std::min(static_cast<double>(options_.min_backoff.count()) *
                   std::exp2(std::max(0.0, doublings)),
               static_cast<double>(options_.max_backoff.count()));
  const Millis backoff(static_cast<int64_t>(
      upper_bound_ms * (0.5 + 0.5 * random_.UniformReal())));
  if (clock_.Now() + backoff >= deadline) {
    return std::nullopt;
  }
  Refill();
  if (budget_ < 1) {
    return std::nullopt;
  }
  budget_ -= 1;
  return backoff;
}

void RetryPolicy::Refill() {
  const util::TimePoint now = clock_.Now();
  const double elapsed_s =
      std::chrono::duration<double>(now - refilled_).count();
  const double capacity =
      options_.budget_min_per_s * kBurstSeconds + kBurstRetries;
  budget_ = std::min(capacity, budget_ + options_.budget_min_per_s * elapsed_s);
  refilled_ = now;
}

}  // namespace chivedale
