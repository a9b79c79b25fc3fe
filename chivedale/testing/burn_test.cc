// Guards against burn rates that depend on how work was distributed over
// daemons, losses that remain in a window after it has passed, and alarms on
// one window alone.
#include "chivedale/burn.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <string>
#include <vector>

#include "chivedale/burn_html.h"
#include "chivedale/burn_json.h"
#include "chivedale/error.h"
#include "chivedale/testing/fake_clock.h"

namespace chivedale {
namespace {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

WorkRow Row(const std::string& kind, double share = 0.99) {
  WorkRow row;
  row.kind = kind;
  row.objective = {Millis(2'000), share};
  return row;
}

void RecordMany(BurnTracker& tracker, int good, int bad) {
  for (int i = 0; i < good + bad; ++i) {
    tracker.Record(Row("sort"), Millis(10), i < good, BurnCause::kWorkers);
  }
}

BurnRow Only(const BurnTracker& tracker) {
  return EvaluateBurn({tracker.Snapshot("m")}).rows.at(0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Merging)

RC_BOOST_PROP(MergedBurnIsTheBurnOfTheMergedStream, ()) {
  testing::FakeClock clock;
  BurnTracker all(clock);
  std::deque<BurnTracker> parts;
  for (int i = 0; i < 3; ++i) {
    parts.emplace_back(clock);
  }
  const int events = *rc::gen::inRange(0, 60);
  for (int i = 0; i < events; ++i) {
    clock.Advance(seconds(*rc::gen::inRange(0, 20'000)));
    const WorkRow row = Row(*rc::gen::element<std::string>("a", "b"));
    const Millis wait(*rc::gen::inRange(0, 100'000'000));
    const bool good = *rc::gen::arbitrary<bool>();
    const auto cause =
        static_cast<BurnCause>(*rc::gen::inRange(0, kBurnCauseCount));
    all.Record(row, wait, good, cause);
    parts[*rc::gen::inRange<size_t>(0, 3)].Record(row, wait, good, cause);
  }
  BurnSnapshot merged = MergeBurn(
      {parts[0].Snapshot("1"), parts[1].Snapshot("2"), parts[2].Snapshot("3")});
  const BurnSnapshot whole = all.Snapshot("1,2,3");
  RC_ASSERT(BurnSnapshotToJson(merged) == BurnSnapshotToJson(whole));
  RC_ASSERT(BurnReportToJson({EvaluateBurn({merged}).rows, {}}) ==
            BurnReportToJson({EvaluateBurn({whole}).rows, {}}));
  RC_ASSERT(BurnSnapshotToJson(ParseBurnSnapshot(BurnSnapshotToJson(whole))) ==
            BurnSnapshotToJson(whole));
}

BOOST_AUTO_TEST_CASE(BadSnapshotsAreRefused) {
  for (const char* text :
       {"", "{}", R"({"member":"m","covers_ms":1,"rows":{"a":{}}})"}) {
    BOOST_CHECK_THROW(ParseBurnSnapshot(text), Error);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Windows)

BOOST_AUTO_TEST_CASE(LossesLeaveEachWindowAfterItsLength) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  RecordMany(tracker, 0, 1);
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    const Millis earlier = i == 0 ? Millis(0) : kBurnWindows[i - 1];
    // One 60th of the window before its end, the loss still counts.
    clock.Advance(kBurnWindows[i] - earlier - kBurnWindows[i] / 60 - Millis(1));
    BOOST_TEST(tracker.Snapshot("m").rows.at("sort").windows[i].bad == 1);
    clock.Advance(kBurnWindows[i] / 60 + Millis(1));
    const BurnSnapshot snapshot = tracker.Snapshot("m");
    BOOST_TEST((snapshot.rows.count("sort") == 0 ||
                snapshot.rows.at("sort").windows[i].bad == 0));
  }
}

BOOST_AUTO_TEST_CASE(RatesAreInUnitsOfTheBudget) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  RecordMany(tracker, 98, 2);  // 2% lost, with a budget of 1%
  const BurnRow row = Only(tracker);
  BOOST_TEST(row.burn_rate[0] == 2.0, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(!row.page);
  BOOST_TEST(row.ticket);
  BOOST_TEST(row.exhausted);
  BOOST_TEST((row.largest_cause == BurnCause::kWorkers));
}

BOOST_AUTO_TEST_CASE(APageNeedsBothWindows) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  RecordMany(tracker, 10'000, 0);
  clock.Advance(minutes(50));
  RecordMany(tracker, 0, 20);
  // In 5 min everything is lost; in 1 h 0.2% is lost, with a budget of 1%.
  BOOST_TEST(!Only(tracker).page);
  RecordMany(tracker, 0, 2'000);
  BOOST_TEST(Only(tracker).page);
  // The loss has stopped, so the short window clears the alarm.
  clock.Advance(minutes(6));
  RecordMany(tracker, 10, 0);
  BOOST_TEST(!Only(tracker).page);
}

BOOST_AUTO_TEST_CASE(TimeToExhaustionFollowsTheHourRate) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  RecordMany(tracker, 100'000, 0);
  BOOST_TEST(Only(tracker).time_to_exhaustion.count() == 0);
  clock.Advance(hours(2));
  RecordMany(tracker, 980, 20);  // burn rate 2 in 1 h, 0.0198 in 3 d
  const BurnRow row = Only(tracker);
  BOOST_TEST(!row.exhausted);
  const double expected = (1 - row.burn_rate[3]) * 72 / 2;
  BOOST_TEST(
      static_cast<double>(row.time_to_exhaustion.count()) / 3.6e6 == expected,
      boost::test_tools::tolerance(1e-6));
}

BOOST_AUTO_TEST_CASE(WaitQuantilesAreWithinOneBucket) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  for (int ms = 1; ms <= 1'000; ++ms) {
    tracker.Record(Row("sort"), Millis(ms), true, BurnCause::kQueueing);
  }
  const BurnRow row = Only(tracker);
  BOOST_TEST(row.wait_p50_ms >= 500);
  BOOST_TEST(row.wait_p50_ms <= 500 * 1.26);
  BOOST_TEST(row.wait_p99_ms >= 990);
  BOOST_TEST(row.wait_p99_ms <= 990 * 1.26);
}

BOOST_AUTO_TEST_CASE(ShortCoverageIsAGap) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  clock.Advance(minutes(10));
  const BurnReport report = EvaluateBurn({tracker.Snapshot("e-1/x")});
  BOOST_REQUIRE_EQUAL(report.gaps.size(), 1u);
  BOOST_TEST(report.gaps[0].find("e-1/x covers only the last 10 min") !=
             std::string::npos);
  clock.Advance(hours(72));
  BOOST_TEST(EvaluateBurn({tracker.Snapshot("m")}).gaps.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(HtmlPage)

BOOST_AUTO_TEST_CASE(ThePageIsSelfContainedAndEscaped) {
  testing::FakeClock clock;
  BurnTracker tracker(clock);
  tracker.Record(Row("<b>&\"x"), Millis(5'000), false, BurnCause::kQueueing);
  const std::string page = BurnReportToHtml({tracker.Snapshot("e-1/<x>")});
  BOOST_TEST(page.find("<b>") == std::string::npos);
  BOOST_TEST(page.find("&lt;b&gt;&amp;&quot;x") != std::string::npos);
  BOOST_TEST(page.find("e-1/&lt;x&gt;") != std::string::npos);
  BOOST_TEST(page.find("<svg") != std::string::npos);
  BOOST_TEST(page.find("prefers-color-scheme: dark") != std::string::npos);
  for (const char* outside :
       {"http:", "https:", "<script", "@import", "url("}) {
    BOOST_TEST(page.find(outside) == std::string::npos, outside);
  }
  BOOST_TEST(BurnReportToHtml({}).find("No work") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
