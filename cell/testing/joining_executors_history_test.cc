// Guards against repeated and lost work after random histories of a cell whose
// executors are lost or cut off soon after they have joined or started again,
// as the leader ends, beside cuts and all other faults.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cell/testing/cut_history.h"
#include "cell/testing/joining_cell.h"

namespace chivedale::cell {

using testing::CutHistory;
using testing::JoiningCell;

BOOST_AUTO_TEST_SUITE(ACellWhoseExecutorsFailSoonAfterTheyJoin)

RC_BOOST_PROP(RunsNoTaskTwiceAndEndsAllJobsOnceFaultsAreOver, (uint64_t seed)) {
  CutHistory::Options options;
  options.rounds = 120;
  options.joins_executors = true;
  CutHistory history(seed, options);
  history.Run();
  history.Check();
}

// No other faults, so that the users' bound holds at each change of leader.
RC_BOOST_PROP(StartsTasksThatLastInTime, (uint64_t seed)) {
  const auto pick = [](int least, int most) {
    return *rc::gen::inRange(least, most + 1);
  };
  JoiningCell cell(seed, pick(0, 1) == 0 ? 0.98 : 1.0);
  cell.SubmitLastingTasks();
  int added = 6;
  int lost = 0;
  for (int round = 0; round < 4; ++round) {
    cell.RunFor(Millis(pick(0, 15'000)));
    const int joining = pick(0, 3);
    cell.AddExecutors("pool", joining, {32'000, 64'000, 0, 0});
    added += joining;
    cell.RunFor(Millis(pick(500, 10'000)));
    for (int i = pick(0, 2); i > 0 && added - lost > 3; --i) {
      cell.Lose({"e" + std::to_string(++lost)});
    }
    const std::string leader = cell.LeaderName();
    if (pick(0, 1) == 0) {
      cell.KillLeader();
    } else {
      cell.StopLeader();
    }
    cell.RunFor(testing::kMostWithoutARun);
    if (cell.executors.running() != testing::kTasks) {
      RC_FAIL(cell.log.Lines("executor_") + cell.log.Lines("executors_") +
              cell.log.Lines("cell_leading"));
    }
    cell.Restart(leader);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::cell
