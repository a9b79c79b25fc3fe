// Guards against an attempt that is given up and run again elsewhere while its
// entry cannot reach the next owner of its worker.
#include <boost/test/unit_test.hpp>
#include <string>

#include "chivedale/testing/fake_cell.h"

namespace chivedale::testing {

BOOST_AUTO_TEST_SUITE(CellInAPartition)

BOOST_AUTO_TEST_CASE(KeepsAttemptsWhileTheNextOwnerIsUnreachable) {
  FakeCell cell(1);
  cell.AddWorkers(4, {4'000, 8'192, 0, 4});
  Table table;
  table.revision = 1;
  table.change_id = "first";
  table.author = "test";
  table.rows["sort"] = MakeRow("sort", true);
  table.rows["sort"].urgency = Urgency::kUrgent;
  cell.SetTable(table);
  for (int i = 0; i < 3; ++i) {
    cell.StartProcess();
  }
  cell.Run(Millis(4'000));
  for (int i = 0; i < 8; ++i) {
    cell.SendThrough(i % 3, "sort", 18'000);
  }
  cell.Run(Millis(300));
  cell.SetLinkCut(1, 2, true);
  cell.Kill(0);
  cell.Run(Millis(40'000));
  cell.SetLinkCut(1, 2, false);
  cell.Run(Millis(20'000));
  for (const std::string& violation : cell.FindViolations(/*ended=*/false)) {
    BOOST_ERROR(violation);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
