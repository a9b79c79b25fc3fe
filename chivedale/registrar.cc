// A start waits for the answer of the holder, also for idempotent work:
// otherwise a second submission through another entry could run concurrently
// with the first. A silent holder is retried; once membership declares it dead,
// another member holds the group, so the wait is bounded by failure detection.
#include "chivedale/registrar.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chivedale {
namespace {

// A longer gap between two ticks means that this process was paused: other
// members may have considered it dead and freed its ids.
constexpr Millis kPauseThreshold{1'000};

}  // namespace

Registrar::Registrar(const util::Clock& clock,
                     const RequestDirectory& directory,
                     MemberSender& sender,
                     MemberId self,
                     Options options)
    : clock_(clock),
      directory_(directory),
      sender_(sender),
      self_(std::move(self)),
      last_tick_(clock.Now()),
      options_(options) {}

void Registrar::Begin(const RequestId& id,
                      bool repeatable,
                      uint64_t digest,
                      Done done) {
  Registration registration;
  registration.repeatable = repeatable;
  registration.digest = digest;
  registration.done.push_back(std::move(done));
  Insert(id, std::move(registration));
}

void Registrar::Probe(const RequestId& id,
                      bool repeatable,
                      uint64_t digest,
                      Done done) {
  Registration registration;
  registration.repeatable = repeatable;
  registration.digest = digest;
  registration.probe = true;
  registration.done.push_back(std::move(done));
  Insert(id, std::move(registration));
}

void Registrar::Insert(const RequestId& id, Registration registration) {
  auto it = ids_.find(id);
  if (it != ids_.end() && registration.probe) {
    if (unanswered_.count(id) > 0) {
      it->second.done.push_back(std::move(registration.done.front()));
      return;
    }
    RegisterReply known;
    known.request = id;
    known.outcome = RegisterOutcome::kKnown;
    known.entry = self_;
    registration.done.front()(known);
    return;
  }
  if (it != ids_.end() && it->second.probe) {
    // A probe of the same id is in progress; its callers get this reply too.
    for (Done& done : it->second.done) {
      registration.done.push_back(std::move(done));
    }
  }
  registration.number = ++last_number_;
  Registration& kept = ids_[id];
  kept = std::move(registration);
  unanswered_[id] = true;
  SendRegister(id, kept);
}

void Registrar::End(const RequestId& id, bool ran) {
  auto it = ids_.find(id);
  if (it == ids_.end()) {
    return;
  }
  Registration& registration = it->second;
  if (ran && registration.held) {
    registration.ended = true;
    ended_.emplace_back(clock_.Now(), id);
    ExpireEnded();
    return;
  }
  if (!ran && !registration.probe && !registration.holder.empty()) {
    sender_.SendToMember(registration.holder, Unregister{id, self_});
  }
  unanswered_.erase(id);
  ids_.erase(it);
}

void Registrar::ExpireEnded() {
  const util::TimePoint oldest = clock_.Now() - options_.ended_retention;
  while (!ended_.empty() && (ended_.front().first < oldest ||
                             ended_.size() > options_.max_ended)) {
    auto it = ids_.find(ended_.front().second);
    if (it != ids_.end() && it->second.ended) {
      unanswered_.erase(it->first);
      ids_.erase(it);
    }
    ended_.pop_front();
  }
}

bool Registrar::OnReply(const RegisterReply& reply) {
  if (reply.registration == 0) {
    return false;  // belongs to the owner role
  }
  auto it = ids_.find(reply.request);
  if (it == ids_.end() || unanswered_.count(reply.request) == 0 ||
      it->second.number != reply.registration) {
    return true;
  }
  Registration& registration = it->second;
  if (reply.outcome == RegisterOutcome::kNotHolder ||
      reply.outcome == RegisterOutcome::kRetryLater) {
    const Millis retry_delay = reply.outcome == RegisterOutcome::kRetryLater
                                   ? std::max(reply.retry_after, Millis(10))
                                   : options_.resend_interval;
    registration.resend_at = clock_.Now() + retry_delay;
    return true;
  }
  unanswered_.erase(reply.request);
  // A registration that was repeated with a new holder has no callers.
  const std::vector<Done> callers =
      std::exchange(registration.done, std::vector<Done>());
  if (reply.outcome == RegisterOutcome::kNew && !registration.probe) {
    registration.held = true;
  } else if (!registration.held) {
    ids_.erase(it);
  }
  const bool reassigned = callers.empty() &&
                          reply.outcome == RegisterOutcome::kKnown &&
                          reply.entry != self_;
  if (reassigned && on_reassigned_) {
    on_reassigned_(reply.request, reply.entry);
  }
  for (const Done& done : callers) {
    done(reply);
  }
  return true;
}

void Registrar::OnMembersChanged() {
  for (auto& [id, registration] : ids_) {
    const MemberId holder = directory_.HolderOf(id, registration.repeatable);
    if (holder == registration.holder) {
      continue;
    }
    unanswered_[id] = true;
    SendRegister(id, registration);
  }
}

void Registrar::ReregisterIds() {
  for (auto& [id, registration] : ids_) {
    if (registration.held) {
      unanswered_[id] = true;
      SendRegister(id, registration);
    }
  }
}

bool Registrar::IsConfirmed(const RequestId& id) const {
  return unanswered_.count(id) == 0 &&
         clock_.Now() - last_tick_ <= kPauseThreshold;
}

void Registrar::Tick() {
  const util::TimePoint now = clock_.Now();
  if (now - std::exchange(last_tick_, now) > kPauseThreshold) {
    ReregisterIds();
  }
  ExpireEnded();
  std::vector<RequestId> due;
  for (const auto& [id, unanswered] : unanswered_) {
    if (ids_.at(id).resend_at <= now) {
      due.push_back(id);
    }
  }
  for (const RequestId& id : due) {
    auto it = ids_.find(id);
    if (it != ids_.end()) {
      SendRegister(id, it->second);
    }
  }
}

void Registrar::SendRegister(const RequestId& id, Registration& registration) {
  registration.holder = directory_.HolderOf(id, registration.repeatable);
  registration.resend_at = clock_.Now() + options_.resend_interval;
  if (registration.holder.empty()) {
    return;
  }
  Register message;
  message.request = id;
  message.entry = self_;
  message.repeatable = registration.repeatable;
  message.digest = registration.digest;
  message.running = registration.held;
  message.probe = registration.probe;
  message.registration = registration.number;
  sender_.SendToMember(registration.holder, message);
}

}  // namespace chivedale
