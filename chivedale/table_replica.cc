// The two lowest-ranked members of each data centre wait on the store, so its
// load grows with data centres and not with members. All others learn of a new
// revision by heartbeat and pull it from the member that told. A pull without
// an answer is repeated at another member that is ahead, and after some tries
// at the store, so no single member can hold a replica back.
//
// Only the revision in the table counts, not the store's: a store that was
// restored from a copy cannot move a replica backwards.
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
// A waiting watch counts as one call of the store.
constexpr Millis kWatchWait{5'000};
// Watchers read the table this often also without an event.
constexpr Millis kAntiEntropy{60'000};
constexpr Millis kFirstBackoff{200};
constexpr Millis kLongestBackoff{1'600};
// Pulls from peers without an answer before the store is asked too.
constexpr int kPeerTries = 2;
// A process without a table asks the store itself after this long.
constexpr Millis kFirstTableWait{1'000};
// Deltas are made from these earlier revisions; at 51,000 changes a day a
// replica that is 16 revisions behind missed about 30 s.
constexpr size_t kBasesKept = 16;

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
    for (auto it = heard.begin(); it != heard.end();) {
      it = members.count(it->first) == 0 ? heard.erase(it) : std::next(it);
    }
    Tick();
  }

  void OnRevision(const MemberId& member, uint64_t revision) {
    if (member == self.id) {
      return;
    }
    heard[member] = revision;
    if (revision <= table.revision || pull_until > clock.Now()) {
      return;
    }
    Pull(member);
  }

  // A pull is open until `pull_until`; then Tick() tries the next source.
  void Pull(const MemberId& member) {
    pull_until = clock.Now() + backoff;
    backoff = std::min(kLongestBackoff, backoff * 2);
    pulled_from = member;
    ++tries;
    TablePull pull;
    pull.have_revision = want_whole ? 0 : table.revision;
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

  // Null when the base is not known here.
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
      return;  // Tick() pulls again from the present revision.
    }
    try {
      Table next = data.base_revision == 0 ? ParseTable(data.json)
                                           : ApplyTableDelta(table, data.json);
      if (next.revision != data.revision) {
        throw Error(ErrorKind::kBadTable,
                    "table: revision " + std::to_string(next.revision) +
                        " came as " + std::to_string(data.revision));
      }
      PutInForce(std::move(next));
    } catch (const Error& error) {
      want_whole = data.base_revision != 0;
      Reject(data.revision, error.what());
    }
  }

  bool Offer(const Table& offered) {
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
    if (bases.size() > kBasesKept) {
      bases.pop_front();
    }
    table = std::move(next);
    deltas.clear();
    whole.clear();
    want_whole = false;
    tries = 0;
    backoff = kFirstBackoff;
    pull_until = util::TimePoint();
    applied(table);
  }

  void Reject(uint64_t revision, const std::string& reason) {
    rejected_revision = revision;
    rejected_reason = reason;
  }

  void TakeText(const std::string& text) {
    try {
      Table next = ParseTable(text);
      PutInForce(std::move(next));
    } catch (const Error& error) {
      Reject(RevisionIn(text), error.what());
    }
  }

  // The revision that an invalid text names, else the next one.
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
    if (watcher && !watching && now >= next_watch && has_position) {
      Watch();
    }
  }

  // Another member that is ahead; members nearby first.
  void PullNext() {
    const MemberId* best = nullptr;
    int best_rank = 0;
    for (const auto& [id, revision] : heard) {
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
    read_wanted = read_wanted || tries >= kPeerTries;
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
    next_anti_entropy = now + kAntiEntropy;
    has_position = true;
    if (result.entries.empty()) {
      return;
    }
    const StoreEntry& entry = result.entries.front();
    position = std::max(position, entry.revision);
    TakeText(entry.value);
  }

  void Watch() {
    watching = true;
    store.Watch(kTableKey, position, kWatchWait,
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
    // The prefix also covers the history; only its revisions are of use.
    for (const StoreEntry& entry : result.entries) {
      position = std::max(position, entry.revision);
    }
    for (const StoreEntry& entry : result.entries) {
      if (entry.key == kTableKey) {
        TakeText(entry.value);
      }
    }
    if (result.entries.empty()) {
      position = std::max(position, result.revision);
    }
    Tick();
  }

  // Spread by the member's id, so that members do not return all at once.
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
  // Texts for pulls, made when first asked for.
  std::string whole;
  std::map<uint64_t, std::string> deltas;
  std::map<MemberId, MemberInfo> members;
  std::map<MemberId, uint64_t> heard;
  bool watcher = false;
  // Pull from a peer.
  util::TimePoint pull_until{};
  Millis backoff = kFirstBackoff;
  MemberId pulled_from;
  int tries = 0;
  bool want_whole = false;
  // Calls of the store.
  bool reading = false;
  bool watching = false;
  bool read_wanted = false;
  bool has_position = false;
  uint64_t position = 0;
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

bool TableReplica::Offer(const Table& table) {
  return impl_->Offer(table);
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
