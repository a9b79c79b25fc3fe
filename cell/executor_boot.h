// State of one boot of an executor as seen by a leader. An executor that starts
// again keeps its ID and nothing else: its clock and counts begin anew, and it
// may be of another kind. So this is replaced as a whole, and nothing learned
// from one boot is used for the next one.
//
//   executor.boot = ExecutorBoot(number, reply.incarnation);
//   executor.boot.OnClock(reply.executor_clock, sent, now);
//   executor.boot.CountUnknownLeases(longest_lease, latest_deadline);
//   if (now >= executor.boot.LeasesExpiredBy()) ...
//
// A call that was meant for an earlier boot may be executed by this one. Its
// deadline is on another clock, so that it may grant as long a lease as an
// executor accepts, to all that runs there, and leave no other trace. A boot is
//   - adopted once it has listed its runs to this leader,
//   - confirmed once it has answered a call with a higher fence than that of
//   all
//     calls sent to earlier boots, so that it rejects these; it gets tasks
//     then,
//   - settled once the longest lease that they may have granted has expired.
#ifndef CELL_EXECUTOR_BOOT_H_
#define CELL_EXECUTOR_BOOT_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "cell/executor_health.h"
#include "cell/types.h"

namespace chivedale::cell {

// Maximum time after which an executor carries out a call that it has not
// answered.
inline constexpr Millis kMaxCallDelay{12'000};

// Upper bound of the time in which an executor's clock, which may be 2% slow,
// advances by `lease`.
Duration MaxTimeOf(Millis lease);

// An end that must not be acknowledged before its effect on its job's progress
// is stored.
struct UnstoredEnd {
  int64_t number = 0;
  JobId job;           // empty: no effect
  int64_t change = 0;  // see ProgressQueue
};

class ExecutorBoot {
 public:
  // `boot_number` is unique among the boots known to one leader.
  ExecutorBoot(size_t boot_number, int64_t boot_incarnation)
      : number(boot_number), incarnation(boot_incarnation) {}

  // Commands.
  // The answer to a call sent at `sent` showed the clock.
  void OnClock(Millis clock, TimePoint sent, TimePoint now);
  // Records that a lease or start order with this deadline, on this boot's
  // clock, was sent.
  void OnDeadlineSent(Millis until);
  // Records that calls of earlier leaders, or to earlier boots, may have
  // granted leases of up to `longest` until the clock was last read.
  // `latest_deadline`: of these calls; zero if there were none.
  void CountUnknownLeases(Millis longest,
                          Millis latest_deadline = Millis::max());
  // Likewise, and that such calls may still be executed.
  void CountLateLeases(Millis longest, Millis latest_deadline = Millis::max());
  // A list of the executors' entries that began then has shown this boot or
  // none, or else another one. `gap`: entries may have come and gone unlisted
  // since the list before.
  void OnEntryListed(TimePoint begin, bool other_boot, bool gap);

  // Queries.
  bool clock_known() const { return clock_known_; }
  // Estimate of the executor's clock.
  Millis ClockAt(TimePoint now) const;
  // Likewise on the slowest permitted clock.
  Millis EarliestClockAt(TimePoint now) const;
  // Whether this boot's clock may show `clock` in an answer, just received, to
  // a call sent at `sent`.
  bool MayShow(Millis clock, TimePoint sent, TimePoint now) const;
  // Latest time at which this boot is known to have run.
  TimePoint alive_at() const { return alive_at_; }
  // When an answer last showed the clock.
  TimePoint clock_read_at() const { return clock_at_; }
  // Latest deadline on this clock that any call may have granted.
  Millis max_deadline() const;
  // Time by which all unknown leases have expired, as LeasesExpiredBy().
  TimePoint UnknownLeasesExpiredBy() const;
  // Time by which every lease and start order has expired, even on the slowest
  // permitted clock.
  TimePoint LeasesExpiredBy() const;
  // Whether only leases that this leader has granted can be left.
  bool IsSettled(TimePoint now) const;
  // Whether no other boot has registered since this one was known to run and
  // before `time`.
  bool IsOnlyBootUntil(TimePoint time) const;

  size_t number;
  int64_t incarnation = 0;  // 0: unknown
  // Its runs are known to this leader: it has answered a hold call since it was
  // last new or unresponsive.
  bool adopted = false;
  // It rejects all calls that were sent to earlier boots or by earlier leaders.
  bool confirmed = false;
  ExecutorHealth health;
  TimePoint last_answer{};         // to a hold call
  TimePoint answered_hold_sent{};  // when that call was sent
  int64_t ends_read = 0;           // highest end number processed
  // Highest end number whose effect on job progress is stored.
  int64_t ends_stored = 0;
  // Highest end number whose acknowledgement the executor has received.
  int64_t ends_confirmed = 0;
  // Ends that have been processed and whose effect may not be stored, in order.
  std::deque<UnstoredEnd> unstored_ends;
  // Since when it lists as many ends as one answer holds; zero: it lists fewer.
  TimePoint ends_full_since{};
  bool ends_full_reported = false;
  std::string unreadable_row;  // of its last answer, already logged

 private:
  // Time by which a lease until `deadline` has expired, even on the slowest
  // permitted clock.
  TimePoint ExpiredBy(Millis deadline) const;

  bool clock_known_ = false;
  Millis clock_{0};
  TimePoint clock_sent_{};  // when the call was sent that showed the clock
  TimePoint clock_at_{};
  TimePoint alive_at_{};
  Millis sent_deadline_{0};
  Millis unknown_deadline_{0};
  // The lists between these have shown no other boot.
  TimePoint only_boot_since_{};
  TimePoint only_boot_until_{};
  bool other_boot_listed_ = false;
};

}  // namespace chivedale::cell

#endif  // CELL_EXECUTOR_BOOT_H_
