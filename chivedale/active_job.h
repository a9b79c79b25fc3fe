// State machine for the tasks of one job at its manager: decides which tasks to
// start and handles replies, answers and membership changes. Does not access
// the store; JobManager writes the snapshots and reports which ones were
// stored.
//
//   ActiveJob job(clock, random, listener, self, options, record);
//   job.Advance();
//   JobWriteEffects effects;
//   if (job.dirty()) Write(job.Snapshot(effects));
//   job.OnWritten(effects);  // now the recorded starts are sent
#ifndef CHIVEDALE_ACTIVE_JOB_H_
#define CHIVEDALE_ACTIVE_JOB_H_

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/gang_planner.h"
#include "chivedale/job_manager.h"
#include "chivedale/job_record.h"

namespace chivedale {

// Effects that become permitted once a snapshot has been stored.
struct JobWriteEffects {
  std::vector<std::pair<int64_t, uint32_t>> starts;  // task index, attempt
  std::vector<std::pair<int64_t, uint32_t>> ends;    // task index, attempt
  std::vector<std::pair<MemberId, TaskKey>> acks;    // owner, attempt
};

class ActiveJob {
 public:
  // `record` is as loaded from the store. All owners are first queried for the
  // tasks that it shows as running.
  ActiveJob(const util::Clock& clock,
            util::Random& random,
            JobListener& listener,
            MemberId self,
            const JobManager::Options& options,
            JobRecord record);

  // Commands.
  // The claim has been stored. Nothing may be sent before.
  void OnClaimed();
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnReply(const MemberId& owner, const DispatchReply& reply);
  void OnAnswer(const MemberId& owner, const Answer& answer);
  void OnWorkerTaken(const WorkerTaken& taken);
  void OnQueryReply(const MemberId& owner, const JobQueryReply& reply);
  void OnGangHeld(const std::vector<GangSlot>& slots);
  // Takes over the task count and the cancellation from a caller's edit of the
  // stored record.
  void MergeEdit(const JobRecord& stored);
  // Ends the job with this reason once its tasks have ended.
  void Fail(const std::string& reason);
  void CheckFits(const std::vector<Summary>& summaries, bool complete);
  // Sends the starts, queries and stops that are due.
  void Advance();
  JobRecord Snapshot(JobWriteEffects& effects);
  void OnWritten(const JobWriteEffects& effects);
  // The write of the snapshot lost against a caller's edit; it is not in the
  // store.
  void OnNotWritten(const JobWriteEffects& effects);
  // Another member manages the job: removes this job's attempts from the queue.
  void Abandon();

  // Queries.
  const JobRecord& record() const { return record_; }
  bool dirty() const { return dirty_; }
  bool ended() const;
  // Whether this is a gang whose tasks are all recorded as starting and need
  // their capacity at the same time.
  bool NeedsGangCapacity() const;
  JobStatus Status() const;

 private:
  struct AttemptInfo {
    bool allowed = false;  // the start of this attempt has been stored
    bool sent = false;
    bool end_recorded = true;
    bool stopping = false;
    bool confirming = false;  // owner was queried, no answer yet
    MemberId owner;
    // The lease under which the attempt was started, if known.
    uint64_t token = 0;
    std::string boot_id;
    util::TimePoint sent_at{};
    util::TimePoint started{};
    util::TimePoint stop_sent{};
    // Time since when no member is known to have the attempt.
    std::optional<util::TimePoint> lost_since;
    // Set if the worker's new owner does not have the attempt: time until which
    // an answer that is still in transit is awaited.
    std::optional<util::TimePoint> absent_deadline;
    Ran absent_ran = Ran::kUnknown;
  };

  JobTaskRecord& Task(int64_t i) { return record_.tasks[size_t(i)]; }
  AttemptInfo& InfoOf(int64_t i) { return attempt_info_[size_t(i)]; }
  TaskKey KeyOf(int64_t i) const;
  bool IsActive(int64_t i) const;
  // The task index if the key is that of a current attempt.
  std::optional<int64_t> FindActive(const TaskKey& key) const;
  WorkShape Shape() const;
  void Resize();
  void StartDue();
  void StartGang();
  void BeginFirst();
  void SendAllowed();
  void Send(int64_t i, const GangSlot* slot);
  std::vector<std::string> AvoidList() const;
  void SetPlace(int64_t i,
                const WorkerId& worker,
                const std::string& rack,
                const std::string& data_centre);
  void ClearPlace(int64_t i);
  void Stop(int64_t i);
  void StopAll();
  void StopActive();
  void ResendStops();
  void MarkLost(int64_t i);
  void OnFound(int64_t i, const MemberId& owner);
  void OnMissing(int64_t i, const WorkerTaken& taken);
  void SetToken(int64_t i, uint64_t token, const std::string& boot_id);
  JobQuery MakeQuery(uint64_t round) const;
  void Fence(const std::set<MemberId>& joined);
  void QueryOwners();
  void QueryOwner(const MemberId& owner, const std::vector<int64_t>& indices);
  void ConfirmRunning();
  void EndLost();
  void EndAbsent();
  void EndAttempt(int64_t i, bool ok, Ran ran, const std::string& reason);
  void EndInGang(int64_t i, bool ok, Ran ran, const std::string& reason);
  void RetryOrFail(int64_t i, Ran ran, const std::string& reason);
  void Wait(int64_t i, Millis backoff);
  Millis BackoffAfter(uint32_t failures);
  void CheckEnd();

  const util::Clock& clock_;
  util::Random& random_;
  JobListener& listener_;
  const MemberId self_;
  const JobManager::Options& options_;
  JobRecord record_;
  std::vector<AttemptInfo> attempt_info_;
  Body payload_;
  bool dirty_ = false;
  // Task indexes by state, so that no step scans all tasks.
  std::set<std::pair<util::TimePoint, int64_t>> waiting_;
  std::set<int64_t> active_;
  std::set<int64_t> to_send_;
  std::set<int64_t> unaccepted_;  // sent, and no reply yet
  std::set<int64_t> stopping_;
  std::set<int64_t> lost_;
  std::set<int64_t> absent_;
  std::vector<std::pair<MemberId, TaskKey>> acks_;
  std::vector<std::pair<int64_t, uint32_t>> ends_;
  // How many tasks run in each worker, rack and data centre.
  std::map<std::string, int64_t> in_worker_;
  std::map<std::string, int64_t> in_rack_;
  std::map<std::string, int64_t> in_data_centre_;
  std::set<MemberId> members_;
  bool claimed_ = false;
  std::set<std::string> data_centres_;
  // The current round of JobQuery.
  uint64_t round_ = 0;
  util::TimePoint round_at_{};
  util::TimePoint confirmed_at_{};
  std::set<MemberId> round_replies_;
  // The attempts of the gang are being stopped, after which it restarts or
  // fails.
  bool gang_stopping_ = false;
  std::optional<util::TimePoint> cannot_run_since_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ACTIVE_JOB_H_
