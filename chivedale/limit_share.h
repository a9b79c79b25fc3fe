// This process's share of limits that hold for all processes together. Each
// member computes the shares of all members from the demand in the same
// heartbeats, so no central counter is needed. The shares of one view never
// add up to more than the limit.
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
  // Own demand is also given here, as it was sent with the heartbeat: only
  // then do all members compute from the same figures. Without it the present
  // own demand is used.
  void OnDemand(const MemberId& member,
                const std::map<std::string, DemandReport>& demand);
  // Own arrivals, starts and ends; starts and ends carry the size for quotas.
  void OnArrival(const std::string& kind);
  void OnStart(const std::string& kind, const Resources& size);
  void OnEnd(const std::string& kind, const Resources& size);
  // Items of this kind that wait in the own queue.
  void SetQueued(const std::string& kind, int64_t queued);
  // Takes one token of the row's rate; false when there is none.
  bool TakeRate(const std::string& kind);

  // Queries.
  // Whether one more of this kind may start here now: the row's running limit
  // and its team's quota.
  bool MayStart(const std::string& kind, const Resources& size) const;
  int64_t RunningShare(const std::string& kind) const;
  // The part of the cell's work of this kind that this member has, 0 to 1.
  double DemandFraction(const std::string& kind) const;
  // Time until TakeRate may succeed.
  Millis RetryAfter(const std::string& kind) const;
  // For heartbeats.
  std::map<std::string, DemandReport> OwnDemand() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LIMIT_SHARE_H_
