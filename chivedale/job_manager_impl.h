// Implementation state of JobManager. Included only by job_manager.cc and
// job_claims.cc.
#ifndef CHIVEDALE_JOB_MANAGER_IMPL_H_
#define CHIVEDALE_JOB_MANAGER_IMPL_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/active_job.h"
#include "chivedale/gang_planner.h"
#include "chivedale/job_manager.h"
#include "chivedale/job_operations.h"

namespace chivedale {

struct PendingWrite {
  std::string value;
  std::string nonce;
  uint64_t expected = 0;
  JobWriteEffects effects;
  // The store's response was lost or reported a conflict; the record must be
  // read back before anything else.
  bool outcome_unknown = false;
};

struct ManagedJob {
  std::unique_ptr<ActiveJob> job;
  // Distinguishes successive periods in which this member manages the same job.
  uint64_t serial = 0;
  uint64_t revision = 0;
  bool claimed = false;
  std::optional<PendingWrite> write;
  bool in_flight = false;
  util::TimePoint next_write{};
  // When the record was last seen to name this member as the manager.
  util::TimePoint verified{};
};

struct EndedJob {
  int64_t ended_ms = 0;
  uint64_t revision = 0;
};

struct JobManager::Impl : std::enable_shared_from_this<Impl> {
  Impl(const util::Clock& clock_in,
       util::Random& random_in,
       StorePort& store_in,
       JobListener& listener_in,
       MemberId self_in,
       Options options_in)
      : clock(clock_in),
        random(random_in),
        store(store_in),
        listener(listener_in),
        self(std::move(self_in)),
        options(options_in),
        operations(
            clock,
            store,
            [this](const JobId& id) { NotifyManager(id); },
            options),
        planner(clock, random, PlannerHooks(), PlannerOptions()) {}

  GangPlanner::Options PlannerOptions() const;
  GangPlanner::Hooks PlannerHooks();
  // Whether the summaries include all members that may own workers.
  bool IsComplete(const std::vector<Summary>& summaries) const;
  ActiveJob* FindClaimed(const JobId& id);
  ActiveJob* FindByTask(const TaskId& task);
  MemberId ManagerOf(const JobId& id) const;
  bool ShouldManage(const JobId& id) const;
  void NotifyManager(const JobId& id);
  // Wraps a store callback so that it is skipped after this object is
  // destroyed.
  StorePort::Done Guarded(std::function<void(Impl&, const StoreResult&)> step);
  // Same as Guarded, for a step of one managed job.
  StorePort::Done ForJob(const JobId& id,
                         void (Impl::*step)(const JobId&,
                                            ManagedJob&,
                                            const StoreResult&));
  // Reads a job that has been created or edited.
  void Refresh(const JobId& id);
  void OnRefreshed(const JobId& id,
                   ManagedJob& managed,
                   const StoreResult& result);
  void VerifyClaims();
  void VerifySoon();
  static std::optional<JobRecord> Parse(const StoreResult& result);
  static bool IsSameClaim(const JobRecord& stored, const ActiveJob& job);
  void Load(const JobId& id);
  void OnLoaded(const JobId& id, const StoreResult& result);
  void Claim(const JobId& id, JobRecord record, uint64_t revision);
  void BeginWrite(const JobId& id, ManagedJob& managed);
  void Put(const JobId& id, ManagedJob& managed);
  void OnPut(const JobId& id, ManagedJob& managed, const StoreResult& result);
  void ReadBack(const JobId& id, ManagedJob& managed);
  void OnReadBack(const JobId& id,
                  ManagedJob& managed,
                  const StoreResult& result);
  void OnWriteStored(const JobId& id, ManagedJob& managed, uint64_t revision);
  void Drop(const JobId& id);
  // Another member has claimed the job. This member may have been paused and
  // have an outdated view of the membership, so it does not claim the job again
  // until that view has changed or some time has passed.
  void DropLost(const JobId& id);
  bool MayClaim(const JobId& id) const;
  void Reclaim();
  void Scan();
  void OnScanned(const StoreResult& result);
  void RemoveIndexWithoutRecord(const JobId& id, const StoreEntry& entry);
  void RemoveEnded(const JobId& id, uint64_t revision, const StoreEntry& index);
  void AdvanceJobs();
  void PlanGang(const JobId& id, const ActiveJob& job);
  // Starts or retries writes, round-robin over all jobs.
  void WriteJobs();
  // Returns whether a store call was made.
  bool WriteJob(const JobId& id, ManagedJob& managed);
  void LoadWaiting();

  const util::Clock& clock;
  util::Random& random;
  StorePort& store;
  JobListener& listener;
  const MemberId self;
  const Options options;
  JobOperations operations;
  GangPlanner planner;
  std::vector<MemberInfo> members;
  std::map<JobId, ManagedJob> jobs;
  std::map<JobId, EndedJob> ended;
  // Index keys found without a record, with the time when this was first found.
  std::map<JobId, util::TimePoint> without_record;
  std::map<JobId, util::TimePoint> reclaim_at;
  std::set<JobId> loading;
  std::set<JobId> to_load;
  std::set<JobId> refresh;
  util::TimePoint last_tick{};
  bool scanning = false;
  util::TimePoint next_scan{};
  util::TimePoint next_fit_check{};
  util::TimePoint budget_renewed{};
  int64_t budget = 0;
  JobId last_written;
  uint64_t last_serial = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_MANAGER_IMPL_H_
