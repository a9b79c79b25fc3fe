// Durations derived from the worker lease.
#ifndef CHIVEDALE_LEASE_TIMES_H_
#define CHIVEDALE_LEASE_TIMES_H_

#include "chivedale/work.h"

namespace chivedale {

inline constexpr Millis kLeaseTtl{2'000};
inline constexpr Millis kOrphanTtl{6'000};
// Upper bound on the relative drift between the clocks of two VMs.
inline constexpr double kDriftMargin = 0.1;
// Upper bound on the transit time of a message.
inline constexpr Millis kMaxMessageDelay{1'000};

// A worker without contact to an owner for this long has stopped its tasks: its
// lease expires first and the orphan TTL runs from then, both by the worker's
// clock.
constexpr Millis OrphanTimeout(Millis lease_ttl = kLeaseTtl,
                               Millis orphan_ttl = kOrphanTtl) {
  const auto both = static_cast<double>((lease_ttl + orphan_ttl).count());
  return Millis(static_cast<int64_t>(both * (1 + kDriftMargin))) +
         kMaxMessageDelay;
}

}  // namespace chivedale

#endif  // CHIVEDALE_LEASE_TIMES_H_
