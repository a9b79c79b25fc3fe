// Records of non-idempotent requests in the store, written before the start.
// Per group a sequence of segments, each created only when absent: whoever
// creates the next sequence number is the writer, and a stale one finds out by
// losing. Many ids go into one write.
#ifndef CHIVEDALE_RECORD_LOG_H_
#define CHIVEDALE_RECORD_LOG_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "chivedale/ids.h"
#include "chivedale/ports.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

enum class RecordOutcome {
  kRecorded,   // new, and now in the store: it may be started
  kKnown,      // recorded earlier: never start it again
  kStoreDown,  // certainly or possibly not in the store: must not be started
  kNotHolder,  // this process is not the group's writer
};

class RecordLog {
 public:
  struct Options {
    int record_groups = 8;
    Millis write_interval{100};
    Millis retention{3'600'000};
    // A record that could not be written in this time is refused.
    Millis write_timeout{2'000};
    size_t max_segment_bytes = 512 * 1024;
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
  void Record(int group,
              const RequestId& request,
              std::function<void(RecordOutcome)> done);
  // Writes due batches, retries, expires old segments.
  void Tick();

  // Queries.
  bool IsHeld(int group) const;
  uint64_t writes() const;
  uint64_t records() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_RECORD_LOG_H_
