// Batch jobs, gangs and services. The job's specification and the assignment
// of each task are kept in the store under "jobs/ID" and written, many tasks
// to one write, before a task's first start and after its end.
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

// How the manager reaches the rest of its daemon.
class JobListener {
 public:
  virtual ~JobListener() = default;
  // Puts one attempt into the entry's fair queue. The outcome comes back by
  // OnDispatchReply and OnAnswer. The entry sends it to one owner at a time: to
  // another one only after kNoRoom or kRefused, and a dispatch without a reply
  // is reported as kUnknown with its owner.
  virtual void Enqueue(const Dispatch& dispatch,
                       util::TimePoint not_before) = 0;
  // Removes it from the queue, which comes back as kRefused; when it is no
  // longer there, sends Cancel to `owner`, or if that is empty, to the owner
  // that it was dispatched to. Called again until the attempt has ended.
  virtual void Withdraw(const TaskKey& key, const MemberId& owner) = 0;
  virtual void SendToMember(const MemberId& to, const Message& message) = 0;
  virtual const WorkRow* FindRow(const std::string& kind) const = 0;
  // Takes it out of the queue and leaves it alone elsewhere: another member
  // manages the job now.
  virtual void Forget(const TaskKey& /*key*/) {}
  // The latest summary of each owner, with room or without.
  virtual std::vector<Summary> Summaries() const = 0;
};

class JobManager {
 public:
  struct Options {
    Millis write_interval{100};
    Millis orphan_wait = OrphanWait();
    Millis hold_ttl{2'000};
    int64_t max_tasks_per_job = 10'000;
    // The record with payload and tasks must stay below the store's 1 MB.
    size_t max_payload = 65'536;
    // Starts of one job that may wait in the queue at once.
    int64_t max_starting = 256;
    // Writes begun in one write_interval, over all jobs; the store takes
    // several hundred a second from all members.
    int64_t writes_per_interval = 4;
    // Each member looks for jobs that it should manage this often.
    Millis scan_interval{10'000};
    // Answers to a caller whose store operation does not end.
    Millis operation_timeout{5'000};
    // A job that cannot run for want of a row or of a large enough worker ends
    // after this long; workers that restart come back within it.
    Millis never_fits_after{30'000};
    // Finished jobs answer for this long, then their record is removed.
    Millis retention{3'600'000};
  };

  JobManager(const util::Clock& clock,
             util::Random& random,
             StorePort& store,
             JobListener& listener,
             MemberId self,
             Options options);
  ~JobManager();

  // Commands. Each `done` is called once.
  // A second submit of the same id with the same spec answers as the first.
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
  // Every 50 ms or so.
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
