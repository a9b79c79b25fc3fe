// Guards against counts lost between threads, quantiles that are off by more
// than one bin, and text that Prometheus cannot parse.
#include "chivedale/metrics.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <regex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace chivedale {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ProcessMetrics)

BOOST_AUTO_TEST_CASE(CountsFromAllThreads) {
  Metrics metrics;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int t = 0; t < 4; ++t) {
    threads.emplace_back([&] {
      for (int i = 0; i < 10'000; ++i) {
        metrics.Count(Counter::kAttempts);
        metrics.Observe(Timer::kWait, "k" + std::to_string(i % 3),
                        milliseconds(1));
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  BOOST_TEST(metrics.Value(Counter::kAttempts) == 40'000);
  const std::string text = metrics.PrometheusText();
  BOOST_TEST(text.find("chivedale_wait_seconds_count{kind=\"k0\"} 13336\n") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(QuantilesAreWithinOneBin) {
  Metrics metrics;
  BOOST_TEST(metrics.QuantileSeconds(Timer::kRun, "x", 0.5) == 0);
  for (int ms = 1; ms <= 1000; ++ms) {
    metrics.Observe(Timer::kRun, "x", milliseconds(ms));
  }
  // 20 bins per decade: adjacent edges differ by 12.3%.
  for (double quantile : {0.01, 0.5, 0.9, 0.99}) {
    const double found = metrics.QuantileSeconds(Timer::kRun, "x", quantile);
    BOOST_TEST(found > quantile / 1.13);
    BOOST_TEST(found < quantile * 1.13);
  }
  metrics.Observe(Timer::kWait, "y", milliseconds(-5));
  BOOST_TEST(metrics.QuantileSeconds(Timer::kWait, "y", 0.5) <= 1e-6);
}

BOOST_AUTO_TEST_CASE(TextFollowsThePrometheusFormat) {
  Metrics metrics;
  metrics.Set(Gauge::kQueued, 12);
  metrics.Observe(Timer::kTotal, "a\"b\\c\nd", milliseconds(3));
  const std::string text = metrics.PrometheusText();
  const std::regex sample(
      R"(chivedale_[a-z_]+(\{kind="([^"\\\n]|\\.)*"(,le="[^"]+")?\})? \S+)");
  const std::regex comment(
      R"(# (HELP chivedale_[a-z_]+ .+|TYPE chivedale_[a-z_]+ (counter|gauge|histogram)))");
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    BOOST_TEST(
        (std::regex_match(line, sample) || std::regex_match(line, comment)),
        line);
  }
  BOOST_TEST(text.find("chivedale_queued 12\n") != std::string::npos);
  BOOST_TEST(text.find("le=\"+Inf\"} 1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
