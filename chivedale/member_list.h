// One member's view of all members, and the updates to pass on. Implements the
// rules by which a newer state replaces an older one; membership.h sends the
// pings.
#ifndef CHIVEDALE_MEMBER_LIST_H_
#define CHIVEDALE_MEMBER_LIST_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivedale/messages.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

class MemberList {
 public:
  struct Member {
    MemberInfo info;
    // The last state announced by the member itself.
    MemberState announced = MemberState::kLive;
    // Time of the last change of `info.state`.
    util::TimePoint since{};
    // Time of the last message from the member itself.
    util::TimePoint last_heard{};
  };
  using Changed = std::function<void(const MemberInfo&)>;

  MemberList(const util::Clock& clock,
             util::Random& random,
             MemberInfo self,
             Changed changed);

  // Commands.
  void SetSelfState(MemberState state);
  // Merges the state of a member as reported by a peer or by the member itself.
  // Returns true if it changed this list. A report that this member itself is
  // suspect, dead or left is refuted by a higher incarnation; the result is
  // then false.
  bool Merge(const MemberInfo& update);
  // Record this member's own observations of `id`: it does not answer, it is
  // dead, it sent a message.
  void Suspect(const MemberId& id);
  void DeclareDead(const MemberId& id);
  void RecordContact(const MemberId& id);
  // Postpones the start of each suspicion by `gap`, after a pause of this
  // process.
  void ShiftSuspicions(util::Duration gap);
  // Forgets members that have been dead or left for `age`.
  void DropTombstones(Millis age);
  // Returns up to `limit` updates: those with the fewest sends so far, each of
  // which is counted as sent once more and is dropped after enough sends, and
  // the states of some random members, so that an update that was lost on all
  // its sends still spreads.
  std::vector<MemberInfo> TakeUpdates(size_t limit);

  // Queries.
  const MemberInfo& self() const { return self_; }
  const std::map<MemberId, Member>& others() const { return others_; }
  const Member* Find(const MemberId& id) const;
  const std::set<MemberId>& suspects() const { return suspects_; }
  // Others that are neither dead nor left.
  size_t present_count() const { return present_count_; }
  // Returns all other known members, including dead and left ones, for a member
  // that has just joined.
  std::vector<MemberInfo> All() const;

 private:
  struct PendingUpdate {
    int sends = 0;
  };

  void Refute(uint64_t incarnation);
  bool IsSupersededOnSameVm(const MemberInfo& update);
  void Set(Member& member, MemberState state);
  void CountState(const MemberInfo& info, MemberState before);
  void Announce(const MemberId& id);
  int SendsPerUpdate() const;

  const util::Clock& clock_;
  util::Random& random_;
  MemberInfo self_;
  const Changed changed_;
  std::map<MemberId, Member> others_;
  std::map<MemberId, PendingUpdate> pending_updates_;
  std::set<MemberId> suspects_;
  size_t present_count_ = 0;
};

// Returns whether a member in this state is pinged and counted as present,
// which is unless it is dead or has left.
bool IsPresent(MemberState state);

}  // namespace chivedale

#endif  // CHIVEDALE_MEMBER_LIST_H_
