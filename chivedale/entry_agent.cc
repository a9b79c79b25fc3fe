// "Not run" is a statement about the request, not about one submission of it:
// an earlier submission may have run through another entry. Before an id that
// is new here is refused, the holder of its group is therefore asked whether
// the id is known.
#include "chivedale/entry_agent.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "util/random.h"

namespace chivedale {
namespace {

RequestResult ErrorResult(ErrorKind kind,
                          Ran ran,
                          const std::string& detail,
                          Millis retry_after = Millis(0)) {
  RequestResult result;
  result.error = kind;
  result.ran = ran;
  result.detail = detail;
  result.retry_after = retry_after;
  return result;
}

RequestResult NotFoundResult(const RequestId& id) {
  return ErrorResult(ErrorKind::kNotFound, Ran::kUnknown,
                     "request '" + id.str() + "' is not known");
}

RequestResult ResultOf(const AttachAnswer& answer) {
  RequestResult result;
  result.ok = answer.ok;
  result.error = answer.error;
  result.ran = answer.ran;
  result.detail = answer.detail;
  result.payload = answer.payload;
  result.attempts = answer.attempt;
  return result;
}

RequestView ViewOf(const MemberId& entry, const AttachAnswer& answer) {
  RequestView view;
  view.id = answer.request;
  view.kind = answer.kind;
  view.attempt = answer.attempt;
  view.worker = answer.worker;
  view.entry = entry;
  view.phase = answer.ended ? RequestPhase::kFinished : RequestPhase::kRunning;
  if (answer.ended) {
    view.result = ResultOf(answer);
  }
  return view;
}

// Whether a later submission of this id may run: the result is retryable, and
// the request has not run or is idempotent and was not attempted by this entry,
// whatever happened to it at an earlier entry.
bool MayBeResubmitted(const RequestState& state, const RequestResult& result) {
  const bool safe_to_run = result.ran == Ran::kNo ||
                           (state.submission.repeatable && state.attempt == 0);
  return !result.ok && safe_to_run && InfoForErrorKind(result.error).retry;
}

void Call(const ResultCallback& callback,
          const RequestId& id,
          const RequestResult& result) {
  if (callback) {
    callback(id, result);
  }
}

}  // namespace

EntryAgent::EntryAgent(Deps deps, MemberId self, Options options)
    : deps_(deps),
      self_(std::move(self)),
      options_(options),
      attach_client_(deps.clock,
                     deps.sender,
                     self_,
                     options.attach_resend_interval) {
  deps_.registrar.SetReassignedCallback(
      [this](const RequestId& id, const MemberId& entry) {
        OnIdReassigned(id, entry);
      });
}

void EntryAgent::SetTable(const Table& table) {
  table_ = table;
}

void EntryAgent::Submit(const CallerSubmission& submission,
                        ResultCallback accepted,
                        ResultCallback finished) {
  Submission request;
  request.id = submission.id;
  request.kind = submission.kind;
  request.payload = submission.payload;
  request.deadline =
      deps_.clock.Now() + std::min(submission.deadline, options_.max_deadline);
  const std::string& body =
      submission.payload ? *submission.payload : std::string();
  request.digest = util::Hash64(body, util::Hash64(submission.kind));
  const RequestState* known = deps_.ledger.Find(submission.id);
  if (known == nullptr && table_.revision == 0) {
    const RequestResult refusal =
        ErrorResult(ErrorKind::kNotReady, Ran::kUnknown,
                    "this process has no table yet", Millis(500));
    deps_.metrics.Count(Counter::kRequestsRefused);
    Call(accepted, submission.id, refusal);
    Call(finished, submission.id, refusal);
    return;
  }
  const WorkRow* row = table_.FindRow(submission.kind);
  if (known == nullptr &&
      (row == nullptr || row->shape != WorkShape::kRequest || draining_)) {
    // Without a table no kind is known.
    const bool not_ready = table_.revision == 0;
    const ErrorKind kind = draining_        ? ErrorKind::kDraining
                           : not_ready      ? ErrorKind::kNotReady
                           : row == nullptr ? ErrorKind::kNoRow
                                            : ErrorKind::kBadRequest;
    const std::string detail =
        draining_   ? "this process is stopping"
        : not_ready ? "this process has no table yet"
        : row == nullptr
            ? "kind '" + submission.kind + "' is not in the table"
            : "kind '" + submission.kind + "' is not a request; use /v1/jobs";
    // Only this submission is refused; another entry may know the id.
    const bool is_temporary = draining_ || not_ready;
    const Ran ran = is_temporary ? Ran::kUnknown : Ran::kNo;
    const RequestResult refusal =
        ErrorResult(kind, ran, detail, is_temporary ? Millis(100) : Millis(0));
    deps_.metrics.Count(Counter::kRequestsRefused);
    Call(accepted, submission.id, refusal);
    Call(finished, submission.id, refusal);
    return;
  }
  if (row != nullptr) {
    request.size = submission.size.value_or(row->size);
    request.repeatable = row->repeatable;
  }
  RequestLedger::BeginOutcome begun;
  try {
    begun = deps_.ledger.Begin(request);
  } catch (const Error& error) {
    // The limit on open requests is reached, so the holder is not asked, and an
    // earlier submission may have run.
    const RequestResult refusal =
        ErrorResult(error.kind(), Ran::kUnknown, error.what(), Millis(1'000));
    deps_.metrics.Count(Counter::kRequestsRefused);
    Call(accepted, submission.id, refusal);
    Call(finished, submission.id, refusal);
    return;
  }
  if (begun == RequestLedger::BeginOutcome::kDigestDiffers) {
    const RequestResult refusal =
        ErrorResult(ErrorKind::kBadRequest, Ran::kUnknown,
                    "this Idempotency-Key was used with other content");
    Call(accepted, submission.id, refusal);
    Call(finished, submission.id, refusal);
    return;
  }
  if (begun == RequestLedger::BeginOutcome::kFinished && row != nullptr &&
      MayBeResubmitted(*known, *known->result) && !draining_) {
    deps_.ledger.Reopen(request);
    begun = RequestLedger::BeginOutcome::kNew;
  }
  if (finished) {
    deps_.ledger.OnFinish(submission.id, std::move(finished));
  }
  if (begun != RequestLedger::BeginOutcome::kNew) {
    deps_.metrics.Count(Counter::kRequestsRepeated);
    RequestResult accepted_result;
    accepted_result.ok = true;
    Call(accepted, submission.id, accepted_result);
    return;
  }
  open_requests_[submission.id].accepted = std::move(accepted);
  Begin(request, *row);
}

void EntryAgent::Begin(const Submission& submission, const WorkRow& row) {
  const RequestId id = submission.id;
  if (deps_.owner.HasAdopted(id)) {
    AttachTo(id, self_);
    return;
  }
  deps_.limits.OnArrival(submission.kind);
  try {
    deps_.admission.Check(row, submission.size, submission.deadline,
                          deps_.routing.Cell());
  } catch (const AdmissionError& error) {
    const RequestResult refusal =
        ErrorResult(error.kind(), Ran::kNo, error.what(), error.retry_after());
    const auto done = [this, id, refusal](const RegisterReply& reply) {
      OnRefusedAndProbed(id, refusal, reply);
    };
    WaitForHolder(id);
    if (InfoForErrorKind(error.kind()).retry) {
      deps_.registrar.Probe(id, submission.repeatable, submission.digest, done);
    } else {
      // A final answer, so the id is registered to keep other entries from
      // running the request afterwards.
      deps_.registrar.Begin(id, submission.repeatable, submission.digest, done);
    }
    return;
  }
  WaitForHolder(id);
  deps_.registrar.Begin(
      id, submission.repeatable, submission.digest,
      [this, id](const RegisterReply& reply) { OnRegistered(id, reply); });
}

void EntryAgent::OnRefusedAndProbed(const RequestId& id,
                                    const RequestResult& refusal,
                                    const RegisterReply& reply) {
  RequestState* state = deps_.ledger.FindMutable(id);
  if (reply.outcome != RegisterOutcome::kNew) {
    OnRegistered(id, reply);
  } else if (state != nullptr && state->phase == RequestPhase::kRegistering) {
    state->may_have_run = state->may_have_run || reply.may_have_run;
    Finish(id, refusal);
  }
}

void EntryAgent::WaitForHolder(const RequestId& id) {
  const RequestState& state = *deps_.ledger.Find(id);
  deps_.ledger.SetPhase(id, RequestPhase::kRegistering);
  registering_.emplace(state.submission.deadline, id);
}

// The holder may have granted the id in a reply that is still in transit, and
// another submission of this id may run, so the result is Ran::kUnknown.
void EntryAgent::ExpireRegistrations() {
  std::vector<RequestId> due;
  while (!registering_.empty() &&
         registering_.begin()->first <= deps_.clock.Now()) {
    due.push_back(registering_.begin()->second);
    registering_.erase(registering_.begin());
  }
  for (const RequestId& id : due) {
    const RequestState* state = deps_.ledger.Find(id);
    if (state != nullptr && state->phase == RequestPhase::kRegistering &&
        state->submission.deadline <= deps_.clock.Now()) {
      Fail(id, ErrorKind::kDeadlinePassed, Ran::kUnknown,
           "the deadline passed before the registration was confirmed");
    }
  }
}

void EntryAgent::OnRegistered(const RequestId& id, const RegisterReply& reply) {
  const RequestState* state = deps_.ledger.Find(id);
  if (state == nullptr || state->phase != RequestPhase::kRegistering) {
    return;
  }
  switch (reply.outcome) {
    case RegisterOutcome::kNew:
      deps_.ledger.FindMutable(id)->granted = true;
      deps_.ledger.FindMutable(id)->may_have_run =
          state->may_have_run || reply.may_have_run;
      if (deps_.owner.HasAdopted(id)) {
        // This member's owner role adopted the request while the registration
        // was pending. The holder does not distinguish the two roles and
        // replied kNew.
        AttachTo(id, self_);
        return;
      }
      if (state->cancel_requested) {
        FailCancelled(id);
        return;
      }
      Admit(id);
      return;
    case RegisterOutcome::kKnown:
      if (reply.entry == self_ && deps_.owner.HasAdopted(id)) {
        AttachTo(id, self_);
        return;
      }
      if (reply.entry == self_ && state->submission.repeatable) {
        if (state->cancel_requested) {
          FailCancelled(id);
        } else {
          Admit(id);
        }
        return;
      }
      if (reply.entry == self_) {
        Fail(id, ErrorKind::kOutcomeUnknown, Ran::kUnknown,
             "an earlier submission of this id went through this process");
        return;
      }
      AttachTo(id, reply.entry);
      return;
    case RegisterOutcome::kDigestDiffers:
      Fail(id, ErrorKind::kBadRequest, Ran::kUnknown,
           "this Idempotency-Key was used with other content");
      return;
    case RegisterOutcome::kAlreadyRecorded:
      Fail(id, ErrorKind::kOutcomeUnknown, Ran::kUnknown,
           "an earlier submission of this id was recorded and may have run");
      return;
    case RegisterOutcome::kStoreDown:
      // This submission starts nothing; an earlier one may have.
      Fail(id, ErrorKind::kStoreDown,
           reply.may_have_run ? Ran::kUnknown : Ran::kNo,
           "the record that is required before the start could not be written",
           Millis(1'000));
      return;
    case RegisterOutcome::kNotHolder:
    case RegisterOutcome::kRetryLater:
      break;  // the registrar asks again
  }
}

void EntryAgent::Admit(const RequestId& id) {
  if (open_requests_[id].admitted) {
    // Accepted earlier and registered again, so it is not checked against
    // admission a second time.
    Enqueue(id, Millis(0), /*requeue=*/true);
    deps_.dispatcher.DispatchQueued();
    return;
  }
  Enqueue(id, Millis(0), /*requeue=*/false);
  auto open_request = open_requests_.find(id);
  if (open_request == open_requests_.end()) {
    return;  // refused by the queue
  }
  open_request->second.admitted = true;
  deps_.metrics.Count(Counter::kRequestsAccepted);
  RequestResult accepted_result;
  accepted_result.ok = true;
  Call(std::exchange(open_request->second.accepted, nullptr), id,
       accepted_result);
  deps_.dispatcher.DispatchQueued();
}

void EntryAgent::Enqueue(const RequestId& id, Millis backoff, bool requeue) {
  RequestState* state = deps_.ledger.FindMutable(id);
  const Submission& submission = state->submission;
  const WorkRow* row = table_.FindRow(submission.kind);
  if (row == nullptr) {
    Fail(id, ErrorKind::kNoRow, state->may_have_run ? Ran::kUnknown : Ran::kNo,
         "kind '" + submission.kind + "' was removed from the table");
    return;
  }
  DispatchTask task;
  task.dispatch.key.task = TaskOfRequest(id);
  task.dispatch.kind = submission.kind;
  task.dispatch.size = submission.size;
  task.dispatch.expected_run =
      Millis(static_cast<int64_t>(deps_.run_times.MeanSeconds(*row) * 1000.0));
  task.dispatch.longest_run = row->longest_run;
  task.dispatch.urgency = row->urgency;
  task.dispatch.repeatable = row->repeatable;
  task.dispatch.checkpoint = row->checkpoint;
  task.dispatch.payload = submission.payload;
  task.region = row->region;
  task.enqueued = state->accepted;
  task.deadline = submission.deadline;
  task.not_before = deps_.clock.Now() + backoff;
  task.cost = deps_.run_times.Cost(*row, submission.size);
  open_requests_[id].cost = task.cost;
  state->phase = RequestPhase::kQueued;
  if (requeue) {
    deps_.dispatcher.Requeue(std::move(task), *this);
    return;
  }
  deps_.retries.OnFirstAttempt();
  try {
    deps_.dispatcher.Enqueue(std::move(task), *this);
  } catch (const Error& error) {
    Fail(id, error.kind(), Ran::kNo, error.what(), Millis(1'000));
  }
}

void EntryAgent::AttachTo(const RequestId& id, const MemberId& entry) {
  deps_.ledger.SetPhase(id, RequestPhase::kAttached);
  deps_.metrics.Count(Counter::kRequestsRepeated);
  auto open_request = open_requests_.find(id);
  if (open_request != open_requests_.end()) {
    RequestResult accepted_result;
    accepted_result.ok = true;
    Call(std::exchange(open_request->second.accepted, nullptr), id,
         accepted_result);
  }
  const util::TimePoint expires_at =
      deps_.ledger.Find(id)->submission.deadline + options_.max_deadline;
  attach_client_.Call(id, entry, AttachMode::kWait, expires_at,
                      [this, id](const std::optional<AttachAnswer>& answer) {
                        OnAttached(id, answer);
                      });
  if (deps_.ledger.Find(id)->cancel_requested) {
    attach_client_.Call(id, entry, AttachMode::kCancel,
                        deps_.clock.Now() + options_.call_timeout,
                        [](const std::optional<AttachAnswer>&) {});
  }
}

// The id was free while other members considered this one dead. A request that
// has not been sent yet must not run concurrently with the attempt of the other
// entry.
void EntryAgent::OnIdReassigned(const RequestId& id, const MemberId& entry) {
  const RequestState* state = deps_.ledger.Find(id);
  if (state != nullptr && state->phase == RequestPhase::kQueued &&
      state->submission.repeatable &&
      deps_.dispatcher.Withdraw(TaskOfRequest(id))) {
    AttachTo(id, entry);
  }
}

void EntryAgent::FailCancelled(const RequestId& id) {
  const bool may_have_run = deps_.ledger.Find(id)->may_have_run;
  Fail(id, may_have_run ? ErrorKind::kCancelledRunning : ErrorKind::kCancelled,
       may_have_run ? Ran::kUnknown : Ran::kNo, "cancelled by the caller");
}

void EntryAgent::OnAttached(const RequestId& id,
                            const std::optional<AttachAnswer>& answer) {
  const RequestState* state = deps_.ledger.Find(id);
  if (state == nullptr || state->phase != RequestPhase::kAttached) {
    return;
  }
  if (answer && answer->found) {
    Finish(id, ResultOf(*answer));
    return;
  }
  const Submission submission = state->submission;
  if (answer && !submission.repeatable) {
    Fail(id, ErrorKind::kOutcomeUnknown, Ran::kUnknown,
         "the answer to an earlier submission of this id is not retained");
    return;
  }
  // The other entry is gone or no longer has the request; the holder knows when
  // the id is free.
  WaitForHolder(id);
  deps_.registrar.Begin(
      id, submission.repeatable, submission.digest,
      [this, id](const RegisterReply& reply) { OnRegistered(id, reply); });
}

AttachAnswer EntryAgent::AnswerOf(const RequestState& state, AttachMode mode) {
  AttachAnswer answer;
  answer.request = state.submission.id;
  answer.mode = mode;
  answer.found = true;
  answer.ended = state.phase == RequestPhase::kFinished;
  answer.kind = state.submission.kind;
  answer.attempt = state.attempt;
  answer.worker = state.worker;
  if (state.result) {
    answer.ok = state.result->ok;
    answer.error = state.result->error;
    answer.ran = state.result->ran;
    answer.detail = state.result->detail;
    answer.payload = state.result->payload;
  }
  return answer;
}

bool EntryAgent::OnAttach(const Attach& attach) {
  const RequestState* state = deps_.ledger.Find(attach.request);
  if (state == nullptr || state->phase == RequestPhase::kAttached) {
    return false;
  }
  if (attach.mode == AttachMode::kStatus) {
    deps_.sender.SendToMember(attach.sender, AnswerOf(*state, attach.mode));
    return true;
  }
  const auto reply = [this, attach](const RequestId& id, const RequestResult&) {
    const RequestState* ended = deps_.ledger.Find(id);
    if (ended != nullptr) {
      deps_.sender.SendToMember(attach.sender, AnswerOf(*ended, attach.mode));
    }
  };
  if (attach.mode == AttachMode::kCancel) {
    Cancel(attach.request, reply);
  } else {
    deps_.ledger.OnFinish(attach.request, reply);
  }
  return true;
}

void EntryAgent::Locate(const RequestId& id,
                        const std::function<void(const MemberId&)>& done) {
  const MemberId attached = attach_client_.EntryOf(id);
  if (!attached.empty()) {
    done(attached);
    return;
  }
  // It is unknown here whether the id is idempotent, and idempotent and other
  // ids have different holders.
  deps_.registrar.Probe(
      id, /*repeatable=*/true, 0, [this, id, done](const RegisterReply& first) {
        if (first.outcome != RegisterOutcome::kNew && !first.entry.empty()) {
          done(first.entry);
          return;
        }
        deps_.registrar.Probe(
            id, /*repeatable=*/false, 0,
            [done](const RegisterReply& second) { done(second.entry); });
      });
}

void EntryAgent::Cancel(const RequestId& id, ResultCallback done) {
  RequestState* state = deps_.ledger.FindMutable(id);
  if (state == nullptr || state->phase == RequestPhase::kAttached) {
    Locate(id, [this, id, done](const MemberId& entry) {
      if (entry.empty() || entry == self_) {
        Call(done, id, NotFoundResult(id));
        return;
      }
      attach_client_.Call(
          id, entry, AttachMode::kCancel,
          deps_.clock.Now() + options_.call_timeout,
          [id, done](const std::optional<AttachAnswer>& answer) {
            Call(done, id,
                 answer && answer->found ? ResultOf(*answer)
                                         : NotFoundResult(id));
          });
    });
    return;
  }
  if (done) {
    deps_.ledger.OnFinish(id, std::move(done));
  }
  if (state->phase == RequestPhase::kFinished) {
    return;
  }
  state->cancel_requested = true;
  if (state->phase == RequestPhase::kRegistering) {
    return;  // only the holder knows whether another submission runs
  }
  const TaskId task = TaskOfRequest(id);
  if (deps_.dispatcher.Withdraw(task)) {
    FailCancelled(id);
    return;
  }
  deps_.dispatcher.Stop(task, /*checkpoint=*/false);
}

void EntryAgent::FindRequest(
    const RequestId& id,
    const std::function<void(std::optional<RequestView>)>& done) {
  RequestView view;
  view.id = id;
  const RequestState* state = deps_.ledger.Find(id);
  if (state != nullptr) {
    view.kind = state->submission.kind;
    view.phase = state->phase;
    view.attempt = state->attempt;
    view.worker = state->worker;
    view.entry = self_;
    view.result = state->result;
    done(view);
    return;
  }
  Locate(id, [this, id, done](const MemberId& entry) {
    if (entry.empty() || entry == self_) {
      done(std::nullopt);
      return;
    }
    attach_client_.Call(
        id, entry, AttachMode::kStatus,
        deps_.clock.Now() + options_.call_timeout,
        [entry, done](const std::optional<AttachAnswer>& answer) {
          done(answer && answer->found
                   ? std::optional<RequestView>(ViewOf(entry, *answer))
                   : std::nullopt);
        });
  });
}

// The holder of an idempotent id has changed, or this member was considered
// dead: until the current holder confirms the id, another entry may own it.
bool EntryAgent::MayStart(const TaskId& task) const {
  const RequestId id = RequestOfTask(task);
  const RequestState* state = deps_.ledger.Find(id);
  return state == nullptr || !state->submission.repeatable ||
         deps_.registrar.IsConfirmed(id);
}

uint32_t EntryAgent::NextAttempt(const TaskId& task) {
  const RequestId id = RequestOfTask(task);
  const uint32_t attempt = deps_.ledger.BeginAttempt(id);
  RequestState* state = deps_.ledger.FindMutable(id);
  state->phase = RequestPhase::kDispatched;
  state->dispatched = deps_.clock.Now();
  open_requests_[id].sent = state->dispatched;
  return attempt;
}

void EntryAgent::OnAttemptStarted(const MemberId& owner,
                                  const DispatchReply& reply) {
  const RequestId id = RequestOfTask(reply.key.task);
  RequestState* state = deps_.ledger.FindMutable(id);
  if (state == nullptr) {
    return;
  }
  state->phase = RequestPhase::kRunning;
  state->owner = owner;
  state->worker = reply.worker;
  state->started = deps_.clock.Now();
  state->may_have_run = true;
  OpenRequest& open_request = open_requests_[id];
  ++open_request.starts;
  if (!open_request.started) {
    open_request.started = state->started;
    deps_.metrics.Observe(Timer::kWait, state->submission.kind,
                          state->started - state->accepted);
  }
}

bool EntryAgent::OnAttemptEnded(const MemberId& owner, const Answer& answer) {
  (void)owner;
  const RequestId id = RequestOfTask(answer.key.task);
  RequestState* state = deps_.ledger.FindMutable(id);
  if (state == nullptr || state->phase == RequestPhase::kFinished) {
    return true;
  }
  if (answer.ok) {
    RequestResult result;
    result.ok = true;
    result.ran = Ran::kYes;
    result.payload = answer.payload;
    result.attempts = answer.key.attempt;
    Finish(id, std::move(result));
    return true;
  }
  if (answer.ran != Ran::kNo) {
    state->may_have_run = true;
  }
  if (state->cancel_requested) {
    FailCancelled(id);
    return true;
  }
  Retry(id, answer);
  return true;
}

void EntryAgent::Retry(const RequestId& id, const Answer& answer) {
  RequestState* state = deps_.ledger.FindMutable(id);
  const WorkRow* row = table_.FindRow(state->submission.kind);
  const bool repeatable = state->submission.repeatable;
  if (row != nullptr && answer.checkpointed && row->checkpoint) {
    // A preempted attempt resumes from its checkpoint, which does not count as
    // a retry.
    deps_.metrics.Count(Counter::kPreemptions);
    Enqueue(id, Millis(0), /*requeue=*/true);
    return;
  }
  std::optional<Millis> backoff;
  if (row != nullptr && (answer.ran == Ran::kNo || repeatable)) {
    backoff = deps_.retries.Grant(*row, open_requests_[id].starts, answer.ran,
                                  state->submission.deadline);
  }
  if (!backoff) {
    const Ran ran = answer.ran == Ran::kNo && state->may_have_run
                        ? Ran::kUnknown
                        : answer.ran;
    Fail(id, answer.error, ran,
         "attempt " + std::to_string(answer.key.attempt) + " on worker '" +
             answer.worker.str() + "' ended without a result");
    return;
  }
  deps_.metrics.Count(Counter::kRetries);
  deps_.log.Write(
      Event::kRequestRetried,
      {{"request", id.str()},
       {"attempt", std::to_string(answer.key.attempt)},
       {"worker", answer.worker.str()},
       {"error", std::string(InfoForErrorKind(answer.error).name)}});
  Enqueue(id, *backoff, /*requeue=*/true);
}

void EntryAgent::OnExpired(const TaskId& task) {
  const RequestId id = RequestOfTask(task);
  const RequestState* state = deps_.ledger.Find(id);
  if (state == nullptr) {
    return;
  }
  Fail(id, ErrorKind::kDeadlinePassed,
       state->may_have_run ? Ran::kUnknown : Ran::kNo,
       "the deadline passed while the request was queued");
}

void EntryAgent::Fail(const RequestId& id,
                      ErrorKind kind,
                      Ran ran,
                      const std::string& detail,
                      Millis retry_after) {
  Finish(id, ErrorResult(kind, ran, detail, retry_after));
}

void EntryAgent::Finish(const RequestId& id, RequestResult result) {
  const RequestState* state = deps_.ledger.Find(id);
  if (state == nullptr || state->phase == RequestPhase::kFinished) {
    return;
  }
  // Until its holder has confirmed the id, it may belong to another entry that
  // considered this one dead.
  const bool unconfirmed = state->granted && !deps_.registrar.IsConfirmed(id);
  if (!result.ok && result.ran == Ran::kNo &&
      (state->may_have_run || unconfirmed)) {
    result.ran = Ran::kUnknown;
  }
  auto it = open_requests_.find(id);
  const OpenRequest open_request =
      it == open_requests_.end() ? OpenRequest() : std::move(it->second);
  open_requests_.erase(id);
  RecordBurn(*state, open_request, result);
  if (result.ok) {
    deps_.metrics.Count(Counter::kRequestsSucceeded);
  } else if (result.error == ErrorKind::kCancelled ||
             result.error == ErrorKind::kCancelledRunning) {
    deps_.metrics.Count(Counter::kRequestsCancelled);
  } else if (result.ran == Ran::kUnknown) {
    deps_.metrics.Count(Counter::kRequestsUnknown);
    deps_.log.Write(Event::kRequestUnknown,
                    {{"request", id.str()}, {"detail", result.detail}});
  } else if (open_request.starts == 0) {
    deps_.metrics.Count(Counter::kRequestsRefused);
  } else {
    deps_.metrics.Count(Counter::kRequestsFailed);
  }
  deps_.metrics.Observe(Timer::kTotal, state->submission.kind,
                        deps_.clock.Now() - state->accepted);
  // The holder remembers a final answer, so that another submission of the same
  // id gets it too.
  deps_.registrar.End(id, !MayBeResubmitted(*state, result));
  Call(open_request.accepted, id, result);
  deps_.ledger.Finish(id, std::move(result));
}

void EntryAgent::RecordBurn(const RequestState& state,
                            const OpenRequest& open_request,
                            const RequestResult& result) {
  const WorkRow* row = table_.FindRow(state.submission.kind);
  const bool by_caller = result.error == ErrorKind::kCancelled ||
                         result.error == ErrorKind::kCancelledRunning ||
                         result.error == ErrorKind::kBadRequest;
  if (row == nullptr || (!result.ok && by_caller)) {
    return;
  }
  const util::TimePoint end = open_request.started.value_or(deps_.clock.Now());
  const auto wait = std::chrono::duration_cast<Millis>(end - state.accepted);
  const bool good = result.ok && wait <= row->objective.wait;
  BurnCause cause = BurnCause::kQueueing;
  if (!open_request.started) {
    cause = BurnCause::kRefusals;
  } else if (!result.ok) {
    cause = BurnCause::kWorkers;
  } else if (open_request.starts > 1) {
    cause = BurnCause::kRetries;
  } else if ((end - open_request.sent) * 2 > end - state.accepted) {
    cause = BurnCause::kPlacement;
  }
  deps_.burn.Record(*row, wait, good, cause);
}

void EntryAgent::OnAttachAnswer(const MemberId& from,
                                const AttachAnswer& answer) {
  attach_client_.OnAnswer(from, answer);
}

void EntryAgent::OnMemberDead(const MemberId& member) {
  attach_client_.OnMemberDead(member);
}

void EntryAgent::SetMembers(const std::vector<MemberInfo>& members) {
  attach_client_.SetMembers(members);
}

void EntryAgent::OnDeclaredDead() {
  deps_.registrar.ReregisterIds();
}

void EntryAgent::Tick() {
  attach_client_.Tick();
  ExpireRegistrations();
  deps_.ledger.Expire();
}

void EntryAgent::Drain() {
  draining_ = true;
}

bool EntryAgent::drained() const {
  return draining_ && deps_.ledger.open() == 0;
}

}  // namespace chivedale
