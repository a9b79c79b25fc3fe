// Guards against wrong quantiles: all latency targets are checked with them.
#include "util/latency_histogram.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <vector>

namespace chivedale::util {

BOOST_AUTO_TEST_SUITE(LatencyHistogramSuite)

BOOST_AUTO_TEST_CASE(EmptyHistogramReturnsZero) {
  const LatencyHistogram histogram;
  BOOST_TEST(histogram.count() == 0);
  BOOST_TEST(histogram.QuantileMs(0.99) == 0);
  BOOST_TEST(histogram.FractionAtMost(std::chrono::seconds(1)) == 1);
}

RC_BOOST_PROP(QuantilesAreWithinPrecision, ()) {
  const auto values = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 10'000'000)));
  LatencyHistogram whole;
  LatencyHistogram parts[2];
  std::vector<double> sorted;
  for (size_t i = 0; i < values.size(); ++i) {
    const auto value = std::chrono::microseconds(values[i]);
    whole.Add(value);
    parts[i % 2].Add(value);
    sorted.push_back(values[i] / 1e3);
  }
  std::sort(sorted.begin(), sorted.end());
  parts[0].Merge(parts[1]);
  for (const double quantile : {0.5, 0.99}) {
    const auto rank = static_cast<size_t>(std::max(
        0.0, std::ceil(quantile * static_cast<double>(sorted.size())) - 1));
    const double measured = whole.QuantileMs(quantile);
    RC_ASSERT(measured >= sorted[rank] * 0.999);
    RC_ASSERT(measured <= sorted[rank] * 1.06);
    RC_ASSERT(parts[0].QuantileMs(quantile) == measured);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::util
