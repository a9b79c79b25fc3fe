// Owners refuse a hold immediately instead of queueing it, so gangs cannot
// deadlock. Because holds are requested in order of owner id, two gangs meet at
// the first owner that both need, before either holds much capacity; random
// backoff breaks ties. The lifetime of a hold is counted from the time of its
// request, so that the planner never relies on a hold longer than its owner
// keeps it.
#include "chivedale/gang_planner.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace chivedale {
namespace {

constexpr std::array<int64_t Resources::*, 4> kComponents = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators,
    &Resources::slots};

// Pause between two rounds of a gang that keeps partial holds.
constexpr Millis kRoundPause{200};
// Time for dispatches to reach the owners before the holds expire.
constexpr Millis kTimeToStart{500};

int64_t CountFitting(const RoomSummary& pool,
                     const Resources& size,
                     bool free) {
  const Resources& amount = free ? pool.free : pool.capacity;
  const Resources& largest = free ? pool.largest : pool.largest_worker;
  const bool known = free || !largest.IsZero();
  if (pool.workers == 0 || (known && !size.FitsIn(largest))) {
    return 0;
  }
  int64_t count = std::numeric_limits<int64_t>::max();
  for (auto component : kComponents) {
    if (size.*component > 0) {
      count = std::min(count, amount.*component / size.*component);
    }
  }
  return std::max<int64_t>(0, count);
}

struct OwnerHold {
  uint64_t hold = 0;
  std::vector<WorkerId> workers;
  util::TimePoint expires{};
};

struct Gang {
  JobId job;
  Resources size;
  int64_t tasks = 0;
  // Owners still to be asked in this round, in order of id.
  std::vector<MemberId> to_ask;
  std::optional<MemberId> asked;
  util::TimePoint asked_at{};
  std::map<MemberId, OwnerHold> owner_holds;
  // Start of the next round, while no owner is being asked.
  util::TimePoint next_round{};
  bool accumulates = false;
  util::TimePoint window_end{};
  int failed_rounds = 0;
  std::optional<util::TimePoint> too_large_since;

  int64_t Held() const {
    int64_t held = 0;
    for (const auto& [owner, owner_hold] : owner_holds) {
      held += static_cast<int64_t>(owner_hold.workers.size());
    }
    return held;
  }
};

}  // namespace

int64_t TasksThatFit(const Summary& summary, const Resources& size, bool free) {
  if (free && summary.draining) {
    return 0;
  }
  const int64_t accelerated = CountFitting(summary.accelerated, size, free);
  const int64_t plain =
      size.accelerators > 0 ? 0 : CountFitting(summary.plain, size, free);
  const int64_t max_tasks = std::numeric_limits<int64_t>::max();
  return plain > max_tasks - accelerated ? max_tasks : plain + accelerated;
}

struct GangPlanner::Impl {
  Impl(const util::Clock& clock_in,
       util::Random& random_in,
       Hooks hooks_in,
       Options options_in)
      : clock(clock_in),
        random(random_in),
        hooks(std::move(hooks_in)),
        options(options_in) {}

  Millis Between(Millis shortest, Millis longest) {
    const auto span = static_cast<uint64_t>((longest - shortest).count());
    return shortest + Millis(static_cast<int64_t>(random.UniformInt(span + 1)));
  }

  void Release(const MemberId& owner, uint64_t hold) {
    hooks.send(owner, HoldRelease{hold});
  }

  void ReleaseAll(Gang& gang) {
    for (const auto& [owner, owner_hold] : gang.owner_holds) {
      Release(owner, owner_hold.hold);
    }
    gang.owner_holds.clear();
    gang.asked.reset();
    gang.to_ask.clear();
  }

  void BackOff(Gang& gang) {
    ReleaseAll(gang);
    // The limit keeps the shift below from overflowing.
    gang.failed_rounds = std::min(gang.failed_rounds + 1, 16);
    const Millis full = std::min(
        options.longest_backoff,
        Millis(options.first_backoff.count() << (gang.failed_rounds - 1)));
    gang.next_round = clock.Now() + Between(full / 2, full);
    gang.window_end = {};
  }

  // Returns the reason why the gang can never run, or an empty string.
  static std::string NeverFitsReason(const Gang& gang, int64_t max_tasks) {
    if (max_tasks >= gang.tasks) {
      return "";
    }
    return "the gang needs room for " + std::to_string(gang.tasks) +
           " tasks at once; the whole cell holds at most " +
           std::to_string(max_tasks);
  }

  // Returns false if the gang was reported as too large.
  bool CheckSize(Gang& gang, const std::vector<Summary>& summaries) {
    // Limit on each summand, so that the sum cannot overflow.
    constexpr int64_t kMaxTasksPerOwner = int64_t{1} << 31;
    int64_t max_tasks = 0;
    for (const Summary& summary : summaries) {
      max_tasks +=
          std::min(TasksThatFit(summary, gang.size, false), kMaxTasksPerOwner);
    }
    gang.accumulates =
        static_cast<double>(gang.tasks) <=
        options.max_accumulate_fraction * static_cast<double>(max_tasks);
    const std::string reason =
        hooks.complete() ? NeverFitsReason(gang, max_tasks) : "";
    if (reason.empty()) {
      gang.too_large_since.reset();
      return true;
    }
    const util::TimePoint now = clock.Now();
    if (!gang.too_large_since) {
      gang.too_large_since = now;
    }
    if (now - *gang.too_large_since < options.never_fits_after) {
      return true;
    }
    ReleaseAll(gang);
    const JobId job = gang.job;
    gangs.erase(job);
    hooks.never_fits(job, reason);
    return false;
  }

  void BeginRound(Gang& gang) {
    const std::vector<Summary> summaries = hooks.summaries();
    if (!CheckSize(gang, summaries)) {
      return;
    }
    const util::TimePoint now = clock.Now();
    DropExpired(gang);
    std::set<MemberId> order;
    int64_t room = 0;
    for (const Summary& summary : summaries) {
      const int64_t fit = TasksThatFit(summary, gang.size, true);
      room += std::min(fit, gang.tasks);
      if (fit > 0) {
        order.insert(summary.owner);
      }
    }
    for (const auto& [owner, owner_hold] : gang.owner_holds) {
      order.insert(owner);  // its hold must be renewed
    }
    if (order.empty() ||
        (!gang.accumulates && gang.Held() + room < gang.tasks)) {
      BackOff(gang);
      return;
    }
    if (gang.window_end == util::TimePoint{}) {
      gang.window_end =
          now + Between(options.accumulate / 2, options.accumulate);
    }
    gang.to_ask.assign(order.begin(), order.end());
    AskNext(gang);
  }

  void DropExpired(Gang& gang) {
    const util::TimePoint now = clock.Now();
    for (auto it = gang.owner_holds.begin(); it != gang.owner_holds.end();) {
      it = it->second.expires <= now ? gang.owner_holds.erase(it)
                                     : std::next(it);
    }
  }

  void Ask(Gang& gang, const MemberId& owner) {
    OwnerHold& owner_hold = gang.owner_holds[owner];
    if (owner_hold.hold == 0) {
      owner_hold.hold = random.Next() | 1;
    }
    gang.asked = owner;
    gang.asked_at = clock.Now();
    const auto here = static_cast<int64_t>(owner_hold.workers.size());
    const int64_t wanted = gang.tasks - gang.Held() + here;
    hooks.send(owner, Hold{owner_hold.hold, gang.job, gang.size, wanted,
                           options.hold_ttl});
  }

  void AskNext(Gang& gang) {
    if (gang.Held() >= gang.tasks) {
      FinishOrRenew(gang);
      return;
    }
    if (!gang.to_ask.empty()) {
      const MemberId owner = gang.to_ask.front();
      gang.to_ask.erase(gang.to_ask.begin());
      Ask(gang, owner);
      return;
    }
    if (gang.accumulates && clock.Now() < gang.window_end) {
      gang.next_round = clock.Now() + Between(kRoundPause / 2, kRoundPause);
      return;
    }
    BackOff(gang);
  }

  // Renews holds that would expire before the starts arrive.
  void FinishOrRenew(Gang& gang) {
    const util::TimePoint soon = clock.Now() + kTimeToStart;
    for (const auto& [owner, owner_hold] : gang.owner_holds) {
      if (!owner_hold.workers.empty() && owner_hold.expires < soon) {
        Ask(gang, owner);
        return;
      }
    }
    std::vector<GangSlot> slots;
    for (const auto& [owner, owner_hold] : gang.owner_holds) {
      for (const WorkerId& worker : owner_hold.workers) {
        slots.push_back({owner, worker, owner_hold.hold});
      }
      if (owner_hold.workers.empty()) {
        Release(owner, owner_hold.hold);
      }
    }
    const JobId job = gang.job;
    gangs.erase(job);
    hooks.held(job, slots);
  }

  void OnReply(const MemberId& owner, const HoldReply& reply) {
    auto it = gangs.find(reply.job);
    const bool expected = it != gangs.end() && it->second.asked == owner &&
                          it->second.owner_holds.count(owner) > 0 &&
                          it->second.owner_holds[owner].hold == reply.hold;
    if (!expected) {
      // A late or repeated reply. The hold is released unless the gang still
      // counts on it.
      const bool kept = it != gangs.end() &&
                        it->second.owner_holds.count(owner) > 0 &&
                        it->second.owner_holds[owner].hold == reply.hold;
      if (!kept) {
        Release(owner, reply.hold);
      }
      return;
    }
    Gang& gang = it->second;
    OwnerHold& owner_hold = gang.owner_holds[owner];
    gang.asked.reset();
    owner_hold.workers = reply.workers;
    owner_hold.expires = gang.asked_at + options.hold_ttl;
    TrimSurplus(gang, owner_hold);
    if (owner_hold.workers.empty()) {
      Release(owner, owner_hold.hold);
      gang.owner_holds.erase(owner);
    }
    if (clock.Now() > gang.window_end && gang.Held() < gang.tasks &&
        gang.to_ask.empty()) {
      BackOff(gang);
      return;
    }
    AskNext(gang);
  }

  static void TrimSurplus(Gang& gang, OwnerHold& owner_hold) {
    while (gang.Held() > gang.tasks && !owner_hold.workers.empty()) {
      owner_hold.workers.pop_back();
    }
  }

  void OnTimeout(Gang& gang) {
    const MemberId owner = *gang.asked;
    Release(owner, gang.owner_holds[owner].hold);
    gang.owner_holds.erase(owner);
    gang.asked.reset();
    AskNext(gang);
  }

  const util::Clock& clock;
  util::Random& random;
  const Hooks hooks;
  const Options options;
  std::map<JobId, Gang> gangs;
};

GangPlanner::GangPlanner(const util::Clock& clock,
                         util::Random& random,
                         Hooks hooks,
                         Options options)
    : impl_(std::make_unique<Impl>(clock, random, std::move(hooks), options)) {}
GangPlanner::~GangPlanner() = default;

void GangPlanner::Start(const JobId& job,
                        const Resources& size,
                        int64_t tasks) {
  Stop(job);
  Gang gang;
  gang.job = job;
  gang.size = size;
  gang.tasks = tasks;
  gang.next_round = impl_->clock.Now();
  impl_->gangs[job] = gang;
}

void GangPlanner::Stop(const JobId& job) {
  auto it = impl_->gangs.find(job);
  if (it != impl_->gangs.end()) {
    impl_->ReleaseAll(it->second);
    impl_->gangs.erase(it);
  }
}

void GangPlanner::OnHoldReply(const MemberId& owner, const HoldReply& reply) {
  impl_->OnReply(owner, reply);
}

void GangPlanner::Tick() {
  const util::TimePoint now = impl_->clock.Now();
  // Copied because a hook may stop or start gangs.
  std::vector<JobId> jobs;
  for (const auto& [job, gang] : impl_->gangs) {
    jobs.push_back(job);
  }
  for (const JobId& job : jobs) {
    auto it = impl_->gangs.find(job);
    if (it == impl_->gangs.end()) {
      continue;
    }
    Gang& gang = it->second;
    if (gang.asked) {
      if (now - gang.asked_at >= impl_->options.reply_timeout) {
        impl_->OnTimeout(gang);
      }
    } else if (now >= gang.next_round) {
      impl_->BeginRound(gang);
    }
  }
}

bool GangPlanner::IsPlanning(const JobId& job) const {
  return impl_->gangs.count(job) > 0;
}

int64_t GangPlanner::held() const {
  int64_t held = 0;
  for (const auto& [job, gang] : impl_->gangs) {
    held += gang.Held();
  }
  return held;
}

}  // namespace chivedale
