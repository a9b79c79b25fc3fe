// Guards against lost, repeated and forgotten work after random histories of a
// cell in several data centres that are cut off from each other. A program of
// its own, since its histories take long.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cell/testing/cut_history.h"

namespace chivedale::cell {

using testing::CutHistory;

BOOST_AUTO_TEST_SUITE(ACellThatIsCutInParts)

RC_BOOST_PROP(RunsNoTaskTwiceAndEndsAllJobsOnceFaultsAreOver, (uint64_t seed)) {
  CutHistory history(seed, CutHistory::Options());
  history.Run();
  history.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::cell
