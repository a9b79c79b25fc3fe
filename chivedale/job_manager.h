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
#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "chivedale/work.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

enum class JobPhase { kActive, kCancelling, kSucceeded, kFailed, kCancelled };
enum class TaskPhase { kWaiting, kStarting, kRunning, kSucceeded, kFailed };

struct JobSpec {
  JobId id;
  std::string kind;
  int64_t tasks = 1;  // for a service the count to keep
  std::string payload;
  std::string submitter;
};

struct JobTaskStatus {
  int64_t index = 0;
  TaskPhase phase = TaskPhase::kWaiting;
  uint32_t attempt = 0;
  MemberId owner;
  WorkerId worker;
  std::string rack;
  std::string data_centre;
};

struct JobStatus {
  JobSpec spec;
  JobPhase phase = JobPhase::kActive;
  std::string reason;
  std::vector<JobTaskStatus> tasks;
  MemberId manager;
};

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
  // OnDispatchReply and OnAnswer.
  virtual void Enqueue(const Dispatch& dispatch,
                       util::TimePoint not_before) = 0;
  // Removes it from the queue, or cancels it at its owner.
  virtual void Withdraw(const TaskKey& key, const MemberId& owner) = 0;
  virtual void SendToMember(const MemberId& to, const Message& message) = 0;
  virtual const WorkRow* FindRow(const std::string& kind) const = 0;
  // Owners with room by summary, most first, for gang holds.
  virtual std::vector<Summary> Summaries() const = 0;
};

class JobManager {
 public:
  struct Options {
    Millis write_interval{100};
    Millis orphan_wait{6'600};
    Millis hold_ttl{2'000};
    int64_t max_tasks_per_job = 10'000;
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
  void Tick();

  // Queries.
  // Whether a task id belongs to a job rather than to a request.
  static bool IsJobTask(const TaskId& task);
  void Get(const JobId& id, JobCallback done);
  std::vector<JobStatus> Managed() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_MANAGER_H_
