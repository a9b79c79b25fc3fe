// Whether and when an attempt that ended without an answer is tried again.
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
    // Retries allowed per first attempt, on average, and at least per second.
    double budget_ratio = 0.1;
    double budget_min_per_s = 10;
    Millis first_backoff{50};
    Millis longest_backoff{5'000};
  };

  RetryPolicy(const util::Clock& clock, util::Random& random, Options options);

  // Command: a first attempt was made; adds to the budget.
  void OnFirstAttempt();
  // Decides on a retry of an attempt that ended with `ran`. Takes from the
  // budget when it grants one. Attempts that certainly did not run are granted
  // outside max_retries, but not past the deadline. Returns the backoff, or
  // nothing when the failure must be reported.
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
