// Request ids known to a holder, indexed by id, entry and age. Bounded: keeps
// the last `max_ids` registrations, about 60 bytes each.
//
//   RequestIdMap ids(clock, 2'000'000);
//   uint64_t order = ids.Insert(id, entry);
//   if (std::optional<RequestIdMap::Entry> known = ids.Find(id)) ...
#ifndef CHIVEDALE_REQUEST_ID_MAP_H_
#define CHIVEDALE_REQUEST_ID_MAP_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "chivedale/ids.h"
#include "util/clock.h"

namespace chivedale {

class RequestIdMap {
 public:
  struct Entry {
    MemberId entry;
    uint64_t digest = 0;
    uint64_t registration = 0;
    uint64_t order = 0;
    bool repeatable = true;
    // The record of this id in the store is being written; `entry` may start
    // the request only afterwards.
    bool recording = false;
    // The entry is gone and no member has adopted the id.
    bool orphaned = false;
    // `registration` was answered with kNew after its record was written.
    bool granted = false;
  };

  RequestIdMap(const util::Clock& clock, int64_t max_ids);

  // Commands.
  // Returns the order number of the entry. Evicts the oldest ids above the
  // bound.
  uint64_t Insert(const RequestId& id, const Entry& entry);
  void Erase(const RequestId& id);
  // Assigns a known id to `member`. If that is not its current member, the
  // first answer is not repeated to it.
  void Assign(const RequestId& id, const MemberId& member);
  // Marks a known id as recorded.
  void SetRecorded(const RequestId& id, bool granted);
  // Marks all ids of `member` as orphaned.
  void Orphan(const MemberId& member);
  // Assigns the orphaned ids of `member` that nobody has adopted back to it.
  void Reclaim(const MemberId& member);
  // Visits all ids, like EraseIf.
  void EraseRepeatableOf(const MemberId& member);
  // `hash` is util::Hash64 of the id.
  void EraseIf(const std::function<bool(uint64_t hash, bool repeatable)>& drop);
  void Expire(std::chrono::milliseconds age);

  // Queries.
  std::optional<Entry> Find(const RequestId& id) const;
  // Returns the members that have at least one id.
  std::vector<MemberId> Entries() const;
  int64_t size() const { return live_; }

 private:
  static constexpr size_t kShards = 256;

  struct Key {
    uint64_t low = 0;
    uint64_t high = 0;

    friend bool operator==(const Key& a, const Key& b) {
      return a.low == b.low && a.high == b.high;
    }
  };
  struct Record {
    Key key;
    uint64_t digest = 0;
    uint64_t registration = 0;
    util::TimePoint at{};
    uint32_t owner = 0;  // index into owners_
    bool erased : 1;
    bool repeatable : 1;
    bool recording : 1;
    bool granted : 1;
  };
  // The ids that one member registered, either while alive or before its death.
  struct Owner {
    MemberId member;
    int64_t ids = 0;
    bool orphaned = false;
  };
  // Hash table with open addressing and linear probing over the low 32 bits of
  // the order numbers.
  struct Shard {
    std::vector<uint32_t> slots;
    size_t used = 0;
  };

  static Key KeyOf(const RequestId& id);
  Record& At(uint32_t order);
  const Record& At(uint32_t order) const;
  // Returns the low 32 bits of the order number, or 0 if the id is unknown.
  uint32_t OrderOf(const Key& key) const;
  Record* Lookup(const RequestId& id);
  void AddToIndex(const Key& key, uint32_t order);
  void RemoveFromIndex(const Key& key);
  void Grow(Shard& shard);
  static size_t HomeOf(const Shard& shard, const Key& key);
  static size_t ShardOf(const Key& key) { return key.high % kShards; }
  void EraseRecord(Record& record);
  void DropOldest();
  uint32_t OwnerOf(const MemberId& member);
  void ReleaseOwner(uint32_t owner);

  const util::Clock& clock_;
  const int64_t max_ids_;
  // In registration order; the first record has order number `first_order_`.
  std::deque<Record> records_;
  uint64_t first_order_ = 1;
  int64_t live_ = 0;
  std::array<Shard, kShards> shards_;
  std::vector<Owner> owners_;
  std::vector<uint32_t> free_owners_;
  // Index in owners_ under which new ids of a member are counted.
  std::unordered_map<MemberId, uint32_t> owner_by_member_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_REQUEST_ID_MAP_H_
