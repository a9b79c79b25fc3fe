// Stores submitted jobs and cancels. What arrives while one write is under way
// shares the next one, so writes follow time and not the number of jobs.
//
//   JobIntake intake(clock, store, defer);
//   intake.Submit(id, EncodeJobRecord(record), deadline, [](SubmitResult r) {
//   ... });
//
// A job is refused only when it certainly is not stored by this submission: a
// write without an answer is followed up until its outcome is known or the
// caller's time is over.
#ifndef CELL_JOB_INTAKE_H_
#define CELL_JOB_INTAKE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "cell/job.h"
#include "cell/leader.h"
#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class SubmitResult {
  kAccepted,
  kNotStored,  // certain: the job is not accepted by this submission
  kUnknown,
};
enum class CancelResult { kCancelled, kNoSuchJob, kUnavailable };

class JobIntake {
 public:
  // The revision is that of the job in the store; 0 when it is not known, or
  // when an earlier submission stored it.
  using OnSubmit = std::function<void(SubmitResult, int64_t revision)>;
  using OnCancel = std::function<void(CancelResult)>;

  // `store_down`: the store has not answered for a while.
  JobIntake(const Clock& clock,
            StorePort& store,
            Defer defer,
            std::function<bool()> store_down);
  ~JobIntake();

  // Commands.
  void Submit(const JobId& id,
              const std::string& record,
              TimePoint deadline,
              OnSubmit done);
  void Cancel(const JobId& id, TimePoint deadline, OnCancel done);

  // Queries.
  // The latest time the store answered.
  TimePoint last_answer() const { return last_answer_; }
  size_t waiting() const { return queue_.size(); }

 private:
  struct Entry {
    std::string key;
    std::string value;
    bool conditional = true;  // only when the key is absent
    // An earlier write of it had no answer and may still be done.
    bool uncertain = false;
    TimePoint deadline{};
    TimePoint unsent_until{};  // while the store is down
    OnSubmit done;
    // No write of it was sent, and its absence is an answer.
    bool refusable() const { return conditional && !uncertain; }
  };

  void Enqueue(Entry entry);
  void WriteNext();
  void OnWritten(std::vector<Entry> batch, const StoreWriteReply& reply);
  void Requeue(std::vector<Entry> batch, bool uncertain);
  void RetryLater();
  void Expire();
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
  const Defer defer_;
  const std::function<bool()> store_down_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  std::deque<Entry> queue_;
  bool write_in_flight_ = false;
  bool retry_pending_ = false;
  TimePoint last_answer_{};
};

}  // namespace chivedale::cell

#endif  // CELL_JOB_INTAKE_H_
