// Summaries are up to 200 ms old, so if every entry chose the owner with the
// most free room, all would overload the same one. Two weighted draws spread
// the dispatches of the entries in proportion to room and still avoid full
// owners. Dispatches of this entry that a summary cannot include yet are
// subtracted.
#include "chivedale/routing.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <utility>

namespace chivedale {
namespace {

// Percentage of listed workers that must be owned before the cell is complete:
// of 21,000 listed workers a few are always dead and still on the list.
constexpr int64_t kMinOwnedPercent = 99;

constexpr std::array<int64_t Resources::*, 4> kComponents = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators,
    &Resources::slots};

// A summary older than this counts less, in inverse proportion to its age.
constexpr util::Duration kFreshSummaryAge = std::chrono::seconds(1);
// Delay until a dispatch is included in the summaries of its owner: two
// crossings between regions (8 ms each) and the 5 ms for which summaries are
// coalesced.
constexpr util::Duration kSummaryDelay = std::chrono::milliseconds(25);
// Wait above which another region is worth its traffic: two crossings and a
// share of the link.
constexpr Millis kCrossingCost{50};
constexpr double kSameDataCentreFactor = 2;

struct Owner {
  MemberInfo info;
  bool has_summary = false;
  Summary summary;
  util::TimePoint received_at{};
  // Dispatches of this entry that the summary may not include, by time.
  std::vector<std::pair<util::TimePoint, Resources>> unreported;
  // Sizes refused since the latest summary.
  std::vector<Resources> refused;
};

// Number of items of `size` that fit into the amount.
double CountFitting(const Resources& amount, const Resources& size) {
  int64_t count = std::numeric_limits<int64_t>::max();
  for (auto component : kComponents) {
    if (size.*component > 0) {
      count = std::min(count, amount.*component / size.*component);
    }
  }
  return static_cast<double>(std::max<int64_t>(0, count));
}

struct RoutingCandidate {
  const Owner* owner = nullptr;
  double room = 0;
};
using RoutingCandidates = std::vector<RoutingCandidate>;

class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  // Returns the index of the owner to ask. `candidates` is not empty and is
  // ordered by member id.
  virtual size_t Choose(const RoutingCandidates& candidates,
                        util::Random& random) = 0;
};

size_t DrawByRoom(const RoutingCandidates& candidates, util::Random& random) {
  double total = 0;
  for (const RoutingCandidate& candidate : candidates) {
    total += candidate.room;
  }
  double point = random.UniformReal() * total;
  for (size_t i = 0; i < candidates.size(); ++i) {
    point -= candidates[i].room;
    if (point < 0) {
      return i;
    }
  }
  return candidates.size() - 1;
}

class TwoChoices final : public RoutingPolicy {
  size_t Choose(const RoutingCandidates& candidates,
                util::Random& random) override {
    const size_t a = DrawByRoom(candidates, random);
    const size_t b = DrawByRoom(candidates, random);
    return candidates[a].room >= candidates[b].room ? a : b;
  }
};

class RandomChoice final : public RoutingPolicy {
  size_t Choose(const RoutingCandidates& candidates,
                util::Random& random) override {
    return random.UniformInt(candidates.size());
  }
};

class LeastLoaded final : public RoutingPolicy {
  size_t Choose(const RoutingCandidates& candidates, util::Random&) override {
    const auto most = std::max_element(
        candidates.begin(), candidates.end(),
        [](const RoutingCandidate& a, const RoutingCandidate& b) {
          return a.room < b.room;
        });
    return static_cast<size_t>(most - candidates.begin());
  }
};

class RoundRobin final : public RoutingPolicy {
  size_t Choose(const RoutingCandidates& candidates, util::Random&) override {
    for (size_t i = 0; i < candidates.size(); ++i) {
      if (last_ < candidates[i].owner->info.id) {
        last_ = candidates[i].owner->info.id;
        return i;
      }
    }
    last_ = candidates.front().owner->info.id;
    return 0;
  }

  MemberId last_;
};

std::unique_ptr<RoutingPolicy> MakePolicy(RoutingPolicyKind kind) {
  switch (kind) {
    case RoutingPolicyKind::kRandom:
      return std::make_unique<RandomChoice>();
    case RoutingPolicyKind::kLeastLoaded:
      return std::make_unique<LeastLoaded>();
    case RoutingPolicyKind::kRoundRobin:
      return std::make_unique<RoundRobin>();
    case RoutingPolicyKind::kPowerOfTwoChoices:
      break;
  }
  return std::make_unique<TwoChoices>();
}

}  // namespace

struct Routing::Impl {
  Impl(const util::Clock& clock_in,
       util::Random& random_in,
       MemberInfo self_in,
       RoutingPolicyKind kind)
      : clock(clock_in),
        random(random_in),
        self(std::move(self_in)),
        policy(MakePolicy(kind)) {}

  static bool MayHold(const Owner& owner,
                      const RoomSummary& pool,
                      const Resources& size) {
    return pool.workers > 0 && size.FitsIn(pool.largest) &&
           std::none_of(owner.refused.begin(), owner.refused.end(),
                        [&](const Resources& r) { return r.FitsIn(size); });
  }

  // Number of items of `size` for which the owner has room, less the dispatches
  // not in its summary.
  double RoomAt(const Owner& owner, const Resources& size) const {
    if (!owner.has_summary || owner.summary.draining ||
        owner.info.state != MemberState::kLive) {
      return 0;
    }
    Resources free;
    // Work without accelerators may also run on workers that have them.
    if (size.accelerators == 0 && MayHold(owner, owner.summary.plain, size)) {
      free += owner.summary.plain.free;
    }
    if (MayHold(owner, owner.summary.accelerated, size)) {
      free += owner.summary.accelerated.free;
    }
    for (const auto& [at, dispatched] : owner.unreported) {
      free -= dispatched;
    }
    double room = CountFitting(free, size);
    const util::Duration age = clock.Now() - owner.received_at;
    if (age > kFreshSummaryAge) {
      room *= static_cast<double>(kFreshSummaryAge.count()) /
              static_cast<double>(age.count());
    }
    return room;
  }

  RoutingCandidates Candidates(const Resources& size, bool home) const {
    RoutingCandidates found;
    for (const auto& [id, owner] : owners) {
      if (id == self.id || (owner.info.region == self.region) != home) {
        continue;
      }
      double room = RoomAt(owner, size);
      if (room <= 0) {
        continue;
      }
      if (owner.info.data_centre == self.data_centre) {
        room *= kSameDataCentreFactor;
      }
      found.push_back({&owner, room});
    }
    return found;
  }

  const util::Clock& clock;
  util::Random& random;
  const MemberInfo self;
  std::unique_ptr<RoutingPolicy> policy;
  std::map<MemberId, Owner> owners;
  std::optional<int64_t> listed_workers;
};

Routing::Routing(const util::Clock& clock,
                 util::Random& random,
                 MemberInfo self,
                 RoutingPolicyKind policy)
    : impl_(std::make_unique<Impl>(clock, random, std::move(self), policy)) {}
Routing::~Routing() = default;

void Routing::SetMembers(const std::vector<MemberInfo>& members) {
  std::map<MemberId, Owner> owners;
  for (const MemberInfo& member : members) {
    Owner& owner = owners[member.id];
    auto known = impl_->owners.find(member.id);
    if (known != impl_->owners.end()) {
      owner = std::move(known->second);
    }
    owner.info = member;
  }
  impl_->owners = std::move(owners);
}

void Routing::SetListedWorkers(size_t workers) {
  impl_->listed_workers = static_cast<int64_t>(workers);
}

void Routing::OnSummary(const Summary& summary) {
  auto it = impl_->owners.find(summary.owner);
  if (it == impl_->owners.end()) {
    return;
  }
  Owner& owner = it->second;
  if (owner.has_summary && summary.sequence < owner.summary.sequence) {
    return;
  }
  owner.has_summary = true;
  owner.summary = summary;
  owner.received_at = impl_->clock.Now();
  owner.refused.clear();
  const util::TimePoint reflected = owner.received_at - kSummaryDelay;
  owner.unreported.erase(
      std::remove_if(owner.unreported.begin(), owner.unreported.end(),
                     [&](const auto& sent) { return sent.first <= reflected; }),
      owner.unreported.end());
}

void Routing::OnDispatched(const MemberId& owner, const Resources& size) {
  auto it = impl_->owners.find(owner);
  if (it != impl_->owners.end()) {
    it->second.unreported.emplace_back(impl_->clock.Now(), size);
  }
}

// An ended attempt no longer corrects the summary: either the summary is older
// than the dispatch and the room is free again, or the summary includes the
// attempt. Without this, the room of short work would appear taken until the
// next periodic summary.
void Routing::OnEnded(const MemberId& owner, const Resources& size) {
  auto it = impl_->owners.find(owner);
  if (it == impl_->owners.end()) {
    return;
  }
  auto& unreported = it->second.unreported;
  const auto found =
      std::find_if(unreported.begin(), unreported.end(),
                   [&](const auto& sent) { return sent.second == size; });
  if (found != unreported.end()) {
    unreported.erase(found);
  }
}

void Routing::OnNoRoom(const MemberId& owner, const Resources& size) {
  auto it = impl_->owners.find(owner);
  if (it == impl_->owners.end()) {
    return;
  }
  std::vector<Resources>& refused = it->second.refused;
  const bool covered =
      std::any_of(refused.begin(), refused.end(),
                  [&](const Resources& r) { return r.FitsIn(size); });
  if (!covered) {
    refused.push_back(size);
  }
}

bool Routing::HasRoom(const Resources& size, RegionRule rule) const {
  return !impl_->Candidates(size, true).empty() ||
         (rule != RegionRule::kHome && !impl_->Candidates(size, false).empty());
}

std::optional<MemberId> Routing::Pick(const Resources& size,
                                      RegionRule rule,
                                      Millis home_wait) {
  RoutingCandidates candidates = impl_->Candidates(size, true);
  const bool may_cross =
      rule == RegionRule::kAny ||
      (rule == RegionRule::kPreferHome && home_wait > kCrossingCost);
  if (candidates.empty() && may_cross) {
    candidates = impl_->Candidates(size, false);
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  const size_t chosen = impl_->policy->Choose(candidates, impl_->random);
  return candidates[chosen].owner->info.id;
}

CellCapacity Routing::Cell() const {
  CellCapacity cell;
  cell.complete = !impl_->owners.empty();
  int64_t workers = 0;
  const auto widen = [&cell](Resources& largest, const RoomSummary& pool) {
    // Without the largest worker nothing can be refused as too large for every
    // worker.
    cell.complete &= pool.workers == 0 || !pool.largest_worker.IsZero();
    for (auto component : kComponents) {
      largest.*component =
          std::max({largest.*component, pool.largest_worker.*component,
                    pool.largest.*component});
    }
  };
  for (const auto& [id, owner] : impl_->owners) {
    if (owner.info.state == MemberState::kStarting) {
      continue;
    }
    if (!owner.has_summary) {
      cell.complete = false;
      continue;
    }
    widen(cell.largest_plain, owner.summary.plain);
    widen(cell.largest_accelerated, owner.summary.accelerated);
    cell.capacity += owner.summary.plain.capacity;
    cell.capacity += owner.summary.accelerated.capacity;
    workers += owner.summary.plain.workers + owner.summary.accelerated.workers;
  }
  // A new process knows only itself, and after a failure some workers have no
  // owner for a while; neither may make work look too large.
  cell.complete &= impl_->listed_workers.has_value() && workers > 0 &&
                   workers * 100 >= *impl_->listed_workers * kMinOwnedPercent;
  return cell;
}

std::vector<Summary> Routing::Summaries() const {
  std::vector<Summary> summaries;
  for (const auto& [id, owner] : impl_->owners) {
    if (owner.has_summary) {
      summaries.push_back(owner.summary);
    }
  }
  return summaries;
}

bool Routing::IsRemoteRegion(const MemberId& owner) const {
  auto it = impl_->owners.find(owner);
  return it != impl_->owners.end() &&
         it->second.info.region != impl_->self.region;
}

}  // namespace chivedale
