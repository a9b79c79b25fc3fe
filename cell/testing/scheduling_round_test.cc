// Tests of rounds that are spread over several scheduling passes.
#include "cell/scheduling_round.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <vector>

namespace chivedale::cell {
namespace {

constexpr TimePoint kBegin{std::chrono::hours(1)};

// Considers at most `most` steps in a pass. Returns how many it considered.
size_t RunPass(SchedulingRound& round,
               std::vector<Step>& steps,
               int64_t pass,
               TimePoint now,
               size_t most) {
  if (!round.Resume(pass, now)) {
    return 0;
  }
  size_t considered = 0;
  bool all = true;
  for (Step& step : steps) {
    if (round.HasConsidered(step)) {
      continue;
    }
    if (considered == most) {
      all = false;
      break;
    }
    step.last_pass = pass;
    ++considered;
  }
  round.OnPassEnd(now, Millis(static_cast<int64_t>(considered)), all);
  return considered;
}

BOOST_AUTO_TEST_SUITE(ASchedulingRound)

BOOST_AUTO_TEST_SUITE(OverSeveralPasses)

BOOST_AUTO_TEST_CASE(ConsidersEachStepOnce) {
  SchedulingRound round(0);
  std::vector<Step> steps(5);
  BOOST_TEST(RunPass(round, steps, 1, kBegin, 2) == 2u);
  BOOST_TEST(RunPass(round, steps, 2, kBegin, 2) == 2u);
  BOOST_TEST(!round.finished());
  BOOST_TEST(RunPass(round, steps, 3, kBegin, 2) == 1u);
  BOOST_TEST(round.finished());
}

BOOST_AUTO_TEST_CASE(ConsidersAStepThatComesMeanwhileInTheNextPass) {
  SchedulingRound round(0);
  std::vector<Step> steps(3);
  RunPass(round, steps, 1, kBegin, 2);
  steps.emplace(steps.begin());
  RunPass(round, steps, 2, kBegin, 1);
  BOOST_TEST(steps.front().last_pass == 2);
}

// Guards against a step that is left out, or a round that does not end.
RC_BOOST_PROP(EndsAndLeavesNoStepOut, ()) {
  SchedulingRound round(*rc::gen::inRange(0, 4));
  std::vector<Step> steps(*rc::gen::inRange<size_t>(1, 40));
  const size_t most = *rc::gen::inRange<size_t>(1, 10);
  TimePoint now = kBegin;
  int64_t pass = 0;
  for (int i = 0; i < 3; ++i) {
    const int64_t first = pass + 1;
    size_t considered = 0;
    while (considered < steps.size()) {
      RC_ASSERT(pass - first < 500);
      considered += RunPass(round, steps, ++pass, now, most);
      now += Millis(5);
    }
    RC_ASSERT(considered == steps.size());
    for (const Step& step : steps) {
      RC_ASSERT(step.last_pass >= first);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(PausesForAMultipleOfTheTimeItTook) {
  SchedulingRound round(3);
  std::vector<Step> steps(4);
  RunPass(round, steps, 1, kBegin, 2);
  RunPass(round, steps, 2, kBegin, 2);
  BOOST_TEST(round.finished());
  BOOST_TEST(RunPass(round, steps, 3, kBegin + Millis(11), 2) == 0u);
  BOOST_TEST(RunPass(round, steps, 4, kBegin + Millis(12), 2) == 2u);
}

BOOST_AUTO_TEST_CASE(KeepsReservationsUntilTheNextOne) {
  SchedulingRound round(0);
  std::vector<Step> steps(2);
  RunPass(round, steps, 1, kBegin, 1);
  round.Reserve(steps[0], 7);
  round.CountReservingStep(steps[0], "pool");
  RunPass(round, steps, 2, kBegin, 1);
  BOOST_TEST(round.finished());
  BOOST_TEST(round.IsReserved(7));
  BOOST_TEST(round.reserving_steps("pool") == 1);
  RunPass(round, steps, 3, kBegin, 1);
  BOOST_TEST(!round.IsReserved(7));
  BOOST_TEST(round.reserving_steps("pool") == 0);
}

// Guards against a step that is kept from the executors it has reserved itself,
// when a pass considers it again in the same round.
BOOST_AUTO_TEST_CASE(ReleasesTheReservationsOfOneStep) {
  SchedulingRound round(0);
  std::vector<Step> steps(2);
  RunPass(round, steps, 1, kBegin, 1);
  for (size_t i = 0; i < steps.size(); ++i) {
    round.Reserve(steps[i], 7 + i);
    round.CountReservingStep(steps[i], "pool");
  }
  round.Release(steps[0]);
  BOOST_TEST(!round.IsReserved(7));
  BOOST_TEST(round.IsReserved(8));
  BOOST_TEST(round.reserving_steps("pool") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
