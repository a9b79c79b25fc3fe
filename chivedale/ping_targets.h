// Whom a member pings when there are too many members for a full mesh.
#ifndef CHIVEDALE_PING_TARGETS_H_
#define CHIVEDALE_PING_TARGETS_H_

#include <vector>

#include "chivedale/member_list.h"
#include "util/random.h"

namespace chivedale {

class PingTargets {
 public:
  explicit PingTargets(util::Random& random) : random_(random) {}

  // For one round, out of the members of the own region; `near` is not empty.
  std::vector<MemberId> Near(const MemberList& list,
                             const std::vector<MemberId>& near);
  // Members of other regions; empty unless this member is one of the two of
  // its region that keep contact.
  std::vector<MemberId> Bridges(const MemberList& list,
                                const std::vector<MemberId>& near,
                                const std::vector<MemberId>& far) const;

 private:
  MemberId NextShuffled(const MemberList& list,
                        const std::vector<MemberId>& near);

  util::Random& random_;
  std::vector<MemberId> shuffled_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PING_TARGETS_H_
