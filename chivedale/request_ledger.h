// Requests of one entry and their attempts. A request is answered exactly once,
// and only its current attempt can answer it.
//
//   auto begun = ledger.Begin(submission);      // new or known
//   uint32_t attempt = ledger.BeginAttempt(id); // before each dispatch
//   ledger.Finish(id, result);                  // first result wins
#ifndef CHIVEDALE_REQUEST_LEDGER_H_
#define CHIVEDALE_REQUEST_LEDGER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

struct Submission {
  RequestId id;
  std::string kind;
  Resources size;
  util::TimePoint deadline{};
  Body payload;
  uint64_t digest = 0;
  bool repeatable = true;
};

// Result for the caller: `ok` with the payload, or an error.
struct RequestResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  Ran ran = Ran::kUnknown;
  std::string detail;
  Millis retry_after{0};
  Body payload;
  uint32_t attempts = 0;
};
using ResultCallback =
    std::function<void(const RequestId&, const RequestResult&)>;

enum class RequestPhase {
  kRegistering,
  kQueued,
  kDispatched,  // sent to an owner, no DispatchReply yet
  kRunning,
  kAttached,  // owned by another entry
  kFinished,
};

struct RequestState {
  Submission submission;
  RequestPhase phase = RequestPhase::kRegistering;
  uint32_t attempt = 0;  // 0: none yet
  MemberId owner;
  WorkerId worker;
  util::TimePoint accepted{};
  util::TimePoint dispatched{};
  util::TimePoint started{};
  util::TimePoint finished{};
  bool cancel_requested = false;
  // Whether the holder of its group granted the id to this entry.
  bool granted = false;
  // Whether an earlier attempt may have run.
  bool may_have_run = false;
  std::optional<RequestResult> result;
};

class RequestLedger {
 public:
  struct Options {
    Millis answer_retention{600'000};
    int64_t max_retained_bytes = 32 << 20;
    int64_t max_open = 100'000;
  };
  enum class BeginOutcome { kNew, kOpen, kFinished, kDigestDiffers };

  RequestLedger(const util::Clock& clock, Options options);

  // Commands.
  // Throws Error(kOverloaded) above max_open.
  BeginOutcome Begin(const Submission& submission);
  // Reopens an ended request for a resubmission that may safely run. Attempt
  // numbers continue.
  void Reopen(const Submission& submission);
  // Calls `done` exactly once, when the request ends or immediately if it has
  // ended. Throws Error(kNotFound).
  void OnFinish(const RequestId& id, ResultCallback done);
  // Starts the next attempt and returns its number for the Dispatch.
  uint32_t BeginAttempt(const RequestId& id);
  void SetPhase(const RequestId& id, RequestPhase phase);
  void SetPlace(const RequestId& id,
                const MemberId& owner,
                const WorkerId& worker);
  // Returns false and drops the result if the request had already ended.
  bool Finish(const RequestId& id, RequestResult result);
  // Evicts ended requests past the retention, and the oldest ones above the
  // byte limit.
  void Expire();

  // Queries. Return null if the request is unknown.
  const RequestState* Find(const RequestId& id) const;
  RequestState* FindMutable(const RequestId& id);
  // Returns the open request whose current attempt is `key`.
  RequestState* FindCurrent(const TaskKey& key);
  std::vector<RequestId> OpenIds() const;
  int64_t open() const;
  int64_t retained_bytes() const;

 private:
  struct Entry {
    RequestState state;
    std::vector<ResultCallback> callbacks;
  };
  const util::Clock& clock_;
  const Options options_;
  std::unordered_map<RequestId, Entry> requests_;
  // Ended requests by time of their end; those before `ended_begin_` have been
  // evicted.
  std::vector<RequestId> ended_;
  size_t ended_begin_ = 0;
  int64_t open_ = 0;
  int64_t retained_bytes_ = 0;
};

TaskId TaskOfRequest(const RequestId& request);
// Returns an empty id if the task does not belong to a request.
RequestId RequestOfTask(const TaskId& task);

}  // namespace chivedale

#endif  // CHIVEDALE_REQUEST_LEDGER_H_
