// Guards against lost, repeated and forgotten work after random histories of a
// cell under faults.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cell/testing/random_history.h"

namespace chivedale::cell {

using testing::RandomHistory;

BOOST_AUTO_TEST_SUITE(ACellUnderFaults)

RC_BOOST_PROP(CompletesAllJobsWithoutFaults, (uint64_t seed)) {
  RandomHistory history(seed);
  history.Run(0, false);
  history.Check();
  for (const JobId& id : history.cell().accepted()) {
    if (history.cell().cancelled().count(id) == 0) {
      RC_ASSERT(history.cell().StateOf(id) == JobState::kCompleted);
    }
  }
}

RC_BOOST_PROP(KeepsInvariantsUnderFaults, (uint64_t seed)) {
  RandomHistory history(seed);
  history.Run(12, true);
  history.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::cell
