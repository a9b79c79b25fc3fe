// Measures what one role of a daemon costs at one size: the real module runs
// in this process over in-memory ports, a fake clock moves in steps, and the
// processor time of the thread is real.
//
//   CapacityPoint point = MeasureOwner({.size = 500, .load = 100});
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

// The variable that a role's cost is measured against.
struct CapacitySize {
  double value = 0;
  int64_t seconds = 10;  // of fake time, after the start
  uint64_t seed = 1;
};

struct CapacityPoint {
  std::string role;
  std::string unit;  // of `size`
  double size = 0;
  // By name with unit, such as "cpu_ms_per_s".
  std::map<std::string, double> values;
};

std::string ToJsonLine(const CapacityPoint& point);
// Reads lines of ToJsonLine and returns a table with median, minimum and
// maximum per size, a straight line fitted through the medians, and the
// largest distance of a median from that line. Throws Error(kBadRequest).
std::string SummaryOfLines(const std::vector<std::string>& lines);

struct CapacityRole {
  std::string name;
  std::function<CapacityPoint(const CapacitySize&)> measure;
};
const std::vector<CapacityRole>& CapacityRoles();

// Processor time of this thread in seconds.
double ThreadSeconds();
// Bytes in use on the heap, and resident bytes of the process.
double HeapBytes();
double ResidentBytes();

// Callbacks by due time; those of one time run in the order of posting.
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

// Counts messages and their bytes. The time of encoding is kept apart, since
// daemons encode on their traffic threads.
class TrafficMeter {
 public:
  void Add(const Message& message);
  // Encodes by `encode`, for calls that are no messages.
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

// `count` members over `regions` regions and `centres` data centres.
std::vector<MemberInfo> BenchMembers(int count, int regions, int centres);
// Rows "kind-N" and teams "team-N" without limits that bind.
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
CapacityPoint MeasureSummaries(const CapacitySize& workers);
CapacityPoint MeasureJobRate(const CapacitySize& jobs_per_s);
CapacityPoint MeasureServices(const CapacitySize& services);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TOOLS_CAPACITY_BENCH_H_
