// Guards against lost, repeated and forgotten work, and against ends that are
// never acknowledged, after random histories of a cell whose members are all
// replaced at new addresses, beside cuts and all other faults.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cell/testing/cut_history.h"

namespace chivedale::cell {

using testing::CutHistory;

BOOST_AUTO_TEST_SUITE(ACellWhoseMembersAreAllReplaced)

RC_BOOST_PROP(RunsNoTaskTwiceAndAcknowledgesAllEnds, (uint64_t seed)) {
  CutHistory::Options options;
  // Short, as a replacement may be followed by a wait of 620 s.
  options.rounds = 50;
  options.replaces_members = true;
  CutHistory history(seed, options);
  history.Run();
  history.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::cell
