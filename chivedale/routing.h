// Chooses the remote owner to ask for room, from the latest summaries. Two
// owners are drawn at random, weighted by free room, and the one with more room
// is chosen. The policy (two choices, random, least-loaded, round-robin) is a
// strategy object, so that benchmarks can compare policies in the same code
// path.
#ifndef CHIVEDALE_ROUTING_H_
#define CHIVEDALE_ROUTING_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/admission.h"
#include "chivedale/messages.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

enum class RoutingPolicyKind {
  kPowerOfTwoChoices,
  kRandom,
  kLeastLoaded,
  kRoundRobin
};

class Routing {
 public:
  Routing(const util::Clock& clock,
          util::Random& random,
          MemberInfo self,
          RoutingPolicyKind policy);
  ~Routing();

  // Commands.
  void SetMembers(const std::vector<MemberInfo>& members);
  // Number of workers in the VM list. While owners report fewer, there may be a
  // larger one that nobody owns yet.
  void SetListedWorkers(size_t workers);
  void OnSummary(const Summary& summary);
  // A dispatch of this entry that the summary of the owner may not include yet.
  void OnDispatched(const MemberId& owner, const Resources& size);
  // An attempt dispatched to the owner has ended or was refused.
  void OnEnded(const MemberId& owner, const Resources& size);
  // The owner refused: it is skipped for this size until its next summary.
  void OnNoRoom(const MemberId& owner, const Resources& size);

  // Queries.
  bool HasRoom(const Resources& size, RegionRule rule) const;
  // `home_wait` is how long the item has waited for its own region. Under
  // kPreferHome another region is used only if that wait exceeds the cost of
  // crossing regions.
  std::optional<MemberId> Pick(const Resources& size,
                               RegionRule rule,
                               Millis home_wait);
  CellCapacity Cell() const;
  // The latest summary of each live owner.
  std::vector<Summary> Summaries() const;
  bool IsRemoteRegion(const MemberId& owner) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ROUTING_H_
