// The two members with the lowest ids in each data centre watch the store, so
// its load grows with the number of data centres, not of members. All others
// learn of a new revision from a ping and pull it from its sender. A pull
// without an answer is repeated at another member that has a newer table, and
// after some tries at the store, so that no single member can delay a replica.
//
// Only the revision in the table counts, not that of the store: a store
// restored from a backup cannot move a replica back to an older table.
#include "chivedale/table_replica.h"

#include <algorithm>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/table_codec.h"
#include "util/random.h"

namespace chivedale {
namespace {

constexpr char kTableKey[] = "table";
constexpr int kWatchersPerDataCentre = 2;
// A waiting watch counts as one call to the store.
constexpr Millis kWatchWait{5'000};
// Interval at which watchers read the table even without an event.
constexpr Millis kAntiEntropyInterval{60'000};
constexpr Millis kFirstBackoff{200};
constexpr Millis kLongestBackoff{1'600};
// Unanswered pulls from peers before the store is read as well.
constexpr int kPeerPullTries = 2;
// A process that is not a watcher reads the store itself if it has no table
// after this long.
constexpr Millis kFirstTableWait{1'000};
// Number of earlier revisions kept to compute deltas from; at 51,000 changes a
// day, a replica that is 16 revisions behind has missed about 30 s.
constexpr size_t kMaxDeltaBases = 16;

}  // namespace

struct TableReplica::Impl : std::enable_shared_from_this<Impl> {
  Impl(const util::Clock& clock,
       StorePort& store,
       MemberInfo self,
       SendTo send,
       Applied applied)
      : clock(clock),
        store(store),
        self(std::move(self)),
        send(std::move(send)),
        applied(std::move(applied)),
        started(clock.Now()) {}

  void SetMembers(const std::vector<MemberInfo>& live) {
    members.clear();
    std::vector<MemberId> same;
    for (const MemberInfo& member : live) {
      members[member.id] = member;
      if (member.data_centre == self.data_centre && member.id != self.id) {
        same.push_back(member.id);
      }
    }
    const auto lower =
        std::count_if(same.begin(), same.end(),
                      [this](const MemberId& id) { return id < self.id; });
    watcher = lower < kWatchersPerDataCentre;
    for (auto it = peer_revisions.begin(); it != peer_revisions.end();) {
      it = members.count(it->first) == 0 ? peer_revisions.erase(it)
                                         : std::next(it);
    }
    Tick();
  }

  void OnRevision(const MemberId& member, uint64_t revision) {
    if (member == self.id) {
      return;
    }
    peer_revisions[member] = revision;
    if (revision <= table.revision || pull_until > clock.Now()) {
      return;
    }
    Pull(member);
  }

  // A pull is in progress until `pull_until`; then Tick() tries the next
  // source.
  void Pull(const MemberId& member) {
    pull_until = clock.Now() + backoff;
    backoff = std::min(kLongestBackoff, backoff * 2);
    pulled_from = member;
    ++tries;
    TablePull pull;
    pull.have_revision = pull_whole_table ? 0 : table.revision;
    send(member, pull);
  }

  void OnPull(const MemberId& from, const TablePull& pull) {
    if (table.revision <= pull.have_revision) {
      return;
    }
    TableData data;
    data.revision = table.revision;
    if (whole.empty()) {
      whole = TableToJson(table);
    }
    const std::string* delta = DeltaFrom(pull.have_revision);
    if (delta != nullptr && delta->size() < whole.size()) {
      data.base_revision = pull.have_revision;
      data.json = *delta;
    } else {
      data.json = whole;
    }
    send(from, data);
  }

  // Returns null if the base revision is not available.
  const std::string* DeltaFrom(uint64_t base_revision) {
    if (base_revision == 0) {
      return nullptr;
    }
    auto cached = deltas.find(base_revision);
    if (cached != deltas.end()) {
      return &cached->second;
    }
    for (const Table& base : bases) {
      if (base.revision == base_revision) {
        return &deltas.emplace(base_revision, TableDeltaToJson(base, table))
                    .first->second;
      }
    }
    return nullptr;
  }

  void OnData(const TableData& data) {
    if (data.revision <= table.revision) {
      return;
    }
    if (data.base_revision != 0 && data.base_revision != table.revision) {
      return;  // Tick() pulls again from the current revision.
    }
    try {
      Table next = data.base_revision == 0 ? ParseTable(data.json)
                                           : ApplyTableDelta(table, data.json);
      if (next.revision != data.revision) {
        throw Error(ErrorKind::kBadTable, "table: revision " +
                                              std::to_string(next.revision) +
                                              " was received as revision " +
                                              std::to_string(data.revision));
      }
      PutInForce(std::move(next));
    } catch (const Error& error) {
      pull_whole_table = data.base_revision != 0;
      Reject(data.revision, error.what());
    }
  }

  bool ApplyIfNewer(const Table& offered) {
    if (offered.revision <= table.revision) {
      return false;
    }
    const std::vector<std::string> faults = ValidateTable(offered);
    if (!faults.empty()) {
      Reject(offered.revision, faults.front());
      return false;
    }
    PutInForce(offered);
    return true;
  }

  void PutInForce(Table next) {
    if (next.revision <= table.revision) {
      return;
    }
    if (table.revision != 0) {
      bases.push_back(std::move(table));
    }
    if (bases.size() > kMaxDeltaBases) {
      bases.pop_front();
    }
    table = std::move(next);
    deltas.clear();
    whole.clear();
    pull_whole_table = false;
    tries = 0;
    backoff = kFirstBackoff;
    pull_until = util::TimePoint();
    applied(table);
  }

  void Reject(uint64_t revision, const std::string& reason) {
    rejected_revision = revision;
    rejected_reason = reason;
  }

  void ApplyText(const std::string& text) {
    try {
      Table next = ParseTable(text);
      PutInForce(std::move(next));
    } catch (const Error& error) {
      Reject(RevisionIn(text), error.what());
    }
  }

  // Returns the revision that an invalid text contains, or else the next one.
  uint64_t RevisionIn(const std::string& text) const {
    const nlohmann::json value = nlohmann::json::parse(text, nullptr, false);
    if (value.is_object() && value.contains("revision") &&
        value.at("revision").is_number_unsigned()) {
      return value.at("revision").get<uint64_t>();
    }
    return table.revision + 1;
  }

  void Tick() {
    const util::TimePoint now = clock.Now();
    if (now >= pull_until) {
      PullNext();
    }
    const bool needs_first =
        !Ready() && (watcher || now - started >= kFirstTableWait);
    if (!reading && now >= next_read && (needs_first || read_wanted)) {
      Read();
    }
    if (watcher && !reading && now >= next_read && now >= next_anti_entropy) {
      Read();
    }
    if (watcher && !watching && now >= next_watch && has_watch_position) {
      Watch();
    }
  }

  // Pulls from a member that has a newer table; prefers another member than
  // last time, then the nearest.
  void PullNext() {
    const MemberId* best = nullptr;
    int best_rank = 0;
    for (const auto& [id, revision] : peer_revisions) {
      auto member = members.find(id);
      if (revision <= table.revision || member == members.end()) {
        continue;
      }
      int rank = id == pulled_from ? 4 : 0;
      rank += member->second.region == self.region ? 0 : 2;
      rank += member->second.data_centre == self.data_centre ? 0 : 1;
      if (best == nullptr || rank < best_rank) {
        best = &id;
        best_rank = rank;
      }
    }
    if (best == nullptr) {
      return;
    }
    read_wanted = read_wanted || tries >= kPeerPullTries;
    Pull(MemberId(*best));
  }

  void Read() {
    reading = true;
    store.Get(kTableKey, [weak = weak_from_this()](const StoreResult& result) {
      if (auto impl = weak.lock()) {
        impl->OnRead(result);
      }
    });
  }

  void OnRead(const StoreResult& result) {
    const util::TimePoint now = clock.Now();
    reading = false;
    if (result.status == StoreStatus::kUnavailable) {
      next_read = now + StoreBackoff();
      return;
    }
    store_failures = 0;
    read_wanted = false;
    next_read = now + kFirstBackoff;
    next_anti_entropy = now + kAntiEntropyInterval;
    has_watch_position = true;
    if (result.entries.empty()) {
      return;
    }
    const StoreEntry& entry = result.entries.front();
    watch_position = std::max(watch_position, entry.revision);
    ApplyText(entry.value);
  }

  void Watch() {
    watching = true;
    store.Watch(kTableKey, watch_position, kWatchWait,
                [weak = weak_from_this()](const StoreResult& result) {
                  if (auto impl = weak.lock()) {
                    impl->OnWatch(result);
                  }
                });
  }

  void OnWatch(const StoreResult& result) {
    watching = false;
    if (result.status == StoreStatus::kUnavailable) {
      next_watch = clock.Now() + StoreBackoff();
      return;
    }
    store_failures = 0;
    // The prefix also matches the history; only the revisions of those entries
    // are used.
    for (const StoreEntry& entry : result.entries) {
      watch_position = std::max(watch_position, entry.revision);
    }
    for (const StoreEntry& entry : result.entries) {
      if (entry.key == kTableKey) {
        ApplyText(entry.value);
      }
    }
    if (result.entries.empty()) {
      watch_position = std::max(watch_position, result.revision);
    }
    Tick();
  }

  // The jitter depends on the member id, so that members do not retry all at
  // once.
  Millis StoreBackoff() {
    store_failures = std::min(store_failures + 1, 4);
    const int64_t longest = kFirstBackoff.count() << (store_failures - 1);
    const uint64_t spread = util::Hash64(
        self.id.str(),
        static_cast<uint64_t>(clock.Now().time_since_epoch().count()));
    const auto part =
        static_cast<int64_t>(spread % static_cast<uint64_t>(longest / 2));
    return Millis(longest / 2 + part);
  }

  bool Ready() const { return table.revision != 0; }

  const util::Clock& clock;
  StorePort& store;
  const MemberInfo self;
  const SendTo send;
  const Applied applied;
  const util::TimePoint started;
  Table table;
  std::deque<Table> bases;
  // Cached texts for pulls, created on demand.
  std::string whole;
  std::map<uint64_t, std::string> deltas;
  std::map<MemberId, MemberInfo> members;
  std::map<MemberId, uint64_t> peer_revisions;
  bool watcher = false;
  // State of the pull from a peer.
  util::TimePoint pull_until{};
  Millis backoff = kFirstBackoff;
  MemberId pulled_from;
  int tries = 0;
  bool pull_whole_table = false;
  // State of the calls to the store.
  bool reading = false;
  bool watching = false;
  bool read_wanted = false;
  bool has_watch_position = false;
  uint64_t watch_position = 0;
  int store_failures = 0;
  util::TimePoint next_read{};
  util::TimePoint next_watch{};
  util::TimePoint next_anti_entropy{};
  uint64_t rejected_revision = 0;
  std::string rejected_reason;
};

TableReplica::TableReplica(const util::Clock& clock,
                           StorePort& store,
                           MemberInfo self,
                           SendTo send,
                           Applied applied)
    : impl_(std::make_shared<Impl>(clock,
                                   store,
                                   std::move(self),
                                   std::move(send),
                                   std::move(applied))) {}

TableReplica::~TableReplica() = default;

void TableReplica::SetMembers(const std::vector<MemberInfo>& live) {
  impl_->SetMembers(live);
}

void TableReplica::OnRevision(const MemberId& member, uint64_t revision) {
  impl_->OnRevision(member, revision);
}

void TableReplica::OnPull(const MemberId& from, const TablePull& pull) {
  impl_->OnPull(from, pull);
}

void TableReplica::OnData(const TableData& data) {
  impl_->OnData(data);
}

bool TableReplica::ApplyIfNewer(const Table& table) {
  return impl_->ApplyIfNewer(table);
}

void TableReplica::Tick() {
  impl_->Tick();
}

const Table& TableReplica::table() const {
  return impl_->table;
}

bool TableReplica::ready() const {
  return impl_->Ready();
}

bool TableReplica::is_watcher() const {
  return impl_->watcher;
}

uint64_t TableReplica::rejected_revision() const {
  return impl_->rejected_revision;
}

const std::string& TableReplica::rejected_reason() const {
  return impl_->rejected_reason;
}

}  // namespace chivedale
