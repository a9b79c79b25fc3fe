// Which remote owner to ask for room, from the latest summaries. Two owners
// are drawn at random, weighted by free room, and the one with more is taken.
// Varying policy (ours, random, least-loaded, round-robin) is a strategy
// object, so that measurements compare policies in one code path.
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
  kTwoChoices,
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
  // How many workers the VM list has: while the owners report fewer, there may
  // be a larger one that nobody owns yet.
  void SetListedWorkers(size_t workers);
  void OnSummary(const Summary& summary);
  // An own dispatch not yet reflected in the owner's summary.
  void OnDispatched(const MemberId& owner, const Resources& size);
  // An attempt dispatched there has ended or was refused.
  void OnEnded(const MemberId& owner, const Resources& size);
  // The owner refused: it is passed over for this size until a new summary.
  void OnNoRoom(const MemberId& owner, const Resources& size);

  // Queries.
  bool HasRoom(const Resources& size, RegionRule rule) const;
  // `home_wait` is the expected wait in the own region; another region is used
  // under kPreferHome only when that is longer than the crossing costs.
  std::optional<MemberId> Pick(const Resources& size,
                               RegionRule rule,
                               Millis home_wait);
  CellRoom Cell() const;
  // The latest summary of each live owner.
  std::vector<Summary> Summaries() const;
  bool IsRemoteRegion(const MemberId& owner) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ROUTING_H_
