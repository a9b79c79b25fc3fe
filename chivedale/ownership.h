// Which workers this member tries to claim, and the lease of one worker.
//
//   if (choice.BestOwner(vm) == self) lease.Claim(now);
//   ... lease.Granted(...); lease.ListRead(); lease.CanStart(now)
#ifndef CHIVEDALE_OWNERSHIP_H_
#define CHIVEDALE_OWNERSHIP_H_

#include <map>
#include <memory>
#include <string_view>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "util/clock.h"

namespace chivedale {

// Rendezvous hashing over the members of the worker's region that may own
// workers; over all of them when the region has none.
class OwnerChoice {
 public:
  // Commands.
  void SetMembers(const std::vector<MemberInfo>& members);

  // Queries.
  // Empty when there is no member. `without` is passed over.
  MemberId BestOwner(const Vm& worker, const MemberId& without = {}) const;
  static bool MayOwn(MemberState state);

 private:
  MemberId BestOf(const std::vector<MemberId>& members,
                  const Vm& worker,
                  const MemberId& without) const;

  std::map<RegionId, std::vector<MemberId>> by_region_;
  std::vector<MemberId> all_;
};

enum class LeaseState {
  kUnowned,
  kClaiming,
  kWaitingOut,  // an earlier owner's starts may still arrive
  kReading,
  kOwned,
  kHandingOver,
  kLost,
};

std::string_view LeaseStateName(LeaseState state);

// One worker's lease as seen by the claiming member. A command returns false,
// and does nothing, when the present state has no use for it.
class WorkerLease {
 public:
  struct Options {
    Millis ttl{2'000};
    // The worker's clock may run faster by this part.
    double drift = 0.1;
    // No start is sent with less than this left.
    Millis safety_margin{250};
    // Longest time that a call may be under way to the worker.
    Millis flight{1'000};
  };

  explicit WorkerLease(Options options);
  ~WorkerLease();
  WorkerLease(WorkerLease&&) noexcept;

  // Commands.
  // A claim is about to be sent. Also in kOwned, to fence own earlier starts.
  bool Claim(util::TimePoint sent);
  // `fencing` false: the worker is waited out before it is read.
  bool Granted(const LeaseToken& token, bool fencing, util::TimePoint now);
  bool ClaimFailed();
  // The worker has another owner.
  bool ClaimRefused();
  // A renewal that was sent at `sent` under the present token succeeded.
  void Renewed(util::TimePoint sent);
  // Moves on from kWaitingOut when its time is over.
  bool WaitedOut(util::TimePoint now);
  bool ListRead();
  // The time ran out, or the worker denied the token.
  bool Expire(util::TimePoint now);
  bool Revoke();
  bool Release();
  bool Released();

  // Queries.
  LeaseState state() const;
  // Whether a start sent at `now` is covered.
  bool CanStart(util::TimePoint now) const;
  // Whether there is a token to renew.
  bool held() const;
  const LeaseToken& token() const;
  util::TimePoint valid_until() const;
  util::TimePoint waits_until() const;

 private:
  struct Machine;
  struct Data {
    LeaseToken token;
    util::TimePoint claim_sent{};
    util::TimePoint valid_until{};
    util::TimePoint waits_until{};
  };

  util::TimePoint ValidFrom(util::TimePoint sent) const;

  Options options_;
  Data data_;
  std::unique_ptr<Machine> machine_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_OWNERSHIP_H_
