// Rendezvous hashing over the live members proposes the manager of a job, but
// the store decides: a manager raises the record's epoch by compare-and-swap
// before it acts, and each later write expects the revision of the previous
// one. The next write of a manager that was paused therefore fails, and since
// no task starts before the write that records the start, it starts nothing
// more.
//
// A write without an answer is read back; its nonce tells whether it took
// effect. Edits by callers keep the nonce, so that an edit after the write does
// not hide it. While the outcome is unknown, only the same bytes are written
// for this job.
#include <algorithm>
#include <utility>

#include "chivedale/job_manager_impl.h"

namespace chivedale {
namespace {

constexpr int kNonceDigits = 16;
// A manager with nothing to write would not notice that another member claimed
// its job while it was considered dead. It therefore re-reads the record: soon
// after a membership change or a pause of this process, otherwise at this
// interval.
constexpr Millis kVerifyInterval{60'000};
constexpr Millis kPauseThreshold{1'000};
// After a pause, this process learns the current members within this time.
constexpr Millis kReclaimDelay{3'000};
// Maximum number of concurrent record reads after a membership change.
constexpr size_t kMaxConcurrentLoads = 32;

}  // namespace

void JobManager::Impl::Refresh(const JobId& id) {
  auto it = jobs.find(id);
  if (it == jobs.end()) {
    Load(id);
    return;
  }
  // If a write is in flight, its conflict reveals the edit.
  if (it->second.claimed && !it->second.write && !it->second.in_flight) {
    it->second.in_flight = true;
    store.Get(JobKey(id), ForJob(id, &Impl::OnRefreshed));
  } else {
    refresh.insert(id);
  }
}

void JobManager::Impl::OnRefreshed(const JobId& id,
                                   ManagedJob& managed,
                                   const StoreResult& result) {
  if (result.status == StoreStatus::kUnavailable) {
    refresh.insert(id);
    return;
  }
  const std::optional<JobRecord> stored = Parse(result);
  if (!stored || !IsSameClaim(*stored, *managed.job)) {
    DropLost(id);
    return;
  }
  managed.revision = result.entries.front().revision;
  managed.verified = clock.Now();
  managed.job->MergeEdit(*stored);
}

void JobManager::Impl::VerifyClaims() {
  const util::TimePoint now = clock.Now();
  if (now - last_tick >= kPauseThreshold) {
    VerifySoon();
  }
  last_tick = now;
  size_t reads = 0;
  for (const auto& [id, managed] : jobs) {
    if (managed.claimed && !managed.in_flight && !managed.write &&
        now - managed.verified >= kVerifyInterval) {
      refresh.insert(id);
      if (++reads >= kMaxConcurrentLoads) {
        return;
      }
    }
  }
}

void JobManager::Impl::VerifySoon() {
  for (auto& [id, managed] : jobs) {
    managed.verified = util::TimePoint{};
  }
}

std::optional<JobRecord> JobManager::Impl::Parse(const StoreResult& result) {
  if (result.status != StoreStatus::kOk || result.entries.empty()) {
    return std::nullopt;
  }
  try {
    return ParseJobRecord(result.entries.front().value);
  } catch (const Error&) {
    return std::nullopt;
  }
}

bool JobManager::Impl::IsSameClaim(const JobRecord& stored,
                                   const ActiveJob& job) {
  return stored.manager == job.record().manager &&
         stored.epoch == job.record().epoch;
}

void JobManager::Impl::Load(const JobId& id) {
  if (!MayClaim(id) || jobs.count(id) > 0 || loading.count(id) > 0) {
    return;
  }
  if (loading.size() >= kMaxConcurrentLoads) {
    to_load.insert(id);
    return;
  }
  loading.insert(id);
  store.Get(JobKey(id), Guarded([id](Impl& impl, const StoreResult& result) {
              impl.loading.erase(id);
              impl.OnLoaded(id, result);
            }));
}

void JobManager::Impl::OnLoaded(const JobId& id, const StoreResult& result) {
  if (!ShouldManage(id) || jobs.count(id) > 0) {
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

void JobManager::Impl::Claim(const JobId& id,
                             JobRecord record,
                             uint64_t revision) {
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

void JobManager::Impl::BeginWrite(const JobId& id, ManagedJob& managed) {
  PendingWrite write;
  JobRecord record = managed.job->Snapshot(write.effects);
  write.nonce = random.HexString(kNonceDigits);
  record.nonce = write.nonce;
  write.value = ToJson(record);
  write.expected = managed.revision;
  managed.write = std::move(write);
  Put(id, managed);
}

void JobManager::Impl::Put(const JobId& id, ManagedJob& managed) {
  managed.in_flight = true;
  managed.next_write = clock.Now() + options.write_interval;
  store.Put(JobKey(id), managed.write->value, managed.write->expected,
            ForJob(id, &Impl::OnPut));
}

void JobManager::Impl::OnPut(const JobId& id,
                             ManagedJob& managed,
                             const StoreResult& result) {
  if (result.status == StoreStatus::kOk) {
    OnWriteStored(id, managed, result.revision);
    return;
  }
  managed.write->outcome_unknown = true;
  if (result.status != StoreStatus::kUnavailable) {
    ReadBack(id, managed);
  }
}

void JobManager::Impl::ReadBack(const JobId& id, ManagedJob& managed) {
  managed.in_flight = true;
  managed.next_write = clock.Now() + options.write_interval;
  store.Get(JobKey(id), ForJob(id, &Impl::OnReadBack));
}

void JobManager::Impl::OnReadBack(const JobId& id,
                                  ManagedJob& managed,
                                  const StoreResult& result) {
  if (result.status == StoreStatus::kUnavailable) {
    return;  // retried at the next tick
  }
  const std::optional<JobRecord> stored = Parse(result);
  if (!stored) {
    DropLost(id);
    return;
  }
  const uint64_t revision = result.entries.front().revision;
  if (stored->nonce == managed.write->nonce) {
    managed.job->MergeEdit(*stored);
    OnWriteStored(id, managed, revision);
    return;
  }
  if (revision == managed.write->expected) {
    managed.write->outcome_unknown = false;  // not in the store: written again
    return;
  }
  if (managed.claimed && IsSameClaim(*stored, *managed.job)) {
    // A caller's edit was written first.
    managed.job->OnNotWritten(managed.write->effects);
    managed.write.reset();
    managed.revision = revision;
    managed.job->MergeEdit(*stored);
    return;
  }
  const bool taken = stored->epoch >= managed.job->record().epoch;
  taken ? DropLost(id) : Drop(id);
  // Claims the job again at once if only a caller's edit preceded the claim.
  Load(id);
}

void JobManager::Impl::OnWriteStored(const JobId& id,
                                     ManagedJob& managed,
                                     uint64_t revision) {
  const PendingWrite write = std::move(*managed.write);
  managed.write.reset();
  managed.revision = revision;
  const bool first = !managed.claimed;
  managed.claimed = true;
  managed.verified = clock.Now();
  managed.job->OnWritten(write.effects);
  if (first) {
    managed.job->OnClaimed();
  }
  if (managed.job->ended() && !managed.job->dirty()) {
    ended[id] = {managed.job->record().ended_ms, revision};
    planner.Stop(id);
    jobs.erase(id);
  }
}

void JobManager::Impl::Drop(const JobId& id) {
  auto it = jobs.find(id);
  if (it == jobs.end()) {
    return;
  }
  planner.Stop(id);
  it->second.job->Abandon();
  jobs.erase(it);
}

void JobManager::Impl::DropLost(const JobId& id) {
  Drop(id);
  reclaim_at[id] = clock.Now() + kReclaimDelay;
}

bool JobManager::Impl::MayClaim(const JobId& id) const {
  auto it = reclaim_at.find(id);
  return (it == reclaim_at.end() || clock.Now() >= it->second) &&
         ShouldManage(id);
}

void JobManager::Impl::Reclaim() {
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

void JobManager::Impl::WriteJobs() {
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

bool JobManager::Impl::WriteJob(const JobId& id, ManagedJob& managed) {
  if (managed.in_flight || clock.Now() < managed.next_write) {
    return false;
  }
  if (managed.write) {
    managed.write->outcome_unknown ? ReadBack(id, managed) : Put(id, managed);
    return true;
  }
  if (!managed.job->dirty()) {
    return false;
  }
  BeginWrite(id, managed);
  return true;
}

void JobManager::Impl::LoadWaiting() {
  for (const JobId& id : std::exchange(to_load, {})) {
    Load(id);
  }
  for (const JobId& id : std::exchange(refresh, {})) {
    Refresh(id);
  }
}

}  // namespace chivedale
