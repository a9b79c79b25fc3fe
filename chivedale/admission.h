// Accepts a new request into the queue or refuses it at once as not run.
//
//   admission.Check(row, size, deadline, urgent_room);  // throws Error
#ifndef CHIVEDALE_ADMISSION_H_
#define CHIVEDALE_ADMISSION_H_

#include "chivedale/error.h"
#include "chivedale/fair_queue.h"
#include "chivedale/limit_share.h"
#include "chivedale/run_time_model.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

// What the cell can hold, from the summaries of all known owners.
struct CellRoom {
  // Largest worker with and without accelerators, empty.
  Resources largest_plain;
  Resources largest_accelerated;
  // Sum over all known workers.
  Resources capacity;
  // False until summaries of all live owners are in; then nothing is refused
  // as never fitting.
  bool complete = false;
};

// A refusal carries how long the caller should wait before another try.
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

  // Throws AdmissionError: kNeverFits, kRateLimited, kDeadlineUnmet,
  // kQueueFull. Takes a rate token when it accepts.
  void Check(const WorkRow& row,
             const Resources& size,
             util::TimePoint deadline,
             const CellRoom& cell);

  // Expected wait of a new item of this row.
  Millis EstimatedWait(const WorkRow& row, const CellRoom& cell) const;

 private:
  const util::Clock& clock_;
  const FairQueue& queue_;
  LimitShare& limits_;
  const RunTimeModel& run_times_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ADMISSION_H_
