// Summaries are up to 200 ms old, so the owner with the most free room is the
// wrong choice for everybody at once; two weighted draws spread the entries'
// dispatches in proportion to room and still avoid full owners. Own dispatches
// that a summary cannot contain yet are subtracted.
#include "chivedale/routing.h"

#include <algorithm>
#include <array>
#include <limits>
#include <map>
#include <utility>

namespace chivedale {
namespace {

constexpr std::array<int64_t Resources::*, 4> kComponents = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators,
    &Resources::slots};

// A summary this old counts less, in proportion to its age.
constexpr util::Duration kFresh = std::chrono::seconds(1);
// A dispatch is in the owner's summaries after two crossings between regions
// (8 ms each) and the 5 ms for which summaries are coalesced.
constexpr util::Duration kReflected = std::chrono::milliseconds(25);
// Two crossings and a share of the link: the wait that makes another region
// worth its traffic.
constexpr Millis kCrossingCost{50};
constexpr double kOwnDataCentreFactor = 2;

struct Owner {
  MemberInfo info;
  bool has_summary = false;
  Summary summary;
  util::TimePoint heard{};
  // Own dispatches since, in order of time.
  std::vector<std::pair<util::TimePoint, Resources>> pending;
  // Sizes refused since the last summary.
  std::vector<Resources> refused;
};

// How many of `size` the amount holds.
double Holds(const Resources& amount, const Resources& size) {
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
  // Index of the owner to ask; `candidates` is not empty, in order of id.
  virtual size_t Choose(const RoutingCandidates& candidates,
                        util::Random& random) = 0;
};

size_t DrawByRoom(const RoutingCandidates& candidates, util::Random& random) {
  double total = 0;
  for (const RoutingCandidate& candidate : candidates) {
    total += candidate.room;
  }
  double point = random.Unit() * total;
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
    return random.Below(candidates.size());
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
    case RoutingPolicyKind::kTwoChoices:
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

  // How many of `size` the owner has room for, less what was dispatched.
  double RoomAt(const Owner& owner, const Resources& size) const {
    if (!owner.has_summary || owner.summary.draining ||
        owner.info.state != MemberState::kLive) {
      return 0;
    }
    Resources free;
    // Plain work may also run on workers with accelerators.
    if (size.accelerators == 0 && MayHold(owner, owner.summary.plain, size)) {
      free += owner.summary.plain.free;
    }
    if (MayHold(owner, owner.summary.accelerated, size)) {
      free += owner.summary.accelerated.free;
    }
    for (const auto& [at, dispatched] : owner.pending) {
      free -= dispatched;
    }
    double room = Holds(free, size);
    const util::Duration age = clock.Now() - owner.heard;
    if (age > kFresh) {
      room *= static_cast<double>(kFresh.count()) /
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
        room *= kOwnDataCentreFactor;
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
  owner.heard = impl_->clock.Now();
  owner.refused.clear();
  const util::TimePoint reflected = owner.heard - kReflected;
  owner.pending.erase(
      std::remove_if(owner.pending.begin(), owner.pending.end(),
                     [&](const auto& sent) { return sent.first <= reflected; }),
      owner.pending.end());
}

void Routing::OnDispatched(const MemberId& owner, const Resources& size) {
  auto it = impl_->owners.find(owner);
  if (it != impl_->owners.end()) {
    it->second.pending.emplace_back(impl_->clock.Now(), size);
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

CellRoom Routing::Cell() const {
  CellRoom cell;
  cell.complete = !impl_->owners.empty();
  const auto widen = [&cell](Resources& largest, const RoomSummary& pool) {
    // Without the largest worker nothing can be refused as never fitting.
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
  }
  // While no worker is owned, as right after a start, no size
  // is known to be too large.
  cell.complete &= !cell.capacity.IsZero();
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
