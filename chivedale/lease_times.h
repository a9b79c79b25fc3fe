// Times that follow from the worker's lease.
#ifndef CHIVEDALE_LEASE_TIMES_H_
#define CHIVEDALE_LEASE_TIMES_H_

#include "chivedale/work.h"

namespace chivedale {

inline constexpr Millis kLeaseTtl{2'000};
inline constexpr Millis kOrphanTtl{6'000};
// Clocks of two VMs drift apart by less than this part.
inline constexpr double kDriftMargin = 0.1;
// Longest time that a message is on its way.
inline constexpr Millis kLongestFlight{1'000};

// After this without an owner's contact a worker has stopped its tasks: its
// lease lapses, then the tasks' own time, each by the worker's clock.
constexpr Millis OrphanWait(Millis lease_ttl = kLeaseTtl,
                            Millis orphan_ttl = kOrphanTtl) {
  const auto both = static_cast<double>((lease_ttl + orphan_ttl).count());
  return Millis(static_cast<int64_t>(both * (1 + kDriftMargin))) +
         kLongestFlight;
}

}  // namespace chivedale

#endif  // CHIVEDALE_LEASE_TIMES_H_
