// Jobs whose progress has changed since it was last stored, oldest change
// first, and which changes are stored. Writes are made by several lanes, each
// with one write in flight.
//
//   ProgressQueue queue(lanes, jobs_per_write);
//   queue.Add(job_id);                       // its progress has changed
//   const int64_t change = queue.LastChangeOf(job_id);
//   if (queue.MayWrite(lane)) queue.Take(lane, add_to_write);
//   queue.OnWritten(lane, WriteResult::kStored);
//   if (queue.IsStored(job_id, change)) ...
//
// A write without an answer may take effect later. Its jobs are kept in its
// lane, whose next write is conditional on the effect of the last one, until
// that lane has stored them.
//
// A write that the store rejects as invalid is repeated in smaller parts, so
// that one job whose progress cannot be stored does not keep that of others
// from being stored. Such a job is left out until RetryRejected().
#ifndef CELL_PROGRESS_QUEUE_H_
#define CELL_PROGRESS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

enum class WriteResult {
  kStored,
  kFailed,    // not known to be stored; to be repeated
  kRejected,  // not stored, and not to be repeated unchanged
};

class ProgressQueue {
 public:
  // Adds a job to a write; returns false if that is then full.
  using AddToWrite = std::function<bool(const JobId&)>;

  ProgressQueue(size_t lanes, size_t jobs_per_write);

  // Commands.
  // Records that the progress of the job has changed.
  void Add(const JobId& id);
  // Starts the lane's next write with one or more jobs, oldest change first.
  // Requires MayWrite().
  void Take(size_t lane, const AddToWrite& add);
  // Ends the lane's write. After a failed one its jobs stay in the lane.
  void OnWritten(size_t lane, WriteResult result);
  // Lets the jobs that were rejected be written again.
  void RetryRejected();

  // Queries.
  size_t lanes() const { return lanes_.size(); }
  // False if the lane has a write in flight, or no job to write. All lanes but
  // the first write only full batches, so that a cell with few changes makes
  // few writes.
  bool MayWrite(size_t lane) const;
  // True if there is a job that is not being written.
  bool waiting() const;
  // True if a change of the job is not stored.
  bool Contains(const JobId& id) const;
  // Number of the job's latest change that is not stored; 0 if there is none.
  int64_t LastChangeOf(const JobId& id) const;
  // Whether the changes of the job up to this number are stored.
  bool IsStored(const JobId& id, int64_t change) const;

 private:
  // Jobs by the number of their oldest change that is not stored.
  using Jobs = std::map<int64_t, JobId>;
  struct Lane {
    Jobs kept;      // of a write that was not stored
    Jobs rejected;  // left out; in the lane, as an earlier write may be late
    Jobs written;   // of the write in flight
    bool in_flight = false;
    size_t max_jobs = 0;  // in its next write
  };
  // Where the unstored changes of a job are. A job may change again while it is
  // being written.
  struct Place {
    Jobs* jobs =
        nullptr;         // waiting_, or kept or rejected in a lane; null: none
    int64_t change = 0;  // its number there
    Lane* written_by = nullptr;  // null if it is not being written
    int64_t written_change = 0;  // its number in Lane::written
  };

  // Moves the job's unstored changes to `jobs`, under the oldest number.
  static void Keep(Place& place, Jobs& jobs, const JobId& id);

  std::vector<Lane> lanes_;
  const size_t jobs_per_write_;
  Jobs waiting_;  // in no lane
  std::unordered_map<JobId, Place> places_;
  int64_t last_change_ = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_PROGRESS_QUEUE_H_
