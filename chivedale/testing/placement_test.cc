// Guards against a pick without capacity, capacity that is not found,
// accelerators used for work that does not need them, and avoid lists treated
// as strict exclusions.
#include "chivedale/placement.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

namespace chivedale {
namespace {

constexpr PlacementPolicyKind kPolicies[] = {
    PlacementPolicyKind::kPack, PlacementPolicyKind::kSpread,
    PlacementPolicyKind::kRandom, PlacementPolicyKind::kRoundRobin};

PlacementWorker Room(const Resources& free, const std::string& rack = "r") {
  return {rack, "dc", {32'000, 65'536, free.accelerators, 8}, free};
}

Resources AnySize() {
  return {*rc::gen::inRange(0, 6'000), *rc::gen::inRange(0, 9'000),
          *rc::gen::inRange(0, 3), *rc::gen::inRange(1, 4)};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(Placements)

RC_BOOST_PROP(PicksAWorkerWithCapacityWheneverThereIsOne, ()) {
  util::Random random(*rc::gen::arbitrary<uint16_t>());
  Placement placement(kPolicies[*rc::gen::inRange(0, 4)], random);
  std::map<WorkerId, Resources> free;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    const WorkerId id("w" + std::to_string(*rc::gen::inRange(0, 40)));
    if (*rc::gen::inRange(0, 8) == 0) {
      placement.Remove(id);
      free.erase(id);
    } else {
      free[id] = AnySize();
      placement.Update(id, Room(free[id]));
    }
    const Resources size = AnySize();
    bool some = false;
    for (const auto& [worker, room] : free) {
      some = some || size.FitsIn(room);
    }
    const auto picked = placement.Pick(size, {"w1", "r"});
    RC_ASSERT(picked.has_value() == some);
    RC_ASSERT(placement.HasCapacity(size) == some);
    if (picked) {
      RC_ASSERT(size.FitsIn(free.at(*picked)));
    }
  }
}

BOOST_AUTO_TEST_CASE(PackKeepsAcceleratorsAndLargeWorkersFree) {
  util::Random random(1);
  Placement placement(PlacementPolicyKind::kPack, random);
  placement.Update(WorkerId("accelerated"), Room({2'000, 2'048, 4, 8}));
  placement.Update(WorkerId("wide"), Room({32'000, 65'536, 0, 8}));
  placement.Update(WorkerId("tight"), Room({2'000, 2'048, 0, 8}));
  BOOST_TEST(*placement.Pick({1'000, 1'024, 0, 1}, {}) == WorkerId("tight"));
  BOOST_TEST(*placement.Pick({4'000, 1'024, 0, 1}, {}) == WorkerId("wide"));
  BOOST_TEST(*placement.Pick({1'000, 1'024, 1, 1}, {}) ==
             WorkerId("accelerated"));
}

BOOST_AUTO_TEST_CASE(AvoidedWorkersAreUsedOnlyIfThereAreNoOthers) {
  for (PlacementPolicyKind kind : kPolicies) {
    util::Random random(1);
    Placement placement(kind, random);
    placement.Update(WorkerId("a"), Room({2'000, 2'048, 0, 8}, "rack-1"));
    placement.Update(WorkerId("b"), Room({9'000, 9'048, 0, 8}, "rack-2"));
    const Resources size{1'000, 1'024, 0, 1};
    BOOST_TEST(*placement.Pick(size, {"rack-1"}) == WorkerId("b"));
    BOOST_TEST(*placement.Pick(size, {"b"}) == WorkerId("a"));
    placement.Remove(WorkerId("b"));
    BOOST_TEST(*placement.Pick(size, {"rack-1"}) == WorkerId("a"));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
