// Tests of the number of waiting jobs that members report.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::MakeJobSpec;

constexpr int kWaiting = 10;

void SubmitJobs(CellFixture& cell, const std::string& member) {
  for (int i = 0; i < kWaiting; ++i) {
    cell.Submit(member, "00000000000000b" + std::to_string(i),
                MakeJobSpec(1, Millis(300)), "q0");
  }
}

BOOST_AUTO_TEST_SUITE(ACell)

// Regression (caminho-agua-grown, MIXED): a job of which a start had been
// ordered was not counted any more, although no executor had begun it.
BOOST_AUTO_TEST_CASE(CountsAJobWhoseStartsAreRejectedAsPending) {
  CellFixture cell;
  cell.executors.start_result = [](const StartOrder&) {
    return OrderResult::kUnhealthy;
  };
  SubmitJobs(cell, "a");
  for (int i = 0; i < 10; ++i) {
    cell.RunFor(Millis(600));
    for (const char* name : {"a", "b", "c"}) {
      BOOST_TEST(cell.node(name)->Pending("q0").value_or(0) == kWaiting);
    }
  }
  BOOST_TEST((cell.StateOf("00000000000000b0") == JobState::kQueued));
  cell.executors.start_result = nullptr;
  cell.RunFor(Millis(3'000));
  BOOST_TEST((cell.StateOf("00000000000000b0") == JobState::kCompleted));
  BOOST_TEST(cell.node("a")->Pending("q0").value_or(kWaiting) == 0);
}

// Regression (caminho-agua-grown, MIXED): the same, where the starts reach no
// executor that answers.
BOOST_AUTO_TEST_CASE(CountsAJobWhoseStartsAreNotAnsweredAsPending) {
  CellFixture cell;
  cell.executors.member_links[cell.LeaderName()].cut = true;
  SubmitJobs(cell, "a");
  cell.RunFor(Millis(3'000));
  for (const char* name : {"a", "b", "c"}) {
    BOOST_TEST(cell.node(name)->Pending("q0").value_or(0) == kWaiting);
  }
}

// The leader's watch of the jobs and the members' notices both fail.
BOOST_AUTO_TEST_CASE(ReportsNoCountWhileTheLeaderDoesNotReadNewJobs) {
  CellFixture cell;
  cell.executors.start_result = [](const StartOrder&) {
    return OrderResult::kUnhealthy;
  };
  const std::string leader = cell.LeaderName();
  const std::string member = cell.NonLeaderName();
  cell.CutLink(member, leader, true);
  cell.store.faults_of[leader].watches_hang = true;
  SubmitJobs(cell, member);
  cell.RunFor(Millis(5'000));
  BOOST_REQUIRE(cell.accepted().size() == kWaiting);
  for (int i = 0; i < 20; ++i) {
    cell.RunFor(Millis(200));
    for (const char* name : {"a", "b", "c"}) {
      BOOST_TEST(cell.node(name)->Pending("q0").value_or(kWaiting) == kWaiting);
    }
  }
  cell.store.faults_of.clear();
  cell.CutLink(member, leader, false);
  cell.RunFor(Millis(3'000));
  BOOST_TEST(cell.node("a")->Pending("q0").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
