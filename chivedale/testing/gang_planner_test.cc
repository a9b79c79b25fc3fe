// Guards against gangs that start with part of their capacity, deadlock with
// each other, keep capacity that they do not use, or block the rest of the
// cell.
#include "chivedale/gang_planner.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/policy_support.h"
#include "rapidcheck/boost_test.h"

namespace chivedale {
namespace {

using testing::Chance;
using testing::EventCounts;
using testing::FakeClock;
using testing::PropertyRandom;

constexpr Resources kSize{1000, 0, 0, 1};

// Owners with slots, expiring holds, other work, and delayed or lost messages.
class GangCell {
 public:
  struct HoldState {
    JobId job;
    int64_t count = 0;
    util::TimePoint expires{};
  };
  struct Owner {
    int64_t slots = 0;
    int64_t used = 0;
    std::map<uint64_t, HoldState> holds;

    int64_t Free() const {
      int64_t free = slots - used;
      for (const auto& [id, hold] : holds) {
        free -= hold.count;
      }
      return free;
    }
  };
  struct Gang {
    JobId job;
    int64_t tasks = 0;
    std::unique_ptr<GangPlanner> planner;
    std::vector<GangSlot> running;
    util::TimePoint ends{};
    int runs = 0;
    std::string never_fits_reason;
  };

  GangCell(util::Random& random, EventCounts& counts, int loss_percent)
      : random_(random), counts_(counts), loss_percent_(loss_percent) {}

  void AddOwner(int64_t slots) {
    owners[MemberId("o" + std::to_string(owners.size()))].slots = slots;
  }

  void AddGang(int64_t tasks) {
    const size_t i = gangs.size();
    gangs.push_back(std::make_unique<Gang>());
    Gang& gang = *gangs.back();
    gang.job = JobId("g" + std::to_string(i));
    gang.tasks = tasks;
    GangPlanner::Hooks hooks;
    hooks.send = [this, &gang](const MemberId& to, const Message& message) {
      Post([this, &gang, to, message] { Receive(gang, to, message); });
    };
    hooks.summaries = [this] { return Summaries(); };
    hooks.complete = [] { return true; };
    hooks.held = [this, &gang](const JobId&, const std::vector<GangSlot>& s) {
      OnHeld(gang, s);
    };
    hooks.never_fits = [&gang](const JobId&, const std::string& reason) {
      gang.never_fits_reason = reason;
    };
    gang.planner = std::make_unique<GangPlanner>(clock, random_, hooks,
                                                 GangPlanner::Options());
    gang.planner->Start(gang.job, kSize, tasks);
  }

  void Step() {
    clock.Advance(std::chrono::milliseconds(10));
    while (!events_.empty() && events_.begin()->first <= clock.Now()) {
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    for (auto& [id, owner] : owners) {
      for (auto it = owner.holds.begin(); it != owner.holds.end();) {
        it = it->second.expires <= clock.Now() ? owner.holds.erase(it)
                                               : std::next(it);
      }
      RC_ASSERT(owner.Free() >= 0);
    }
    for (auto& gang : gangs) {
      if (!gang->running.empty() && clock.Now() >= gang->ends) {
        for (const GangSlot& slot : gang->running) {
          --owners[slot.owner].used;
        }
        gang->running.clear();
      }
      gang->planner->Tick();
    }
  }

  int64_t Holds() const {
    int64_t held = 0;
    for (const auto& [id, owner] : owners) {
      held += owner.slots - owner.used - owner.Free();
    }
    return held;
  }

  FakeClock clock;
  std::map<MemberId, Owner> owners;
  std::vector<std::unique_ptr<Gang>> gangs;

 private:
  void Post(std::function<void()> run) {
    if (Chance(random_, loss_percent_)) {
      counts_.Add("lost_messages");
      return;
    }
    const auto delay = std::chrono::milliseconds(1 + random_.UniformInt(20));
    events_.emplace(clock.Now() + delay, std::move(run));
  }

  std::vector<Summary> Summaries() const {
    std::vector<Summary> summaries;
    for (const auto& [id, owner] : owners) {
      Summary summary;
      summary.owner = id;
      summary.plain.workers = 1;
      summary.plain.capacity = {owner.slots * 1000, 1, 0, owner.slots};
      summary.plain.largest_worker = summary.plain.capacity;
      const int64_t free = owner.Free();
      summary.plain.free = {free * 1000, 1, 0, free};
      summary.plain.largest = summary.plain.free;
      summaries.push_back(summary);
    }
    return summaries;
  }

  void Receive(Gang& gang, const MemberId& to, const Message& message) {
    Owner& owner = owners[to];
    if (const auto* release = std::get_if<HoldRelease>(&message)) {
      owner.holds.erase(release->hold);
      return;
    }
    const Hold& hold = std::get<Hold>(message);
    HoldState& state = owner.holds[hold.hold];
    const int64_t have = state.count;
    state.count +=
        std::max<int64_t>(0, std::min(hold.count - have, owner.Free()));
    state.job = hold.job;
    state.expires = clock.Now() + hold.ttl;
    HoldReply reply;
    reply.hold = hold.hold;
    reply.job = hold.job;
    reply.workers.assign(size_t(state.count), WorkerId("w-" + to.str()));
    counts_.Add(state.count < hold.count ? "partial_holds" : "full_holds");
    if (state.count == 0) {
      owner.holds.erase(hold.hold);
    }
    Post([&gang, to, reply] { gang.planner->OnHoldReply(to, reply); });
  }

  void OnHeld(Gang& gang, const std::vector<GangSlot>& slots) {
    RC_ASSERT(int64_t(slots.size()) == gang.tasks);  // all tasks or none
    for (const GangSlot& slot : slots) {
      Owner& owner = owners[slot.owner];
      RC_ASSERT(owner.holds.count(slot.hold) == 1U);  // still held there
      RC_ASSERT(owner.holds[slot.hold].job == gang.job);
      RC_ASSERT(--owner.holds[slot.hold].count >= 0);
      ++owner.used;
    }
    gang.running = slots;
    gang.ends =
        clock.Now() + std::chrono::milliseconds(random_.UniformInt(500));
    ++gang.runs;
    counts_.Add("gangs_started");
  }

  util::Random& random_;
  EventCounts& counts_;
  const int loss_percent_;
  std::multimap<util::TimePoint, std::function<void()>> events_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(GangPlannerTest)

// Guards against deadlock and livelock of two to five gangs that compete for
// the same owners, partial starts, and holds that are never released.
RC_BOOST_PROP(CompetingGangsAllRunCompletely, ()) {
  static EventCounts counts("gangs, competing");
  util::Random random = PropertyRandom();
  GangCell cell(random, counts, int(random.UniformInt(10)));
  int64_t capacity = 0;
  for (uint64_t i = 2 + random.UniformInt(4); i > 0; --i) {
    const auto slots = int64_t(2 + random.UniformInt(8));
    cell.AddOwner(slots);
    capacity += slots;
  }
  const uint64_t gangs = 2 + random.UniformInt(4);
  for (uint64_t i = 0; i < gangs; ++i) {
    cell.AddGang(1 + int64_t(random.UniformInt(uint64_t(capacity))));
  }
  const auto all_ran = [&] {
    return std::all_of(cell.gangs.begin(), cell.gangs.end(),
                       [](const auto& gang) { return gang->runs > 0; });
  };
  // 5 gangs of at most 0.5 s each, with backoffs of at most 2 s.
  for (int step = 0; step < 6'000 && !all_ran(); ++step) {
    cell.Step();
    if (Chance(random, 1)) {
      counts.Add("stopped_and_restarted");
      auto& gang = *cell.gangs[random.UniformInt(gangs)];
      if (gang.runs == 0) {
        gang.planner->Stop(gang.job);
        gang.planner->Start(gang.job, kSize, gang.tasks);
      }
    }
  }
  RC_ASSERT(all_ran());
  for (int step = 0; step < 300; ++step) {  // longer than a hold lasts
    cell.Step();
  }
  RC_ASSERT(cell.Holds() == 0);
  for (const auto& gang : cell.gangs) {
    RC_ASSERT(gang->runs == 1);
    RC_ASSERT(!gang->planner->IsPlanning(gang->job));
  }
}

// Guards against a gang that waits forever for capacity that does not exist,
// and against holds that it keeps meanwhile.
BOOST_AUTO_TEST_CASE(AGangThatNeverFitsFailsWithTheReason) {
  EventCounts counts("gangs, too large");
  util::Random random(3);
  GangCell cell(random, counts, 0);
  cell.AddOwner(4);
  cell.AddOwner(4);
  cell.AddGang(9);
  for (int step = 0; step < 2900; ++step) {
    cell.Step();
  }
  BOOST_TEST(cell.gangs[0]->never_fits_reason.empty());  // workers may return
  for (int step = 0; step < 400; ++step) {
    cell.Step();
  }
  BOOST_TEST(cell.gangs[0]->never_fits_reason ==
             "the gang needs room for 9 tasks at once; the whole cell holds at "
             "most 8");
  BOOST_TEST(cell.Holds() == 0);
}

// Guards against a gang that needs the whole cell and keeps it idle.
BOOST_AUTO_TEST_CASE(AGangForTheWholeCellDoesNotBlockTheRest) {
  EventCounts counts("gangs, whole cell");
  util::Random random(5);
  GangCell cell(random, counts, 0);
  cell.AddOwner(10);
  cell.AddOwner(10);
  cell.AddGang(20);
  std::multimap<util::TimePoint, MemberId> ends;
  constexpr int kSteps = 3000;
  for (int step = 0; step < kSteps; ++step) {
    cell.Step();
    BOOST_TEST(cell.Holds() == 0);
    while (!ends.empty() && ends.begin()->first <= cell.clock.Now()) {
      --cell.owners[ends.begin()->second].used;
      ends.erase(ends.begin());
    }
    if (step % 20 != 0) {
      // Other work learns of free capacity only from the next summary.
      continue;
    }
    for (auto& [id, owner] : cell.owners) {
      while (owner.Free() > 0) {
        ++owner.used;
        ends.emplace(cell.clock.Now() + std::chrono::milliseconds(
                                            300 + random.UniformInt(600)),
                     id);
      }
    }
  }
  BOOST_TEST(cell.gangs[0]->runs == 0);
}

// Guards against a gang of half the cell that never gets its capacity although
// capacity keeps becoming free.
BOOST_AUTO_TEST_CASE(AGangOfHalfTheCellRunsUnderLoad) {
  EventCounts counts("gangs, under load");
  util::Random random(5);
  GangCell cell(random, counts, 0);
  cell.AddOwner(10);
  cell.AddOwner(10);
  cell.AddGang(10);
  std::multimap<util::TimePoint, MemberId> ends;
  int step = 0;
  for (; step < 3000 && cell.gangs[0]->runs == 0; ++step) {
    cell.Step();
    while (!ends.empty() && ends.begin()->first <= cell.clock.Now()) {
      --cell.owners[ends.begin()->second].used;
      ends.erase(ends.begin());
    }
    if (step % 20 != 0) {
      // Other work learns of free capacity only from the next summary.
      continue;
    }
    for (auto& [id, owner] : cell.owners) {
      while (owner.Free() > 0) {
        ++owner.used;
        ends.emplace(cell.clock.Now() + std::chrono::milliseconds(
                                            300 + random.UniformInt(600)),
                     id);
      }
    }
  }
  BOOST_TEST(cell.gangs[0]->runs == 1);
  BOOST_TEST(step < 1000);
}

BOOST_AUTO_TEST_SUITE(OneGangStepByStep)

// Two owners with capacity for `room` tasks each; the test supplies the
// replies.
struct OneGang {
  explicit OneGang(GangPlanner::Options options = GangPlanner::Options(),
                   int64_t room = 2) {
    GangPlanner::Hooks hooks;
    hooks.send = [this](const MemberId& to, const Message& message) {
      sent.emplace_back(to, message);
    };
    hooks.summaries = [room] {
      std::vector<Summary> summaries(2);
      for (size_t i = 0; i < summaries.size(); ++i) {
        summaries[i].owner = MemberId("o" + std::to_string(i));
        RoomSummary& plain = summaries[i].plain;
        plain.workers = 1;
        plain.capacity = {room * 1000, 1, 0, room};
        plain.largest_worker = plain.largest = plain.free = plain.capacity;
      }
      return summaries;
    };
    hooks.complete = [] { return true; };
    hooks.held = [this](const JobId&, const std::vector<GangSlot>& slots) {
      held = slots;
    };
    hooks.never_fits = [](const JobId&, const std::string&) {};
    planner = std::make_unique<GangPlanner>(clock, random, hooks, options);
  }

  void Advance(int ms) {
    clock.Advance(std::chrono::milliseconds(ms));
    planner->Tick();
  }
  const Hold* LastHold() const {
    const auto* hold =
        sent.empty() ? nullptr : std::get_if<Hold>(&sent.back().second);
    return hold;
  }
  void Reply(const std::string& owner, uint64_t hold, size_t count) {
    HoldReply reply;
    reply.hold = hold;
    reply.job = job;
    reply.workers.assign(count, WorkerId("w-" + owner));
    planner->OnHoldReply(MemberId(owner), reply);
  }
  int64_t Releases(const std::string& owner, uint64_t hold) const {
    return std::count_if(sent.begin(), sent.end(), [&](const auto& each) {
      const auto* release = std::get_if<HoldRelease>(&each.second);
      return release != nullptr && release->hold == hold &&
             each.first == MemberId(owner);
    });
  }

  FakeClock clock;
  util::Random random{1};
  const JobId job{"g"};
  std::vector<std::pair<MemberId, Message>> sent;
  std::vector<GangSlot> held;
  std::unique_ptr<GangPlanner> planner;
};

// Guards against capacity that a gang keeps at one owner after it has abandoned
// the round: two such gangs would wait for each other.
BOOST_AUTO_TEST_CASE(ReleasesItsHoldsAtBackoff) {
  OneGang gang;
  gang.planner->Start(gang.job, kSize, 4);  // the whole cell
  gang.Advance(50);
  BOOST_REQUIRE(gang.LastHold() != nullptr);
  const uint64_t first = gang.LastHold()->hold;
  gang.Reply("o0", first, 2);
  BOOST_REQUIRE(gang.LastHold() != nullptr);
  gang.Reply("o1", gang.LastHold()->hold, 0);
  BOOST_TEST(gang.Releases("o0", first) == 1);
  BOOST_TEST(gang.planner->held() == 0);
  BOOST_TEST(gang.held.empty());
}

// Guards against a gang that starts on a hold that expires at the owner before
// the starts arrive: the lifetime of a hold counts from its request.
BOOST_AUTO_TEST_CASE(RenewsAHoldThatEndsSoonAndThenStarts) {
  GangPlanner::Options options;
  options.hold_ttl = Millis(1'000);
  OneGang gang(options);
  gang.planner->Start(gang.job, kSize, 4);
  gang.Advance(50);
  const uint64_t first = gang.LastHold()->hold;
  gang.Advance(400);
  gang.Reply("o0", first, 2);
  const uint64_t second = gang.LastHold()->hold;
  gang.Advance(400);
  gang.Reply("o1", second, 2);
  // The first hold has 200 ms left, less than a start may take.
  BOOST_TEST(gang.held.empty());
  BOOST_REQUIRE(gang.LastHold() != nullptr);
  BOOST_TEST(gang.LastHold()->hold == first);
  gang.Reply("o0", first, 2);
  BOOST_TEST(gang.held.size() == 4U);
}

// Guards against capacity that stays held at the owner, or is counted for the
// gang, because the reply arrived after the gang had given up the hold.
BOOST_AUTO_TEST_CASE(ReleasesALateReply) {
  OneGang gang;
  gang.planner->Start(gang.job, kSize, 2);
  gang.Advance(50);
  const uint64_t first = gang.LastHold()->hold;
  gang.Advance(600);
  BOOST_TEST(gang.Releases("o0", first) == 1);
  gang.Reply("o0", first, 2);
  BOOST_TEST(gang.Releases("o0", first) == 2);
  BOOST_TEST(gang.planner->held() == 0);
  BOOST_TEST(gang.held.empty());
}

// Guards against a repeated reply that is mistaken for the reply of the owner
// asked next and extends what the planner counts as held.
BOOST_AUTO_TEST_CASE(IgnoresARepeatedReply) {
  OneGang gang;
  gang.planner->Start(gang.job, kSize, 4);
  gang.Advance(50);
  const uint64_t first = gang.LastHold()->hold;
  gang.Reply("o0", first, 2);
  const uint64_t second = gang.LastHold()->hold;
  gang.Reply("o0", first, 2);
  BOOST_TEST(gang.Releases("o0", first) == 0);
  BOOST_TEST(gang.planner->held() == 2);
  gang.Reply("o1", second, 2);
  BOOST_TEST(gang.held.size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReleasesAReplyAfterItWasStopped) {
  OneGang gang;
  gang.planner->Start(gang.job, kSize, 2);
  gang.Advance(50);
  const uint64_t first = gang.LastHold()->hold;
  gang.planner->Stop(gang.job);
  gang.Reply("o0", first, 2);
  BOOST_TEST(gang.Releases("o0", first) == 2);
  BOOST_TEST(gang.planner->held() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
