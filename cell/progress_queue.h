// Jobs whose progress has changed since it was last stored, oldest change
// first, and which changes are stored. Writes are made by several lanes, each
// with one write in flight.
//
//   ProgressQueue queue(lanes, jobs_per_write);
//   queue.Add(job_id);                       // its progress has changed
//   if (queue.MayWrite(lane)) write(queue.Take(lane));
//   queue.OnWritten(lane, stored);
//   if (queue.stored_change() >= change) ...  // `change` and all before it
//
// A write without an answer may take effect later. Its jobs are kept in its
// lane, whose next write is conditional on the effect of the last one, until
// that lane has stored them.
#ifndef CELL_PROGRESS_QUEUE_H_
#define CELL_PROGRESS_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

class ProgressQueue {
 public:
  ProgressQueue(size_t lanes, size_t jobs_per_write)
      : lanes_(lanes), jobs_per_write_(jobs_per_write) {}

  // Commands.
  // Records that the progress of the job has changed.
  void Add(const JobId& id);
  // Returns the jobs of the lane's next write, oldest change first. Requires
  // MayWrite().
  std::vector<JobId> Take(size_t lane);
  // Ends the lane's write. Unless it is `stored`, its jobs stay in the lane.
  void OnWritten(size_t lane, bool stored);

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
  // Number of the latest change; 0 before the first.
  int64_t last_change() const { return last_change_; }
  // All changes up to this number are stored.
  int64_t stored_change() const;

 private:
  // Jobs by the number of their oldest change that is not stored.
  using Jobs = std::map<int64_t, JobId>;
  struct Lane {
    Jobs kept;     // of a write that was not stored
    Jobs written;  // of the write in flight
    bool in_flight = false;
  };
  // Where the unstored changes of a job are. A job may change again while it is
  // being written.
  struct Place {
    Jobs* jobs = nullptr;  // waiting_ or Lane::kept; null: neither
    int64_t change = 0;
    Lane* written_by = nullptr;  // null if it is not being written
  };

  std::vector<Lane> lanes_;
  const size_t jobs_per_write_;
  Jobs waiting_;  // in no lane
  std::unordered_map<JobId, Place> places_;
  int64_t last_change_ = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_PROGRESS_QUEUE_H_
