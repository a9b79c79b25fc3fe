// Connects the jobs of this member with its owners, the gang planner and the
// operations of callers, and finds the jobs that this member should manage.
// Claims, reads and writes of records are in job_claims.cc.
#include "chivedale/job_manager.h"

#include <algorithm>
#include <utility>

#include "chivedale/job_manager_impl.h"

namespace chivedale {
namespace {

// An index key without a record is removed after this long; by then the submit
// that created it has ended.
constexpr Millis kIndexWithoutRecord{60'000};
constexpr Millis kFitCheckInterval{1'000};

bool MayManage(const MemberInfo& member) {
  return member.state == MemberState::kLive ||
         member.state == MemberState::kSuspect;
}

}  // namespace

GangPlanner::Options JobManager::Impl::PlannerOptions() const {
  GangPlanner::Options planner_options;
  planner_options.hold_ttl = options.hold_ttl;
  planner_options.never_fits_after = options.never_fits_after;
  return planner_options;
}

GangPlanner::Hooks JobManager::Impl::PlannerHooks() {
  GangPlanner::Hooks hooks;
  hooks.send = [this](const MemberId& to, const Message& message) {
    listener.SendToMember(to, message);
  };
  hooks.summaries = [this] { return listener.Summaries(); };
  hooks.complete = [this] { return IsComplete(listener.Summaries()); };
  hooks.held = [this](const JobId& id, const std::vector<GangSlot>& slots) {
    if (ActiveJob* job = FindClaimed(id)) {
      job->OnGangHeld(slots);
    }
  };
  hooks.never_fits = [this](const JobId& id, const std::string& reason) {
    if (ActiveJob* job = FindClaimed(id)) {
      job->Fail(reason);
    }
  };
  return hooks;
}

bool JobManager::Impl::IsComplete(const std::vector<Summary>& summaries) const {
  std::set<MemberId> covered;
  for (const Summary& summary : summaries) {
    const bool sizes_known = (summary.plain.workers == 0 ||
                              !summary.plain.largest_worker.IsZero()) &&
                             (summary.accelerated.workers == 0 ||
                              !summary.accelerated.largest_worker.IsZero());
    if (sizes_known) {
      covered.insert(summary.owner);
    }
  }
  return !members.empty() && std::all_of(members.begin(), members.end(),
                                         [&](const MemberInfo& member) {
                                           return !MayManage(member) ||
                                                  covered.count(member.id) > 0;
                                         });
}

ActiveJob* JobManager::Impl::FindClaimed(const JobId& id) {
  auto it = jobs.find(id);
  return it != jobs.end() && it->second.claimed ? it->second.job.get()
                                                : nullptr;
}

ActiveJob* JobManager::Impl::FindByTask(const TaskId& task) {
  const std::optional<JobTaskName> name = ParseJobTaskId(task);
  return name ? FindClaimed(name->job) : nullptr;
}

MemberId JobManager::Impl::ManagerOf(const JobId& id) const {
  MemberId manager;
  uint64_t highest = 0;
  for (const MemberInfo& member : members) {
    if (!MayManage(member)) {
      continue;
    }
    const uint64_t weight = util::RendezvousWeight(id.str(), member.id.str());
    if (manager.empty() || weight > highest) {
      manager = member.id;
      highest = weight;
    }
  }
  return manager;
}

bool JobManager::Impl::ShouldManage(const JobId& id) const {
  return ManagerOf(id) == self;
}

void JobManager::Impl::NotifyManager(const JobId& id) {
  const MemberId manager = ManagerOf(id);
  if (manager == self) {
    Refresh(id);
  } else if (!manager.empty()) {
    listener.SendToMember(manager, JobChanged{id});
  }
}

StorePort::Done JobManager::Impl::Guarded(
    std::function<void(Impl&, const StoreResult&)> step) {
  std::weak_ptr<Impl> weak = weak_from_this();
  return [weak, step = std::move(step)](const StoreResult& result) {
    if (const std::shared_ptr<Impl> impl = weak.lock()) {
      step(*impl, result);
    }
  };
}

StorePort::Done JobManager::Impl::ForJob(
    const JobId& id,
    void (Impl::*step)(const JobId&, ManagedJob&, const StoreResult&)) {
  const uint64_t serial = jobs[id].serial;
  return Guarded([id, serial, step](Impl& impl, const StoreResult& result) {
    auto it = impl.jobs.find(id);
    if (it != impl.jobs.end() && it->second.serial == serial) {
      it->second.in_flight = false;
      (impl.*step)(id, it->second, result);
    }
  });
}

void JobManager::Impl::Scan() {
  if (scanning) {
    return;
  }
  scanning = true;
  store.List(kJobIndexPrefix, Guarded([](Impl& impl, const StoreResult& r) {
               impl.scanning = false;
               impl.OnScanned(r);
             }));
}

void JobManager::Impl::OnScanned(const StoreResult& result) {
  if (result.status != StoreStatus::kOk) {
    next_scan = clock.Now() + options.write_interval * 5;
    return;
  }
  const std::string prefix(kJobIndexPrefix);
  const int64_t now_ms = clock.WallNow().time_since_epoch().count();
  for (const StoreEntry& entry : result.entries) {
    const JobId id(entry.key.substr(prefix.size()));
    if (!ShouldManage(id)) {
      continue;
    }
    auto done = ended.find(id);
    if (done == ended.end()) {
      RemoveIndexWithoutRecord(id, entry);
      Load(id);
    } else if (now_ms - done->second.ended_ms >= options.retention.count()) {
      RemoveEnded(id, done->second.revision, entry);
    }
  }
}

void JobManager::Impl::RemoveIndexWithoutRecord(const JobId& id,
                                                const StoreEntry& entry) {
  auto it = without_record.find(id);
  if (it != without_record.end() &&
      clock.Now() - it->second >= kIndexWithoutRecord) {
    without_record.erase(it);
    store.Delete(entry.key, entry.revision, [](const StoreResult&) {});
  }
}

void JobManager::Impl::RemoveEnded(const JobId& id,
                                   uint64_t revision,
                                   const StoreEntry& index) {
  ended.erase(id);
  store.Delete(JobKey(id), revision,
               Guarded([index](Impl& impl, const StoreResult& result) {
                 // If the answer was lost or reported a conflict, the next scan
                 // loads the job again.
                 if (result.status == StoreStatus::kOk ||
                     result.status == StoreStatus::kNotFound) {
                   impl.store.Delete(index.key, index.revision,
                                     [](const StoreResult&) {});
                 }
               }));
}

void JobManager::Impl::AdvanceJobs() {
  const util::TimePoint now = clock.Now();
  const bool check_fit = now >= next_fit_check;
  std::vector<Summary> summaries;
  bool complete = false;
  if (check_fit) {
    next_fit_check = now + kFitCheckInterval;
    summaries = listener.Summaries();
    complete = IsComplete(summaries);
  }
  for (auto& [id, managed] : jobs) {
    if (!managed.claimed) {
      continue;
    }
    if (check_fit) {
      managed.job->CheckFits(summaries, complete);
    }
    managed.job->Advance();
    PlanGang(id, *managed.job);
  }
}

void JobManager::Impl::PlanGang(const JobId& id, const ActiveJob& job) {
  const WorkRow* row = listener.FindRow(job.record().spec.kind);
  const bool needs = row != nullptr && job.NeedsGangCapacity();
  if (needs && !planner.IsPlanning(id)) {
    planner.Start(id, row->size, job.record().spec.tasks);
  } else if (!needs && planner.IsPlanning(id)) {
    planner.Stop(id);
  }
}

JobManager::JobManager(const util::Clock& clock,
                       util::Random& random,
                       StorePort& store,
                       JobListener& listener,
                       MemberId self,
                       Options options)
    : impl_(std::make_shared<Impl>(clock,
                                   random,
                                   store,
                                   listener,
                                   std::move(self),
                                   options)) {}
JobManager::~JobManager() = default;

void JobManager::Submit(const JobSpec& spec, JobCallback done) {
  impl_->operations.Submit(spec, impl_->listener.FindRow(spec.kind),
                           std::move(done));
}

void JobManager::Cancel(const JobId& id, JobCallback done) {
  impl_->operations.Cancel(id, std::move(done));
}

void JobManager::SetCount(const JobId& id, int64_t count, JobCallback done) {
  JobListener& listener = impl_->listener;
  const auto is_service = [&listener](const std::string& kind) {
    const WorkRow* row = listener.FindRow(kind);
    return row != nullptr && row->shape == WorkShape::kService;
  };
  impl_->operations.SetCount(id, count, is_service, std::move(done));
}

void JobManager::SetMembers(const std::vector<MemberInfo>& members) {
  impl_->members = members;
  impl_->VerifySoon();
  std::vector<JobId> lost;
  for (auto& [id, managed] : impl_->jobs) {
    if (impl_->ShouldManage(id)) {
      managed.job->SetMembers(members);
    } else {
      lost.push_back(id);
    }
  }
  for (const JobId& id : lost) {
    impl_->Drop(id);
  }
  for (auto it = impl_->ended.begin(); it != impl_->ended.end();) {
    it =
        impl_->ShouldManage(it->first) ? std::next(it) : impl_->ended.erase(it);
  }
  impl_->reclaim_at.clear();
  impl_->next_scan = util::TimePoint{};
}

void JobManager::OnDispatchReply(const MemberId& owner,
                                 const DispatchReply& reply) {
  if (ActiveJob* job = impl_->FindByTask(reply.key.task)) {
    job->OnReply(owner, reply);
  }
}

void JobManager::OnAnswer(const MemberId& owner, const Answer& answer) {
  if (ActiveJob* job = impl_->FindByTask(answer.key.task)) {
    job->OnAnswer(owner, answer);
    return;
  }
  // Answers for a job that has ended here are no longer needed.
  const std::optional<JobTaskName> name = ParseJobTaskId(answer.key.task);
  if (name && impl_->ended.count(name->job) > 0) {
    impl_->listener.SendToMember(owner, AnswerAck{answer.key});
  }
}

void JobManager::OnWorkerTaken(const WorkerTaken& taken) {
  for (auto& [id, managed] : impl_->jobs) {
    if (managed.claimed) {
      managed.job->OnWorkerTaken(taken);
    }
  }
}

void JobManager::OnHoldReply(const MemberId& owner, const HoldReply& reply) {
  impl_->planner.OnHoldReply(owner, reply);
}

void JobManager::OnJobQueryReply(const MemberId& owner,
                                 const JobQueryReply& reply) {
  if (ActiveJob* job = impl_->FindClaimed(reply.job)) {
    job->OnQueryReply(owner, reply);
  }
}

void JobManager::OnJobChanged(const JobChanged& changed) {
  if (impl_->ShouldManage(changed.job)) {
    impl_->Refresh(changed.job);
  }
}

void JobManager::Tick() {
  const util::TimePoint now = impl_->clock.Now();
  impl_->operations.Tick();
  impl_->VerifyClaims();
  impl_->Reclaim();
  impl_->LoadWaiting();
  if (now >= impl_->next_scan) {
    impl_->next_scan = now + impl_->options.scan_interval;
    impl_->Scan();
  }
  impl_->AdvanceJobs();
  impl_->planner.Tick();
  impl_->WriteJobs();
}

bool JobManager::IsJobTask(const TaskId& task) {
  return ParseJobTaskId(task).has_value();
}

void JobManager::Get(const JobId& id, JobCallback done) {
  if (ActiveJob* job = impl_->FindClaimed(id)) {
    JobResult result;
    result.ok = true;
    result.status = job->Status();
    done(result);
    return;
  }
  impl_->operations.Get(id, std::move(done));
}

std::vector<JobStatus> JobManager::Managed() const {
  std::vector<JobStatus> statuses;
  for (const auto& [id, managed] : impl_->jobs) {
    if (managed.claimed) {
      statuses.push_back(managed.job->Status());
    }
  }
  return statuses;
}

}  // namespace chivedale
