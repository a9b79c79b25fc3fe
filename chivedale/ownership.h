// Selection of the workers that this member claims, and the lease of one
// worker.
//
//   if (choice.PreferredOwner(vm) == self) lease.Claim(now);
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
// workers, or over all such members if the region has none.
class OwnerChoice {
 public:
  // Commands.
  void SetMembers(const std::vector<MemberInfo>& members);

  // Queries.
  // Empty if there is no member. `without` is excluded.
  MemberId PreferredOwner(const Vm& worker, const MemberId& without = {}) const;
  static bool MayOwn(MemberState state);

 private:
  MemberId HighestWeight(const std::vector<MemberId>& members,
                         const Vm& worker,
                         const MemberId& without) const;

  std::map<RegionId, std::vector<MemberId>> by_region_;
  std::vector<MemberId> all_;
};

enum class LeaseState {
  kUnowned,
  kClaiming,
  kWaitingOut,  // starts of an earlier owner may still arrive
  kReading,
  kOwned,
  kHandingOver,
  kLost,
};

std::string_view LeaseStateName(LeaseState state);

// State of one worker's lease as seen by the claiming member. A command that
// does not apply in the current state does nothing and returns false.
class WorkerLease {
 public:
  struct Options {
    Millis ttl{2'000};
    // Upper bound on how much faster the worker's clock may run, as a fraction.
    double drift = 0.1;
    // No start is sent if less than this remains of the lease.
    Millis safety_margin{250};
    // Upper bound on the transit time of a call to the worker.
    Millis max_message_delay{1'000};
  };

  explicit WorkerLease(Options options);
  ~WorkerLease();
  WorkerLease(WorkerLease&&) noexcept;

  // Commands.
  // A claim is about to be sent. Also valid in kOwned, to fence own earlier
  // starts.
  bool Claim(util::TimePoint sent);
  // If `fencing` is false, the worker accepts starts with old tokens, so the
  // lease first waits in kWaitingOut until earlier starts can no longer arrive.
  bool Granted(const LeaseToken& token, bool fencing, util::TimePoint now);
  bool ClaimFailed();
  // The worker has another owner.
  bool ClaimRefused();
  // A renewal sent at `sent` under the current token succeeded.
  void Renewed(util::TimePoint sent);
  // Leaves kWaitingOut once `waits_until()` has passed.
  bool EndWait(util::TimePoint now);
  bool ListRead();
  // The lease has expired, or the worker rejected the token.
  bool Expire(util::TimePoint now);
  bool Revoke();
  bool Release();
  bool Released();

  // Queries.
  LeaseState state() const;
  // Whether the lease covers a start sent at `now`.
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
