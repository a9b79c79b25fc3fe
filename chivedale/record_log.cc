// At-most-once grants. An id is granted only by the writer of the first segment
// that contains it. A holder creates segment N only after it has read all
// segments below N, and the creation fails if N exists. Of two holders that
// have both read up to N - 1, one fails, reads N and finds the id. This does
// not depend on clocks, membership or the length of a pause, provided that
// sequence numbers are never reused. Two rules ensure that:
//
//  - The highest segment is never deleted, so every reader continues after it.
//  - A holder whose last contact with the store is older than half of the
//    retention reads again and does not trust a creation, since a segment of
//    the same number may have been created and deleted in the meantime.
//
// Unknown outcomes. A write that was not answered may take effect at any later
// time. The same bytes with the same nonce are sent for the same segment until
// the store answers, so the result does not depend on how many of the sends
// take effect. Callers get kStoreDown after the write timeout; the ids stay in
// `known` from then on and are not granted here again. Another holder either
// finds them in the segment or creates that sequence number itself, in which
// case the late write fails.
//
// kStoreDown is more delicate than a grant. It tells a caller that the request
// was not run, which is false if another holder has granted it. Only the store
// can rule out another holder, and it is down. kStoreDown is therefore returned
// only while the views of the members cannot differ: within `unconfirmed_time`,
// no member was suspect or lost, this process was not paused and no other
// writer was found. A planned change of holder is known everywhere within the
// takeover wait: a new holder grants nothing until that wait has ended and then
// reads once more, and an earlier holder ignores answers that arrive long after
// it resigned. In all other cases the result is kUnconfirmed.
#include "chivedale/record_log.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "chivedale/record_segment.h"

namespace chivedale {
namespace {

constexpr Millis kMinRetryDelay{100};
constexpr Millis kMaxRetryDelay{1'000};
// Interval between checks for expired segments.
constexpr Millis kExpireInterval{1'000};
constexpr int kNonceDigits = 24;
// A write that was in flight when the group was resigned is still granted for
// this long. Longer than a store call. Together with the time until the new
// holder learns of the change, it is shorter than the takeover wait.
constexpr Millis kResignGrace{200};

}  // namespace

struct RecordLog::Impl {
  using Done = std::function<void(RecordOutcome)>;

  struct PendingRecord {
    RequestId id;
    util::TimePoint refuse_at;
    Done done;
  };
  // A write that is resent until the store has answered.
  struct Write {
    uint64_t sequence = 0;
    std::string nonce;
    std::string value;
    util::WallTime written{};
    // Value of Group::hold_generation when the write began.
    uint64_t hold_generation = 0;
    std::vector<PendingRecord> items;
    std::vector<uint64_t> keys;
  };
  struct Group {
    int number = 0;
    bool held = false;
    // All segments have been read since Hold().
    bool read = false;
    // A store call is in flight.
    bool busy = false;
    uint64_t hold_generation = 0;
    uint64_t next_sequence = 1;
    util::TimePoint next_call{};
    util::TimePoint grants_from{};
    util::TimePoint resigned{};
    util::TimePoint unconfirmed_until{};
    util::TimePoint contact{};
    util::WallTime contact_wall{};
    util::TimePoint next_expire{};
    Millis retry_delay = kMinRetryDelay;
    std::deque<PendingRecord> pending;
    std::optional<Write> write;
    std::map<uint64_t, RecordSegment> segments;
    std::unordered_set<uint64_t> known;
  };

  Impl(const util::Clock& clock,
       util::Random& random,
       StorePort& store,
       Options options)
      : clock(clock), random(random), store(store), options(options) {
    groups.resize(static_cast<size_t>(options.record_groups));
    for (size_t i = 0; i < groups.size(); ++i) {
      groups[i].number = static_cast<int>(i);
    }
    last_call = clock.Now();
    last_call_wall = clock.WallNow();
  }

  std::string Prefix(const Group& group) const {
    return SegmentPrefix(group.number);
  }
  std::string Key(const Group& group, uint64_t sequence) const {
    return SegmentName(group.number, sequence);
  }

  // Detects a pause of this process before any decision is made. The wall clock
  // is compared too, since the monotonic clock may have stopped with the VM.
  void DetectPause() {
    const util::TimePoint now = clock.Now();
    const util::WallTime wall = clock.WallNow();
    if (now - last_call > options.pause_threshold ||
        wall - last_call_wall > options.pause_threshold) {
      MarkAllUnconfirmed();
    }
    last_call = now;
    last_call_wall = wall;
  }

  void MarkAllUnconfirmed() {
    for (Group& group : groups) {
      MarkUnconfirmed(group);
    }
  }

  void MarkUnconfirmed(Group& group) {
    group.unconfirmed_until = clock.Now() + options.unconfirmed_time;
  }

  bool IsConfirmed(const Group& group) const {
    return group.held && group.read && group.contact >= group.grants_from &&
           clock.Now() >= group.unconfirmed_until;
  }

  bool ContactIsOld(const Group& group) const {
    return clock.Now() - group.contact > options.retention / 2 ||
           clock.WallNow() - group.contact_wall > options.retention / 2;
  }

  // The contact time is when the call was sent, not when it was answered.
  void SetContact(Group& group, util::TimePoint sent, util::WallTime wall) {
    group.contact = sent;
    group.contact_wall = wall;
  }

  void Delay(Group& group) {
    group.next_call = clock.Now() + group.retry_delay;
    group.retry_delay = std::min(kMaxRetryDelay, group.retry_delay * 2);
  }

  // Outcome of a record that did not reach the store in time.
  RecordOutcome FailureOutcome(const Group& group) const {
    return IsConfirmed(group) ? RecordOutcome::kStoreDown
                              : RecordOutcome::kUnconfirmed;
  }

  void Hold(Group& group) {
    if (group.held) {
      return;
    }
    group.held = true;
    group.read = false;
    ++group.hold_generation;
    group.grants_from = clock.Now() + options.takeover_wait;
    group.next_call = clock.Now();
    group.retry_delay = kMinRetryDelay;
    Advance(group);
  }

  void Resign(Group& group) {
    if (!group.held) {
      return;
    }
    group.held = false;
    group.read = false;
    group.resigned = clock.Now();
    ++group.hold_generation;
    std::deque<PendingRecord> pending = std::move(group.pending);
    group.pending.clear();
    if (!group.write) {
      group.known.clear();
      group.segments.clear();
    }
    for (PendingRecord& item : pending) {
      item.done(RecordOutcome::kNotHolder);
    }
  }

  // Performs one step for a group, in order of priority: resolve the open
  // write, read, confirm, begin a write, expire a segment.
  void Advance(Group& group) {
    const util::TimePoint now = clock.Now();
    if (group.busy || now < group.next_call) {
      return;
    }
    if (group.write) {
      SendWrite(group);
      return;
    }
    if (!group.held) {
      return;
    }
    if (!group.read || ContactIsOld(group)) {
      Read(group);
      return;
    }
    if (now >= group.grants_from && group.contact < group.grants_from) {
      ReadNext(group);
      return;
    }
    if (!group.pending.empty() && now >= group.grants_from) {
      BeginWrite(group);
      return;
    }
    if (now >= group.next_expire) {
      group.next_expire = now + kExpireInterval;
      ExpireSegment(group);
    }
  }

  void Read(Group& group) {
    group.busy = true;
    const uint64_t hold_generation = group.hold_generation;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    store.List(Prefix(group), [this, guard = Guard(), &group, hold_generation,
                               sent, sent_wall](const StoreResult& result) {
      if (guard.expired()) {
        return;
      }
      DetectPause();
      group.busy = false;
      if (!group.held || group.hold_generation != hold_generation) {
        return;
      }
      if (result.status != StoreStatus::kOk &&
          result.status != StoreStatus::kNotFound) {
        Delay(group);
        return;
      }
      if (!TakeSegments(group, result)) {
        Delay(group);
        return;
      }
      group.read = true;
      group.retry_delay = kMinRetryDelay;
      SetContact(group, sent, sent_wall);
      CompleteKnown(group);
      Advance(group);
    });
  }

  // Checks for a segment that an earlier holder wrote after Read().
  void ReadNext(Group& group) {
    group.busy = true;
    const uint64_t hold_generation = group.hold_generation;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    store.Get(Key(group, group.next_sequence),
              [this, guard = Guard(), &group, hold_generation, sent,
               sent_wall](const StoreResult& result) {
                if (guard.expired()) {
                  return;
                }
                DetectPause();
                group.busy = false;
                if (!group.held || group.hold_generation != hold_generation) {
                  return;
                }
                if (result.status == StoreStatus::kNotFound) {
                  group.retry_delay = kMinRetryDelay;
                  SetContact(group, sent, sent_wall);
                } else if (result.status == StoreStatus::kOk) {
                  group.read = false;
                } else {
                  Delay(group);
                }
                Advance(group);
              });
  }

  // Returns false and changes nothing if a segment is malformed.
  bool TakeSegments(Group& group, const StoreResult& result) {
    std::map<uint64_t, RecordSegment> segments;
    try {
      for (const StoreEntry& entry : result.entries) {
        RecordSegment segment = ParseSegment(entry);
        const uint64_t sequence = segment.sequence;
        segments.emplace(sequence, std::move(segment));
      }
    } catch (const std::exception&) {
      ++unreadable;
      return false;
    }
    // Ids of a write with an unknown outcome stay known although no segment
    // contains them, so `known` only grows here.
    for (const auto& [sequence, segment] : segments) {
      group.known.insert(segment.keys.begin(), segment.keys.end());
    }
    group.segments = std::move(segments);
    if (!group.segments.empty()) {
      group.next_sequence =
          std::max(group.next_sequence, group.segments.rbegin()->first + 1);
    }
    return true;
  }

  // Completes the waiting records whose ids were found by a read.
  void CompleteKnown(Group& group) {
    std::vector<PendingRecord> completed;
    for (auto it = group.pending.begin(); it != group.pending.end();) {
      if (group.known.count(RecordKey(it->id.str())) == 0) {
        ++it;
        continue;
      }
      completed.push_back(std::move(*it));
      it = group.pending.erase(it);
    }
    for (PendingRecord& item : completed) {
      item.done(RecordOutcome::kKnown);
    }
  }

  void BeginWrite(Group& group) {
    Write write;
    write.sequence = group.next_sequence;
    write.nonce = random.HexString(kNonceDigits);
    write.written = clock.WallNow();
    write.hold_generation = group.hold_generation;
    std::vector<RequestId> ids;
    size_t bytes = kSegmentOverheadBytes;
    while (!group.pending.empty()) {
      const RequestId& id = group.pending.front().id;
      bytes += SegmentBytes(id);
      if (bytes > options.max_segment_bytes && !ids.empty()) {
        break;
      }
      ids.push_back(id);
      write.keys.push_back(RecordKey(id.str()));
      write.items.push_back(std::move(group.pending.front()));
      group.pending.pop_front();
    }
    write.value = SegmentText(write.nonce, write.written, ids);
    // From here on the store may contain the ids.
    group.known.insert(write.keys.begin(), write.keys.end());
    group.write = std::move(write);
    SendWrite(group);
  }

  void SendWrite(Group& group) {
    group.busy = true;
    ++writes;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    group.next_call = sent + options.write_interval;
    store.Put(Key(group, group.write->sequence), group.write->value, 0,
              [this, guard = Guard(), &group, sent,
               sent_wall](const StoreResult& result) {
                if (guard.expired()) {
                  return;
                }
                DetectPause();
                group.busy = false;
                if (result.status == StoreStatus::kOk) {
                  OnWritten(group, result.revision, sent, sent_wall);
                } else if (result.status == StoreStatus::kConflict) {
                  ReadBack(group);
                } else {
                  Delay(group);
                }
              });
  }

  // The segment exists. Its nonce shows whether an earlier send of this write
  // created it.
  void ReadBack(Group& group) {
    group.busy = true;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    store.Get(
        Key(group, group.write->sequence),
        [this, guard = Guard(), &group, sent,
         sent_wall](const StoreResult& result) {
          if (guard.expired()) {
            return;
          }
          DetectPause();
          group.busy = false;
          if (result.status == StoreStatus::kOk && result.entries.size() == 1) {
            Compare(group, result.entries.front(), sent, sent_wall);
          } else if (result.status == StoreStatus::kNotFound) {
            // Deleted after the conflict, so it was older than the retention.
            AbandonWrite(group);
          } else {
            Delay(group);
          }
        });
  }

  void Compare(Group& group,
               const StoreEntry& entry,
               util::TimePoint sent,
               util::WallTime sent_wall) {
    try {
      if (ParseSegment(entry).nonce == group.write->nonce) {
        OnWritten(group, entry.revision, sent, sent_wall);
        return;
      }
    } catch (const std::exception&) {
      ++unreadable;
    }
    AbandonWrite(group);
  }

  void OnWritten(Group& group,
                 uint64_t revision,
                 util::TimePoint sent,
                 util::WallTime sent_wall) {
    // Checked only now, so that a pause between sending the write and its
    // effect is detected.
    const bool trusted = !ContactIsOld(group);
    const bool still_holder =
        group.write->hold_generation == group.hold_generation ||
        clock.Now() - group.resigned <= kResignGrace;
    const bool granted = trusted && still_holder;
    Write write = std::move(*group.write);
    group.write.reset();
    group.retry_delay = kMinRetryDelay;
    records += write.items.size();
    RecordSegment segment;
    segment.sequence = write.sequence;
    segment.revision = revision;
    segment.nonce = write.nonce;
    segment.written = write.written;
    segment.keys = std::move(write.keys);
    group.segments.emplace(write.sequence, std::move(segment));
    group.next_sequence = std::max(group.next_sequence, write.sequence + 1);
    if (trusted) {
      SetContact(group, sent, sent_wall);
    } else {
      group.read = false;
    }
    for (PendingRecord& item : write.items) {
      if (item.done) {
        item.done(granted ? RecordOutcome::kRecorded : RecordOutcome::kKnown);
      }
    }
  }

  // Another holder created the segment, so no send of this write took or will
  // take effect. Ids whose callers still wait are retried after a read; the
  // others were refused and stay known.
  void AbandonWrite(Group& group) {
    Write write = std::move(*group.write);
    group.write.reset();
    group.read = false;
    MarkUnconfirmed(group);
    std::vector<PendingRecord> refused;
    for (auto it = write.items.rbegin(); it != write.items.rend(); ++it) {
      if (!it->done) {
        continue;
      }
      if (!group.held) {
        refused.push_back(std::move(*it));
        continue;
      }
      group.known.erase(RecordKey(it->id.str()));
      group.pending.push_front(std::move(*it));
    }
    if (!group.held) {
      group.known.clear();
      group.segments.clear();
    }
    for (PendingRecord& item : refused) {
      item.done(RecordOutcome::kNotHolder);
    }
    Advance(group);
  }

  void ExpireSegment(Group& group) {
    if (group.segments.size() < 2) {
      return;
    }
    const RecordSegment& oldest = group.segments.begin()->second;
    if (clock.WallNow() - oldest.written <= options.retention) {
      return;
    }
    group.busy = true;
    const uint64_t sequence = oldest.sequence;
    const uint64_t hold_generation = group.hold_generation;
    store.Delete(Key(group, sequence), oldest.revision,
                 [this, guard = Guard(), &group, sequence,
                  hold_generation](const StoreResult& result) {
                   if (guard.expired()) {
                     return;
                   }
                   DetectPause();
                   group.busy = false;
                   if (result.status == StoreStatus::kUnavailable ||
                       group.hold_generation != hold_generation) {
                     return;
                   }
                   Forget(group, sequence);
                   group.next_expire = clock.Now();
                 });
  }

  void Forget(Group& group, uint64_t sequence) {
    auto it = group.segments.find(sequence);
    if (it == group.segments.end()) {
      return;
    }
    for (const uint64_t key : it->second.keys) {
      group.known.erase(key);
    }
    group.segments.erase(it);
  }

  void Record(Group& group, const RequestId& id, Done done) {
    DetectPause();
    if (!group.held) {
      done(RecordOutcome::kNotHolder);
      return;
    }
    const uint64_t key = RecordKey(id.str());
    const bool already_pending =
        std::any_of(group.pending.begin(), group.pending.end(),
                    [&](const PendingRecord& item) { return item.id == id; });
    // Before the read, `known` may be incomplete, but an unknown outcome of an
    // earlier hold is already in it. Other ids wait for the read and are
    // checked again by CompleteKnown.
    if (already_pending || group.known.count(key) != 0) {
      done(RecordOutcome::kKnown);
      return;
    }
    group.pending.push_back(
        {id, clock.Now() + options.write_timeout, std::move(done)});
    Advance(group);
  }

  void RefuseTimedOut(Group& group) {
    const util::TimePoint now = clock.Now();
    std::vector<PendingRecord> timed_out;
    while (!group.pending.empty() && now >= group.pending.front().refuse_at) {
      timed_out.push_back(std::move(group.pending.front()));
      group.pending.pop_front();
    }
    if (group.write) {
      for (PendingRecord& item : group.write->items) {
        if (item.done && now >= item.refuse_at) {
          timed_out.push_back(item);
          item.done = nullptr;
        }
      }
    }
    const RecordOutcome outcome = FailureOutcome(group);
    for (PendingRecord& item : timed_out) {
      item.done(outcome);
    }
  }

  void Tick() {
    DetectPause();
    for (Group& group : groups) {
      // Done before a write begins, since an id in a write is never released.
      RefuseTimedOut(group);
      Advance(group);
    }
  }

  std::weak_ptr<int> Guard() const { return alive; }

  const util::Clock& clock;
  util::Random& random;
  StorePort& store;
  const Options options;
  std::vector<Group> groups;
  util::TimePoint last_call{};
  util::WallTime last_call_wall{};
  uint64_t writes = 0;
  uint64_t records = 0;
  uint64_t unreadable = 0;
  // Expired in callbacks of store calls that end after this object is
  // destroyed.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

RecordLog::RecordLog(const util::Clock& clock,
                     util::Random& random,
                     StorePort& store,
                     Options options)
    : impl_(std::make_unique<Impl>(clock, random, store, options)) {}

RecordLog::~RecordLog() = default;

void RecordLog::Hold(int group) {
  impl_->Hold(impl_->groups.at(static_cast<size_t>(group)));
}

void RecordLog::Resign(int group) {
  impl_->Resign(impl_->groups.at(static_cast<size_t>(group)));
}

void RecordLog::MarkUnconfirmed() {
  impl_->MarkAllUnconfirmed();
}

void RecordLog::Record(int group,
                       const RequestId& request,
                       std::function<void(RecordOutcome)> done) {
  impl_->Record(impl_->groups.at(static_cast<size_t>(group)), request,
                std::move(done));
}

void RecordLog::Tick() {
  impl_->Tick();
}

bool RecordLog::IsHeld(int group) const {
  return impl_->groups.at(static_cast<size_t>(group)).held;
}

std::optional<bool> RecordLog::IsRecorded(int group,
                                          const RequestId& request) const {
  const Impl::Group& state = impl_->groups.at(static_cast<size_t>(group));
  if (state.held && state.known.count(RecordKey(request.str())) != 0) {
    return true;
  }
  if (!state.held || !state.read) {
    return std::nullopt;
  }
  return false;
}

bool RecordLog::IsConfirmed(int group) const {
  return impl_->IsConfirmed(impl_->groups.at(static_cast<size_t>(group)));
}

uint64_t RecordLog::writes() const {
  return impl_->writes;
}

uint64_t RecordLog::records() const {
  return impl_->records;
}

uint64_t RecordLog::unreadable_segments() const {
  return impl_->unreadable;
}

}  // namespace chivedale
