// Guards against failures during an outage of the store: a daemon that does not
// become ready, and unrepeatable work that is not refused as not run.
#include <boost/test/unit_test.hpp>

#include "chivedale/testing/daemon_cell.h"

namespace chivedale::testing {

BOOST_FIXTURE_TEST_SUITE(ACellOverSockets, Cell)

BOOST_AUTO_TEST_CASE(AFreshDaemonTakesTheTableFromPeersWithTheStoreDown) {
  Start(0);
  BOOST_REQUIRE(WaitUntil(
      [&] { return Call(0, "PUT", "/v1/table", kTable).http_status == 200; }));
  BOOST_REQUIRE(WaitUntil([&] { return IsReady(0); }));
  StoreStandin::Faults down;
  down.down = true;
  store.SetFaults(down);
  Start(1);
  BOOST_TEST(WaitUntil([&] { return IsReady(1); }));
  const HttpResult refused =
      Call(1, "POST", "/v1/requests", R"({"kind":"invoice","payload":{}})",
           {{"Idempotency-Key", "i"}});
  BOOST_TEST(KindOf(refused) == "store_down");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
