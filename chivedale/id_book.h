// The ids that a holder knows, by id, by entry and by age. Bounded.
#ifndef CHIVEDALE_ID_BOOK_H_
#define CHIVEDALE_ID_BOOK_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "util/clock.h"

namespace chivedale {

class IdBook {
 public:
  struct Entry {
    MemberId entry;
    uint64_t digest = 0;
    uint64_t registration = 0;
    uint64_t order = 0;
    bool repeatable = true;
    // The record is being written; `entry` may start it only after that.
    bool recording = false;
    // The entry is gone and no member has adopted the id.
    bool orphaned = false;
    // What the first registration got, for a repeated send of it.
    std::optional<RegisterReply> first_reply;
  };

  IdBook(const util::Clock& clock, int64_t max_ids)
      : clock_(clock), max_ids_(max_ids) {}

  // Commands.
  // Returns the entry's order number. Drops the oldest ids over the bound.
  uint64_t Insert(const RequestId& id, Entry entry);
  void Erase(const RequestId& id);
  // Makes `member` responsible for a known id.
  void Assign(const RequestId& id, const MemberId& member);
  void Expire(Millis age);

  // Queries.
  // Null when unknown.
  Entry* Find(const RequestId& id);
  std::vector<RequestId> OfEntry(const MemberId& member) const;
  // Members with at least one id.
  std::vector<MemberId> Entries() const;
  const std::unordered_map<RequestId, Entry>& entries() const { return ids_; }
  int64_t size() const { return static_cast<int64_t>(ids_.size()); }

 private:
  struct Aged {
    RequestId id;
    uint64_t order = 0;
    util::TimePoint at{};
  };

  void DropOldest();
  void Unlink(const RequestId& id, const MemberId& member);

  const util::Clock& clock_;
  const int64_t max_ids_;
  std::unordered_map<RequestId, Entry> ids_;
  std::unordered_map<MemberId, std::unordered_set<RequestId>> by_entry_;
  std::deque<Aged> ages_;
  uint64_t last_order_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ID_BOOK_H_
