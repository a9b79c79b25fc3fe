// Tests of the leader's reports of its load.
#include "cell/leader_load.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

class LastEventLog final : public EventLog {
 public:
  void Write(Event event, const LogFields& fields) override {
    last = event;
    values.clear();
    for (const auto& [name, value] : fields) {
      values[std::string(name)] = value;
    }
  }

  Event last = Event::kStarted;
  std::map<std::string, std::string> values;
};

BOOST_AUTO_TEST_SUITE(ALeadersLoad)

BOOST_AUTO_TEST_CASE(IsReportedOverTheTimeSinceTheLastReport) {
  LastEventLog log;
  LeaderLoad load(log);
  TimePoint now{std::chrono::hours(1)};
  load.OnTick(now);
  load.OnTick(now + Millis(40));
  load.OnPass(now, now + Millis(15), {8, 3});
  load.OnPass(now + Millis(100), now + Millis(120), {9, 4});
  load.OnFirstConsidered(0, Millis(70));
  load.OnFirstConsidered(2, Millis(90));
  BOOST_TEST(load.IsReportDue(now));
  load.Report(now, {{"starts", 100}});
  BOOST_TEST((log.last == Event::kLeaderLoad));
  BOOST_TEST(log.values["tick_gap_ms"] == "40");
  BOOST_TEST(log.values["passes"] == "2");
  BOOST_TEST(log.values["pass_ms"] == "35");
  BOOST_TEST(log.values["longest_pass_ms"] == "20");
  BOOST_TEST(log.values["pass_gap_ms"] == "100");
  BOOST_TEST(log.values["steps"] == "9");
  BOOST_TEST(log.values["late_steps"] == "4");
  BOOST_TEST(log.values["urgent_wait_ms"] == "70");
  BOOST_TEST(log.values["other_wait_ms"] == "90");
  BOOST_TEST(log.values["starts"] == "100");
  BOOST_TEST(!load.IsReportDue(now + Millis(999)));
  now += Millis(1'000);
  BOOST_TEST(load.IsReportDue(now));
  load.Report(now, {{"starts", 130}});
  BOOST_TEST(log.values["starts"] == "30");
  BOOST_TEST(log.values["passes"] == "0");
  BOOST_TEST(log.values["urgent_wait_ms"] == "0");
}

BOOST_AUTO_TEST_CASE(IsLoggedByTheLeaderEachSecond) {
  testing::CellFixture cell;
  cell.RunFor(Millis(3'000));
  BOOST_TEST(!cell.log.Lines("leader_load").empty());
}

// Guards against ends of jobs whose lateness cannot be read from the log.
BOOST_AUTO_TEST_CASE(IsExplainedByTheLatenessOfEachJob) {
  testing::CellFixture cell;
  cell.Submit("a", testing::kJobId, testing::MakeJobSpec(2, Millis(300)), "q0");
  cell.RunFor(Millis(1'000));
  BOOST_TEST(!cell.log.Lines("late_ms=-").empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
