// Why a grant happens at most once. An id is granted only by the writer of the
// first segment that holds it. A holder creates segment N only after it has
// read all segments below N, and creation fails when N exists, so of two
// holders that have both read up to N - 1 one loses, reads N and finds the id.
// This does not depend on clocks, membership or the duration of a pause, as
// long as sequence numbers are never used twice. Two rules ensure that:
//  - the highest segment is never deleted, so every reader continues after it;
//  - a holder whose last contact with the store is older than half of the
//    retention reads again and does not trust a creation, since a segment of
//    the same number may have been created and deleted meanwhile.
//
// Unknown outcomes. A write without an answer may take effect at any later
// time. The same bytes with the same nonce are sent for the same segment until
// the store answers, so the result is the same whether one or several of the
// sends take effect. Callers get kStoreDown after the write timeout; the ids
// stay in `known` from then on, and nobody is granted them here. Another holder
// either finds them in the segment or creates that number itself, and then the
// late write fails.
//
// Why kStoreDown needs more care than a grant. It tells a caller that the
// request was not run, which is false when another holder has granted it. Only
// the store can exclude another holder, and it is down. So kStoreDown is given
// only while the members' views cannot differ: no member was suspect or lost,
// this process was not paused and no other writer was met within the doubt
// time. A planned change of holder is known everywhere within the takeover
// wait: a new holder grants nothing before its end and reads once more after
// it, and an earlier holder ignores answers that come long after its
// resignation. In all other cases the answer is kUnconfirmed.
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

constexpr Millis kFirstRetry{100};
constexpr Millis kLongestRetry{1'000};
// Old segments are looked for this often.
constexpr Millis kExpireInterval{1'000};
constexpr int kNonceDigits = 24;
// A write that was in flight at the resignation is still granted this long.
// Longer than a store call; with the delay of the news of the new holder it
// stays below the takeover wait.
constexpr Millis kResignGrace{200};

}  // namespace

struct RecordLog::Impl {
  using Done = std::function<void(RecordOutcome)>;

  struct Waiting {
    RequestId id;
    util::TimePoint until;
    Done done;
  };
  // A write that is sent until the store has answered.
  struct Write {
    uint64_t sequence = 0;
    std::string nonce;
    std::string value;
    util::WallTime written{};
    // Value of Group::holds at the start.
    uint64_t holds = 0;
    std::vector<Waiting> items;
    std::vector<uint64_t> keys;
  };
  struct Group {
    int number = 0;
    bool held = false;
    // All segments have been read since Hold().
    bool read = false;
    // A store call is in flight.
    bool busy = false;
    uint64_t holds = 0;
    uint64_t next_sequence = 1;
    util::TimePoint next_call{};
    util::TimePoint grants_from{};
    util::TimePoint resigned{};
    util::TimePoint doubted_until{};
    util::TimePoint contact{};
    util::WallTime contact_wall{};
    util::TimePoint next_expire{};
    Millis retry = kFirstRetry;
    std::deque<Waiting> waiting;
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

  // Detects a pause of this process before anything else is decided. The wall
  // clock also counts when the monotonic clock stood still with the VM.
  void Observe() {
    const util::TimePoint now = clock.Now();
    const util::WallTime wall = clock.WallNow();
    if (now - last_call > options.pause_limit ||
        wall - last_call_wall > options.pause_limit) {
      DoubtAll();
    }
    last_call = now;
    last_call_wall = wall;
  }

  void DoubtAll() {
    for (Group& group : groups) {
      Doubt(group);
    }
  }

  void Doubt(Group& group) {
    group.doubted_until = clock.Now() + options.doubt_time;
  }

  bool Confirmed(const Group& group) const {
    return group.held && group.read && group.contact >= group.grants_from &&
           clock.Now() >= group.doubted_until;
  }

  bool ContactIsOld(const Group& group) const {
    return clock.Now() - group.contact > options.retention / 2 ||
           clock.WallNow() - group.contact_wall > options.retention / 2;
  }

  // The time at which the call was sent counts, not that of its answer.
  void SetContact(Group& group, util::TimePoint sent, util::WallTime wall) {
    group.contact = sent;
    group.contact_wall = wall;
  }

  void Delay(Group& group) {
    group.next_call = clock.Now() + group.retry;
    group.retry = std::min(kLongestRetry, group.retry * 2);
  }

  // What a request gets whose record did not reach the store in time.
  RecordOutcome Failure(const Group& group) const {
    return Confirmed(group) ? RecordOutcome::kStoreDown
                            : RecordOutcome::kUnconfirmed;
  }

  void Hold(Group& group) {
    if (group.held) {
      return;
    }
    group.held = true;
    group.read = false;
    ++group.holds;
    group.grants_from = clock.Now() + options.takeover_wait;
    group.next_call = clock.Now();
    group.retry = kFirstRetry;
    Advance(group);
  }

  void Resign(Group& group) {
    if (!group.held) {
      return;
    }
    group.held = false;
    group.read = false;
    group.resigned = clock.Now();
    ++group.holds;
    std::deque<Waiting> waiting = std::move(group.waiting);
    group.waiting.clear();
    if (!group.write) {
      group.known.clear();
      group.segments.clear();
    }
    for (Waiting& item : waiting) {
      item.done(RecordOutcome::kNotHolder);
    }
  }

  // One step of a group: settle a write, else read, else confirm, else write.
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
    if (!group.waiting.empty() && now >= group.grants_from) {
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
    const uint64_t holds = group.holds;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    store.List(Prefix(group), [this, guard = Guard(), &group, holds, sent,
                               sent_wall](const StoreResult& result) {
      if (guard.expired()) {
        return;
      }
      Observe();
      group.busy = false;
      if (!group.held || group.holds != holds) {
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
      group.retry = kFirstRetry;
      SetContact(group, sent, sent_wall);
      SettleKnown(group);
      Advance(group);
    });
  }

  // Looks for a segment that an earlier holder wrote after Read().
  void ReadNext(Group& group) {
    group.busy = true;
    const uint64_t holds = group.holds;
    const util::TimePoint sent = clock.Now();
    const util::WallTime sent_wall = clock.WallNow();
    store.Get(Key(group, group.next_sequence),
              [this, guard = Guard(), &group, holds, sent,
               sent_wall](const StoreResult& result) {
                if (guard.expired()) {
                  return;
                }
                Observe();
                group.busy = false;
                if (!group.held || group.holds != holds) {
                  return;
                }
                if (result.status == StoreStatus::kNotFound) {
                  group.retry = kFirstRetry;
                  SetContact(group, sent, sent_wall);
                } else if (result.status == StoreStatus::kOk) {
                  group.read = false;
                } else {
                  Delay(group);
                }
                Advance(group);
              });
  }

  // False when a segment is unreadable: then nothing is changed.
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
    // has them, so `known` only grows here.
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

  // Answers waiting ids that a read has shown to be recorded.
  void SettleKnown(Group& group) {
    std::vector<Waiting> settled;
    for (auto it = group.waiting.begin(); it != group.waiting.end();) {
      if (group.known.count(RecordKey(it->id.str())) == 0) {
        ++it;
        continue;
      }
      settled.push_back(std::move(*it));
      it = group.waiting.erase(it);
    }
    for (Waiting& item : settled) {
      item.done(RecordOutcome::kKnown);
    }
  }

  void BeginWrite(Group& group) {
    Write write;
    write.sequence = group.next_sequence;
    write.nonce = random.Hex(kNonceDigits);
    write.written = clock.WallNow();
    write.holds = group.holds;
    std::vector<RequestId> ids;
    size_t bytes = kSegmentOverheadBytes;
    while (!group.waiting.empty()) {
      const RequestId& id = group.waiting.front().id;
      bytes += SegmentBytes(id);
      if (bytes > options.max_segment_bytes && !ids.empty()) {
        break;
      }
      ids.push_back(id);
      write.keys.push_back(RecordKey(id.str()));
      write.items.push_back(std::move(group.waiting.front()));
      group.waiting.pop_front();
    }
    write.value = SegmentText(write.nonce, write.written, ids);
    // From here on the ids may be in the store.
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
                Observe();
                group.busy = false;
                if (result.status == StoreStatus::kOk) {
                  Written(group, result.revision, sent, sent_wall);
                } else if (result.status == StoreStatus::kConflict) {
                  ReadBack(group);
                } else {
                  Delay(group);
                }
              });
  }

  // The segment exists. Its nonce tells whether an earlier send created it.
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
          Observe();
          group.busy = false;
          if (result.status == StoreStatus::kOk && result.entries.size() == 1) {
            Compare(group, result.entries.front(), sent, sent_wall);
          } else if (result.status == StoreStatus::kNotFound) {
            // Deleted after the conflict: older than the retention.
            LoseWrite(group);
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
        Written(group, entry.revision, sent, sent_wall);
        return;
      }
    } catch (const std::exception&) {
      ++unreadable;
    }
    LoseWrite(group);
  }

  void Written(Group& group,
               uint64_t revision,
               util::TimePoint sent,
               util::WallTime sent_wall) {
    // The checks come after the effect: a pause before it shows here.
    const bool trusted = !ContactIsOld(group);
    const bool timely = group.write->holds == group.holds ||
                        clock.Now() - group.resigned <= kResignGrace;
    const bool granted = trusted && timely;
    Write write = std::move(*group.write);
    group.write.reset();
    group.retry = kFirstRetry;
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
    for (Waiting& item : write.items) {
      if (item.done) {
        item.done(granted ? RecordOutcome::kRecorded : RecordOutcome::kKnown);
      }
    }
  }

  // Another holder created the segment, so none of this write's sends took or
  // will take effect. Ids whose callers still wait are tried again after a
  // read; the others were refused and stay known.
  void LoseWrite(Group& group) {
    Write write = std::move(*group.write);
    group.write.reset();
    group.read = false;
    Doubt(group);
    std::vector<Waiting> refused;
    for (auto it = write.items.rbegin(); it != write.items.rend(); ++it) {
      if (!it->done) {
        continue;
      }
      if (!group.held) {
        refused.push_back(std::move(*it));
        continue;
      }
      group.known.erase(RecordKey(it->id.str()));
      group.waiting.push_front(std::move(*it));
    }
    if (!group.held) {
      group.known.clear();
      group.segments.clear();
    }
    for (Waiting& item : refused) {
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
    const uint64_t holds = group.holds;
    store.Delete(Key(group, sequence), oldest.revision,
                 [this, guard = Guard(), &group, sequence,
                  holds](const StoreResult& result) {
                   if (guard.expired()) {
                     return;
                   }
                   Observe();
                   group.busy = false;
                   if (result.status == StoreStatus::kUnavailable ||
                       group.holds != holds) {
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
    Observe();
    if (!group.held) {
      done(RecordOutcome::kNotHolder);
      return;
    }
    const uint64_t key = RecordKey(id.str());
    const bool waits =
        std::any_of(group.waiting.begin(), group.waiting.end(),
                    [&](const Waiting& item) { return item.id == id; });
    // Before the read is done an unknown outcome of an earlier hold still
    // counts; ids that are not known may turn out to be.
    if (waits || group.known.count(key) != 0) {
      done(RecordOutcome::kKnown);
      return;
    }
    group.waiting.push_back(
        {id, clock.Now() + options.write_timeout, std::move(done)});
    Advance(group);
  }

  void RefuseLate(Group& group) {
    const util::TimePoint now = clock.Now();
    std::vector<Waiting> late;
    while (!group.waiting.empty() && now >= group.waiting.front().until) {
      late.push_back(std::move(group.waiting.front()));
      group.waiting.pop_front();
    }
    if (group.write) {
      for (Waiting& item : group.write->items) {
        if (item.done && now >= item.until) {
          late.push_back(item);
          item.done = nullptr;
        }
      }
    }
    const RecordOutcome outcome = Failure(group);
    for (Waiting& item : late) {
      item.done(outcome);
    }
  }

  void Tick() {
    Observe();
    for (Group& group : groups) {
      // Before a write is begun, since an id in a write is never free again.
      RefuseLate(group);
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
  // Store calls may end after this object.
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

void RecordLog::Doubt() {
  impl_->DoubtAll();
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
  return impl_->Confirmed(impl_->groups.at(static_cast<size_t>(group)));
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
