// Index of an owner's workers by free room; picks the worker for an attempt.
// The policy is a strategy object chosen by a setting.
#ifndef CHIVEDALE_PLACEMENT_H_
#define CHIVEDALE_PLACEMENT_H_

namespace chivedale {

enum class PlacementPolicyKind { kPack, kSpread, kRandom, kRoundRobin };

}  // namespace chivedale

#endif  // CHIVEDALE_PLACEMENT_H_
