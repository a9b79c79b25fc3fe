// Guards against an order in which delays cost callers more than they must.
// Each case names the load that it answers.
#include "cell/pass_order.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

namespace chivedale::cell {
namespace {

using std::chrono::seconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

// Steps with tasks to start. Objectives are relative to kNow.
struct Steps {
  WaitingStep& Add(Millis objective, Millis remaining, double work = 10) {
    Step& step = storage.emplace_back();
    step.ready_since = kNow;
    WaitingStep& waiting = steps.emplace_back();
    waiting.step = &step;
    waiting.priority = 1;
    waiting.deadlines = JobDeadlines::Of(kNow + objective, Millis(2'000));
    waiting.remaining_time = remaining;
    waiting.remaining_work = work;
    waiting.job_work = work;
    return waiting;
  }
  // Indexes of the steps in the order of a pass.
  std::vector<size_t> Sorted(ShortageOrder order) {
    std::vector<std::pair<PassKey, size_t>> keys;
    for (size_t i = 0; i < steps.size(); ++i) {
      keys.emplace_back(PassOrder::Of(order).KeyOf(steps[i], 10, kNow), i);
    }
    std::sort(keys.begin(), keys.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<size_t> sorted;
    sorted.reserve(keys.size());
    for (const auto& [key, index] : keys) {
      sorted.push_back(index);
    }
    return sorted;
  }

  std::deque<Step> storage;
  std::deque<WaitingStep> steps;
};

using Order = std::vector<size_t>;

BOOST_AUTO_TEST_SUITE(TheOrderOfAPass)

BOOST_AUTO_TEST_SUITE(ByCost)

// An urgent queue gets more than its pool can run.
BOOST_FIXTURE_TEST_CASE(PutsWorkThatCanBeInTimeFirst, Steps) {
  Add(Millis(500), Millis(600));  // cannot be in time any more
  Add(Millis(900), Millis(600));
  Add(Millis(700), Millis(600));
  BOOST_TEST((Sorted(ShortageOrder::kCost) == Order{2, 1, 0}));
  BOOST_TEST((Sorted(ShortageOrder::kObjective) == Order{0, 2, 1}));
}

// Late jobs of different sizes compete: more of them complete while they are
// worth something if the least work goes first.
BOOST_FIXTURE_TEST_CASE(PutsLateWorkByItsWorkPerValue, Steps) {
  Add(Millis(-100), Millis(600), 100);
  Add(Millis(-50), Millis(600), 5);
  Add(Millis(-200), Millis(600), 100).remaining_work = 10;  // nearly done
  BOOST_TEST((Sorted(ShortageOrder::kCost) == Order{2, 1, 0}));
}

BOOST_FIXTURE_TEST_CASE(PutsWorkThatIsWorthNothingLast, Steps) {
  Add(Millis(-9'000), Millis(600), 1);
  Add(Millis(-100), Millis(600), 100);
  BOOST_TEST((Sorted(ShortageOrder::kCost) == Order{1, 0}));
}

// Lasting overload: what is worth little must complete as well.
BOOST_FIXTURE_TEST_CASE(StarvesNothing, Steps) {
  Add(Millis(900), Millis(600));
  Add(Millis(-60'000), Millis(600)).step->ready_since = kNow - seconds(31);
  Add(Millis(-60'000), Millis(600)).step->ready_since = kNow - seconds(40);
  BOOST_TEST((Sorted(ShortageOrder::kCost) == Order{2, 1, 0}));
}

BOOST_FIXTURE_TEST_CASE(KeepsPriorities, Steps) {
  Add(Millis(-100), Millis(600)).priority = 0;
  Add(Millis(900), Millis(600));
  BOOST_TEST((Sorted(ShortageOrder::kCost) == Order{0, 1}));
}

BOOST_AUTO_TEST_SUITE_END()

// One account sends many times its usual.
BOOST_FIXTURE_TEST_CASE(PutsWorkOverAnAccountsShareLast, Steps) {
  WaitingStep& urgent = Add(Millis(100), Millis(50));
  urgent.priority = 0;
  urgent.over_share = true;
  Add(Millis(9'000), Millis(50));
  for (const ShortageOrder order :
       {ShortageOrder::kObjective, ShortageOrder::kCost}) {
    BOOST_TEST((Sorted(order) == Order{1, 0}));
  }
}

BOOST_FIXTURE_TEST_CASE(PutsLongRunningTasksThatHaveWaitedFirst, Steps) {
  Add(Millis(100), Millis(50)).priority = 0;
  Add(Millis(9'000), Millis(50)).restart_due = true;
  for (const ShortageOrder order :
       {ShortageOrder::kObjective, ShortageOrder::kCost}) {
    BOOST_TEST((Sorted(order) == Order{1, 0}));
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(APreemption)

// A burst of urgent jobs beside large ones.
BOOST_FIXTURE_TEST_CASE(DelaysWorkInTimeOnlyForWorkThatCanBeInTime, Steps) {
  const PassOrder& order = PassOrder::Of(ShortageOrder::kCost);
  const WaitingStep in_time = Add(Millis(900), Millis(600));
  const WaitingStep late = Add(Millis(500), Millis(600));
  for (const PreemptionLoss loss :
       {PreemptionLoss::kNone, PreemptionLoss::kLate,
        PreemptionLoss::kOnTime}) {
    BOOST_TEST(order.MayCause(in_time, loss, Millis(300), kNow));
    BOOST_TEST(order.MayCause(late, loss, Millis(0), kNow) ==
               (loss != PreemptionLoss::kOnTime));
    // In time only if it were started at once.
    BOOST_TEST(order.MayCause(in_time, loss, Millis(301), kNow) ==
               (loss != PreemptionLoss::kOnTime));
  }
}

BOOST_AUTO_TEST_CASE(CostsWhatTheInterruptedJobLoses) {
  const PassOrder& order = PassOrder::Of(ShortageOrder::kCost);
  const auto loss = [&order](Millis objective, Millis remaining) {
    return order.LossOf(JobDeadlines::Of(kNow + objective, Millis(2'000)),
                        remaining, Millis(1'000), kNow);
  };
  BOOST_TEST((loss(Millis(5'000), Millis(2'000)) == PreemptionLoss::kNone));
  BOOST_TEST((loss(Millis(2'500), Millis(2'000)) == PreemptionLoss::kOnTime));
  BOOST_TEST((loss(Millis(1'000), Millis(2'000)) == PreemptionLoss::kLate));
  BOOST_TEST((loss(Millis(-5'000), Millis(2'000)) == PreemptionLoss::kNone));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
