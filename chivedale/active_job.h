// The tasks of one job at its manager: which to start, what each reply, answer
// and member change means for them. Holds no store access; JobManager writes
// snapshots of the record and reports back what is written.
//
//   ActiveJob job(clock, random, listener, self, options, record);
//   job.Advance();
//   if (job.dirty()) { JobWriteNotes notes; Write(job.Snapshot(notes)); }
//   job.OnWritten(notes);  // now the recorded starts are sent
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

// What becomes allowed when a snapshot is in the store.
struct JobWriteNotes {
  std::vector<std::pair<int64_t, uint32_t>> starts;  // index, attempt
  std::vector<std::pair<int64_t, uint32_t>> ends;
  std::vector<std::pair<MemberId, TaskKey>> acks;
};

class ActiveJob {
 public:
  // `record` is as loaded from the store; its running tasks are looked for at
  // all owners first.
  ActiveJob(const util::Clock& clock,
            util::Random& random,
            JobListener& listener,
            MemberId self,
            const JobManager::Options& options,
            JobRecord record);

  // Commands.
  // The claim is in the store; before that nothing may be sent.
  void OnClaimed();
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnReply(const MemberId& owner, const DispatchReply& reply);
  void OnAnswer(const MemberId& owner, const Answer& answer);
  void OnWorkerTaken(const WorkerTaken& taken);
  void OnQueryReply(const MemberId& owner, const JobQueryReply& reply);
  void OnGangHeld(const std::vector<GangSlot>& slots);
  // Count and cancellation from a caller's edit of the stored record.
  void MergeEdit(const JobRecord& stored);
  // Ends the job with this reason as soon as its tasks have ended.
  void Fail(const std::string& reason);
  void CheckFits(const std::vector<Summary>& summaries, bool complete);
  // Starts, queries and stops what is due.
  void Advance();
  JobRecord Snapshot(JobWriteNotes& notes);
  void OnWritten(const JobWriteNotes& notes);
  // The snapshot was overtaken by an edit and is not in the store.
  void OnNotWritten(const JobWriteNotes& notes);
  // Another member manages the job: what waits in the queue is taken out.
  void Abandon();

  // Queries.
  const JobRecord& record() const { return record_; }
  bool dirty() const { return dirty_; }
  bool ended() const;
  // All tasks are recorded as starting and need room at once.
  bool NeedsGangRoom() const;
  JobStatus Status() const;

 private:
  struct Live {
    bool allowed = false;  // the start of this attempt is recorded
    bool sent = false;
    bool end_recorded = true;
    bool stopping = false;
    bool confirming = false;  // asked its owner, no answer yet
    MemberId owner;
    // The lease under which it was started, if known.
    uint64_t token = 0;
    std::string boot_id;
    util::TimePoint sent_at{};
    util::TimePoint started{};
    util::TimePoint stop_sent{};
    // No member is known to have the attempt since then.
    std::optional<util::TimePoint> lost_since;
    // Its worker's new owner does not have it; an answer may still be on its
    // way until then.
    std::optional<util::TimePoint> gone_at;
    Ran gone_ran = Ran::kUnknown;
  };

  JobTaskRecord& Task(int64_t i) { return record_.tasks[size_t(i)]; }
  Live& LiveOf(int64_t i) { return live_[size_t(i)]; }
  TaskKey KeyOf(int64_t i) const;
  bool IsActive(int64_t i) const;
  // The index when the key is that of a present attempt.
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
  void Found(int64_t i, const MemberId& owner);
  void OnMissing(int64_t i, const WorkerTaken& taken);
  void SetToken(int64_t i, uint64_t token, const std::string& boot_id);
  JobQuery MakeQuery(uint64_t round) const;
  void Fence(const std::set<MemberId>& joined);
  void AskOwners();
  void AskOwner(const MemberId& owner, const std::vector<int64_t>& indices);
  void ConfirmRunning();
  void EndLost();
  void EndGone();
  void EndAttempt(int64_t i, bool ok, Ran ran, const std::string& why);
  void EndInGang(int64_t i, bool ok, Ran ran, const std::string& why);
  void RetryOrFail(int64_t i, Ran ran, const std::string& why);
  void Wait(int64_t i, Millis backoff);
  Millis BackoffAfter(uint32_t failures);
  void CheckEnd();

  const util::Clock& clock_;
  util::Random& random_;
  JobListener& listener_;
  const MemberId self_;
  const JobManager::Options& options_;
  JobRecord record_;
  std::vector<Live> live_;
  Body payload_;
  bool dirty_ = false;
  // Indices by state, so that no step scans all tasks.
  std::set<std::pair<util::TimePoint, int64_t>> waiting_;
  std::set<int64_t> active_;
  std::set<int64_t> to_send_;
  std::set<int64_t> unaccepted_;  // sent, and no reply yet
  std::set<int64_t> stopping_;
  std::set<int64_t> lost_;
  std::set<int64_t> gone_;
  std::vector<std::pair<MemberId, TaskKey>> acks_;
  std::vector<std::pair<int64_t, uint32_t>> ends_;
  // How many tasks run in each worker, rack and data centre.
  std::map<std::string, int64_t> in_worker_;
  std::map<std::string, int64_t> in_rack_;
  std::map<std::string, int64_t> in_data_centre_;
  std::set<MemberId> members_;
  bool claimed_ = false;
  std::set<std::string> data_centres_;
  // The present round of JobQuery.
  uint64_t round_ = 0;
  util::TimePoint round_at_{};
  util::TimePoint confirmed_at_{};
  std::set<MemberId> round_replies_;
  // The gang's round is being stopped, to start again or to fail.
  bool gang_broken_ = false;
  std::optional<util::TimePoint> cannot_run_since_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ACTIVE_JOB_H_
