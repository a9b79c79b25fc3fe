// Tests of the policies of the entry role: learned run times, admission,
// retries and routing.
#include <boost/test/unit_test.hpp>
#include <set>

#include "chivedale/admission.h"
#include "chivedale/retry_policy.h"
#include "chivedale/routing.h"
#include "chivedale/run_time_model.h"
#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/policy_support.h"
#include "rapidcheck/boost_test.h"

namespace chivedale {
namespace {

using testing::Chance;
using testing::EventCounts;
using testing::FakeClock;
using testing::MakeRow;
using testing::MakeTable;
using testing::PropertyRandom;

MemberInfo MakeMember(const std::string& id, const std::string& region) {
  MemberInfo member;
  member.id = MemberId(id);
  member.region = RegionId(region);
  member.data_centre = DataCentreId(region + "-dc");
  member.state = MemberState::kLive;
  return member;
}

Summary MakeSummary(const std::string& owner, int64_t workers, int64_t cores) {
  Summary summary;
  summary.owner = MemberId(owner);
  summary.sequence = 1;
  summary.plain.workers = workers;
  summary.plain.capacity = {workers * 32'000, workers * 131'072, 0,
                            workers * 8};
  summary.plain.largest_worker = {32'000, 131'072, 0, 8};
  summary.plain.free = {cores * 1000, cores * 4096, 0, cores};
  summary.plain.largest = summary.plain.free;
  return summary;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RunTimeModelTest)

// Guards against a straggler that raises the cost estimate of its whole row.
RC_BOOST_PROP(StragglersDoNotDistortTheMean, ()) {
  static EventCounts counts("run-time model, stragglers");
  util::Random random = PropertyRandom();
  RunTimeModel model;
  WorkRow row = MakeRow("k");
  row.expected_run = Millis(60'000);  // far from the actual run time
  row.longest_run = Millis(600'000);
  const auto typical = int64_t(50 + random.UniformInt(1000));
  for (int i = 0; i < 500; ++i) {
    const bool straggler = i % 50 == 49;
    counts.Add("stragglers", straggler ? 1 : 0);
    model.Learn("k", Millis(straggler ? typical * 50 : typical));
  }
  const double expected = double(typical) / 1e3;
  RC_ASSERT(model.MeanSeconds(row) > expected * 0.8);
  RC_ASSERT(model.MeanSeconds(row) < expected * 1.25);
  RC_ASSERT(model.QuantileSeconds(row, 0.999) > expected * 40);
}

BOOST_AUTO_TEST_CASE(DeclaredUntilEnoughSamplesAndNeverAboveTheLongest) {
  RunTimeModel model;
  WorkRow row = MakeRow("k");
  row.expected_run = Millis(3000);
  row.longest_run = Millis(5000);
  for (int i = 0; i < 7; ++i) {
    model.Learn("k", Millis(100'000));
    BOOST_TEST(model.MeanSeconds(row) == 3.0);
  }
  model.Learn("k", Millis(100'000));
  BOOST_TEST(model.MeanSeconds(row) == 5.0);
  BOOST_TEST(model.Cost(row, {32'000, 0, 0, 0}) == 5.0);
  BOOST_TEST(model.Cost(row, {0, 0, 4, 1}) == 2.5);
}

// Guards against a model that never forgets: a row whose work changes must be
// learned again.
BOOST_AUTO_TEST_CASE(OldSamplesDecay) {
  RunTimeModel model;
  WorkRow row = MakeRow("k");
  for (int i = 0; i < 5000; ++i) {
    model.Learn("k", Millis(10'000));
  }
  for (int i = 0; i < 1500; ++i) {
    model.Learn("k", Millis(100));
  }
  BOOST_TEST(model.MeanSeconds(row) < 0.13);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(AdmissionTest)

BOOST_AUTO_TEST_CASE(RefusesWithTheMatchingErrorKind) {
  FakeClock clock;
  FairQueue queue(clock, {});
  LimitShare limits(clock, MemberId("m"));
  RunTimeModel run_times;
  Admission admission(clock, queue, limits, run_times);
  WorkRow row = MakeRow("k");
  row.limits.max_queued = 100;
  row.limits.max_rate_per_s = 1000;
  const Table table = MakeTable({row});
  queue.SetTable(table);
  limits.SetTable(table);
  CellCapacity cell;
  cell.largest_plain = {4000, 8192, 0, 8};
  cell.capacity = {4000, 8192, 0, 8};
  cell.complete = true;
  const auto refusal = [&](const Resources& size, Millis to_deadline) {
    try {
      admission.Check(row, size, clock.Now() + to_deadline, cell);
    } catch (const AdmissionError& e) {
      return e.kind();
    }
    return ErrorKind::kInternal;  // accepted
  };
  const Millis hour(3'600'000);
  BOOST_TEST((refusal(row.size, hour) == ErrorKind::kInternal));
  BOOST_TEST((refusal({64'000, 1, 0, 1}, hour) == ErrorKind::kNeverFits));
  cell.complete = false;
  BOOST_TEST((refusal({64'000, 1, 0, 1}, hour) == ErrorKind::kInternal));
  BOOST_TEST((refusal(row.size, Millis(-1)) == ErrorKind::kDeadlineUnmet));
  for (int i = 0; i < 100; ++i) {
    QueuedItem item;
    item.task = TaskId(std::to_string(i));
    item.kind = "k";
    item.cost = run_times.Cost(row, row.size);
    item.deadline = clock.Now() + hour;
    queue.Push(item);
    if (i == 50) {
      // 51 items of 1 s, 8 slots: more than 6 s.
      BOOST_TEST(
          (refusal(row.size, Millis(5000)) == ErrorKind::kDeadlineUnmet));
      BOOST_TEST((refusal(row.size, Millis(8000)) == ErrorKind::kInternal));
    }
  }
  BOOST_TEST((refusal(row.size, hour) == ErrorKind::kQueueFull));
}

// Guards against refused requests that consume rate tokens of the row.
BOOST_AUTO_TEST_CASE(OnlyAcceptedRequestsTakeRate) {
  FakeClock clock;
  FairQueue queue(clock, {});
  LimitShare limits(clock, MemberId("m"));
  RunTimeModel run_times;
  Admission admission(clock, queue, limits, run_times);
  WorkRow row = MakeRow("k");
  row.limits.max_rate_per_s = 2;
  limits.SetTable(MakeTable({row}));
  const util::TimePoint late = clock.Now() + std::chrono::hours(1);
  for (int i = 0; i < 10; ++i) {
    BOOST_CHECK_THROW(
        admission.Check(row, row.size, clock.Now() - Millis(1), {}),
        AdmissionError);
  }
  admission.Check(row, row.size, late, {});
  admission.Check(row, row.size, late, {});
  BOOST_CHECK_EXCEPTION(admission.Check(row, row.size, late, {}),
                        AdmissionError, [](const AdmissionError& e) {
                          return e.kind() == ErrorKind::kRateLimited &&
                                 e.retry_after() > Millis(0);
                        });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RetryPolicyTest)

// Guards against retry storms, retries after the deadline, and a second run of
// work that must run at most once.
RC_BOOST_PROP(RetriesStayWithinBudgetDeadlineAndRepeatability, ()) {
  static EventCounts counts("retry policy");
  util::Random random = PropertyRandom();
  FakeClock clock;
  RetryPolicy::Options options;
  options.budget_ratio = random.UniformReal() * 0.3;
  options.budget_min_per_s = double(random.UniformInt(20));
  RetryPolicy policy(clock, random, options);
  const util::TimePoint begin = clock.Now();
  double first_attempts = 0;
  double granted = 0;
  for (int step = 0; step < 1000; ++step) {
    if (Chance(random, 40)) {
      policy.OnFirstAttempt();
      ++first_attempts;
    }
    if (Chance(random, 10)) {
      clock.Advance(std::chrono::milliseconds(random.UniformInt(1000)));
    }
    WorkRow row = MakeRow("k");
    row.repeatable = Chance(random, 70);
    row.max_retries = int(random.UniformInt(4));
    const Ran ran = Ran(random.UniformInt(3));
    const auto attempts = uint32_t(1 + random.UniformInt(6));
    const util::TimePoint deadline =
        clock.Now() + std::chrono::milliseconds(random.UniformInt(8000));
    counts.Add("ran_" + std::string(RanName(ran)));
    const auto backoff = policy.Grant(row, attempts, ran, deadline);
    if (!backoff) {
      continue;
    }
    ++granted;
    counts.Add("granted");
    RC_ASSERT(clock.Now() + *backoff < deadline);
    RC_ASSERT(*backoff <= options.max_backoff);
    if (ran != Ran::kNo) {
      RC_ASSERT(row.repeatable);
      RC_ASSERT(int(attempts) <= row.max_retries);
    }
    const double seconds =
        std::chrono::duration<double>(clock.Now() - begin).count();
    RC_ASSERT(granted <= options.budget_min_per_s * (1 + seconds) +
                             options.budget_ratio * first_attempts + 1e-6);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RoutingTest)

// Guards against dispatches to owners that cannot accept them, and against more
// dispatches based on one summary than it has room for.
RC_BOOST_PROP(PicksOnlyOwnersWithRoomLeft, ()) {
  static EventCounts counts("routing");
  util::Random random = PropertyRandom();
  FakeClock clock;
  const auto policy = RoutingPolicyKind(random.UniformInt(4));
  Routing routing(clock, random, MakeMember("self", "a"), policy);
  std::vector<MemberInfo> members = {MakeMember("self", "a")};
  std::map<MemberId, int64_t> room;
  std::map<MemberId, MemberInfo> infos;
  std::set<MemberId> refused;
  for (int i = 0; i < 6; ++i) {
    members.push_back(MakeMember("m" + std::to_string(i), i < 3 ? "a" : "b"));
    if (Chance(random, 10)) {
      members.back().state = MemberState::kDraining;
      counts.Add("draining");
    }
    infos[members.back().id] = members.back();
  }
  routing.SetMembers(members);
  const Resources size{1000, 512, 0, 1};
  uint64_t sequence = 1;
  for (int step = 0; step < 200; ++step) {
    if (Chance(random, 10)) {
      const MemberInfo& member = members[1 + random.UniformInt(6)];
      Summary summary =
          MakeSummary(member.id.str(), 4, int64_t(random.UniformInt(12)));
      summary.sequence = ++sequence;
      clock.Advance(std::chrono::milliseconds(100));
      routing.OnSummary(summary);
      room[member.id] = summary.plain.free.slots;
      refused.erase(member.id);
    }
    const auto rule = RegionRule(random.UniformInt(3));
    const Millis home_wait(random.UniformInt(100));
    const auto pick = routing.Pick(size, rule, home_wait);
    bool home_room = false;
    for (const auto& [id, left] : room) {
      home_room |= left > 0 && refused.count(id) == 0 &&
                   infos[id].region.str() == "a" &&
                   infos[id].state == MemberState::kLive;
    }
    if (!pick) {
      RC_ASSERT(!home_room);
      continue;
    }
    RC_ASSERT(routing.HasRoom(size, rule));
    RC_ASSERT(room[*pick] > 0);
    RC_ASSERT(refused.count(*pick) == 0U);
    RC_ASSERT(infos[*pick].state == MemberState::kLive);
    if (routing.IsRemoteRegion(*pick)) {
      counts.Add("cross_region");
      RC_ASSERT(!home_room);
      RC_ASSERT(rule != RegionRule::kHome);
      RC_ASSERT(rule == RegionRule::kAny || home_wait > Millis(50));
    }
    if (Chance(random, 15)) {
      counts.Add("refused");
      routing.OnNoRoom(*pick, size);
      refused.insert(*pick);
    } else {
      counts.Add("dispatched");
      routing.OnDispatched(*pick, size);
      --room[*pick];
    }
  }
}

// Guards against full confidence in a summary that is seconds old.
BOOST_AUTO_TEST_CASE(OldSummariesCountLess) {
  FakeClock clock;
  util::Random random(7);
  Routing routing(clock, random, MakeMember("self", "a"),
                  RoutingPolicyKind::kPowerOfTwoChoices);
  routing.SetMembers({MakeMember("self", "a"), MakeMember("old", "a"),
                      MakeMember("new", "a")});
  routing.OnSummary(MakeSummary("old", 4, 20));
  clock.Advance(std::chrono::seconds(10));
  routing.OnSummary(MakeSummary("new", 4, 20));
  int fresh = 0;
  for (int i = 0; i < 1000; ++i) {
    fresh +=
        routing.Pick({1000, 1, 0, 1}, RegionRule::kHome, Millis(0))->str() ==
                "new"
            ? 1
            : 0;
  }
  BOOST_TEST(fresh > 900);
}

// Guards against sending every dispatch to the same owner while its summary is
// old: two choices must spread dispatches in proportion to room.
BOOST_AUTO_TEST_CASE(PowerOfTwoChoicesSpreads) {
  FakeClock clock;
  util::Random random(7);
  Routing routing(clock, random, MakeMember("self", "a"),
                  RoutingPolicyKind::kPowerOfTwoChoices);
  routing.SetMembers(
      {MakeMember("self", "a"), MakeMember("x", "a"), MakeMember("y", "a")});
  routing.OnSummary(MakeSummary("x", 4, 22));
  routing.OnSummary(MakeSummary("y", 4, 20));
  int y = 0;
  for (int i = 0; i < 1000; ++i) {
    y += routing.Pick({1000, 1, 0, 1}, RegionRule::kHome, Millis(0))->str() ==
                 "y"
             ? 1
             : 0;
  }
  BOOST_TEST(y > 150);
}

// Guards against room of short work that appears taken to the entry until the
// next periodic summary (200 ms), although the answers have arrived.
BOOST_AUTO_TEST_CASE(RoomOfEndedWorkIsUsedBeforeTheNextSummary) {
  const bool held = rc::check("each ended attempt releases its room", [] {
    FakeClock clock;
    util::Random random(*rc::gen::arbitrary<uint64_t>());
    Routing routing(clock, random, MakeMember("self", "a"),
                    RoutingPolicyKind::kPowerOfTwoChoices);
    routing.SetMembers({MakeMember("self", "a"), MakeMember("x", "a")});
    const Resources size{1'000, 1'024, 0, 1};
    const Summary summary = MakeSummary("x", 4, 8);
    routing.OnSummary(summary);
    const auto room = std::min(summary.plain.free.slots,
                               summary.plain.free.cpu_milli / size.cpu_milli);
    int64_t open = 0;
    for (const bool ends : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (ends && open > 0) {
        routing.OnEnded(MemberId("x"), size);
        --open;
      } else if (routing.HasRoom(size, RegionRule::kHome)) {
        routing.OnDispatched(MemberId("x"), size);
        ++open;
      }
      RC_ASSERT(open <= room);
      RC_ASSERT(routing.HasRoom(size, RegionRule::kHome) == (open < room));
    }
  });
  BOOST_TEST(held);
}

// Guards against refusing work as too large for every worker because the large
// workers are busy or not yet known.
BOOST_AUTO_TEST_CASE(CellIsCompleteOnlyWithAllSummaries) {
  FakeClock clock;
  util::Random random(7);
  Routing routing(clock, random, MakeMember("self", "a"),
                  RoutingPolicyKind::kPowerOfTwoChoices);
  routing.SetMembers({MakeMember("self", "a"), MakeMember("x", "a")});
  routing.OnSummary(MakeSummary("x", 4, 2));
  routing.SetListedWorkers(6);
  BOOST_TEST(!routing.Cell().complete);
  routing.OnSummary(MakeSummary("self", 2, 0));
  BOOST_TEST(routing.Cell().complete);
  BOOST_TEST(routing.Cell().largest_plain.cpu_milli == 32'000);
  BOOST_TEST(routing.Cell().capacity.slots == 48);
}

// Guards against a replacement process that knows only itself and refuses its
// first requests as too large for every worker.
BOOST_AUTO_TEST_CASE(CellIsCompleteOnlyWhenTheListedWorkersAreOwned) {
  FakeClock clock;
  util::Random random(7);
  Routing routing(clock, random, MakeMember("self", "a"),
                  RoutingPolicyKind::kPowerOfTwoChoices);
  routing.SetMembers({MakeMember("self", "a")});
  routing.OnSummary(MakeSummary("self", 0, 0));
  BOOST_TEST(!routing.Cell().complete);  // no VM list yet
  routing.SetListedWorkers(48);
  BOOST_TEST(!routing.Cell().complete);
  Summary summary = MakeSummary("self", 47, 0);
  summary.sequence = 2;
  routing.OnSummary(summary);
  BOOST_TEST(!routing.Cell().complete);
  summary = MakeSummary("self", 48, 0);
  summary.sequence = 3;
  routing.OnSummary(summary);
  BOOST_TEST(routing.Cell().complete);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
