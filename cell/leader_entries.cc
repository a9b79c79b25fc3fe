// Discovery of executors from their entries in the store, and the leader's
// stored list of the executors it may have used, which a successor reads first.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/decode.h"
#include "cell/leader.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// A drain is noticed within this interval, well within the 2.5 s after its
// begin in which the tightest contract allows starts.
constexpr Millis kEntryPollInterval{900};
constexpr Millis kEntryRetry{250};
// An entry that was written after one list is still there in the next one that
// begins within this time.
constexpr Millis kMaxListGap{3'000};
// Entries that expired while the store was down are registered again within two
// seconds of its recovery; the rest is a margin for the poll.
constexpr Millis kEntryReregistrationTime{2'500};
constexpr Millis kExecutorsTimeout{1'000};
constexpr Millis kExecutorsRetry{200};
// An executor without an entry and without runs is forgotten after this time.
constexpr Millis kForgetDelay{5'000};

}  // namespace

std::vector<ExecutorEntry> CellLeader::DecodeKnownExecutors(
    const std::string& bytes) {
  std::vector<ExecutorEntry> entries;
  const json list = ParseMsgpack(bytes);
  if (!list.is_array()) {
    executor_rows_skipped_ = true;
    context_.log.Write(Event::kCellBadRecord,
                       {{"key", kExecutorsKey}, {"reason", "not a list"}});
    return entries;
  }
  for (size_t i = 0; i < list.size(); ++i) {
    const json& row = list[i];
    const bool is_row = row.is_array() && row.size() >= 3;
    const auto id = is_row ? TextIn(row[0], kMaxNameBytes) : std::nullopt;
    const auto address = is_row ? TextIn(row[1], kMaxNameBytes) : std::nullopt;
    const auto pool = is_row ? TextIn(row[2], kMaxTextBytes) : std::nullopt;
    if (!id || id->empty() || !address || !pool) {
      executor_rows_skipped_ = true;
      context_.log.Write(
          Event::kCellBadRecord,
          {{"key", kExecutorsKey},
           {"reason", "row " + std::to_string(i) + " is not an executor"}});
      continue;
    }
    ExecutorEntry& entry = entries.emplace_back();
    entry.id = *id;
    entry.address = *address;
    entry.pool = *pool;
    // Lists of earlier versions have no fourth element.
    const auto settled = row.size() > 3 ? IntegerIn(row[3], 0, kMaxNumber)
                                        : std::optional<int64_t>();
    entry.incarnation = settled.value_or(0);
  }
  return entries;
}

void CellLeader::LoadKnownExecutors(const std::function<void()>& done) {
  context_.store.Read(
      kExecutorsKey, known_executors_limit_.Of(kExecutorsTimeout),
      Guard([this, done](const StoreRead& read) {
        if (read.status != StoreStatus::kOk &&
            read.status != StoreStatus::kNotFound) {
          known_executors_limit_.OnRead(false);
          context_.run_after(kExecutorsRetry,
                             Guard([this, done] { LoadKnownExecutors(done); }));
          return;
        }
        if (!read.items.empty()) {
          executors_revision_ = read.items[0].revision;
          for (const ExecutorEntry& entry :
               DecodeKnownExecutors(read.items[0].value)) {
            AddKnownExecutor(entry);
          }
          IndexExecutors();
        }
        known_executors_loaded_ = true;
        done();
      }));
}

// The predecessor's calls have a lower fence than those of this leader, which
// has granted nothing to any boot of the executor unless it did so before this
// list was read.
void CellLeader::AddKnownExecutor(const ExecutorEntry& row) {
  unread_executors_.insert(row.id);
  unfenced_executors_.insert(row.id);
  if (executors_.count(row.id) == 0) {
    Executor& executor = AddExecutor(row);
    executor.listed = false;
    executor.unlisted_since = context_.clock.Now();
  }
  Executor& executor = *executors_.at(row.id);
  executor.stored = true;
  executor.stored_incarnation = row.incarnation;
  if (executor.deadline_sent == TimePoint()) {
    executor.superseded_fence = 0;
  }
  if (executor.boot.incarnation == row.incarnation) {
    executor.settled_incarnation = row.incarnation;
  }
}

Executor& CellLeader::AddExecutor(const ExecutorEntry& entry) {
  auto executor = std::make_unique<Executor>(entry, by_number_.size());
  executor->fence = latest_fence_;
  executor->superseded_fence = latest_fence_;
  by_number_.push_back(executor.get());
  by_id_.emplace(entry.id, executor.get());
  return *executors_.emplace(entry.id, std::move(executor)).first->second;
}

// An executor may change its pool when it is started again.
void CellLeader::IndexExecutors() {
  by_pool_.clear();
  for (Executor* executor : by_number_) {
    if (executor != nullptr) {
      by_pool_[executor->entry.pool].push_back(executor);
    }
  }
}

void CellLeader::PollExecutors() {
  if (poll_in_flight_) {
    return;
  }
  poll_in_flight_ = true;
  const TimePoint begin = context_.clock.Now();
  next_poll_ = begin + kEntryPollInterval;
  context_.list_executors(Guard(
      [this, begin](StoreStatus status, std::vector<ExecutorEntry> entries) {
        poll_in_flight_ = false;
        OnEntries(begin, status, std::move(entries));
      }));
}

void CellLeader::OnEntries(TimePoint begin,
                           StoreStatus status,
                           std::vector<ExecutorEntry> entries) {
  const TimePoint now = context_.clock.Now();
  if (status != StoreStatus::kOk) {
    if (!store_failing_) {
      context_.log.Write(Event::kStoreDown, {{"read", "executors"}});
    }
    store_failing_ = true;
    next_poll_ = now + kEntryRetry;
    return;
  }
  if (store_failing_) {
    store_failing_ = false;
    store_recovered_at_ = now;
    context_.log.Write(Event::kStoreUp, {{"read", "executors"}});
  }
  std::set<ExecutorId> seen;
  bool changed = false;
  for (ExecutorEntry& entry : entries) {
    seen.insert(entry.id);
    Executor* executor = FindExecutor(entry.id);
    if (executor == nullptr) {
      executor = &AddExecutor(entry);
      fence_needed_ = true;
      context_.log.Write(Event::kExecutorFound, {{"executor", entry.id},
                                                 {"pool", entry.pool},
                                                 {"address", entry.address}});
    }
    const bool draining = entry.draining && !executor->entry.draining;
    const bool address_changed = entry.address != executor->entry.address;
    if (entry.incarnation != executor->settled_incarnation) {
      executor->settled_incarnation = 0;
    }
    // An executor known only from a predecessor's list may have an unknown
    // incarnation.
    const bool incarnation_known = executor->boot.incarnation != 0;
    if (!incarnation_known && !executor->boot.adopted) {
      executor->boot.incarnation = entry.incarnation;
    } else if (entry.incarnation > executor->boot.incarnation ||
               (incarnation_known && address_changed)) {
      // The runs of the new incarnation are unknown until it has listed them: a
      // start sent before this entry was read may have been executed there.
      executor->boot.adopted = false;
      executor->missed_holds = 0;
      ScheduleHold(*executor, now);
    }
    executor->entry = std::move(entry);
    executor->listed = true;
    if (draining) {
      context_.log.Write(Event::kExecutorDraining,
                         {{"executor", executor->entry.id}});
    }
    if (executor->entry.draining) {
      StopRunsOnDraining(*executor);
    }
    if (!executor->boot.adopted && !executor->hold_in_flight) {
      ScheduleHold(*executor, std::max(now, executor->next_hold));
    }
  }
  const bool gap = begin - entries_begin_ > kMaxListGap;
  for (const auto& [id, executor] : executors_) {
    ExecutorBoot& boot = executor->boot;
    const bool other_boot =
        seen.count(id) > 0 && executor->entry.incarnation != boot.incarnation;
    // A list that began before this boot was known may show an earlier one.
    if (!other_boot || begin >= boot.alive_at()) {
      boot.OnEntryListed(begin, other_boot, gap);
    }
  }
  executor_entries_read_ = true;
  entries_begin_ = begin;
  for (auto it = executors_.begin(); it != executors_.end();) {
    Executor& executor = *it->second;
    if (seen.count(it->first) > 0) {
      ++it;
      continue;
    }
    if (executor.listed &&
        begin - store_recovered_at_ > kEntryReregistrationTime) {
      executor.listed = false;
      executor.unlisted_since = now;
      context_.log.Write(Event::kExecutorGone, {{"executor", it->first}});
    }
    const bool forget = !executor.listed && executor.runs().empty() &&
                        executor.boot.unstored_ends.empty() &&
                        now - executor.unlisted_since > kForgetDelay &&
                        !executor.hold_in_flight && !IsUnread(executor);
    if (forget) {
      unread_executors_.erase(it->first);
      OnFenceSeen(it->first);
      by_number_[executor.boot.number] = nullptr;
      by_id_.erase(it->first);
      it = executors_.erase(it);
      changed = true;
    } else {
      ++it;
    }
  }
  IndexExecutors();
  for (const auto& [id, executor] : executors_) {
    if (executor->boot.IsSettled(now)) {
      executor->settled_incarnation = executor->boot.incarnation;
    }
    changed = changed || executor->stored == IsRetired(*executor) ||
              (executor->stored &&
               executor->stored_incarnation != executor->settled_incarnation);
  }
  if (changed) {
    StoreExecutors();
  }
  RequestSchedulingPass();
}

void CellLeader::StoreExecutors() {
  if (executors_write_in_flight_ || !known_executors_loaded_ || fenced_) {
    return;
  }
  // A successor elected before then must find the unreadable rows too.
  if (executor_rows_skipped_ && !PredecessorLeasesExpired()) {
    return;  // retried by the next poll
  }
  json list = json::array();
  std::vector<StoredRow> rows;
  for (const auto& [id, executor] : executors_) {
    if (IsRetired(*executor)) {
      // Cleared now rather than on the answer, because the write may take
      // effect late.
      executor->stored = false;
      continue;
    }
    list.push_back(
        json::array({id, executor->entry.address, executor->entry.pool,
                     executor->settled_incarnation}));
    rows.emplace_back(id, executor->settled_incarnation);
  }
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.conditions.emplace_back(kExecutorsKey, executors_revision_);
  std::string bytes;
  json::to_msgpack(list, bytes);
  write.puts.emplace_back(kExecutorsKey, std::move(bytes));
  executors_write_in_flight_ = true;
  context_.store.Write(write, kExecutorsTimeout,
                       Guard([this, rows](const StoreWriteReply& reply) {
                         OnExecutorsStored(reply, rows);
                       }));
}

void CellLeader::OnExecutorsStored(const StoreWriteReply& reply,
                                   const std::vector<StoredRow>& rows) {
  executors_write_in_flight_ = false;
  if (reply.status == StoreStatus::kConflict) {
    bool leading = false;
    for (const StoreItem& item : reply.items) {
      leading = leading ||
                (item.key == kLeaderKey && item.revision == leadership_.fence);
      if (item.key == kExecutorsKey) {
        executors_revision_ = item.revision;
      }
    }
    if (!leading) {
      OnFenced("another member holds the leader key");
    }
    return;  // retried by the next poll
  }
  if (reply.status == StoreStatus::kInvalid) {
    context_.log.Write(
        Event::kStoreWriteRejected,
        {{"key", kExecutorsKey}, {"executors", std::to_string(rows.size())}});
  }
  if (reply.status != StoreStatus::kOk) {
    return;
  }
  executors_revision_ = reply.revision;
  for (const auto& [id, settled_incarnation] : rows) {
    const auto found = executors_.find(id);
    if (found != executors_.end()) {
      found->second->stored = true;
      found->second->stored_incarnation = settled_incarnation;
    }
  }
  RequestSchedulingPass();
}

// A successor need not wait for an executor that is draining or gone, has no
// runs and whose ends are all stored.
bool CellLeader::IsRetired(const Executor& executor) const {
  return (executor.entry.draining || !executor.listed) &&
         executor.runs().empty() &&
         unread_executors_.count(executor.entry.id) == 0 &&
         executor.boot.ends_read <= executor.boot.ends_stored;
}

}  // namespace chivedale::cell
