// Guards the schedule of live failure runs, which must be reproducible and must
// not take out too many daemons at once.
#include "chivedale/tools/failure_plan.h"

#include <rapidcheck.h>
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace chivedale::testing {
namespace {

FailurePlanOptions OptionsOf(uint64_t seed, int seconds) {
  FailurePlanOptions options;
  options.seed = seed;
  options.duration = std::chrono::seconds(seconds);
  for (int i = 0; i < 48; ++i) {
    options.workers.push_back("w-" + std::to_string(i));
  }
  return options;
}

std::vector<std::string> Lines(const FailurePlanOptions& options) {
  std::vector<std::string> lines;
  for (const FailureStep& step : MakeFailurePlan(options)) {
    lines.push_back(step.Line());
  }
  return lines;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(AFailurePlan)

RC_BOOST_PROP(IsTheSameForTheSameSeed, ()) {
  const auto seed = *rc::gen::arbitrary<uint64_t>();
  const int seconds = *rc::gen::inRange(20, 200);
  RC_ASSERT(Lines(OptionsOf(seed, seconds)) == Lines(OptionsOf(seed, seconds)));
}

RC_BOOST_PROP(NeverTakesMoreThanThreeDaemonsOut, ()) {
  const FailurePlanOptions options =
      OptionsOf(*rc::gen::arbitrary<uint64_t>(), *rc::gen::inRange(20, 200));
  std::set<int> out;
  Millis last{0};
  for (const FailureStep& step : MakeFailurePlan(options)) {
    RC_ASSERT(step.at >= last);
    RC_ASSERT(step.at <= options.duration);
    last = step.at;
    if (step.daemon == 0) {
      continue;
    }
    if (step.begins) {
      RC_ASSERT(out.insert(step.daemon).second);
    } else {
      RC_ASSERT(out.erase(step.daemon) == 1);
    }
    RC_ASSERT(out.size() <= size_t{3});
  }
  RC_ASSERT(out.empty());
}

BOOST_AUTO_TEST_CASE(HoldsEachKindInTwoMinutes) {
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    std::map<std::string, int> begun;
    for (const FailureStep& step : MakeFailurePlan(OptionsOf(seed, 120))) {
      begun[step.kind] += step.begins ? 1 : 0;
    }
    // 13 kinds of stand-in faults, 3 of daemon faults and the wrong VM list.
    BOOST_TEST(begun.size() == 17, "seed " << seed);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
