// At the target scale a holder knows millions of ids, so a record stores a
// 128-bit hash instead of the text of the id, and the index of its member
// instead of the member id. Two ids with the same hash would be taken for one
// request. The digest and the ledger of the entry still distinguish them, so
// the second one is refused and never gets the answer of the first.
//
// Records are kept in registration order. An erased record keeps its slot until
// all records before it are gone. The index holds order numbers only. It is
// sharded so that the growth of a shard rehashes only a 256th of the ids at a
// time, since this happens on the control thread.
#include "chivedale/request_id_map.h"

#include <algorithm>
#include <utility>

#include "util/random.h"

namespace chivedale {
namespace {

constexpr uint64_t kSecondSeed = 0x9e3779b97f4a7c15;
constexpr size_t kFirstSlots = 16;
// Marks an empty slot; no record has this order number.
constexpr uint32_t kNone = 0;

}  // namespace

RequestIdMap::RequestIdMap(const util::Clock& clock, int64_t max_ids)
    : clock_(clock), max_ids_(max_ids) {}

uint64_t RequestIdMap::Insert(const RequestId& id, const Entry& entry) {
  Erase(id);
  Record record{};
  record.key = KeyOf(id);
  record.digest = entry.digest;
  record.registration = entry.registration;
  record.at = clock_.Now();
  record.repeatable = entry.repeatable;
  record.recording = entry.recording;
  record.granted = entry.granted;
  record.owner = OwnerOf(entry.entry);
  uint64_t order = first_order_ + records_.size();
  if (static_cast<uint32_t>(order) == kNone) {
    Record unused{};
    unused.at = record.at;
    unused.erased = true;
    records_.push_back(unused);
    ++order;
  }
  records_.push_back(record);
  AddToIndex(record.key, static_cast<uint32_t>(order));
  ++owners_[record.owner].ids;
  ++live_;
  while (static_cast<int64_t>(records_.size()) > max_ids_) {
    DropOldest();
  }
  return order;
}

void RequestIdMap::Erase(const RequestId& id) {
  if (Record* record = Lookup(id)) {
    EraseRecord(*record);
  }
}

void RequestIdMap::Assign(const RequestId& id, const MemberId& member) {
  Record* record = Lookup(id);
  if (record == nullptr) {
    return;
  }
  const uint32_t owner = OwnerOf(member);
  if (owner == record->owner) {
    return;
  }
  if (owners_[record->owner].member != member) {
    record->granted = false;
  }
  ++owners_[owner].ids;
  ReleaseOwner(std::exchange(record->owner, owner));
}

void RequestIdMap::SetRecorded(const RequestId& id, bool granted) {
  if (Record* record = Lookup(id)) {
    record->recording = false;
    record->granted = granted;
  }
}

void RequestIdMap::Orphan(const MemberId& member) {
  auto it = owner_by_member_.find(member);
  if (it != owner_by_member_.end()) {
    owners_[it->second].orphaned = true;
    owner_by_member_.erase(it);
  }
}

void RequestIdMap::Reclaim(const MemberId& member) {
  for (Owner& owner : owners_) {
    if (owner.member == member) {
      owner.orphaned = false;
    }
  }
}

void RequestIdMap::EraseRepeatableOf(const MemberId& member) {
  const bool any = std::any_of(owners_.begin(), owners_.end(),
                               [&member](const Owner& owner) {
                                 return owner.ids > 0 && owner.member == member;
                               });
  if (!any) {
    return;
  }
  for (Record& record : records_) {
    if (!record.erased && record.repeatable &&
        owners_[record.owner].member == member) {
      EraseRecord(record);
    }
  }
}

void RequestIdMap::EraseIf(
    const std::function<bool(uint64_t hash, bool repeatable)>& drop) {
  for (Record& record : records_) {
    if (!record.erased && drop(record.key.low, record.repeatable)) {
      EraseRecord(record);
    }
  }
}

void RequestIdMap::Expire(std::chrono::milliseconds age) {
  const util::TimePoint now = clock_.Now();
  while (!records_.empty() &&
         (records_.front().erased || now - records_.front().at >= age)) {
    DropOldest();
  }
}

std::optional<RequestIdMap::Entry> RequestIdMap::Find(
    const RequestId& id) const {
  const uint32_t order = OrderOf(KeyOf(id));
  if (order == kNone) {
    return std::nullopt;
  }
  const Record& record = At(order);
  const Owner& owner = owners_[record.owner];
  Entry entry;
  entry.entry = owner.member;
  entry.digest = record.digest;
  entry.registration = record.registration;
  entry.order = first_order_ + (order - static_cast<uint32_t>(first_order_));
  entry.repeatable = record.repeatable;
  entry.recording = record.recording;
  entry.orphaned = owner.orphaned;
  entry.granted = record.granted;
  return entry;
}

std::vector<MemberId> RequestIdMap::Entries() const {
  std::vector<MemberId> members;
  for (const Owner& owner : owners_) {
    if (owner.ids > 0) {
      members.push_back(owner.member);
    }
  }
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
  return members;
}

RequestIdMap::Key RequestIdMap::KeyOf(const RequestId& id) {
  return {util::Hash64(id.str()), util::Hash64(id.str(), kSecondSeed)};
}

// Differences of 32-bit order numbers are correct across wraparound, since far
// fewer than 2^32 records are kept.
RequestIdMap::Record& RequestIdMap::At(uint32_t order) {
  return records_[order - static_cast<uint32_t>(first_order_)];
}

const RequestIdMap::Record& RequestIdMap::At(uint32_t order) const {
  return records_[order - static_cast<uint32_t>(first_order_)];
}

uint32_t RequestIdMap::OrderOf(const Key& key) const {
  const Shard& shard = shards_[ShardOf(key)];
  if (shard.slots.empty()) {
    return kNone;
  }
  const size_t mask = shard.slots.size() - 1;
  size_t i = HomeOf(shard, key);
  while (shard.slots[i] != kNone && !(At(shard.slots[i]).key == key)) {
    i = (i + 1) & mask;
  }
  return shard.slots[i];
}

RequestIdMap::Record* RequestIdMap::Lookup(const RequestId& id) {
  const uint32_t order = OrderOf(KeyOf(id));
  return order == kNone ? nullptr : &At(order);
}

size_t RequestIdMap::HomeOf(const Shard& shard, const Key& key) {
  return (key.high / kShards) & (shard.slots.size() - 1);
}

void RequestIdMap::AddToIndex(const Key& key, uint32_t order) {
  Shard& shard = shards_[ShardOf(key)];
  if ((shard.used + 1) * 4 > shard.slots.size() * 3) {
    Grow(shard);
  }
  const size_t mask = shard.slots.size() - 1;
  size_t i = HomeOf(shard, key);
  while (shard.slots[i] != kNone) {
    i = (i + 1) & mask;
  }
  shard.slots[i] = order;
  ++shard.used;
}

void RequestIdMap::Grow(Shard& shard) {
  const std::vector<uint32_t> old = std::move(shard.slots);
  shard.slots.assign(std::max(kFirstSlots, old.size() * 2), kNone);
  const size_t mask = shard.slots.size() - 1;
  for (const uint32_t order : old) {
    if (order == kNone) {
      continue;
    }
    size_t i = HomeOf(shard, At(order).key);
    while (shard.slots[i] != kNone) {
      i = (i + 1) & mask;
    }
    shard.slots[i] = order;
  }
}

// Moves later entries of the probe sequence back, so that no lookup stops too
// early at the freed slot.
void RequestIdMap::RemoveFromIndex(const Key& key) {
  Shard& shard = shards_[ShardOf(key)];
  const size_t mask = shard.slots.size() - 1;
  size_t hole = HomeOf(shard, key);
  while (!(At(shard.slots[hole]).key == key)) {
    hole = (hole + 1) & mask;
  }
  for (size_t i = (hole + 1) & mask; shard.slots[i] != kNone;
       i = (i + 1) & mask) {
    const size_t home = HomeOf(shard, At(shard.slots[i]).key);
    if (((i - home) & mask) >= ((i - hole) & mask)) {
      shard.slots[hole] = shard.slots[i];
      hole = i;
    }
  }
  shard.slots[hole] = kNone;
  --shard.used;
}

void RequestIdMap::EraseRecord(Record& record) {
  RemoveFromIndex(record.key);
  ReleaseOwner(record.owner);
  record.erased = true;
  --live_;
}

void RequestIdMap::DropOldest() {
  Record& oldest = records_.front();
  if (!oldest.erased) {
    EraseRecord(oldest);
  }
  records_.pop_front();
  ++first_order_;
}

uint32_t RequestIdMap::OwnerOf(const MemberId& member) {
  const auto known = owner_by_member_.find(member);
  if (known != owner_by_member_.end()) {
    return known->second;
  }
  auto index = static_cast<uint32_t>(owners_.size());
  if (free_owners_.empty()) {
    owners_.emplace_back();
  } else {
    index = free_owners_.back();
    free_owners_.pop_back();
  }
  owners_[index] = {member, 0, false};
  owner_by_member_[member] = index;
  return index;
}

void RequestIdMap::ReleaseOwner(uint32_t index) {
  Owner& owner = owners_[index];
  if (--owner.ids > 0) {
    return;
  }
  if (!owner.orphaned) {
    owner_by_member_.erase(owner.member);
  }
  free_owners_.push_back(index);
}

}  // namespace chivedale
