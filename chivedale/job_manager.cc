// Who manages a job follows from rendezvous hashing over the live members, but
// the store decides: a manager raises the record's epoch by compare-and-swap
// before it acts, and each later write expects the revision of the one before.
// A paused manager therefore loses its next write, and since no task starts
// before the write that records the start, it starts nothing more.
//
// A write without an answer is read back: its nonce tells whether it took
// effect. Callers' edits keep the nonce, so an edit on top of the write does
// not hide it. While the outcome is open the same bytes are written again, and
// nothing else.
#include "chivedale/job_manager.h"

#include <algorithm>
#include <set>
#include <utility>

#include "chivedale/active_job.h"
#include "chivedale/job_operations.h"

namespace chivedale {
namespace {

constexpr int kNonceDigits = 16;
// An index key without a record is removed after this long; the submit that
// created it has ended by then.
constexpr Millis kIndexWithoutRecord{60'000};
// A manager with nothing to write would not notice that another member claimed
// its job while it was thought dead, so it reads the record now and then: soon
// after a member change or a pause of this process, else at this interval.
constexpr Millis kVerifyInterval{60'000};
constexpr Millis kPause{1'000};
// After a pause this process learns the present members within this time.
constexpr Millis kReclaimDelay{3'000};
constexpr Millis kFitCheckInterval{1'000};
// Records read at once after a member change.
constexpr size_t kMaxLoads = 32;

struct PendingWrite {
  std::string value;
  std::string nonce;
  uint64_t expected = 0;
  JobWriteNotes notes;
  // Its answer was lost or a conflict: read back before anything else.
  bool unsettled = false;
};

struct ManagedJob {
  std::unique_ptr<ActiveJob> job;
  // Differs from that of an earlier time this job was managed here.
  uint64_t serial = 0;
  uint64_t revision = 0;
  bool claimed = false;
  std::optional<PendingWrite> write;
  bool in_flight = false;
  util::TimePoint next_write{};
  // When the record was last seen to be this member's own.
  util::TimePoint verified{};
};

struct EndedJob {
  int64_t ended_ms = 0;
  uint64_t revision = 0;
};

bool MayManage(const MemberInfo& member) {
  return member.state == MemberState::kLive ||
         member.state == MemberState::kSuspect;
}

}  // namespace

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
            [this](const JobId& id) { TellManager(id); },
            options),
        planner(clock, random, PlannerHooks(), PlannerOptions()) {}

  GangPlanner::Options PlannerOptions() const {
    GangPlanner::Options planner_options;
    planner_options.hold_ttl = options.hold_ttl;
    planner_options.never_fits_after = options.never_fits_after;
    return planner_options;
  }

  GangPlanner::Hooks PlannerHooks() {
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

  // Whether the summaries cover all members that may own workers.
  bool IsComplete(const std::vector<Summary>& summaries) const {
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
    return !members.empty() &&
           std::all_of(
               members.begin(), members.end(), [&](const MemberInfo& member) {
                 return !MayManage(member) || covered.count(member.id) > 0;
               });
  }

  ActiveJob* FindClaimed(const JobId& id) {
    auto it = jobs.find(id);
    return it != jobs.end() && it->second.claimed ? it->second.job.get()
                                                  : nullptr;
  }

  ActiveJob* FindByTask(const TaskId& task) {
    const std::optional<JobTaskName> name = ParseJobTaskId(task);
    return name ? FindClaimed(name->job) : nullptr;
  }

  MemberId ManagerOf(const JobId& id) const {
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

  bool IsMine(const JobId& id) const { return ManagerOf(id) == self; }

  void TellManager(const JobId& id) {
    const MemberId manager = ManagerOf(id);
    if (manager == self) {
      Refresh(id);
    } else if (!manager.empty()) {
      listener.SendToMember(manager, JobChanged{id});
    }
  }

  // A store callback that is skipped when this object is gone.
  StorePort::Done Guarded(std::function<void(Impl&, const StoreResult&)> step) {
    std::weak_ptr<Impl> weak = weak_from_this();
    return [weak, step = std::move(step)](const StoreResult& result) {
      if (const std::shared_ptr<Impl> impl = weak.lock()) {
        step(*impl, result);
      }
    };
  }

  // The same for a step of one managed job.
  StorePort::Done ForJob(const JobId& id,
                         void (Impl::*step)(const JobId&,
                                            ManagedJob&,
                                            const StoreResult&)) {
    const uint64_t serial = jobs[id].serial;
    return Guarded([id, serial, step](Impl& impl, const StoreResult& result) {
      auto it = impl.jobs.find(id);
      if (it != impl.jobs.end() && it->second.serial == serial) {
        it->second.in_flight = false;
        (impl.*step)(id, it->second, result);
      }
    });
  }

  // Reads a job that was created or edited.
  void Refresh(const JobId& id) {
    auto it = jobs.find(id);
    if (it == jobs.end()) {
      Load(id);
      return;
    }
    // With a write on its way, its conflict brings the edit in.
    if (it->second.claimed && !it->second.write && !it->second.in_flight) {
      it->second.in_flight = true;
      store.Get(JobKey(id), ForJob(id, &Impl::OnRefreshed));
    } else {
      refresh.insert(id);
    }
  }

  void OnRefreshed(const JobId& id,
                   ManagedJob& managed,
                   const StoreResult& result) {
    if (result.status == StoreStatus::kUnavailable) {
      refresh.insert(id);
      return;
    }
    const std::optional<JobRecord> stored = Parse(result);
    if (!stored || !IsOwn(*stored, *managed.job)) {
      DropLost(id);
      return;
    }
    managed.revision = result.entries.front().revision;
    managed.verified = clock.Now();
    managed.job->MergeEdit(*stored);
  }

  void VerifyClaims() {
    const util::TimePoint now = clock.Now();
    if (now - last_tick >= kPause) {
      VerifySoon();
    }
    last_tick = now;
    size_t reads = 0;
    for (const auto& [id, managed] : jobs) {
      if (managed.claimed && !managed.in_flight && !managed.write &&
          now - managed.verified >= kVerifyInterval) {
        refresh.insert(id);
        if (++reads >= kMaxLoads) {
          return;
        }
      }
    }
  }

  void VerifySoon() {
    for (auto& [id, managed] : jobs) {
      managed.verified = util::TimePoint{};
    }
  }

  static std::optional<JobRecord> Parse(const StoreResult& result) {
    if (result.status != StoreStatus::kOk || result.entries.empty()) {
      return std::nullopt;
    }
    try {
      return ParseJobRecord(result.entries.front().value);
    } catch (const Error&) {
      return std::nullopt;
    }
  }

  static bool IsOwn(const JobRecord& stored, const ActiveJob& job) {
    return stored.manager == job.record().manager &&
           stored.epoch == job.record().epoch;
  }

  void Load(const JobId& id) {
    if (!MayClaim(id) || jobs.count(id) > 0 || loading.count(id) > 0) {
      return;
    }
    if (loading.size() >= kMaxLoads) {
      to_load.insert(id);
      return;
    }
    loading.insert(id);
    store.Get(JobKey(id), Guarded([id](Impl& impl, const StoreResult& result) {
                impl.loading.erase(id);
                impl.OnLoaded(id, result);
              }));
  }

  void OnLoaded(const JobId& id, const StoreResult& result) {
    if (!IsMine(id) || jobs.count(id) > 0) {
      return;
    }
    if (result.status == StoreStatus::kUnavailable) {
      to_load.insert(id);
      return;
    }
    const std::optional<JobRecord> stored = Parse(result);
    if (!stored) {
      without_record.try_emplace(id, clock.Now());
      return;
    }
    without_record.erase(id);
    const uint64_t revision = result.entries.front().revision;
    if (stored->ended_ms > 0) {
      ended[id] = {stored->ended_ms, revision};
      return;
    }
    Claim(id, *stored, revision);
  }

  void Claim(const JobId& id, JobRecord record, uint64_t revision) {
    ++record.epoch;
    record.manager = self;
    ManagedJob& managed = jobs[id];
    managed.serial = ++last_serial;
    managed.revision = revision;
    managed.job = std::make_unique<ActiveJob>(clock, random, listener, self,
                                              options, std::move(record));
    managed.job->SetMembers(members);
    BeginWrite(id, managed);
  }

  void BeginWrite(const JobId& id, ManagedJob& managed) {
    PendingWrite write;
    JobRecord record = managed.job->Snapshot(write.notes);
    write.nonce = random.Hex(kNonceDigits);
    record.nonce = write.nonce;
    write.value = ToJson(record);
    write.expected = managed.revision;
    managed.write = std::move(write);
    Put(id, managed);
  }

  void Put(const JobId& id, ManagedJob& managed) {
    managed.in_flight = true;
    managed.next_write = clock.Now() + options.write_interval;
    store.Put(JobKey(id), managed.write->value, managed.write->expected,
              ForJob(id, &Impl::OnPut));
  }

  void OnPut(const JobId& id, ManagedJob& managed, const StoreResult& result) {
    if (result.status == StoreStatus::kOk) {
      Settle(id, managed, result.revision);
      return;
    }
    managed.write->unsettled = true;
    if (result.status != StoreStatus::kUnavailable) {
      ReadBack(id, managed);
    }
  }

  void ReadBack(const JobId& id, ManagedJob& managed) {
    managed.in_flight = true;
    managed.next_write = clock.Now() + options.write_interval;
    store.Get(JobKey(id), ForJob(id, &Impl::OnReadBack));
  }

  void OnReadBack(const JobId& id,
                  ManagedJob& managed,
                  const StoreResult& result) {
    if (result.status == StoreStatus::kUnavailable) {
      return;  // again at the next tick
    }
    const std::optional<JobRecord> stored = Parse(result);
    if (!stored) {
      DropLost(id);
      return;
    }
    const uint64_t revision = result.entries.front().revision;
    if (stored->nonce == managed.write->nonce) {
      managed.job->MergeEdit(*stored);
      Settle(id, managed, revision);
      return;
    }
    if (revision == managed.write->expected) {
      managed.write->unsettled = false;  // not in the store: write it again
      return;
    }
    if (managed.claimed && IsOwn(*stored, *managed.job)) {
      // A caller's edit came first.
      managed.job->OnNotWritten(managed.write->notes);
      managed.write.reset();
      managed.revision = revision;
      managed.job->MergeEdit(*stored);
      return;
    }
    const bool taken = stored->epoch >= managed.job->record().epoch;
    taken ? DropLost(id) : Drop(id);
    Load(id);  // at once when only an edit came before the claim
  }

  void Settle(const JobId& id, ManagedJob& managed, uint64_t revision) {
    const PendingWrite write = std::move(*managed.write);
    managed.write.reset();
    managed.revision = revision;
    const bool first = !managed.claimed;
    managed.claimed = true;
    managed.verified = clock.Now();
    managed.job->OnWritten(write.notes);
    if (first) {
      managed.job->OnClaimed();
    }
    if (managed.job->ended() && !managed.job->dirty()) {
      ended[id] = {managed.job->record().ended_ms, revision};
      planner.Stop(id);
      jobs.erase(id);
    }
  }

  void Drop(const JobId& id) {
    auto it = jobs.find(id);
    if (it == jobs.end()) {
      return;
    }
    planner.Stop(id);
    it->second.job->Abandon();
    jobs.erase(it);
  }

  // Another member has claimed the job. This one may have been paused and see
  // old members, so it does not claim again until its view has changed or some
  // time has passed.
  void DropLost(const JobId& id) {
    Drop(id);
    reclaim_at[id] = clock.Now() + kReclaimDelay;
  }

  bool MayClaim(const JobId& id) const {
    auto it = reclaim_at.find(id);
    return (it == reclaim_at.end() || clock.Now() >= it->second) && IsMine(id);
  }

  void Reclaim() {
    const util::TimePoint now = clock.Now();
    for (auto it = reclaim_at.begin(); it != reclaim_at.end();) {
      if (now < it->second) {
        ++it;
        continue;
      }
      const JobId id = it->first;
      it = reclaim_at.erase(it);
      Load(id);
    }
  }

  void Scan() {
    if (scanning) {
      return;
    }
    scanning = true;
    store.List(kJobIndexPrefix, Guarded([](Impl& impl, const StoreResult& r) {
                 impl.scanning = false;
                 impl.OnScanned(r);
               }));
  }

  void OnScanned(const StoreResult& result) {
    if (result.status != StoreStatus::kOk) {
      next_scan = clock.Now() + options.write_interval * 5;
      return;
    }
    const std::string prefix(kJobIndexPrefix);
    const int64_t now_ms = clock.WallNow().time_since_epoch().count();
    for (const StoreEntry& entry : result.entries) {
      const JobId id(entry.key.substr(prefix.size()));
      if (!IsMine(id)) {
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

  void RemoveIndexWithoutRecord(const JobId& id, const StoreEntry& entry) {
    auto it = without_record.find(id);
    if (it != without_record.end() &&
        clock.Now() - it->second >= kIndexWithoutRecord) {
      without_record.erase(it);
      store.Delete(entry.key, entry.revision, [](const StoreResult&) {});
    }
  }

  void RemoveEnded(const JobId& id,
                   uint64_t revision,
                   const StoreEntry& index) {
    ended.erase(id);
    store.Delete(JobKey(id), revision,
                 Guarded([index](Impl& impl, const StoreResult& result) {
                   // After a lost answer or a conflict the next scan loads it
                   // again.
                   if (result.status == StoreStatus::kOk ||
                       result.status == StoreStatus::kNotFound) {
                     impl.store.Delete(index.key, index.revision,
                                       [](const StoreResult&) {});
                   }
                 }));
  }

  void AdvanceJobs() {
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

  void PlanGang(const JobId& id, const ActiveJob& job) {
    const WorkRow* row = listener.FindRow(job.record().spec.kind);
    const bool needs = row != nullptr && job.NeedsGangRoom();
    if (needs && !planner.IsPlanning(id)) {
      planner.Start(id, row->size, job.record().spec.tasks);
    } else if (!needs && planner.IsPlanning(id)) {
      planner.Stop(id);
    }
  }

  // Begins or repeats writes, in turn over all jobs.
  void WriteJobs() {
    const util::TimePoint now = clock.Now();
    if (now >= budget_renewed + options.write_interval) {
      budget_renewed = now;
      budget = options.writes_per_interval;
    }
    std::vector<JobId> order;
    for (auto it = jobs.upper_bound(last_written); it != jobs.end(); ++it) {
      order.push_back(it->first);
    }
    for (auto it = jobs.begin(); it != jobs.upper_bound(last_written); ++it) {
      order.push_back(it->first);
    }
    for (const JobId& id : order) {
      if (budget <= 0) {
        return;
      }
      auto it = jobs.find(id);
      if (it != jobs.end() && WriteJob(id, it->second)) {
        last_written = id;
        --budget;
      }
    }
  }

  // Whether a store call was made.
  bool WriteJob(const JobId& id, ManagedJob& managed) {
    if (managed.in_flight || clock.Now() < managed.next_write) {
      return false;
    }
    if (managed.write) {
      managed.write->unsettled ? ReadBack(id, managed) : Put(id, managed);
      return true;
    }
    if (!managed.job->dirty()) {
      return false;
    }
    BeginWrite(id, managed);
    return true;
  }

  void LoadWaiting() {
    for (const JobId& id : std::exchange(to_load, {})) {
      Load(id);
    }
    for (const JobId& id : std::exchange(refresh, {})) {
      Refresh(id);
    }
  }

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
    if (impl_->IsMine(id)) {
      managed.job->SetMembers(members);
    } else {
      lost.push_back(id);
    }
  }
  for (const JobId& id : lost) {
    impl_->Drop(id);
  }
  for (auto it = impl_->ended.begin(); it != impl_->ended.end();) {
    it = impl_->IsMine(it->first) ? std::next(it) : impl_->ended.erase(it);
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
  // The answer of a job that has ended here is no longer needed.
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
  if (impl_->IsMine(changed.job)) {
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
