// Measures the time of placement decisions per policy and number of workers. A
// decision picks a worker and updates the index. Before each one, a task ends
// on another worker, so that the cell stays nearly full.
//
//   placement_bench [--runs N] [--decisions N] [--json]
#include <getopt.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "chivedale/placement.h"

namespace chivedale {
namespace {

using BenchClock = std::chrono::steady_clock;

struct Policy {
  PlacementPolicyKind kind;
  const char* name;
};
constexpr Policy kPolicies[] = {
    {PlacementPolicyKind::kPack, "pack"},
    {PlacementPolicyKind::kSpread, "spread"},
    {PlacementPolicyKind::kRandom, "random"},
    {PlacementPolicyKind::kRoundRobin, "round_robin"}};
constexpr int kSizes[] = {100, 1'000, 5'000, 21'000};
constexpr int kRacks = 40;
constexpr int kDataCentres = 17;
// The cell counts as full after this many consecutive picks without capacity.
constexpr int kMissesWhenFull = 50;

struct Run {
  double mean_us = 0;
  double p99_us = 0;
  double max_us = 0;
  double refused = 0;  // fraction of the decisions
};

struct Bench {
  Bench(PlacementPolicyKind kind, int workers, uint64_t seed)
      : random(seed), placement(kind, random) {
    for (int i = 0; i < workers; ++i) {
      // Every eighth worker has accelerators.
      Resources capacity{32'000 + 32'000 * (i % 2), 131'072, 0, 64};
      if (i % 8 == 0) {
        capacity.accelerators = 8;
      }
      const std::string rack = "rack-" + std::to_string(i / kRacks);
      const std::string centre = "dc-" + std::to_string(i % kDataCentres);
      free.push_back(capacity);
      ids.emplace_back("w-" + std::to_string(i));
      rooms.push_back({rack, centre, capacity, capacity});
      placement.Update(ids.back(), rooms.back());
    }
  }

  Resources NextSize() {
    const auto draw = random.UniformInt(100);
    if (draw < 5) {
      return {4'000, 32'768, static_cast<int64_t>(1 + random.UniformInt(4)), 1};
    }
    if (draw < 15) {
      return {16'000, 65'536, 0, 1};
    }
    return {static_cast<int64_t>(250 + random.UniformInt(4'000)),
            static_cast<int64_t>(256 + random.UniformInt(8'192)), 0, 1};
  }

  void Move(size_t worker, const Resources& change) {
    free[worker] += change;
    rooms[worker].free = free[worker];
    placement.Update(ids[worker], rooms[worker]);
  }

  // Returns false if no worker has capacity.
  bool Place(const Resources& size) {
    const auto picked = placement.Pick(size, {});
    if (!picked) {
      return false;
    }
    const auto worker = std::stoul(picked->str().substr(2));
    Move(worker, Resources() - size);
    running.emplace_back(worker, size);
    return true;
  }

  void EndOne() {
    const size_t i = random.UniformInt(running.size());
    std::swap(running[i], running.back());
    Move(running.back().first, running.back().second);
    running.pop_back();
  }

  util::Random random;
  Placement placement;
  std::vector<WorkerId> ids;
  std::vector<Resources> free;
  std::vector<PlacementWorker> rooms;
  std::vector<std::pair<size_t, Resources>> running;
};

Run Measure(PlacementPolicyKind kind, int workers, int decisions, int seed) {
  Bench bench(kind, workers, static_cast<uint64_t>(seed));
  for (int misses = 0; misses < kMissesWhenFull;) {
    misses = bench.Place(bench.NextSize()) ? 0 : misses + 1;
  }
  std::vector<double> times;
  times.reserve(static_cast<size_t>(decisions));
  int refused = 0;
  for (int i = 0; i < decisions; ++i) {
    bench.EndOne();
    const Resources size = bench.NextSize();
    const auto begin = BenchClock::now();
    const bool placed = bench.Place(size);
    const auto end = BenchClock::now();
    times.push_back(
        std::chrono::duration<double, std::micro>(end - begin).count());
    refused += placed ? 0 : 1;
  }
  std::sort(times.begin(), times.end());
  Run run;
  for (double time : times) {
    run.mean_us += time / decisions;
  }
  run.p99_us = times[times.size() * 99 / 100];
  run.max_us = times.back();
  run.refused = static_cast<double>(refused) / decisions;
  return run;
}

struct Spread {
  double median = 0;
  double min = 0;
  double max = 0;
};

Spread Over(const std::vector<Run>& runs, double Run::*value) {
  std::vector<double> values;
  values.reserve(runs.size());
  for (const Run& run : runs) {
    values.push_back(run.*value);
  }
  std::sort(values.begin(), values.end());
  return {values[values.size() / 2], values.front(), values.back()};
}

void Print(const char* policy,
           int workers,
           const std::vector<Run>& runs,
           bool json) {
  const Spread mean = Over(runs, &Run::mean_us);
  const Spread p99 = Over(runs, &Run::p99_us);
  const Spread max = Over(runs, &Run::max_us);
  const Spread refused = Over(runs, &Run::refused);
  if (json) {
    std::printf(
        "{\"policy\":\"%s\",\"workers\":%d,\"runs\":%zu,"
        "\"mean_us\":{\"median\":%.3f,\"min\":%.3f,\"max\":%.3f},"
        "\"p99_us\":{\"median\":%.3f,\"min\":%.3f,\"max\":%.3f},"
        "\"max_us\":{\"median\":%.3f,\"min\":%.3f,\"max\":%.3f},"
        "\"refused\":%.4f}\n",
        policy, workers, runs.size(), mean.median, mean.min, mean.max,
        p99.median, p99.min, p99.max, max.median, max.min, max.max,
        refused.median);
    return;
  }
  std::printf(
      "%-12s %7d  %6.2f (%.2f-%.2f)  %7.2f (%.2f-%.2f)  %8.1f (%.1f-%.1f)"
      "  %5.1f%%\n",
      policy, workers, mean.median, mean.min, mean.max, p99.median, p99.min,
      p99.max, max.median, max.min, max.max, refused.median * 100);
}

int Main(int argc, char** argv) {
  static const option flags[] = {{"runs", required_argument, nullptr, 'r'},
                                 {"decisions", required_argument, nullptr, 'd'},
                                 {"json", no_argument, nullptr, 'j'},
                                 {nullptr, 0, nullptr, 0}};
  int runs = 5;
  int decisions = 100'000;
  bool json = false;
  for (int flag = 0;
       (flag = getopt_long(argc, argv, "", flags, nullptr)) != -1;) {
    switch (flag) {
      case 'r':
        runs = std::max(1, std::atoi(optarg));
        break;
      case 'd':
        decisions = std::max(100, std::atoi(optarg));
        break;
      case 'j':
        json = true;
        break;
      default:
        return 2;
    }
  }
  if (!json) {
    std::printf("us per decision, median of %d runs (min-max)\n", runs);
    std::printf("%-12s %7s  %s  %s  %s  %s\n", "policy", "workers", "mean",
                "p99", "max", "refused");
  }
  for (const Policy& policy : kPolicies) {
    for (int workers : kSizes) {
      std::vector<Run> results;
      results.reserve(static_cast<size_t>(runs));
      for (int i = 0; i < runs; ++i) {
        results.push_back(Measure(policy.kind, workers, decisions, i + 1));
      }
      Print(policy.name, workers, results, json);
    }
  }
  return 0;
}

}  // namespace
}  // namespace chivedale

int main(int argc, char** argv) {
  return chivedale::Main(argc, argv);
}
