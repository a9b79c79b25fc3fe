// Guards against a load run that deviates from its profile, so that its figures
// would apply to a different load.
#include "chivedale/load_plan.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/load_results.h"

namespace chivedale {
namespace {

constexpr char kProfile[] = R"({
  "rate_per_s": 1000, "duration_ms": 10000,
  "crest_factor": 10, "crest_at_ms": 4000, "crest_rise_ms": 2000,
  "crest_length_ms": 2000,
  "kinds": [{"kind": "short", "share": 3, "run_mean_ms": 10},
            {"kind": "long", "share": 1, "run_mean_ms": 100}]})";

std::vector<LoadArrival> AllOf(LoadPlan& plan) {
  std::vector<LoadArrival> all;
  while (std::optional<LoadArrival> arrival = plan.Next()) {
    all.push_back(std::move(*arrival));
  }
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ALoadPlan)

BOOST_AUTO_TEST_CASE(SendsTheRatesOfItsProfile) {
  LoadPlan plan(ParseLoadProfile(kProfile), 7);
  std::vector<int> per_second(10, 0);
  int shorts = 0;
  const std::vector<LoadArrival> all = AllOf(plan);
  for (const LoadArrival& arrival : all) {
    ++per_second[static_cast<size_t>(arrival.at / std::chrono::seconds(1))];
    shorts += arrival.kind == 0 ? 1 : 0;
  }
  // Five standard deviations of a Poisson-distributed count: 158 at 1,000 and
  // 500 at 10,000.
  BOOST_TEST(std::abs(per_second[1] - 1'000) < 160);
  BOOST_TEST(std::abs(per_second[6] - 10'000) < 500);
  BOOST_TEST(std::abs(per_second[9] - 1'000) < 160);
  const double share = static_cast<double>(shorts) / all.size();
  BOOST_TEST(std::abs(share - 0.75) < 0.02);
}

BOOST_AUTO_TEST_CASE(IsTheSameForTheSameSeed) {
  LoadPlan a(ParseLoadProfile(kProfile), 7);
  LoadPlan b(ParseLoadProfile(kProfile), 7);
  const std::vector<LoadArrival> first = AllOf(a);
  const std::vector<LoadArrival> second = AllOf(b);
  BOOST_TEST_REQUIRE(first.size() == second.size());
  for (size_t i = 0; i < first.size(); ++i) {
    BOOST_TEST_REQUIRE(first[i].id == second[i].id);
    BOOST_TEST_REQUIRE(first[i].payload == second[i].payload);
  }
}

BOOST_AUTO_TEST_CASE(RefusesAWrongProfile) {
  for (const char* text : {"", "{}", R"({"kinds": []})", R"({"kinds": [{}]})",
                           R"({"rate": 1, "kinds": [{"kind": "a"}]})",
                           R"({"rate_per_s": "x", "kinds": [{"kind": "a"}]})",
                           R"({"kinds": [{"kind": "a", "shares": 1}]})"}) {
    BOOST_CHECK_THROW(ParseLoadProfile(text), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadResultsComparedWithWorkerRecords)

// Guards against recovery figures that include the crest or omit lost work.
BOOST_AUTO_TEST_CASE(SeparateTheCrestFromTheTimeAfterIt) {
  LoadProfile profile = ParseLoadProfile(kProfile);
  profile.crest_at = Millis(1'000);
  profile.crest_rise = Millis(500);
  profile.crest_length = Millis(1'500);
  LoadResults results(profile);
  const auto add = [&results](int64_t at_ms, LoadOutcome outcome) {
    LoadRequest request;
    request.at = Millis(at_ms);
    request.latency = Millis(at_ms);
    request.outcome = outcome;
    results.Add(request);
  };
  add(999, LoadOutcome::kOk);
  add(1'000, LoadOutcome::kOk);
  add(2'999, LoadOutcome::kLost);
  add(3'000, LoadOutcome::kOk);
  add(7'999, LoadOutcome::kOk);
  add(8'000, LoadOutcome::kOk);
  add(9'000, LoadOutcome::kRefused);
  add(9'000, LoadOutcome::kCancelled);
  const LoadKindResult& kind = results.kinds()[0];
  BOOST_TEST(kind.crest_total == 2);
  BOOST_TEST(kind.crest_wait.count() == 1);
  BOOST_TEST(kind.after_total == 2);
  BOOST_TEST(kind.after_wait.count() == 1);
}

BOOST_AUTO_TEST_CASE(NameEachContradiction) {
  const LoadProfile profile = ParseLoadProfile(kProfile);
  LoadResults results(profile);
  const auto add = [&results](const std::string& id, LoadOutcome outcome) {
    LoadRequest request;
    request.id = id;
    request.outcome = outcome;
    results.Add(request);
  };
  add("refused-not-run", LoadOutcome::kRefused);
  add("refused-but-run", LoadOutcome::kRefused);
  add("ok-not-run", LoadOutcome::kOk);
  add("ok-run-twice", LoadOutcome::kOk);
  const WorkerRunRecords records = {{"refused-but-run", {1, 1}},
                                    {"ok-run-twice", {2, 2}}};
  const LoadContradictions found =
      results.Compare(records, {{"short", true}, {"long", false}});
  BOOST_TEST(found.run_but_reported_not_run == 1);
  BOOST_TEST(found.answered_without_run == 1);
  BOOST_TEST(found.unrepeatable_run_twice == 1);
  BOOST_TEST(found.total() == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
