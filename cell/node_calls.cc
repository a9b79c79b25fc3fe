// Calls between members: job state queries, storing jobs and advice. Each has a
// deadline and a fallback for a missing answer.
#include <algorithm>
#include <utility>

#include "cell/caller_auth.h"
#include "cell/node.h"

namespace chivedale::cell {
namespace {

constexpr Millis kStoreTimeout{1'000};
// The leader normally answers within a few milliseconds; after this time the
// store is read instead.
constexpr Millis kStateCallTimeout{300};
// Added to the expected duration of the advice call.
constexpr Millis kAdviceTimeoutMargin{1'200};
// After store calls have failed for this time, jobs are stored through the
// leader.
constexpr Millis kForwardDelay{150};
// A leader not heard from for this time is not asked to store jobs.
constexpr Millis kLeaderBeatTimeout{700};

}  // namespace

bool CellNode::ShouldStoreAtLeader() const {
  const auto& leader = election_->leader();
  return leader_ == nullptr && leader && leader->node != options_.node &&
         store_.failing_for() > kForwardDelay && leader_store_ok_ &&
         context_.clock.Now() - leader_last_heard_ < kLeaderBeatTimeout;
}

void CellNode::StoreAtLeader(const JobId& id,
                             Body record,
                             TimePoint deadline,
                             std::function<void(JobStoreResult)> done) {
  JobStoreCall call;
  call.call = call_numbers_.Next();
  call.address = options_.address;
  call.job = id;
  call.record = std::move(record);
  call.timeout =
      std::chrono::duration_cast<Millis>(deadline - context_.clock.Now());
  pending_store_calls_[call.call] = {deadline, std::move(done)};
  context_.peers.SendToAddress(election_->leader()->address, call);
}

// A call without an account is understood by members of earlier versions too.
void CellNode::CancelAtLeader(const JobId& id,
                              const Caller& caller,
                              TimePoint deadline,
                              std::function<void(JobStoreResult)> done) {
  if (caller.account.empty()) {
    StoreAtLeader(id, nullptr, deadline, std::move(done));
    return;
  }
  OwnedCancelCall call;
  call.call = call_numbers_.Next();
  call.address = options_.address;
  call.job = id;
  call.timeout =
      std::chrono::duration_cast<Millis>(deadline - context_.clock.Now());
  call.account = caller.account;
  call.key_digest = caller.key_digest;
  pending_store_calls_[call.call] = {deadline, std::move(done)};
  context_.peers.SendToAddress(election_->leader()->address, call);
}

void CellNode::CancelFor(const std::string& address,
                         uint64_t call,
                         const JobId& id,
                         const Caller& caller,
                         Millis timeout) {
  intake_.Cancel(id, caller, context_.clock.Now() + timeout,
                 [this, address, call, id](CancelResult result) {
                   if (result == CancelResult::kCancelled) {
                     NotifyLeader(id, nullptr, 0);
                   }
                   JobStoreAnswer answer;
                   answer.call = call;
                   answer.result = result == CancelResult::kCancelled
                                       ? JobStoreResult::kStored
                                   : result == CancelResult::kNoSuchJob
                                       ? JobStoreResult::kNoSuchJob
                                   : result == CancelResult::kOtherAccount
                                       ? JobStoreResult::kOtherAccount
                                   : result == CancelResult::kUnavailable
                                       ? JobStoreResult::kNotStored
                                       : JobStoreResult::kUnknown;
                   context_.peers.SendToAddress(address, answer);
                 });
}

void CellNode::OnOwnedCancelCall(const OwnedCancelCall& call) {
  CancelFor(call.address, call.call, call.job,
            {call.account, {}, call.key_digest}, call.timeout);
}

void CellNode::OnStoreCall(const JobStoreCall& call) {
  if (call.record == nullptr) {
    CancelFor(call.address, call.call, call.job, {}, call.timeout);
    return;
  }
  const TimePoint deadline = context_.clock.Now() + call.timeout;
  const auto answer = [this, id = call.call,
                       address = call.address](JobStoreResult result) {
    JobStoreAnswer message;
    message.call = id;
    message.result = result;
    context_.peers.SendToAddress(address, message);
  };
  intake_.Submit(
      call.job, *call.record, deadline,
      [this, answer, id = call.job, record = call.record](SubmitResult result,
                                                          int64_t revision) {
        if (revision > 0) {
          NotifyLeader(id, record, revision);
        }
        answer(result == SubmitResult::kAccepted  ? JobStoreResult::kStored
               : result == SubmitResult::kUnknown ? JobStoreResult::kUnknown
               : result == SubmitResult::kOtherAccount
                   ? JobStoreResult::kOtherAccount
                   : JobStoreResult::kNotStored);
      });
}

void CellNode::OnStoreAnswer(const JobStoreAnswer& answer) {
  const auto found = pending_store_calls_.find(answer.call);
  if (found == pending_store_calls_.end()) {
    return;
  }
  const auto done = std::move(found->second.done);
  pending_store_calls_.erase(found);
  done(answer.result);
}

// Notifies the leader directly because its watch may be slow: once the store
// has compacted its history, all jobs are listed again before the next watch.
void CellNode::NotifyLeader(const JobId& id, Body record, int64_t revision) {
  JobNotice notice;
  notice.job = id;
  notice.record = std::move(record);
  notice.revision = revision;
  const auto& leader = election_->leader();
  if (leader_ != nullptr) {
    OnJobNotice(notice);
  } else if (leader && leader->node != options_.node) {
    context_.peers.SendToAddress(leader->address, notice);
  }
}

void CellNode::OnJobNotice(const JobNotice& notice) {
  if (leader_ == nullptr) {
    return;
  }
  if (notice.record == nullptr) {
    leader_->OnCancelStored(notice.job);
  } else {
    leader_->OnJobStored(notice.job, *notice.record, notice.revision);
  }
}

void CellNode::FindJob(const JobId& id,
                       const Caller& caller,
                       TimePoint deadline,
                       OnJob done) {
  if (HasAuthority() && leader_->loaded()) {
    if (const auto state = leader_->Find(id)) {
      done(MayAccess(caller, *leader_->OwnerOf(id))
               ? JobAnswer{JobAnswer::Kind::kFound, *state}
               : JobAnswer{JobAnswer::Kind::kOtherAccount, {}});
      return;
    }
    FindInStore(id, caller, deadline, std::move(done));
    return;
  }
  const auto& leader = election_->leader();
  if (!leader || leader->node == options_.node) {
    FindInStore(id, caller, deadline, std::move(done));
    return;
  }
  const uint64_t call = call_numbers_.Next();
  const TimePoint fallback = context_.clock.Now() + kStateCallTimeout;
  pending_state_calls_[call] = {id, caller, std::min(fallback, deadline),
                                deadline, std::move(done)};
  if (caller.account.empty()) {
    context_.peers.SendToAddress(leader->address,
                                 JobStateCall{call, options_.address, id});
  } else {
    context_.peers.SendToAddress(
        leader->address, OwnedStateCall{call, options_.address, id,
                                        caller.account, caller.key_digest});
  }
}

bool CellNode::AskLeaderForTable(uint64_t call) {
  const auto& leader = election_->leader();
  if (!leader || leader->node == options_.node) {
    return false;
  }
  context_.peers.SendToAddress(leader->address,
                               TableCall{call, options_.address});
  return true;
}

void CellNode::OnTableCall(const TableCall& call) {
  context_.peers.SendToAddress(call.address, confirmer_.Answer(call));
}

void CellNode::OnStateCall(const JobStateCall& call) {
  AnswerStateCall(call.call, call.address, call.job, {});
}

void CellNode::OnOwnedStateCall(const OwnedStateCall& call) {
  AnswerStateCall(call.call, call.address, call.job,
                  {call.account, {}, call.key_digest});
}

void CellNode::AnswerStateCall(uint64_t call,
                               const std::string& address,
                               const JobId& id,
                               const Caller& caller) {
  JobStateAnswer answer;
  answer.call = call;
  if (HasAuthority() && leader_->loaded()) {
    answer.is_leader = true;
    if (const auto state = leader_->Find(id)) {
      answer.found = true;
      answer.state = MayAccess(caller, *leader_->OwnerOf(id))
                         ? std::string(JobStateName(*state))
                         : kOtherAccountState;
    }
  }
  context_.peers.SendToAddress(address, answer);
}

void CellNode::OnStateAnswer(const JobStateAnswer& answer) {
  const auto found = pending_state_calls_.find(answer.call);
  if (found == pending_state_calls_.end()) {
    return;
  }
  PendingStateCall wait = std::move(found->second);
  pending_state_calls_.erase(found);
  if (answer.is_leader && answer.found && answer.state == kOtherAccountState) {
    wait.done({JobAnswer::Kind::kOtherAccount, JobState::kQueued});
    return;
  }
  const auto state = ParseJobState(answer.state);
  if (answer.is_leader && answer.found && state) {
    wait.done({JobAnswer::Kind::kFound, *state});
    return;
  }
  // A job accepted just now may not have reached the leader.
  FindInStore(wait.job, wait.caller, wait.deadline, std::move(wait.done));
}

// Determines the state of a job from the store: the stored progress if there is
// any, else the job's keys.
void CellNode::FindInStore(const JobId& id,
                           const Caller& caller,
                           TimePoint deadline,
                           OnJob done) {
  const Duration left = deadline - context_.clock.Now();
  const Millis timeout =
      std::min(kStoreTimeout,
               std::max(Millis(1), std::chrono::duration_cast<Millis>(left)));
  store_.List(
      JobKey(id), timeout,
      Guard([this, id, caller, timeout,
             done = std::move(done)](const StoreRead& job) {
        if (job.status != StoreStatus::kOk) {
          done({JobAnswer::Kind::kUnavailable, JobState::kQueued});
          return;
        }
        bool accepted = false;
        bool cancelled = false;
        for (const StoreItem& item : job.items) {
          if (item.key == JobKey(id) && !IsTombstone(item.value)) {
            accepted = true;
            if (!MayAccess(caller, StoredOwner(item.value))) {
              done({JobAnswer::Kind::kOtherAccount, JobState::kQueued});
              return;
            }
          }
          cancelled = cancelled || item.key == CancelKey(id);
        }
        if (!accepted) {
          done({JobAnswer::Kind::kNoSuchJob, JobState::kQueued});
          return;
        }
        store_.Read(
            ProgressKey(id), timeout,
            Guard([cancelled, done](const StoreRead& progress) {
              if (progress.status != StoreStatus::kOk &&
                  progress.status != StoreStatus::kNotFound) {
                done({JobAnswer::Kind::kUnavailable, JobState::kQueued});
                return;
              }
              JobState state =
                  cancelled ? JobState::kCancelled : JobState::kQueued;
              if (!progress.items.empty()) {
                const JobState stored =
                    StoredState(progress.items[0].value).value_or(state);
                const bool terminal = stored == JobState::kCompleted ||
                                      stored == JobState::kFailed;
                state = terminal || !cancelled ? stored : state;
              }
              done({JobAnswer::Kind::kFound, state});
            }));
      }));
}

void CellNode::RequestAdviceFromMember(const std::string& member,
                                       const AdviceRequest& request,
                                       AdvicePort::OnAdvice done) {
  const Millis timeout =
      std::chrono::duration_cast<Millis>(request.expected_duration) +
      kAdviceTimeoutMargin;
  const auto found = members_.find(member);
  if (member == options_.node || found == members_.end()) {
    context_.advice.Ask(request.step, request.executors, timeout,
                        std::move(done));
    return;
  }
  AdviceCall call;
  call.call = call_numbers_.Next();
  call.address = options_.address;
  call.step = request.step;
  call.executors = request.executors;
  call.timeout = timeout;
  pending_advice_calls_[call.call] = {context_.clock.Now() + timeout,
                                      std::move(done)};
  context_.peers.SendToAddress(found->second.address, call);
}

void CellNode::OnAdviceCall(const AdviceCall& call) {
  context_.advice.Ask(call.step, call.executors, call.timeout,
                      Guard([this, id = call.call,
                             address = call.address](const AdviceReply& reply) {
                        AdviceAnswer answer;
                        answer.call = id;
                        answer.answered = reply.answered;
                        answer.overloaded = reply.overloaded;
                        answer.validity = reply.validity;
                        for (const auto& [executor, ticket] : reply.allowed) {
                          answer.good.push_back({executor, ticket});
                        }
                        context_.peers.SendToAddress(address, answer);
                      }));
}

void CellNode::OnAdviceAnswer(const AdviceAnswer& answer) {
  const auto found = pending_advice_calls_.find(answer.call);
  if (found == pending_advice_calls_.end()) {
    return;
  }
  const AdvicePort::OnAdvice done = std::move(found->second.done);
  pending_advice_calls_.erase(found);
  AdviceReply reply;
  reply.answered = answer.answered;
  reply.overloaded = answer.overloaded;
  reply.validity = answer.validity;
  for (const AdviceTicket& row : answer.good) {
    reply.allowed.emplace_back(row.executor, row.ticket);
  }
  done(reply);
}

void CellNode::ExpireCalls() {
  const TimePoint now = context_.clock.Now();
  std::vector<PendingStateCall> late;
  for (auto it = pending_state_calls_.begin();
       it != pending_state_calls_.end();) {
    if (it->second.fallback_at <= now) {
      late.push_back(std::move(it->second));
      it = pending_state_calls_.erase(it);
    } else {
      ++it;
    }
  }
  for (PendingStateCall& wait : late) {
    FindInStore(wait.job, wait.caller, wait.deadline, std::move(wait.done));
  }
  std::vector<std::function<void(JobStoreResult)>> unstored;
  for (auto it = pending_store_calls_.begin();
       it != pending_store_calls_.end();) {
    if (it->second.deadline <= now) {
      unstored.push_back(std::move(it->second.done));
      it = pending_store_calls_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& done : unstored) {
    done(JobStoreResult::kUnknown);
  }
  std::vector<AdvicePort::OnAdvice> unanswered;
  for (auto it = pending_advice_calls_.begin();
       it != pending_advice_calls_.end();) {
    if (it->second.deadline <= now) {
      unanswered.push_back(std::move(it->second.done));
      it = pending_advice_calls_.erase(it);
    } else {
      ++it;
    }
  }
  for (const auto& done : unanswered) {
    done(AdviceReply());
  }
}

}  // namespace chivedale::cell
