// What one member believes about all members, and the news to pass on. Holds
// the rules by which one belief replaces another; membership.h does the pings.
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
    // The last state that the member itself announced.
    MemberState announced = MemberState::kLive;
    // Time of the last change of `info.state`.
    util::TimePoint since{};
    // Last message from the member itself.
    util::TimePoint heard{};
  };
  using Changed = std::function<void(const MemberInfo&)>;

  MemberList(const util::Clock& clock,
             util::Random& random,
             MemberInfo self,
             Changed changed);

  // Commands.
  void SetSelfState(MemberState state);
  // A belief from a peer or from the member itself. True when it is new here.
  bool Merge(const MemberInfo& update);
  // This member's own finding about `id`.
  void Suspect(const MemberId& id);
  void Declare(const MemberId& id);
  void Heard(const MemberId& id);
  // Moves the start of each suspicion, after a pause of this process.
  void ShiftSuspicions(util::Duration gap);
  void DropTombstones(Millis age);
  // The news with the fewest sends so far, and some random beliefs, so that
  // news that everybody missed still arrives.
  std::vector<MemberInfo> TakeUpdates(size_t limit);

  // Queries.
  const MemberInfo& self() const { return self_; }
  const std::map<MemberId, Member>& others() const { return others_; }
  const Member* Find(const MemberId& id) const;
  const std::set<MemberId>& suspects() const { return suspects_; }
  // Others that are neither dead nor left.
  size_t present() const { return present_; }
  // Everything known, for a member that has just joined.
  std::vector<MemberInfo> All() const;

 private:
  struct News {
    int sends = 0;
  };

  void Refute(uint64_t incarnation);
  bool ReplacesSameVm(const MemberInfo& update);
  void Set(Member& member, MemberState state);
  void CountState(const MemberInfo& info, MemberState before);
  void Announce(const MemberId& id);
  int SendsPerNews() const;

  const util::Clock& clock_;
  util::Random& random_;
  MemberInfo self_;
  const Changed changed_;
  std::map<MemberId, Member> others_;
  std::map<MemberId, News> news_;
  std::set<MemberId> suspects_;
  size_t present_ = 0;
};

// Pinged and counted as present: not dead and not left.
bool IsPresent(MemberState state);

}  // namespace chivedale

#endif  // CHIVEDALE_MEMBER_LIST_H_
