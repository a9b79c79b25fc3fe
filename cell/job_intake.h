// Stores submitted jobs and cancellations. Requests that arrive while a write
// is in flight are batched into the next one, so the write rate is bounded
// independently of the number of jobs.
//
//   JobIntake intake(clock, store, run_after, store_down);
//   intake.Submit(id, EncodeJobRecord(record), deadline,
//                 [](SubmitResult result, int64_t revision) { ... });
//
// A job is refused only if it is known not to be stored by this submission. An
// unanswered write is retried until its outcome is known or the caller's
// deadline has passed. A cancellation of a job that is not stored leaves a
// Tombstone, so that no write of its submission can take effect later.
#ifndef CELL_JOB_INTAKE_H_
#define CELL_JOB_INTAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/job.h"
#include "cell/leader.h"
#include "cell/ports.h"
#include "cell/tombstone.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class SubmitResult {
  kAccepted,
  kNotStored,  // definite: this submission does not store the job
  kUnknown,
  kInvalid,       // definite, and so would be any other submission of the job
  kOtherAccount,  // definite: a job of another account has the ID
  kCancelled,     // definite: the job was cancelled before it was stored
};
enum class CancelResult {
  kCancelled,
  kNoSuchJob,  // and no submission sent before will store it
  kUnavailable,
  kUnknown,       // a write of the cancellation may have taken effect
  kOtherAccount,  // not cancelled: the job is of another account
};

class JobIntake {
 public:
  // `revision`: store revision of the job; 0 if it is not known or if an
  // earlier submission stored the job.
  using OnSubmit = std::function<void(SubmitResult, int64_t revision)>;
  using OnCancel = std::function<void(CancelResult)>;

  // `store_down`: returns true if the store has not answered for a while.
  // `unsent_wait`: see OutagePolicy.
  JobIntake(const Clock& clock,
            StorePort& store,
            RunAfter run_after,
            std::function<bool()> store_down,
            Millis unsent_wait);
  ~JobIntake();

  // Commands.
  void Submit(const JobId& id,
              const std::string& record,
              TimePoint deadline,
              OnSubmit done);
  void Cancel(const JobId& id,
              const Caller& caller,
              TimePoint deadline,
              OnCancel done);

  // Queries.
  // Time of the store's latest answer.
  TimePoint last_answer() const { return last_answer_; }
  size_t waiting() const { return queue_.size(); }

 private:
  struct Entry;
  using PresentItems = std::map<std::string, const StoreItem*>;  // by key
  // What is written, and what follows if a condition does not hold.
  struct EntryKind {
    // While the store is down, an entry that was not sent may be refused.
    bool refusable = false;
    // Answers an entry whose conditions do not hold. Returns false if it is to
    // be written again.
    bool (JobIntake::*resolve)(Entry& entry, const PresentItems& present);
  };
  static const EntryKind submission_kind;
  static const EntryKind cancellation_kind;

  struct Entry {
    const EntryKind* kind = nullptr;
    std::string key;
    std::string value;
    // Keys and their expected revisions; 0: absent.
    std::vector<std::pair<std::string, int64_t>> conditions;
    // An earlier write of the entry was not answered and may still take effect.
    bool uncertain = false;
    TimePoint deadline{};
    // While the store is down, the entry is kept unsent until this time and
    // then refused.
    TimePoint unsent_until{};
    OnSubmit done;
    std::function<void()> start_over;  // of a cancellation
  };

  bool ResolveSubmission(Entry& entry, const PresentItems& present);
  bool ResolveCancellation(Entry& entry, const PresentItems& present);
  // Reads the job and writes the cancellation or tombstone.
  void TryCancel(const JobId& id,
                 const Caller& caller,
                 TimePoint deadline,
                 const OnCancel& done);
  void WriteCancellation(Entry entry,
                         const JobId& id,
                         const Caller& caller,
                         const OnCancel& done,
                         CancelResult if_stored);
  // Adds the caller to the record that was read, if any, and writes it.
  void WriteTombstone(const JobId& id,
                      const Caller& caller,
                      const StoreItem* record,
                      TimePoint deadline,
                      const OnCancel& done);

  // No write of the entry can have taken effect, so it may be refused.
  bool CanRefuse(const Entry& entry) const;
  // Whether an earlier submission with the key is being written, or was written
  // without an answer a short time ago. Known only where submissions are
  // refused at once.
  bool MayBeStored(const std::string& key) const;
  void NoteUnanswered(const std::vector<Entry>& batch);
  // Refuses what waits behind a write that is not answered.
  void CheckLater();

  // Keys of its conditions and the key it writes.
  static std::vector<std::string> KeysOf(const Entry& entry);
  void Enqueue(Entry entry);
  void WriteNext();
  void OnWritten(std::vector<Entry> batch, const StoreWriteReply& reply);
  // Puts the entries at the front of the queue, in order.
  void ReturnToQueue(std::vector<Entry> entries);
  // Likewise after a failed write, to be repeated after a delay.
  void Requeue(std::vector<Entry> batch, bool uncertain);
  void RetryLater();
  void ExpireEntries();
  template <typename F>
  auto Guard(F f) {
    return [alive = std::weak_ptr<bool>(alive_), f](auto&&... args) {
      if (alive.lock()) {
        f(std::forward<decltype(args)>(args)...);
      }
    };
  }

  const Clock& clock_;
  StorePort& store_;
  const RunAfter run_after_;
  const std::function<bool()> store_down_;
  const Millis unsent_wait_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::deque<Entry> queue_;
  bool write_in_flight_ = false;
  bool retry_pending_ = false;
  bool check_pending_ = false;
  std::set<std::string> keys_in_flight_;
  TombstoneLimit tombstone_limit_;
  // Until when an unanswered write of the key may take effect.
  std::map<std::string, TimePoint> unanswered_until_;
  // Entries of the next write; fewer after a write was rejected as invalid, so
  // that an entry that cannot be stored does not hold up the others.
  size_t max_batch_ = 0;
  TimePoint last_answer_{};
};

}  // namespace chivedale::cell

#endif  // CELL_JOB_INTAKE_H_
