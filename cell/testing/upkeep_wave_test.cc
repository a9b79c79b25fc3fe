// Upkeep waves across a change of the leader, and with faults of the store, the
// VM service and the executors. CellFixture has four VMs, vm-e1 to vm-e4, whose
// upkeep takes 2 s.
#include <boost/test/unit_test.hpp>
#include <functional>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

constexpr char kOtherJob[] = "00000000000000bb";
std::vector<std::string> AllVms() {
  return {"vm-e1", "vm-e2", "vm-e3", "vm-e4"};
}

struct WaveFixture : CellFixture {
  void AnnounceWave(const std::vector<std::string>& vms,
                    int max_concurrent = 1,
                    Millis deadline = Millis(30'000)) {
    UpkeepWave wave;
    wave.number = 1;
    wave.vms = vms;
    wave.deadline = deadline;
    wave.max_concurrent = max_concurrent;
    Announce(wave);
  }
  // Returns false if the condition was not met in time.
  bool RunUntil(const std::function<bool()>& condition,
                Millis limit = Millis(5'000)) {
    for (Millis passed{0}; passed < limit; passed += Millis(10)) {
      if (condition()) {
        return true;
      }
      RunFor(Millis(10));
    }
    return condition();
  }
  // Occupies the executors with label "b", e1 and e4, so that a leader prefers
  // other VMs.
  void RunTasksOnFirstAndLastVm() {
    JobSpec spec = MakeJobSpec(2, Millis(3'000));
    spec.steps[0].label = "b";
    spec.steps[0].max_per_executor = 1;
    for (const char* name : {"a", "b", "c"}) {
      Submit(name, kOtherJob, spec, "q0");
    }
    RunFor(Millis(100));
  }
  void CheckWaveCompletes(int expected_max_down = 1) {
    RunFor(Millis(30'000));
    BOOST_TEST(upkeep_done.size() == 4u);
    BOOST_TEST(max_down == expected_max_down);
    BOOST_TEST(down_now == 0);
    BOOST_TEST(wave_status[1]);
  }
};

BOOST_AUTO_TEST_SUITE(AnUpkeepWave)

BOOST_AUTO_TEST_SUITE(AfterAChangeOfTheLeader)

BOOST_FIXTURE_TEST_CASE(CountsAVmThatIsDown, WaveFixture) {
  AnnounceWave(AllVms());
  BOOST_REQUIRE(RunUntil([&] { return down_now == 1; }));
  RunFor(Millis(100));
  Kill(LeaderName());
  CheckWaveCompletes();
}

BOOST_FIXTURE_TEST_CASE(CountsAVmWhoseUpkeepIsNotStored, WaveFixture) {
  AnnounceWave(AllVms());
  BOOST_REQUIRE(RunUntil([&] { return down_now == 1; }));
  Kill(LeaderName());
  CheckWaveCompletes();
}

BOOST_FIXTURE_TEST_CASE(UsesAllSlotsThatAreFree, WaveFixture) {
  AnnounceWave(AllVms(), 2);
  BOOST_REQUIRE(RunUntil([&] { return down_now == 2; }));
  RunFor(Millis(100));
  Kill(LeaderName());
  CheckWaveCompletes(2);
}

// The predecessor's order reaches the VM while its successor has another one
// down, unless it counts the first.
BOOST_FIXTURE_TEST_CASE(CountsAnOrderThatIsExecutedLate, WaveFixture) {
  upkeep_order_time = Millis(2'000);
  AnnounceWave(AllVms());
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders == 1; }));
  Kill(LeaderName());
  upkeep_order_time = Millis(3);
  RunFor(Millis(100));
  RunTasksOnFirstAndLastVm();
  CheckWaveCompletes();
}

BOOST_FIXTURE_TEST_CASE(RepeatsAnOrderThatWasLost, WaveFixture) {
  upkeep_order_time.reset();
  AnnounceWave(AllVms());
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders == 1; }));
  Kill(LeaderName());
  upkeep_order_time = Millis(3);
  CheckWaveCompletes();
}

// The predecessor is cut off from the other members and the store, and still
// reaches the VM service.
BOOST_FIXTURE_TEST_CASE(CountsOrdersOfAPredecessorThatIsCutOff, WaveFixture) {
  AnnounceWave(AllVms());
  const std::string leader = LeaderName();
  upkeep_order_time = Millis(5'000);
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders == 1; }));
  CutOff({leader}, {});
  BOOST_REQUIRE(RunUntil([&] {
    for (const char* name : {"a", "b", "c"}) {
      if (name != leader && node(name)->leading()) {
        return true;
      }
    }
    return false;
  }));
  upkeep_order_time = Millis(3);
  RunTasksOnFirstAndLastVm();
  CheckWaveCompletes();
  Reconnect();
  RunFor(Millis(2'000));
}

BOOST_FIXTURE_TEST_CASE(DropsAnOrderOfAVmThatNoLongerExists, WaveFixture) {
  upkeep_order_time.reset();
  AnnounceWave({"vm-e1"});
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders == 1; }));
  Kill(LeaderName());
  upkeep_order_time = Millis(3);
  vms.erase("vm-e1");
  executors.Remove("e1");
  RunFor(Millis(10'000));
  BOOST_TEST(wave_status[1]);
}

BOOST_FIXTURE_TEST_CASE(DoesNotWaitForAVmThatIsDownOtherwise, WaveFixture) {
  upkeep_order_time.reset();
  AnnounceWave(AllVms());
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders == 1; }));
  Kill(LeaderName());
  upkeep_order_time = Millis(3);
  ReplaceExecutor("e1", Millis(60'000));
  RunFor(Millis(40'000));
  BOOST_TEST(upkeep_done.size() == 3u);
  CheckWaveCompletes();
}

// The order of one VM must not be forgotten when that of another one is stored.
BOOST_FIXTURE_TEST_CASE(KeepsOrdersOverSeveralChanges, WaveFixture) {
  upkeep_order_time.reset();
  AnnounceWave(AllVms(), 2);
  BOOST_REQUIRE(RunUntil([&] { return upkeep_orders >= 2; }));
  for (int i = 0; i < 2; ++i) {
    const std::string leader = LeaderName();
    Kill(leader);
    RunFor(Millis(4'000));
    Restart(leader);
    RunFor(Millis(1'000));
  }
  upkeep_order_time = Millis(3);
  CheckWaveCompletes(2);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithoutTheStore)

BOOST_FIXTURE_TEST_CASE(OrdersNoVmAndGoesOnAfterwards, WaveFixture) {
  AnnounceWave(AllVms());
  store.faults.unresponsive = true;
  RunFor(Millis(4'000));
  BOOST_TEST(upkeep_orders <= 1);  // it may have been stored before
  store.faults.unresponsive = false;
  CheckWaveCompletes();
}

// A progress write without an answer takes effect after later writes.
BOOST_FIXTURE_TEST_CASE(IsNotConfusedByALateWrite, WaveFixture) {
  store.faults.late_writes = 0.4;
  AnnounceWave(AllVms());
  RunFor(Millis(3'000));
  store.faults.late_writes = 0;
  CheckWaveCompletes();
}

BOOST_FIXTURE_TEST_CASE(IsCompletedThoughItsProgressIsRejected, WaveFixture) {
  store.faults.max_value_bytes = 4;
  AnnounceWave(AllVms());
  CheckWaveCompletes();
}

BOOST_AUTO_TEST_SUITE_END()

// The list of VMs shows the new executor of a VM whose executor was replaced
// before the order. It is not the one that follows the upkeep.
BOOST_FIXTURE_TEST_CASE(WaitsForAListThatIsNewerThanTheUpkeep, WaveFixture) {
  JobSpec spec = MakeJobSpec(1, Millis(20'000));
  Submit("a", kJobId, spec, "q0");
  RunFor(Millis(300));
  std::string busy;
  for (const char* id : {"e1", "e2", "e3", "e4"}) {
    if (executors.RunsOn({kJobId, 0, 0, 0}, id)) {
      busy = id;
    }
  }
  BOOST_REQUIRE(!busy.empty());
  AnnounceWave({"vm-" + busy});
  RunFor(Millis(600));
  ReplaceExecutor(busy, Millis(10));
  AnnounceWave(AllVms());
  CheckWaveCompletes();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
