// Measures the cost of one role of a daemon at one size. The real module runs
// in this process with in-memory ports; a fake clock advances in steps, and the
// processor time of the thread is measured.
//
//   CapacityPoint point = MeasureOwnerTasks({500, 10});
//   std::cout << ToJsonLine(point) << '\n';
#ifndef CHIVEDALE_TOOLS_CAPACITY_BENCH_H_
#define CHIVEDALE_TOOLS_CAPACITY_BENCH_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/messages.h"
#include "chivedale/testing/fake_clock.h"
#include "util/clock.h"

namespace chivedale::testing {

// The independent variable of a measurement, and its length and seed.
struct CapacitySize {
  double value = 0;
  int64_t seconds = 10;  // simulated time, after the start-up
  uint64_t seed = 1;
};

struct CapacityPoint {
  std::string role;
  std::string unit;  // of `size`
  double size = 0;
  // Results by name; the name ends in the unit, as in "cpu_ms_per_s".
  std::map<std::string, double> values;
};

std::string ToJsonLine(const CapacityPoint& point);
// Parses lines written by ToJsonLine and returns a table with the median,
// minimum and maximum per size, a straight line fitted through the medians, and
// the largest distance of a median from that line. Throws Error(kBadRequest).
std::string SummaryOfLines(const std::vector<std::string>& lines);

struct CapacityRole {
  std::string name;
  std::function<CapacityPoint(const CapacitySize&)> measure;
};
const std::vector<CapacityRole>& CapacityRoles();

// Returns the processor time of this thread in seconds.
double ThreadSeconds();
// Return the bytes in use on the heap and the resident bytes of the process.
double HeapBytes();
double ResidentBytes();

// Queue of callbacks by due time; callbacks with the same due time run in the
// order in which they were posted.
class StepQueue {
 public:
  void Post(util::TimePoint at, std::function<void()> run) {
    events_[at].push_back(std::move(run));
  }
  void RunUntil(util::TimePoint now) {
    while (!events_.empty() && events_.begin()->first <= now) {
      const auto due = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      for (const auto& run : due) {
        run();
      }
    }
  }
  void Clear() { events_.clear(); }

 private:
  std::map<util::TimePoint, std::vector<std::function<void()>>> events_;
};

// Counts messages and their bytes. The encoding time is measured separately,
// since daemons encode on their traffic threads.
class TrafficMeter {
 public:
  void Add(const Message& message);
  // Counts a call that is not a Message; `encode` returns its encoded form.
  void Add(const std::function<std::string()>& encode);
  void Reset() { *this = TrafficMeter(); }

  double messages() const { return messages_; }
  double bytes() const { return bytes_; }
  double codec_seconds() const { return codec_seconds_; }

 private:
  double messages_ = 0;
  double bytes_ = 0;
  double codec_seconds_ = 0;
};

// Returns `count` members in `regions` regions and `centres` data centres.
std::vector<MemberInfo> BenchMembers(int count, int regions, int centres);
// Returns a table with rows "kind-N" and teams "team-N", whose limits are never
// reached.
Table BenchTable(int rows, int teams);

CapacityPoint MeasureOwnerIdle(const CapacitySize& workers);
CapacityPoint MeasureVmList(const CapacitySize& vms);
CapacityPoint MeasureOwnerTasks(const CapacitySize& tasks);
CapacityPoint MeasureOwnerStarts(const CapacitySize& starts_per_s);
CapacityPoint MeasureEntryRate(const CapacitySize& requests_per_s);
CapacityPoint MeasureEntryOpen(const CapacitySize& open_requests);
CapacityPoint MeasureDirectoryRate(const CapacitySize& registrations_per_s);
CapacityPoint MeasureDirectoryIds(const CapacitySize& ids);
CapacityPoint MeasureRecordRate(const CapacitySize& registrations_per_s);
CapacityPoint MeasureMembers(const CapacitySize& members);
CapacityPoint MeasureDemand(const CapacitySize& rows_with_work);
CapacityPoint MeasureTableWhole(const CapacitySize& rows);
CapacityPoint MeasureTableDelta(const CapacitySize& rows);
CapacityPoint MeasureSummaries(const CapacitySize& members);
CapacityPoint MeasureJobRate(const CapacitySize& jobs_per_s);
CapacityPoint MeasureServices(const CapacitySize& services);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TOOLS_CAPACITY_BENCH_H_
