// A hold is refused at once instead of waiting, so gangs cannot deadlock; the
// order by owner id makes two gangs meet at the first owner that both want,
// before either holds much, and random backoff breaks ties. A hold counts from
// the time it was asked for, so it is never believed longer than its owner
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

// Between two rounds of a gang that keeps partial holds.
constexpr Millis kRoundPause{200};
// Dispatches must reach the owners before the holds end.
constexpr Millis kTimeToStart{500};

int64_t CountIn(const RoomSummary& pool, const Resources& size, bool free) {
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

struct Part {
  uint64_t hold = 0;
  std::vector<WorkerId> workers;
  util::TimePoint expires{};
};

struct Gang {
  JobId job;
  Resources size;
  int64_t tasks = 0;
  // Owners still to ask in this round, in order of id.
  std::vector<MemberId> to_ask;
  std::optional<MemberId> asked;
  util::TimePoint asked_at{};
  std::map<MemberId, Part> parts;
  // While not asking: when the next round starts.
  util::TimePoint wake{};
  bool accumulates = false;
  util::TimePoint window_end{};
  int failed_rounds = 0;
  std::optional<util::TimePoint> too_large_since;

  int64_t Held() const {
    int64_t held = 0;
    for (const auto& [owner, part] : parts) {
      held += static_cast<int64_t>(part.workers.size());
    }
    return held;
  }
};

}  // namespace

int64_t TasksThatFit(const Summary& summary, const Resources& size, bool free) {
  if (free && summary.draining) {
    return 0;
  }
  const int64_t accelerated = CountIn(summary.accelerated, size, free);
  const int64_t plain =
      size.accelerators > 0 ? 0 : CountIn(summary.plain, size, free);
  const int64_t most = std::numeric_limits<int64_t>::max();
  return plain > most - accelerated ? most : plain + accelerated;
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
    return shortest + Millis(static_cast<int64_t>(random.Below(span + 1)));
  }

  void Release(const MemberId& owner, uint64_t hold) {
    hooks.send(owner, HoldRelease{hold});
  }

  void ReleaseAll(Gang& gang) {
    for (const auto& [owner, part] : gang.parts) {
      Release(owner, part.hold);
    }
    gang.parts.clear();
    gang.asked.reset();
    gang.to_ask.clear();
  }

  void BackOff(Gang& gang) {
    ReleaseAll(gang);
    gang.failed_rounds = std::min(gang.failed_rounds + 1, 16);
    const Millis full = std::min(
        options.longest_backoff,
        Millis(options.first_backoff.count() << (gang.failed_rounds - 1)));
    gang.wake = clock.Now() + Between(full / 2, full);
    gang.window_end = {};
  }

  // The reason why the gang can never run, or empty.
  static std::string WhyNever(const Gang& gang, int64_t most) {
    if (most >= gang.tasks) {
      return "";
    }
    return "the gang needs room for " + std::to_string(gang.tasks) +
           " tasks at once; the whole cell holds at most " +
           std::to_string(most);
  }

  // False when the gang was reported as too large.
  bool CheckSize(Gang& gang, const std::vector<Summary>& summaries) {
    // Sums of at most this many keep clear of overflow.
    constexpr int64_t kMany = int64_t{1} << 31;
    int64_t most = 0;
    for (const Summary& summary : summaries) {
      most += std::min(TasksThatFit(summary, gang.size, false), kMany);
    }
    gang.accumulates = static_cast<double>(gang.tasks) <=
                       options.accumulate_part * static_cast<double>(most);
    const std::string why = hooks.complete() ? WhyNever(gang, most) : "";
    if (why.empty()) {
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
    hooks.never_fits(job, why);
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
    for (const auto& [owner, part] : gang.parts) {
      order.insert(owner);  // its hold needs more time
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
    for (auto it = gang.parts.begin(); it != gang.parts.end();) {
      it = it->second.expires <= now ? gang.parts.erase(it) : std::next(it);
    }
  }

  void Ask(Gang& gang, const MemberId& owner) {
    Part& part = gang.parts[owner];
    if (part.hold == 0) {
      part.hold = random.Next() | 1;
    }
    gang.asked = owner;
    gang.asked_at = clock.Now();
    const auto here = static_cast<int64_t>(part.workers.size());
    const int64_t wanted = gang.tasks - gang.Held() + here;
    hooks.send(owner,
               Hold{part.hold, gang.job, gang.size, wanted, options.hold_ttl});
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
      gang.wake = clock.Now() + Between(kRoundPause / 2, kRoundPause);
      return;
    }
    BackOff(gang);
  }

  // Asks again for a hold that would end before the starts arrive.
  void FinishOrRenew(Gang& gang) {
    const util::TimePoint soon = clock.Now() + kTimeToStart;
    for (const auto& [owner, part] : gang.parts) {
      if (!part.workers.empty() && part.expires < soon) {
        Ask(gang, owner);
        return;
      }
    }
    std::vector<GangSlot> slots;
    for (const auto& [owner, part] : gang.parts) {
      for (const WorkerId& worker : part.workers) {
        slots.push_back({owner, worker, part.hold});
      }
      if (part.workers.empty()) {
        Release(owner, part.hold);
      }
    }
    const JobId job = gang.job;
    gangs.erase(job);
    hooks.held(job, slots);
  }

  void OnReply(const MemberId& owner, const HoldReply& reply) {
    auto it = gangs.find(reply.job);
    const bool expected = it != gangs.end() && it->second.asked == owner &&
                          it->second.parts.count(owner) > 0 &&
                          it->second.parts[owner].hold == reply.hold;
    if (!expected) {
      // Late: the gang no longer counts on it, unless it is a part that an
      // earlier reply confirmed.
      const bool kept = it != gangs.end() &&
                        it->second.parts.count(owner) > 0 &&
                        it->second.parts[owner].hold == reply.hold;
      if (!kept) {
        Release(owner, reply.hold);
      }
      return;
    }
    Gang& gang = it->second;
    Part& part = gang.parts[owner];
    gang.asked.reset();
    part.workers = reply.workers;
    part.expires = gang.asked_at + options.hold_ttl;
    TrimSurplus(gang, part);
    if (part.workers.empty()) {
      Release(owner, part.hold);
      gang.parts.erase(owner);
    }
    if (clock.Now() > gang.window_end && gang.Held() < gang.tasks &&
        gang.to_ask.empty()) {
      BackOff(gang);
      return;
    }
    AskNext(gang);
  }

  static void TrimSurplus(Gang& gang, Part& part) {
    while (gang.Held() > gang.tasks && !part.workers.empty()) {
      part.workers.pop_back();
    }
  }

  void OnTimeout(Gang& gang) {
    const MemberId owner = *gang.asked;
    Release(owner, gang.parts[owner].hold);
    gang.parts.erase(owner);
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
  gang.wake = impl_->clock.Now();
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
  // Copied: a hook may stop or start gangs.
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
    } else if (now >= gang.wake) {
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
