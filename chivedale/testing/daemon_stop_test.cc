// Guards the planned stop against requests that are cut off, lost or left with
// an unknown outcome, and answers that belong to another request.
#include <boost/test/unit_test.hpp>

#include "chivedale/testing/daemon_cell.h"

namespace chivedale::testing {

BOOST_FIXTURE_TEST_SUITE(ACellOverSockets, Cell)

BOOST_AUTO_TEST_CASE(AnswersEachRequestWhileOneDaemonStops) {
  constexpr int kRequests = 600;
  StartAll();
  Callers load(*this);
  for (int i = 0; i < kRequests; ++i) {
    load.Send(i);
    std::this_thread::sleep_for(Millis(3));
    if (i == kRequests / 2) {
      daemons[1]->Stop();
    }
  }
  // Requests sent during the stop are retried through the other daemons.
  BOOST_TEST(daemons[1]->Join() == 0);
  BOOST_TEST(WaitUntil([&] { return load.right + load.wrong == kRequests; }));
  BOOST_TEST(load.right == kRequests);
  BOOST_TEST(load.wrong == 0);
  BOOST_TEST(load.cut_off == 0);
  BOOST_TEST(workers.violations().total() == 0);
  int reruns = 0;
  size_t tasks = 0;
  workers.ReadTaskRuns([&](const TaskRunLog& task_runs) {
    tasks = task_runs.runs().size();
    for (const auto& [task, runs] : task_runs.runs()) {
      reruns += runs.size() > 1 ? 1 : 0;
    }
  });
  BOOST_TEST(tasks == size_t{kRequests});
  BOOST_TEST(reruns == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
