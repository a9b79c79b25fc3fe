// Selects the members to ping if there are too many members for a full mesh.
#ifndef CHIVEDALE_PING_TARGETS_H_
#define CHIVEDALE_PING_TARGETS_H_

#include <vector>

#include "chivedale/member_list.h"
#include "util/random.h"

namespace chivedale {

class PingTargets {
 public:
  explicit PingTargets(util::Random& random) : random_(random) {}

  // Selects targets for one round among the members of this member's region.
  // `near` must not be empty.
  std::vector<MemberId> Near(const MemberList& list,
                             const std::vector<MemberId>& near);
  // Selects members of other regions. Returns none unless this member is one of
  // the two of its region that ping other regions.
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
