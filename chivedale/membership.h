// Members of the cell: who is starting, live, suspect, draining, dead, left.
// SWIM-style: pings, indirect pings, suspicion that the suspect can refute by
// a higher incarnation, updates carried by the pings.
#ifndef CHIVEDALE_MEMBERSHIP_H_
#define CHIVEDALE_MEMBERSHIP_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

class Membership {
 public:
  struct Options {
    Millis ping_interval{500};
    Millis ping_timeout{300};
    Millis suspicion{1'500};
    // A dead or left member is remembered this long, so that late updates do
    // not bring it back.
    Millis tombstone{600'000};
    // Up to this many members each pings all others each interval.
    int full_mesh_limit = 16;
    int indirect_pings = 2;
    Millis cross_region_interval{2'000};
    int max_updates_per_ping = 16;
    // More than half of the others silent at once is taken as a fault of this
    // process's own network for this long.
    Millis isolation{5'000};
  };
  // What rides on each ping besides member updates.
  struct Extras {
    uint64_t table_revision = 0;
    std::map<std::string, DemandReport> demand;
  };
  struct Hooks {
    std::function<Extras()> extras;
    // A member's state changed, or it is new.
    std::function<void(const MemberInfo&)> changed;
    // Called for each ping or reply with the sender's extras.
    std::function<void(const MemberId&, const Extras&)> heard;
    // Others took this member for dead, during a pause or behind a cut link.
    std::function<void()> declared_dead;
  };

  Membership(const util::Clock& clock,
             util::Random& random,
             PeerPort& peers,
             MemberInfo self,
             Options options,
             Hooks hooks);
  ~Membership();

  // Commands.
  void AddSeed(const std::string& address);
  void SetSelfState(MemberState state);
  void OnPing(const MemberId& from, const Ping& ping);
  void OnPingReply(const MemberId& from, const PingReply& reply);
  void OnPingRequest(const MemberId& from, const PingRequest& request);
  void Tick();
  // Tells some peers at once that this member leaves.
  void Leave();

  // Queries.
  const MemberInfo& self() const;
  // Live, suspect and draining members, self included, in order of id.
  std::vector<MemberInfo> Members() const;
  // Without draining and starting ones: those that may own workers.
  std::vector<MemberInfo> Owners() const;
  // Null when unknown.
  const MemberInfo* Find(const MemberId& id) const;
  // Most others are silent: deaths are not declared now.
  bool isolated() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_MEMBERSHIP_H_
