// Share of this process in limits that apply to all processes together. Each
// member computes the shares of all members from the demand in the same
// heartbeats, so no central counter is needed. The shares computed from one
// view never add up to more than the limit.
#ifndef CHIVEDALE_LIMIT_SHARE_H_
#define CHIVEDALE_LIMIT_SHARE_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

class LimitShare {
 public:
  LimitShare(const util::Clock& clock, MemberId self);
  ~LimitShare();

  // Commands.
  void SetTable(const Table& table);
  void SetMembers(const std::vector<MemberId>& live);
  // Must also be called with this member's own demand as sent in the heartbeat,
  // so that all members compute from the same figures. Until then its current
  // demand is used.
  void OnDemand(const MemberId& member,
                const std::map<std::string, DemandReport>& demand);
  // Arrivals, starts and ends at this member; starts and ends carry the size
  // for quotas.
  void OnArrival(const std::string& kind);
  void OnStart(const std::string& kind, const Resources& size);
  void OnEnd(const std::string& kind, const Resources& size);
  // Number of items of this kind in the local queue.
  void SetQueued(const std::string& kind, int64_t queued);
  // Takes one token of the rate of the row. Returns false if there is none.
  bool TakeRate(const std::string& kind);

  // Queries.
  // Whether one more item of this kind may start here now, given the running
  // limit of the row and the quota of its team.
  bool MayStart(const std::string& kind, const Resources& size) const;
  int64_t RunningShare(const std::string& kind) const;
  // Fraction of the work of this kind in the cell that this member has, 0 to 1.
  double DemandFraction(const std::string& kind) const;
  // Time until TakeRate may succeed.
  Millis RetryAfter(const std::string& kind) const;
  // Demand to send in heartbeats.
  std::map<std::string, DemandReport> OwnDemand() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LIMIT_SHARE_H_
