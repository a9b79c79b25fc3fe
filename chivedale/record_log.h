// Records of non-idempotent requests in the store, written before the request
// starts. Each group has a sequence of segments, and a segment is only ever
// created if it is absent: the process that creates the next sequence number is
// the writer, and a stale writer finds out because its creation fails. Many ids
// share one write.
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
  kRecorded,   // new and now in the store: may be started
  kKnown,      // recorded earlier: must not be started again
  kStoreDown,  // not granted by any holder: certainly not run
  kNotHolder,  // not the writer of the group, or cannot confirm that it is
  // Not granted here, but possibly by another holder: only the store could
  // tell, and it does not answer.
  kUnconfirmed,
};

class RecordLog {
 public:
  struct Options {
    int record_groups = 8;
    Millis write_interval{100};
    Millis retention{3'600'000};
    // Records that are not written within this time are refused.
    Millis write_timeout{2'000};
    size_t max_segment_bytes = 524'288;
    // A new holder grants nothing for this long, so that an earlier holder that
    // is alive learns of the change before an id is granted here.
    Millis takeover_wait{1'000};
    // A longer gap between two calls is treated as a pause of this process.
    Millis pause_threshold{1'000};
    // Time for which another holder may exist after a sign of one. Partitions
    // between regions last minutes and happen several times a year.
    Millis unconfirmed_time{600'000};
  };

  RecordLog(const util::Clock& clock,
            util::Random& random,
            StorePort& store,
            Options options);
  ~RecordLog();

  // Commands.
  // Begins or stops holding a group. A new holder first reads all segments;
  // records wait for that.
  void Hold(int group);
  void Resign(int group);
  // Called when a member is suspect or lost, so another holder may exist. For
  // `unconfirmed_time`, failures are reported as kUnconfirmed instead of
  // kStoreDown.
  void MarkUnconfirmed();
  void Record(int group,
              const RequestId& request,
              std::function<void(RecordOutcome)> done);
  // Writes the waiting records, retries failed calls and deletes expired
  // segments.
  void Tick();

  // Queries.
  bool IsHeld(int group) const;
  // Whether the id is recorded; empty until the segments have been read.
  std::optional<bool> IsRecorded(int group, const RequestId& request) const;
  // Whether no other holder can have granted an id of the group unnoticed.
  bool IsConfirmed(int group) const;
  uint64_t writes() const;
  uint64_t records() const;
  // Number of reads that found a malformed segment. Its group stays unusable,
  // since the ids in it are unknown.
  uint64_t unreadable_segments() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RECORD_LOG_H_
