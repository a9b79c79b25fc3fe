// Each member pings two others of its region per interval: its successor in a
// ring ordered by hash, and the next member of a shuffled list. The ring bounds
// the time to detect a death, since each member is pinged in each interval by
// its predecessor. The shuffled list spreads updates and detects deaths if the
// predecessor has died too. The cost of both does not depend on the number of
// members.
#include "chivedale/ping_targets.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace chivedale {
namespace {

constexpr int kBridgesPerRegion = 2;
// Maximum number of ring successors that are pinged if the nearest ones are
// suspects.
constexpr size_t kMaxSuccessors = 4;

bool IsSuspect(const MemberList& list, const MemberId& id) {
  return list.suspects().count(id) != 0;
}

// Returns the first member after this one in the ring that is not suspect, and
// the suspects before it: this member may be the only running one that pings
// them.
std::set<MemberId> Successors(const MemberList& list,
                              const std::vector<MemberId>& near) {
  std::vector<std::pair<uint64_t, MemberId>> ring;
  ring.reserve(near.size());
  const uint64_t own = util::Hash64(list.self().id.str());
  for (const MemberId& id : near) {
    // The distance around the ring of 2^64 positions.
    ring.emplace_back(util::Hash64(id.str()) - own, id);
  }
  const size_t count = std::min(kMaxSuccessors, ring.size());
  std::partial_sort(ring.begin(), ring.begin() + static_cast<ptrdiff_t>(count),
                    ring.end());
  std::set<MemberId> successors;
  for (size_t i = 0; i < count; ++i) {
    successors.insert(ring[i].second);
    if (!IsSuspect(list, ring[i].second)) {
      break;
    }
  }
  return successors;
}

}  // namespace

std::vector<MemberId> PingTargets::Near(const MemberList& list,
                                        const std::vector<MemberId>& near) {
  std::set<MemberId> targets = Successors(list, near);
  targets.insert(NextShuffled(list, near));
  return std::vector<MemberId>(targets.begin(), targets.end());
}

MemberId PingTargets::NextShuffled(const MemberList& list,
                                   const std::vector<MemberId>& near) {
  while (!shuffled_.empty()) {
    MemberId id = shuffled_.back();
    shuffled_.pop_back();
    const MemberList::Member* member = list.Find(id);
    if (member != nullptr && IsPresent(member->info.state)) {
      return id;
    }
  }
  shuffled_ = near;
  for (size_t i = shuffled_.size(); i > 1; --i) {
    std::swap(shuffled_[i - 1], shuffled_[random_.UniformInt(i)]);
  }
  MemberId id = shuffled_.back();
  shuffled_.pop_back();
  return id;
}

std::vector<MemberId> PingTargets::Bridges(
    const MemberList& list,
    const std::vector<MemberId>& near,
    const std::vector<MemberId>& far) const {
  const auto lower =
      std::count_if(near.begin(), near.end(), [&list](const MemberId& id) {
        return id < list.self().id && !IsSuspect(list, id);
      });
  if (lower >= kBridgesPerRegion) {
    return {};
  }
  std::vector<MemberId> targets;
  std::map<RegionId, int> chosen;
  for (const MemberId& id : far) {
    int& count = chosen[list.Find(id)->info.region];
    if (count >= kBridgesPerRegion) {
      continue;
    }
    targets.push_back(id);
    // Suspects are pinged as well, but do not count towards the limit.
    count += IsSuspect(list, id) ? 0 : 1;
  }
  return targets;
}

}  // namespace chivedale
