// Whether the table in force is known to be recent enough to accept API keys: a
// key that was revoked must be accepted by no member after a bound.
//
//   TableFreshness freshness(clock, log, bound);
//   freshness.OnApplied(table.version);
//   freshness.OnShown(version, as_of);  // a read, or another member's answer
//   if (!freshness.IsConfirmed()) ...   // refuse calls with a key
//
// Times are Clock::SinceBoot(), which counts suspension of the VM.
#ifndef CELL_TABLE_FRESHNESS_H_
#define CELL_TABLE_FRESHNESS_H_

#include <cstdint>
#include <optional>

#include "cell/types.h"
#include "chivedale/event_log.h"

namespace chivedale::cell {

class TableFreshness {
 public:
  // `bound`: from the acknowledgement of a table to the time after which no
  // member accepts a key that it revoked; 0: keys need no confirmation.
  TableFreshness(const Clock& clock, EventLog& log, Millis bound);

  // Commands.
  // The table of this version is in force.
  void OnApplied(int64_t version);
  // The store's newest table had this version at `as_of` or later. For a read
  // that is the time at which it was sent: what changed after that may be
  // missing in the answer.
  void OnShown(int64_t version, Duration as_of);
  // The store's newest table cannot be applied, so that the one in force is not
  // the newest. What was shown as of an earlier time no longer counts.
  void OnInvalid();
  // Logs the loss and the return of the confirmation.
  void Report();

  // Queries.
  bool enforced() const { return bound_ > Millis(0); }
  // True if the confirmation is recent enough, or not needed.
  bool IsConfirmed() const;
  // Time since the confirmation; nullopt if there is none.
  std::optional<Duration> Age() const;
  // A newer table than the one in force is known to exist.
  bool IsBehind() const { return newest_shown_ > version_; }
  int64_t version() const { return version_; }
  // Age above which another source of confirmation is used.
  Duration MaxNormalAge() const { return bound_ / 2; }

 private:
  const Clock& clock_;
  EventLog& log_;
  const Millis bound_;
  int64_t version_ = 0;
  int64_t newest_shown_ = 0;
  std::optional<Duration> confirmed_as_of_;
  Duration invalid_at_{0};  // when the last invalid table was read
  bool reported_lost_ = false;
  Duration lost_at_{0};
};

}  // namespace chivedale::cell

#endif  // CELL_TABLE_FRESHNESS_H_
