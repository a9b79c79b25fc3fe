// Tests of a cell in which the leader's heartbeats do not reach some members,
// and of what the members report before a new leader has read the jobs.
#include <boost/test/unit_test.hpp>
#include <string>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

BOOST_AUTO_TEST_SUITE(ACell)

// Regression (kowa-consult-large): VMs that were added received no heartbeat of
// the leader within their first second, one of them was elected, and it was too
// weak to lead.
BOOST_AUTO_TEST_SUITE(WithALeaderThatOneMemberDoesNotHear)

BOOST_AUTO_TEST_CASE(KeepsItsLeader) {
  CellFixture cell;
  const std::string leader = cell.LeaderName();
  cell.CutLink(leader, cell.NonLeaderName(), true);
  cell.RunFor(Millis(6'000));
  BOOST_TEST(cell.LeaderName() == leader);
  BOOST_TEST(cell.node(leader)->leader()->leadership().term == 1);
}

BOOST_AUTO_TEST_CASE(ReplacesItsLeaderOnceNoMemberHearsIt) {
  CellFixture cell;
  const std::string leader = cell.LeaderName();
  cell.CutLink(leader, cell.NonLeaderName(), true);
  cell.RunFor(Millis(3'000));
  cell.Freeze(leader, Millis(20'000));
  cell.RunFor(Millis(2'000));
  int others_leading = 0;
  for (const std::string name : {"a", "b", "c"}) {
    others_leading += name != leader && cell.node(name)->leading();
  }
  BOOST_TEST(others_leading == 1);
}

BOOST_AUTO_TEST_SUITE_END()

// Regression (kowa-consult-large, MIXED): members reported that no job waits
// until the new leader had read the jobs.
BOOST_AUTO_TEST_CASE(ReportsNoCountOfPendingJobsThatItDoesNotKnow) {
  constexpr int kWaiting = 10;
  CellFixture cell;
  cell.Submit("a", kJobId, MakeJobSpec(4, Millis(60'000), 32'000), "q0");
  cell.RunFor(Millis(300));
  for (int i = 0; i < kWaiting; ++i) {
    cell.Submit("a", "00000000000000b" + std::to_string(i),
                MakeJobSpec(1, Millis(300), 32'000), "q0");
  }
  cell.RunFor(Millis(1'000));
  BOOST_TEST(cell.node("b")->Pending("q0").value_or(0) == kWaiting);
  cell.store.faults.late_reads[kJobPrefix] = Millis(1'900);
  cell.Kill(cell.LeaderName());
  bool unknown = false;
  for (int i = 0; i < 100; ++i) {
    cell.RunFor(Millis(100));
    for (const char* name : {"a", "b", "c"}) {
      if (cell.node(name) == nullptr) {
        continue;
      }
      const auto pending = cell.node(name)->Pending("q0");
      unknown = unknown || !pending;
      BOOST_TEST(pending.value_or(kWaiting) == kWaiting);
    }
  }
  BOOST_TEST(unknown);
  BOOST_TEST(cell.leader()->Pending("q0").value_or(0) == kWaiting);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
