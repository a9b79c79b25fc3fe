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
// Executors that join together are written together.
constexpr Millis kExecutorsWriteDelay{20};
// Unit in which the time until long leases expire is stored, so that the list
// is not written for each millisecond that passes.
constexpr Millis kLongLeasesStep{2'500};

}  // namespace

std::vector<CellLeader::ExecutorRow> CellLeader::DecodeKnownExecutors(
    const std::string& bytes) {
  std::vector<ExecutorRow> rows;
  const json list = ParseMsgpack(bytes);
  // An empty list does not show which version wrote it.
  executors_list_complete_ = list.is_array() && !list.empty();
  if (!list.is_array()) {
    executor_rows_skipped_ = true;
    context_.log.Write(Event::kCellBadRecord,
                       {{"key", kExecutorsKey}, {"reason", "not a list"}});
    return rows;
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
    ExecutorRow& known = rows.emplace_back();
    known.id = *id;
    known.address = *address;
    known.pool = *pool;
    // Rows of earlier versions have three or four elements.
    const auto integer = [&row](size_t column) {
      return row.size() > column ? IntegerIn(row[column], 0, kMaxNumber)
                                 : std::optional<int64_t>();
    };
    const auto settled = integer(3);
    const auto incarnation = integer(4);
    const auto long_leases = integer(5);
    const auto retired = integer(6);
    known.retired = retired.value_or(0) != 0;
    executors_list_complete_ = executors_list_complete_ && retired.has_value();
    if (incarnation && long_leases) {
      known.incarnation = *incarnation;
      known.long_leases =
          std::min(Millis(*long_leases), options_.longest_lease);
    } else {
      known.incarnation = settled.value_or(0);
    }
  }
  return rows;
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
          executors_list_found_ = true;
          executors_revision_ = read.items[0].revision;
          for (const ExecutorRow& row :
               DecodeKnownExecutors(read.items[0].value)) {
            AddKnownExecutor(row);
          }
          IndexExecutors();
        }
        known_executors_loaded_ = true;
        if (!MayMeetEarlierCalls()) {
          for (const auto& [id, executor] : executors_) {
            const bool listed = executor->stored || executor->stored_as_retired;
            executor->earlier_deadline = listed ? Millis::max() : Millis(0);
          }
        }
        done();
      }));
}

// The predecessor's calls have a lower fence than those of this leader, which
// has granted nothing to any boot of the executor unless it did so before this
// list was read.
void CellLeader::AddKnownExecutor(const ExecutorRow& row) {
  if (!row.retired) {
    unread_executors_.insert(row.id);
    unfenced_executors_.insert(row.id);
  }
  if (executors_.count(row.id) == 0) {
    ExecutorEntry entry;
    entry.id = row.id;
    entry.address = row.address;
    entry.pool = row.pool;
    entry.incarnation = row.incarnation;
    Executor& executor = AddExecutor(entry);
    executor.listed = false;
    executor.unlisted_since = context_.clock.Now();
  }
  Executor& executor = *executors_.at(row.id);
  executor.earlier_deadline = Millis::max();
  executor.stored = !row.retired;
  executor.stored_as_retired = row.retired;
  executor.stored_pool = row.pool;
  executor.predecessor_pool = row.pool;
  executor.stored_incarnation = row.incarnation;
  executor.stored_long_leases = row.long_leases;
  if (executor.deadline_sent == TimePoint()) {
    executor.superseded_fence = 0;
  }
  if (executor.boot.incarnation == row.incarnation) {
    executor.confirmed_incarnation = row.incarnation;
    executor.long_leases_end = begin_time_ + MaxTimeOf(row.long_leases);
  }
}

Executor& CellLeader::AddExecutor(const ExecutorEntry& entry) {
  auto executor = std::make_unique<Executor>(entry, by_number_.size());
  executor->fence = latest_fence_;
  executor->superseded_fence = latest_fence_;
  executor->earlier_deadline =
      MayMeetEarlierCalls() ? Millis::max() : Millis(0);
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
    if (entry.incarnation != executor->confirmed_incarnation) {
      executor->confirmed_incarnation = 0;
    }
    if (executor->boot.confirmed &&
        entry.incarnation == executor->boot.incarnation) {
      executor->confirmed_incarnation = entry.incarnation;
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
                        !MayGetLateCalls(executor) &&
                        !executor.hold_in_flight && !IsUnread(executor);
    if (forget) {
      unread_executors_.erase(it->first);
      OnFenceSeen(it->first);
      by_number_[executor.boot.number] = nullptr;
      by_id_.erase(it->first);
      it = executors_.erase(it);
      executors_forgotten_ = true;
    } else {
      ++it;
    }
  }
  IndexExecutors();
  StoreExecutorsIfChanged();
  RequestSchedulingPass();
}

void CellLeader::RequestExecutorsWrite() {
  next_executors_write_ = std::min(next_executors_write_,
                                   context_.clock.Now() + kExecutorsWriteDelay);
}

void CellLeader::StoreExecutorsIfChanged() {
  const TimePoint now = context_.clock.Now();
  const auto has_changed = [&](const Executor& executor) {
    if (!executor.stored || !BelongsInList(executor)) {
      return executor.stored != BelongsInList(executor);
    }
    const ExecutorRow row = RowOf(executor, now);
    return executor.stored_incarnation != row.incarnation ||
           executor.stored_long_leases != row.long_leases;
  };
  if (executors_forgotten_ ||
      std::any_of(executors_.begin(), executors_.end(), [&](const auto& entry) {
        return has_changed(*entry.second);
      })) {
    StoreExecutors();
  }
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
  std::vector<ExecutorRow> rows;
  const TimePoint now = context_.clock.Now();
  const bool complete = !MayMeetEarlierCalls();
  for (const auto& [id, executor] : executors_) {
    if (!BelongsInList(*executor)) {
      // Cleared now rather than on the answer, because the write may take
      // effect late.
      executor->stored = false;
      if (!complete || !MayGetLateCalls(*executor)) {
        continue;
      }
    }
    const ExecutorRow& row = rows.emplace_back(RowOf(*executor, now));
    // Earlier versions read the fourth element alone: the boot if only usual
    // leases are left on it.
    list.push_back(json::array(
        {row.id, row.address, row.pool,
         row.long_leases == Millis(0) ? row.incarnation : int64_t{0},
         row.incarnation, row.long_leases.count()}));
    if (complete) {
      list.back().push_back(row.retired ? 1 : 0);
    }
  }
  executors_forgotten_ = false;
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
                                   const std::vector<ExecutorRow>& rows) {
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
    RequestExecutorsWrite();
    return;
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
  for (const ExecutorRow& row : rows) {
    const auto found = executors_.find(row.id);
    if (found != executors_.end()) {
      found->second->stored = !row.retired;
      found->second->stored_as_retired = row.retired;
      found->second->stored_pool = row.pool;
      found->second->stored_incarnation = row.incarnation;
      found->second->stored_long_leases = row.long_leases;
    }
  }
  RequestExecutorsWrite();  // for changes since it was sent
  RequestSchedulingPass();
}

// A successor need not wait for an executor that is draining or gone, has no
// runs and whose ends are all stored, nor for one that is gone and on which no
// lease of an earlier leader can be left.
bool CellLeader::IsRetired(const Executor& executor) const {
  const bool read = unread_executors_.count(executor.entry.id) == 0 ||
                    (!executor.listed && !IsUnread(executor));
  return (executor.entry.draining || !executor.listed) &&
         executor.runs().empty() && read &&
         executor.boot.ends_read <= executor.boot.ends_stored;
}

// An executor that is not in the list yet gets no call with a deadline, and is
// added together with its boot.
bool CellLeader::BelongsInList(const Executor& executor) const {
  return !IsRetired(executor) && (executor.stored || executor.boot.confirmed ||
                                  !executor.runs().empty());
}

CellLeader::ExecutorRow CellLeader::RowOf(const Executor& executor,
                                          TimePoint now) const {
  ExecutorRow row;
  row.id = executor.entry.id;
  row.address = executor.entry.address;
  // Until a boot rejects the calls to earlier ones, it may execute those for
  // the pool they were in.
  row.pool =
      executor.confirmed_incarnation == 0 && !executor.stored_pool.empty()
          ? executor.stored_pool
          : executor.entry.pool;
  row.retired = !BelongsInList(executor);
  row.incarnation = executor.confirmed_incarnation;
  const bool long_leases_left = row.incarnation != 0 &&
                                executor.long_leases_end > now &&
                                !executor.boot.IsSettled(now);
  if (long_leases_left) {
    const auto steps =
        (std::chrono::ceil<Millis>(executor.long_leases_end - now) +
         kLongLeasesStep - Millis(1)) /
        kLongLeasesStep;
    row.long_leases = steps * kLongLeasesStep;
  }
  return row;
}

}  // namespace chivedale::cell
