// An immediate refusal costs the caller less than a wait that cannot end before
// the deadline. Permanent reasons are checked before temporary ones. The rate
// token is taken last, so that a refused request does not consume rate.
#include "chivedale/admission.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <string>

namespace chivedale {
namespace {

constexpr std::array<int64_t Resources::*, 4> kComponents = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators,
    &Resources::slots};

// Bounds of the suggested delay before the caller retries a full queue.
constexpr Millis kMinRetryAfter{100};
constexpr Millis kMaxRetryAfter{10'000};

// Capacity in reference workers, in the component of which `size` takes the
// largest share.
double ReferenceWorkers(const Resources& capacity, const Resources& size) {
  double largest = -1;
  double workers = 0;
  for (auto component : kComponents) {
    const auto whole = static_cast<double>(kReferenceWorker.*component);
    const double part = static_cast<double>(size.*component) / whole;
    if (part > largest) {
      largest = part;
      workers = static_cast<double>(capacity.*component) / whole;
    }
  }
  return workers;
}

}  // namespace

Admission::Admission(const util::Clock& clock,
                     const FairQueue& queue,
                     LimitShare& limits,
                     const RunTimeModel& run_times)
    : clock_(clock), queue_(queue), limits_(limits), run_times_(run_times) {}

void Admission::Check(const WorkRow& row,
                      const Resources& size,
                      util::TimePoint deadline,
                      const CellCapacity& cell) {
  if (cell.complete && !size.FitsIn(cell.largest_plain) &&
      !size.FitsIn(cell.largest_accelerated)) {
    throw AdmissionError(
        ErrorKind::kNeverFits,
        "work of kind '" + row.kind + "' is larger than every worker",
        Millis(0));
  }
  const Millis wait = EstimatedWait(row, cell);
  const Millis retry = std::clamp(wait / 2, kMinRetryAfter, kMaxRetryAfter);
  if (queue_.IsFull(row.kind)) {
    throw AdmissionError(ErrorKind::kQueueFull,
                         "the queue of kind '" + row.kind + "' is full", retry);
  }
  if (clock_.Now() + wait > deadline) {
    throw AdmissionError(ErrorKind::kDeadlineUnmet,
                         "the expected wait of " +
                             std::to_string(wait.count()) +
                             " ms exceeds the time to the deadline",
                         retry);
  }
  if (!limits_.TakeRate(row.kind)) {
    throw AdmissionError(
        ErrorKind::kRateLimited,
        "the rate limit of kind '" + row.kind + "' is exhausted",
        std::max(kMinRetryAfter, limits_.RetryAfter(row.kind)));
  }
}

Millis Admission::EstimatedWait(const WorkRow& row,
                                const CellCapacity& cell) const {
  const double ahead = queue_.CostAhead(row.kind);
  // This entry is assumed to get the same fraction of the cell as it has of the
  // demand.
  const double workers = ReferenceWorkers(cell.capacity, row.size) *
                         limits_.DemandFraction(row.kind);
  // Less than one item ahead is work in transit to an owner, not a backlog.
  if (ahead < run_times_.Cost(row, row.size) || workers <= 0) {
    return Millis(0);
  }
  const double seconds = ahead / workers;
  // Capped at one hour, which is longer than every deadline.
  return Millis(static_cast<int64_t>(std::min(seconds, 3'600.0) * 1e3));
}

}  // namespace chivedale
