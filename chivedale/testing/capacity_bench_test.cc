// The capacity page is based on these figures. Guards against a wrong fit and
// against a role that does not do its work while it is measured.
#include "chivedale/tools/capacity_bench.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "chivedale/error.h"

namespace chivedale::testing {
namespace {

std::string LineAt(double size, double value) {
  CapacityPoint point;
  point.role = "role";
  point.unit = "units";
  point.size = size;
  point.values["figure"] = value;
  return ToJsonLine(point);
}

BOOST_AUTO_TEST_SUITE(CapacityFigures)

BOOST_AUTO_TEST_CASE(FitTakesMediansAndGivesTheResidual) {
  const std::string text =
      SummaryOfLines({LineAt(0, 5), LineAt(10, 25), LineAt(10, 24),
                      LineAt(10, 90), LineAt(20, 45)});
  BOOST_TEST(text.find("figure: 5 + 2 per unit, residual 0\n") !=
             std::string::npos);
  BOOST_TEST(text.find("    10: 25 [24, 90]\n") != std::string::npos);
  const std::string bent =
      SummaryOfLines({LineAt(0, 0), LineAt(1, 3), LineAt(2, 0)});
  BOOST_TEST(bent.find("figure: 1 + 0 per unit, residual 2\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(FitRefusesTextThatIsNoLine) {
  BOOST_CHECK_THROW(SummaryOfLines({"{"}), Error);
  BOOST_CHECK_THROW(SummaryOfLines({"{}"}), Error);
}

BOOST_AUTO_TEST_CASE(RolesDoTheirWorkWhileMeasured) {
  const CapacitySize small{100, 5, 1};
  const auto of = [](const CapacityPoint& point, const std::string& name) {
    return point.values.at(name);
  };
  BOOST_TEST(of(MeasureOwnerIdle(small), "worker_calls_per_s") >= 200);
  const CapacityPoint starts = MeasureOwnerStarts(small);
  BOOST_TEST(of(starts, "refused_per_s") == 0);
  const CapacityPoint entry = MeasureEntryRate(small);
  BOOST_TEST(of(entry, "refused_per_s") == 0);
  BOOST_TEST(of(entry, "answered_per_s") >= 90);
  const CapacityPoint records = MeasureRecordRate(small);
  BOOST_TEST(of(records, "refused_per_s") == 0);
  // Eight groups with at most one write per 100 ms each.
  BOOST_TEST(of(records, "store_writes_per_s") <= 80);
  BOOST_TEST(of(MeasureMembers({7, 5, 1}), "known_members") == 7);
  BOOST_TEST(of(MeasureTableWhole({10, 1, 1}), "in_force") == 1);
  BOOST_TEST(of(MeasureTableDelta({10, 1, 1}), "in_force") == 1);
  BOOST_TEST(of(MeasureServices({20, 5, 1}), "running") == 20);
}

// Guards against a tick that iterates over all VMs, which used a quarter of a
// core per member at 21,000 VMs. The budget of a member is 1.1% of a core, that
// is, 11 ms per second.
BOOST_AUTO_TEST_CASE(TheVmListStaysWithinTheBudgetAtFullSize) {
  const CapacityPoint point = MeasureVmList({21'000, 2, 1});
  BOOST_TEST(point.values.at("believed") == 21'000);
  BOOST_TEST(point.values.at("cpu_ms_per_s") < 11);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::testing
