// SWIM-style membership of the cell with the states starting, live, suspect,
// draining, dead and left. Uses pings and indirect pings; a suspect can refute
// the suspicion with a higher incarnation; updates are piggybacked on pings.
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
    Millis suspicion_timeout{1'500};
    // A dead or left member is remembered for this long, so that late updates
    // do not resurrect it.
    Millis tombstone_age{600'000};
    // With up to this many members, each pings all others in each interval.
    int full_mesh_limit = 16;
    int indirect_pings = 2;
    Millis cross_region_interval{2'000};
    int max_updates_per_ping = 16;
    // If more than half of the other members are silent at once, this process
    // assumes a fault of its own network for this long.
    Millis isolation_time{5'000};
  };
  // Data piggybacked on each ping besides member updates.
  struct PingPayload {
    uint64_t table_revision = 0;
    std::map<std::string, DemandReport> demand;
  };
  struct Hooks {
    std::function<PingPayload()> extras;
    // Called when a member is new or its state changed.
    std::function<void(const MemberInfo&)> member_changed;
    // Called with the sender's payload for each ping and for each reply that
    // was not relayed.
    std::function<void(const MemberId&, const PingPayload&)> payload_received;
    // Called when other members declared this one dead, after a pause or a
    // network partition.
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
  // Immediately tells some peers that this member leaves.
  void Leave();

  // Queries.
  const MemberInfo& self() const;
  // Returns the live, suspect and draining members and, in whatever state, this
  // one, ordered by id.
  std::vector<MemberInfo> Members() const;
  // Returns the members that may own workers: those of Members() that last
  // announced themselves as live. A suspect keeps the state that it announced.
  std::vector<MemberInfo> Owners() const;
  // Returns null if the member is unknown.
  const MemberInfo* Find(const MemberId& id) const;
  // Returns whether most other members are suspect and have been so for less
  // than `isolation_time`; meanwhile none is declared dead.
  bool isolated() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_MEMBERSHIP_H_
