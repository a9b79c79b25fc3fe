// What becomes of calls that cannot be served while the store fails, and when
// their callers should return.
//
//   const OutagePolicy& policy = OutagePolicy::Of(settings.outage_admission);
//   JobIntake intake(..., policy.UnsentWait());
//   response.retry_after = policy.RetryAfter(queue.priority, random);
#ifndef CELL_OUTAGE_ADMISSION_H_
#define CELL_OUTAGE_ADMISSION_H_

#include <chrono>

#include "cell/types.h"
#include "util/random.h"

namespace chivedale::cell {

class OutagePolicy {
 public:
  virtual ~OutagePolicy() = default;
  static const OutagePolicy& Of(OutageAdmission admission);

  // How long a submission of which no write was sent is kept while the store is
  // down, before it is refused.
  virtual Millis UnsentWait() const = 0;
  // Time after which the caller of a refused submission to a queue of this
  // priority should return.
  virtual std::chrono::seconds RetryAfter(int priority,
                                          util::Random& random) const = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_OUTAGE_ADMISSION_H_
