// Admits a new request to the queue or refuses it immediately, in which case it
// has certainly not run.
//
//   admission.Check(row, size, deadline, cell);  // throws AdmissionError
#ifndef CHIVEDALE_ADMISSION_H_
#define CHIVEDALE_ADMISSION_H_

#include "chivedale/error.h"
#include "chivedale/fair_queue.h"
#include "chivedale/limit_share.h"
#include "chivedale/run_time_model.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

// Capacity of the cell, from the summaries of all known owners.
struct CellCapacity {
  // Capacity of the largest worker, when idle, without and with accelerators.
  Resources largest_plain;
  Resources largest_accelerated;
  // Total capacity of all known workers.
  Resources capacity;
  // False until all live owners have sent a summary; until then nothing is
  // refused as too large for every worker.
  bool complete = false;
};

// A refusal, with the time that the caller should wait before it retries.
class AdmissionError : public Error {
 public:
  AdmissionError(ErrorKind kind, const std::string& detail, Millis retry_after)
      : Error(kind, detail), retry_after_(retry_after) {}
  Millis retry_after() const { return retry_after_; }

 private:
  Millis retry_after_;
};

class Admission {
 public:
  Admission(const util::Clock& clock,
            const FairQueue& queue,
            LimitShare& limits,
            const RunTimeModel& run_times);

  // Throws AdmissionError with kNeverFits, kRateLimited, kDeadlineUnmet or
  // kQueueFull. Consumes a rate token if the request is accepted.
  void Check(const WorkRow& row,
             const Resources& size,
             util::TimePoint deadline,
             const CellCapacity& cell);

  // Expected queueing time of a new item of this row at this entry.
  Millis EstimatedWait(const WorkRow& row, const CellCapacity& cell) const;

 private:
  const util::Clock& clock_;
  const FairQueue& queue_;
  LimitShare& limits_;
  const RunTimeModel& run_times_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ADMISSION_H_
