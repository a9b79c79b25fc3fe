// Record that a job was cancelled before it was stored, at the job's key in the
// store. A submission is conditional on the key's absence, so that one that
// takes effect after the cancellation was answered does not start the job.
//
//   Tombstone tombstone;
//   tombstone.written = clock.WallNow();
//   tombstone.AddCaller(caller);
//   write.puts.emplace_back(JobKey(id), EncodeTombstone(tombstone));
//   ...
//   if (tombstone.Covers(owner)) ...  // the submission is refused
#ifndef CELL_TOMBSTONE_H_
#define CELL_TOMBSTONE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/accounts.h"
#include "cell/types.h"

namespace chivedale::cell {

struct Tombstone {
  // Returns false if the record has too many callers.
  bool AddCaller(const Caller& caller);
  // Whether one of the callers may cancel a job of this owner.
  bool Covers(const Caller& owner) const;

  WallTime written{};
  // Without their policies.
  std::vector<Caller> callers;
};

std::string EncodeTombstone(const Tombstone& tombstone);
// Whether the bytes are a tombstone and not a job's record.
bool IsTombstone(const std::string& bytes);
// nullopt if the bytes are not a tombstone.
std::optional<Tombstone> DecodeTombstone(const std::string& bytes);

// The tombstones that a leader has read from the store.
class TombstoneSet {
 public:
  struct Removal {
    JobId id;
    int64_t revision = 0;
  };

  // `retention`: time for which a tombstone is kept.
  explicit TombstoneSet(Millis retention) : retention_(retention) {}

  // Commands.
  // `bytes` that cannot be read expire like others.
  void Add(const JobId& id,
           const std::string& bytes,
           int64_t revision,
           TimePoint now);
  // No effect if a later revision is known.
  void Remove(const JobId& id, int64_t revision);

  // Queries.
  size_t size() const { return tombstones_.size(); }
  // Up to `most` tombstones that are no longer needed: after the retention
  // time, or earlier if an account has too many, its oldest.
  std::vector<Removal> Expired(TimePoint now, WallTime wall, size_t most) const;

 private:
  struct Entry {
    Tombstone tombstone;
    int64_t revision = 0;
    TimePoint added{};
  };

  const Millis retention_;
  std::map<JobId, Entry> tombstones_;
};

// Limits the tombstones that an account may have a member write.
class TombstoneLimit {
 public:
  explicit TombstoneLimit(const Clock& clock) : clock_(clock) {}

  // Counts one more and returns true, or returns false if the account has used
  // up its number.
  bool Admit(const std::string& account);

 private:
  const Clock& clock_;
  std::map<std::string, std::deque<TimePoint>> written_;  // by account
};

}  // namespace chivedale::cell

#endif  // CELL_TOMBSTONE_H_
