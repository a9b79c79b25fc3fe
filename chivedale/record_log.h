// Records of non-idempotent requests in the store, written before the start.
// Per group a sequence of segments, each created only when absent: whoever
// creates the next sequence number is the writer, and a stale one finds out by
// losing. Many ids go into one write.
#ifndef CHIVEDALE_RECORD_LOG_H_
#define CHIVEDALE_RECORD_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "chivedale/ids.h"
#include "chivedale/ports.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

enum class RecordOutcome {
  kRecorded,   // new, and now in the store: it may be started
  kKnown,      // recorded earlier: never start it again
  kStoreDown,  // not granted by any holder: certainly not run
  kNotHolder,  // not the group's writer, or cannot confirm that it still is
  // Not granted here, but another holder may have granted it: the store does
  // not answer, and only it could tell.
  kUnconfirmed,
};

class RecordLog {
 public:
  struct Options {
    int record_groups = 8;
    Millis write_interval{100};
    Millis retention{3'600'000};
    // A record that could not be written in this time is refused.
    Millis write_timeout{2'000};
    size_t max_segment_bytes = 524'288;
    // A new holder grants nothing for this long, so that an earlier holder
    // that is alive has heard of the change before an id is granted here.
    Millis takeover_wait{1'000};
    // A gap between two calls above this counts as a pause of this process.
    Millis pause_limit{1'000};
    // Partitions between regions last minutes, several times a year.
    Millis doubt_time{600'000};
  };

  RecordLog(const util::Clock& clock,
            util::Random& random,
            StorePort& store,
            Options options);
  ~RecordLog();

  // Commands.
  // Begins or ends holding a group. A new holder reads all segments first;
  // records wait for that.
  void Hold(int group);
  void Resign(int group);
  // Another holder may exist: a member is suspect or lost. For `doubt_time`
  // failures are kUnconfirmed instead of kStoreDown.
  void Doubt();
  void Record(int group,
              const RequestId& request,
              std::function<void(RecordOutcome)> done);
  // Writes due batches, retries, expires old segments.
  void Tick();

  // Queries.
  bool IsHeld(int group) const;
  // Whether the id is recorded; empty while the segments are unread.
  std::optional<bool> IsRecorded(int group, const RequestId& request) const;
  // True when no other holder can have granted an id of the group unseen.
  bool IsConfirmed(int group) const;
  uint64_t writes() const;
  uint64_t records() const;
  // Reads that found a segment that is not in the expected form. Its group
  // stays unusable, since the ids in it are unknown.
  uint64_t unreadable_segments() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RECORD_LOG_H_
