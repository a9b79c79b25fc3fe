// Batch jobs, gangs and services. The specification of a job and the assignment
// of each task are stored under "jobs/ID". They are written before a task's
// first start and after its end, with many tasks per write.
#ifndef CHIVEDALE_JOB_MANAGER_H_
#define CHIVEDALE_JOB_MANAGER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/ids.h"
#include "chivedale/job_record.h"
#include "chivedale/lease_times.h"
#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "chivedale/work.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

struct JobResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  std::string detail;
  std::optional<JobStatus> status;
};
using JobCallback = std::function<void(const JobResult&)>;

// Interface through which the manager reaches the rest of its daemon.
class JobListener {
 public:
  virtual ~JobListener() = default;
  // Puts one attempt into the entry's fair queue. The outcome is reported to
  // OnDispatchReply and OnAnswer. The entry sends the attempt to one owner at a
  // time and tries another one only after kInsufficientCapacity or kRefused; a
  // dispatch without a reply is reported as kUnknown with its owner.
  virtual void Enqueue(const Dispatch& dispatch,
                       util::TimePoint not_before) = 0;
  // Removes the attempt from the queue, which is reported as kRefused. If it is
  // no longer queued, sends Cancel to `owner`, or if that is empty, to the
  // owner it was dispatched to. Called repeatedly until the attempt has ended.
  virtual void CancelAttempt(const TaskKey& key, const MemberId& owner) = 0;
  virtual void SendToMember(const MemberId& to, const Message& message) = 0;
  virtual const WorkRow* FindRow(const std::string& kind) const = 0;
  // Like CancelAttempt, but does not cancel an attempt that is no longer
  // queued: another member manages the job.
  virtual void RemoveFromQueue(const TaskKey& /*key*/) {}
  // The latest summary of each owner, including those without free capacity.
  virtual std::vector<Summary> Summaries() const = 0;
};

class JobManager {
 public:
  struct Options {
    Millis write_interval{100};
    // See OrphanTimeout in lease_times.h.
    Millis orphan_timeout = OrphanTimeout();
    Millis hold_ttl{2'000};
    int64_t max_tasks_per_job = 10'000;
    // The record with payload and tasks must stay below the store's limit of 1
    // MB.
    size_t max_payload = 65'536;
    // Starts of one job that may wait in the queue at once.
    int64_t max_starting = 256;
    // Writes started per write_interval, over all jobs; the store accepts
    // several hundred per second from all members together.
    int64_t writes_per_interval = 4;
    // How often each member scans the store for jobs that it should manage.
    Millis scan_interval{10'000};
    // Time after which a caller gets an error if its store operation has not
    // ended.
    Millis operation_timeout{5'000};
    // A job that cannot run because its table row or a large enough worker is
    // missing ends after this long. Restarting workers are back within this
    // time.
    Millis never_fits_after{30'000};
    // How long the status of a finished job can be read before its record is
    // removed.
    Millis retention{3'600'000};
  };

  JobManager(const util::Clock& clock,
             util::Random& random,
             StorePort& store,
             JobListener& listener,
             MemberId self,
             Options options);
  ~JobManager();

  // Commands. Each `done` is called exactly once.
  // A repeated submit with the same id and spec gets the same answer.
  void Submit(const JobSpec& spec, JobCallback done);
  void Cancel(const JobId& id, JobCallback done);
  void SetCount(const JobId& id, int64_t count, JobCallback done);
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnDispatchReply(const MemberId& owner, const DispatchReply& reply);
  void OnAnswer(const MemberId& owner, const Answer& answer);
  void OnWorkerTaken(const WorkerTaken& taken);
  void OnHoldReply(const MemberId& owner, const HoldReply& reply);
  void OnJobQueryReply(const MemberId& owner, const JobQueryReply& reply);
  void OnJobChanged(const JobChanged& changed);
  // To be called about every 50 ms.
  void Tick();

  // Queries.
  // Whether a task id belongs to a job rather than to a request.
  static bool IsJobTask(const TaskId& task);
  void Get(const JobId& id, JobCallback done);
  std::vector<JobStatus> Managed() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_MANAGER_H_
