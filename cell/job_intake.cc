#include "cell/job_intake.h"

#include <algorithm>
#include <utility>

#include "cell/caller_auth.h"

namespace chivedale::cell {
namespace {

// A write usually takes 4 ms, and up to about 240 ms when the store is slowest.
constexpr Millis kWriteTimeout{700};
constexpr Millis kRetryDelay{60};
// Until then a write that was not answered may take effect: the platform
// executes some up to 6 s after their time limit.
constexpr Millis kMaxWriteDelay{7'000};
// Each entry uses a condition and a put.
constexpr size_t kMaxBatch = kMaxWriteEntries / 2;

}  // namespace

const JobIntake::EntryKind JobIntake::submission_kind = {
    true, &JobIntake::ResolveSubmission};
const JobIntake::EntryKind JobIntake::cancellation_kind = {
    false, &JobIntake::ResolveCancellation};

JobIntake::JobIntake(const Clock& clock,
                     StorePort& store,
                     RunAfter run_after,
                     std::function<bool()> store_down,
                     Millis unsent_wait)
    : clock_(clock),
      store_(store),
      run_after_(std::move(run_after)),
      store_down_(std::move(store_down)),
      unsent_wait_(unsent_wait),
      tombstone_limit_(clock),
      max_batch_(kMaxBatch) {}

JobIntake::~JobIntake() = default;

void JobIntake::Submit(const JobId& id,
                       const std::string& record,
                       TimePoint deadline,
                       OnSubmit done) {
  Entry entry;
  entry.kind = &submission_kind;
  entry.key = JobKey(id);
  entry.value = record;
  entry.conditions = {{JobKey(id), 0}};
  entry.deadline = deadline;
  entry.done = std::move(done);
  Enqueue(std::move(entry));
}

// Answers by the deadline, also while calls to the store are under way.
void JobIntake::Cancel(const JobId& id,
                       const Caller& caller,
                       TimePoint deadline,
                       OnCancel done) {
  const auto unanswered = std::make_shared<OnCancel>(std::move(done));
  const OnCancel answer = [unanswered](CancelResult result) {
    if (const OnCancel waiting = std::exchange(*unanswered, nullptr)) {
      waiting(result);
    }
  };
  const auto left = std::chrono::duration_cast<Millis>(deadline - clock_.Now());
  run_after_(std::max(Millis(0), left),
             Guard([answer] { answer(CancelResult::kUnknown); }));
  TryCancel(id, caller, deadline, answer);
}

void JobIntake::TryCancel(const JobId& id,
                          const Caller& caller,
                          TimePoint deadline,
                          const OnCancel& done) {
  if (clock_.Now() >= deadline) {
    return;  // answered by Cancel()
  }
  store_.Read(
      JobKey(id), kWriteTimeout,
      Guard([this, id, caller, deadline, done](const StoreRead& read) {
        if (read.status != StoreStatus::kOk &&
            read.status != StoreStatus::kNotFound) {
          if (clock_.Now() + kRetryDelay >= deadline) {
            done(CancelResult::kUnavailable);
            return;
          }
          run_after_(kRetryDelay, Guard([this, id, caller, deadline, done] {
                       TryCancel(id, caller, deadline, done);
                     }));
          return;
        }
        last_answer_ = clock_.Now();
        const StoreItem* job = read.items.empty() ? nullptr : &read.items[0];
        if (job == nullptr || IsTombstone(job->value)) {
          WriteTombstone(id, caller, job, deadline, done);
          return;
        }
        if (!MayAccess(caller, StoredOwner(job->value))) {
          done(CancelResult::kOtherAccount);
          return;
        }
        Entry entry;
        entry.key = CancelKey(id);
        entry.value = "1";
        entry.conditions = {{JobKey(id), job->revision}};
        entry.deadline = deadline;
        WriteCancellation(std::move(entry), id, caller, done,
                          CancelResult::kCancelled);
      }));
}

void JobIntake::WriteTombstone(const JobId& id,
                               const Caller& caller,
                               const StoreItem* record,
                               TimePoint deadline,
                               const OnCancel& done) {
  Tombstone tombstone;
  if (record != nullptr) {
    tombstone = DecodeTombstone(record->value).value_or(Tombstone());
  }
  tombstone.written = clock_.WallNow();
  if (!tombstone.AddCaller(caller) || !tombstone_limit_.Admit(caller.account)) {
    done(CancelResult::kUnavailable);
    return;
  }
  Entry entry;
  entry.key = JobKey(id);
  entry.value = EncodeTombstone(tombstone);
  // If the job is stored meanwhile, it is cancelled instead.
  entry.conditions = {{JobKey(id), record == nullptr ? 0 : record->revision}};
  entry.deadline = deadline;
  WriteCancellation(std::move(entry), id, caller, done,
                    CancelResult::kNoSuchJob);
}

void JobIntake::WriteCancellation(Entry entry,
                                  const JobId& id,
                                  const Caller& caller,
                                  const OnCancel& done,
                                  CancelResult if_stored) {
  entry.kind = &cancellation_kind;
  entry.done = [done, if_stored](SubmitResult result, int64_t) {
    done(result == SubmitResult::kAccepted  ? if_stored
         : result == SubmitResult::kUnknown ? CancelResult::kUnknown
                                            : CancelResult::kUnavailable);
  };
  entry.start_over = [this, id, caller, deadline = entry.deadline, done] {
    TryCancel(id, caller, deadline, done);
  };
  Enqueue(std::move(entry));
}

void JobIntake::Enqueue(Entry entry) {
  entry.unsent_until = clock_.Now() + unsent_wait_;
  queue_.push_back(std::move(entry));
  if (unsent_wait_ == Millis(0)) {
    ExpireEntries();
    CheckLater();
  }
  WriteNext();
}

bool JobIntake::CanRefuse(const Entry& entry) const {
  return entry.kind->refusable && !entry.uncertain && !MayBeStored(entry.key);
}

bool JobIntake::MayBeStored(const std::string& key) const {
  if (keys_in_flight_.count(key) > 0) {
    return true;
  }
  const auto found = unanswered_until_.find(key);
  return found != unanswered_until_.end() && found->second > clock_.Now();
}

void JobIntake::NoteUnanswered(const std::vector<Entry>& batch) {
  const TimePoint now = clock_.Now();
  for (auto it = unanswered_until_.begin(); it != unanswered_until_.end();) {
    it = it->second <= now ? unanswered_until_.erase(it) : std::next(it);
  }
  for (const Entry& entry : batch) {
    unanswered_until_[entry.key] = now + kMaxWriteDelay;
  }
}

void JobIntake::CheckLater() {
  if (check_pending_ || queue_.empty()) {
    return;
  }
  check_pending_ = true;
  run_after_(kRetryDelay, Guard([this] {
               check_pending_ = false;
               ExpireEntries();
               CheckLater();
             }));
}

void JobIntake::ExpireEntries() {
  const TimePoint now = clock_.Now();
  const bool down = store_down_();
  std::vector<Entry> expired;
  for (size_t i = 0; i < queue_.size();) {
    const Entry& entry = queue_[i];
    if (entry.deadline <= now ||
        (down && CanRefuse(entry) && entry.unsent_until <= now)) {
      expired.push_back(std::move(queue_[i]));
      queue_.erase(queue_.begin() + static_cast<long>(i));
    } else {
      ++i;
    }
  }
  for (const Entry& entry : expired) {
    entry.done(
        entry.uncertain || (entry.kind->refusable && MayBeStored(entry.key))
            ? SubmitResult::kUnknown
            : SubmitResult::kNotStored,
        0);
  }
}

std::vector<std::string> JobIntake::KeysOf(const Entry& entry) {
  std::vector<std::string> keys = {entry.key};
  for (const auto& [key, revision] : entry.conditions) {
    if (key != entry.key) {
      keys.push_back(key);
    }
  }
  return keys;
}

void JobIntake::WriteNext() {
  if (write_in_flight_ || retry_pending_ || queue_.empty()) {
    return;
  }
  const bool down = store_down_();
  std::vector<Entry> batch;
  StoreWrite write;
  std::set<std::string> keys;
  for (size_t i = 0; i < queue_.size() && batch.size() < max_batch_;) {
    // A key may occur only once in a write.
    const std::vector<std::string> names = KeysOf(queue_[i]);
    const bool taken = std::any_of(
        names.begin(), names.end(),
        [&](const std::string& name) { return keys.count(name) > 0; });
    if ((down && CanRefuse(queue_[i])) || taken) {
      ++i;
      continue;
    }
    keys.insert(names.begin(), names.end());
    Entry entry = std::move(queue_[i]);
    queue_.erase(queue_.begin() + static_cast<long>(i));
    write.conditions.insert(write.conditions.end(), entry.conditions.begin(),
                            entry.conditions.end());
    write.puts.emplace_back(entry.key, entry.value);
    batch.push_back(std::move(entry));
  }
  if (batch.empty()) {
    RetryLater();
    return;
  }
  write_in_flight_ = true;
  if (unsent_wait_ == Millis(0)) {
    for (const Entry& entry : batch) {
      keys_in_flight_.insert(entry.key);
    }
  }
  auto shared = std::make_shared<std::vector<Entry>>(std::move(batch));
  store_.Write(write, kWriteTimeout,
               Guard([this, shared](const StoreWriteReply& reply) {
                 write_in_flight_ = false;
                 keys_in_flight_.clear();
                 OnWritten(std::move(*shared), reply);
                 WriteNext();
               }));
}

void JobIntake::OnWritten(std::vector<Entry> batch,
                          const StoreWriteReply& reply) {
  switch (reply.status) {
    case StoreStatus::kOk:
      last_answer_ = clock_.Now();
      max_batch_ = std::min(kMaxBatch, 2 * max_batch_);
      for (const Entry& entry : batch) {
        entry.done(SubmitResult::kAccepted, reply.revision);
      }
      return;
    case StoreStatus::kConflict: {
      // Existing keys were stored by an earlier submission, or by an earlier
      // write of this one whose answer was lost.
      last_answer_ = clock_.Now();
      PresentItems present;
      for (const StoreItem& item : reply.items) {
        if (item.revision > 0 && !item.deleted) {
          present.emplace(item.key, &item);
        }
      }
      std::vector<Entry> rest;
      for (Entry& entry : batch) {
        if (!(this->*entry.kind->resolve)(entry, present)) {
          rest.push_back(std::move(entry));
        }
      }
      ReturnToQueue(std::move(rest));
      return;
    }
    case StoreStatus::kInvalid: {
      last_answer_ = clock_.Now();
      max_batch_ = std::max<size_t>(1, batch.size() / 2);
      if (batch.size() > 1) {
        ReturnToQueue(std::move(batch));
        return;
      }
      const Entry& entry = batch.front();
      entry.done(
          entry.uncertain ? SubmitResult::kUnknown : SubmitResult::kInvalid, 0);
      return;
    }
    default:
      Requeue(std::move(batch), reply.status == StoreStatus::kUnknown);
      return;
  }
}

bool JobIntake::ResolveSubmission(Entry& entry, const PresentItems& present) {
  auto& [job_key, revision] = entry.conditions[0];
  const auto found = present.find(job_key);
  if (found == present.end()) {
    revision = 0;
    return false;
  }
  const std::string& value = found->second->value;
  if (value == entry.value) {
    entry.done(SubmitResult::kAccepted, 0);
    return true;
  }
  const Caller owner = StoredOwner(entry.value);
  if (!IsTombstone(value)) {
    const bool own = MayAccess(owner, StoredOwner(value));
    entry.done(own ? SubmitResult::kAccepted : SubmitResult::kOtherAccount, 0);
    return true;
  }
  const auto tombstone = DecodeTombstone(value);
  if (tombstone && tombstone->Covers(owner)) {
    entry.done(SubmitResult::kCancelled, 0);
    return true;
  }
  // Replaces the tombstone of another account.
  revision = found->second->revision;
  return false;
}

bool JobIntake::ResolveCancellation(Entry& entry, const PresentItems& present) {
  const bool changed = std::any_of(
      entry.conditions.begin(), entry.conditions.end(),
      [&](const auto& condition) {
        const auto item = present.find(condition.first);
        return (item == present.end() ? 0 : item->second->revision) !=
               condition.second;
      });
  if (changed) {
    entry.start_over();
  }
  return changed;
}

void JobIntake::ReturnToQueue(std::vector<Entry> entries) {
  for (auto it = entries.rbegin(); it != entries.rend(); ++it) {
    queue_.push_front(std::move(*it));
  }
}

void JobIntake::Requeue(std::vector<Entry> batch, bool uncertain) {
  for (Entry& entry : batch) {
    entry.uncertain = entry.uncertain || uncertain;
  }
  if (uncertain && unsent_wait_ == Millis(0)) {
    NoteUnanswered(batch);
  }
  ReturnToQueue(std::move(batch));
  ExpireEntries();
  RetryLater();
}

void JobIntake::RetryLater() {
  retry_pending_ = true;
  run_after_(kRetryDelay, Guard([this] {
               retry_pending_ = false;
               ExpireEntries();
               WriteNext();
             }));
}

}  // namespace chivedale::cell
