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
      max_batch_(kMaxBatch) {}

JobIntake::~JobIntake() = default;

void JobIntake::Submit(const JobId& id,
                       const std::string& record,
                       TimePoint deadline,
                       OnSubmit done) {
  Entry entry;
  entry.key = JobKey(id);
  entry.value = record;
  entry.deadline = deadline;
  entry.done = std::move(done);
  Enqueue(std::move(entry));
}

void JobIntake::Cancel(const JobId& id,
                       const Caller& caller,
                       TimePoint deadline,
                       OnCancel done) {
  store_.Read(
      JobKey(id), kWriteTimeout,
      Guard([this, id, caller, deadline,
             done = std::move(done)](const StoreRead& read) {
        if (read.status == StoreStatus::kNotFound) {
          last_answer_ = clock_.Now();
          done(CancelResult::kNoSuchJob);
          return;
        }
        if (read.status != StoreStatus::kOk) {
          if (clock_.Now() + kRetryDelay >= deadline) {
            done(CancelResult::kUnavailable);
            return;
          }
          run_after_(kRetryDelay, Guard([this, id, caller, deadline, done] {
                       Cancel(id, caller, deadline, done);
                     }));
          return;
        }
        last_answer_ = clock_.Now();
        if (!read.items.empty() &&
            !MayAccess(caller, StoredOwner(read.items[0].value))) {
          done(CancelResult::kOtherAccount);
          return;
        }
        Entry entry;
        entry.key = CancelKey(id);
        entry.value = "1";
        entry.conditional = false;
        entry.deadline = deadline;
        entry.done = [done](SubmitResult result, int64_t) {
          done(result == SubmitResult::kAccepted  ? CancelResult::kCancelled
               : result == SubmitResult::kUnknown ? CancelResult::kUnknown
                                                  : CancelResult::kUnavailable);
        };
        Enqueue(std::move(entry));
      }));
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
  return entry.conditional && !entry.uncertain && !MayBeStored(entry.key);
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
    entry.done(entry.uncertain || (entry.conditional && MayBeStored(entry.key))
                   ? SubmitResult::kUnknown
                   : SubmitResult::kNotStored,
               0);
  }
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
    if ((down && CanRefuse(queue_[i])) || !keys.insert(queue_[i].key).second) {
      ++i;
      continue;
    }
    Entry entry = std::move(queue_[i]);
    queue_.erase(queue_.begin() + static_cast<long>(i));
    if (entry.conditional) {
      write.conditions.emplace_back(entry.key, 0);
    }
    write.puts.emplace_back(entry.key, entry.value);
    batch.push_back(std::move(entry));
  }
  if (batch.empty()) {
    RetryLater();
    return;
  }
  write_in_flight_ = true;
  if (unsent_wait_ == Millis(0)) {
    keys_in_flight_ = std::move(keys);
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
      std::map<std::string, const std::string*> present;  // values by key
      for (const StoreItem& item : reply.items) {
        if (item.revision > 0 && !item.deleted) {
          present.emplace(item.key, &item.value);
        }
      }
      std::vector<Entry> rest;
      for (Entry& entry : batch) {
        const auto found = present.find(entry.key);
        if (entry.conditional && found != present.end()) {
          const bool own =
              *found->second == entry.value ||
              MayAccess(StoredOwner(entry.value), StoredOwner(*found->second));
          entry.done(
              own ? SubmitResult::kAccepted : SubmitResult::kOtherAccount, 0);
        } else {
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
