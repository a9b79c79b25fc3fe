// Guards against jobs that wait although they could run, after random histories
// of a larger pool. A program of its own, since its histories take long.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

#include "cell/testing/random_history.h"

namespace chivedale::cell {

using testing::RandomHistory;

BOOST_AUTO_TEST_SUITE(ACellUnderFaults)

RC_BOOST_PROP(LetsNoJobWaitThatCanRunOnceFaultsAreOver, (uint64_t seed)) {
  RandomHistory history(seed);
  history.RunWide(true);
}

RC_BOOST_PROP(KeepsInvariantsInWideHistories, (uint64_t seed)) {
  RandomHistory history(seed);
  history.RunWide(false);
  history.Check();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::cell
