// Decides whether and when to retry an attempt that ended without an answer.
#ifndef CHIVEDALE_RETRY_POLICY_H_
#define CHIVEDALE_RETRY_POLICY_H_

#include <optional>

#include "chivedale/error.h"
#include "chivedale/messages.h"
#include "chivedale/work.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

class RetryPolicy {
 public:
  struct Options {
    // Average retries allowed per first attempt, and the minimum per second.
    double budget_ratio = 0.1;
    double budget_min_per_s = 10;
    Millis min_backoff{50};
    Millis max_backoff{5'000};
  };

  RetryPolicy(const util::Clock& clock, util::Random& random, Options options);

  // Command. Records a first attempt, which adds to the budget.
  void OnFirstAttempt();
  // Decides on a retry of an attempt that ended with `ran`, and takes a granted
  // retry from the budget. Attempts that certainly did not run do not count
  // against max_retries, but are never granted past the deadline. Returns the
  // backoff, or nothing if the failure must be reported.
  std::optional<Millis> Grant(const WorkRow& row,
                              uint32_t attempts_made,
                              Ran ran,
                              util::TimePoint deadline);

 private:
  void Refill();

  const util::Clock& clock_;
  util::Random& random_;
  const Options options_;
  double budget_;
  util::TimePoint refilled_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RETRY_POLICY_H_
