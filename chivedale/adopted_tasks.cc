#include "chivedale/adopted_tasks.h"

#include <utility>

namespace chivedale {

RequestId AdoptableRequest(const TaskId& task) {
  // Prefix that RequestLedger gives to the task ids of requests.
  if (task.str().rfind("r/", 0) != 0) {
    return RequestId();
  }
  return RequestId(task.str().substr(2));
}

AdoptedTasks::AdoptedTasks(const util::Clock& clock,
                           MemberId self,
                           Options options)
    : clock_(clock), self_(std::move(self)), options_(options) {}

void AdoptedTasks::Adopt(const RequestId& request,
                         const TaskKey& key,
                         bool repeatable) {
  auto [it, inserted] = adopted_.emplace(request, Adopted());
  if (!inserted) {
    return;
  }
  Adopted& adopted = it->second;
  adopted.request = request;
  adopted.key = key;
  adopted.repeatable = repeatable;
  adopted.since = clock_.Now();
  adopted.next_register = clock_.Now();
}

AdoptedTasks::Adopted* AdoptedTasks::FindMutable(const RequestId& request) {
  auto it = adopted_.find(request);
  return it == adopted_.end() ? nullptr : &it->second;
}

const AdoptedTasks::Adopted* AdoptedTasks::Find(
    const RequestId& request) const {
  auto it = adopted_.find(request);
  return it == adopted_.end() ? nullptr : &it->second;
}

bool AdoptedTasks::OnRegisterReply(const RegisterReply& reply) {
  Adopted* adopted = FindMutable(reply.request);
  if (adopted == nullptr) {
    return false;
  }
  // With kKnown and another entry, that entry may be running the request
  // itself.
  if (reply.outcome == RegisterOutcome::kNew ||
      (reply.outcome == RegisterOutcome::kKnown && reply.entry == self_)) {
    adopted->confirmed = true;
  }
  return true;
}

std::vector<Attach> AdoptedTasks::OnAnswer(const Answer& answer) {
  Adopted* adopted = FindMutable(AdoptableRequest(answer.key.task));
  if (adopted == nullptr || adopted->key != answer.key || adopted->answer) {
    return {};
  }
  adopted->answer = answer;
  adopted->ended = clock_.Now();
  return std::exchange(adopted->waiting, {});
}

void AdoptedTasks::Wait(const Attach& attach) {
  Adopted* adopted = FindMutable(attach.request);
  if (adopted == nullptr) {
    return;
  }
  for (const Attach& other : adopted->waiting) {
    if (other.sender == attach.sender && other.mode == attach.mode) {
      return;
    }
  }
  adopted->waiting.push_back(attach);
}

void AdoptedTasks::Forget(const TaskKey& key) {
  const RequestId request = AdoptableRequest(key.task);
  const Adopted* adopted = Find(request);
  if (adopted != nullptr && adopted->key == key) {
    adopted_.erase(request);
  }
}

void AdoptedTasks::ForgetUnconfirmed(const TaskKey& key) {
  const Adopted* adopted = Find(AdoptableRequest(key.task));
  if (adopted != nullptr && !adopted->confirmed) {
    Forget(key);
  }
}

AdoptedTasks::Due AdoptedTasks::TakeDue() {
  Due due;
  const util::TimePoint now = clock_.Now();
  for (auto it = adopted_.begin(); it != adopted_.end();) {
    Adopted& adopted = it->second;
    if (adopted.answer && now - adopted.ended >= options_.answer_retention) {
      due.expired.push_back(adopted.key);
      it = adopted_.erase(it);
      continue;
    }
    if (!adopted.confirmed && now >= adopted.next_register) {
      adopted.next_register = now + options_.register_interval;
      Register registration;
      registration.request = adopted.request;
      registration.entry = self_;
      registration.repeatable = adopted.repeatable;
      registration.running = true;
      due.registers.push_back(std::move(registration));
    }
    if (!adopted.confirmed && !adopted.stopped && !adopted.answer &&
        now - adopted.since >= options_.confirm_timeout) {
      adopted.stopped = true;
      due.to_stop.push_back(adopted.key);
    }
    ++it;
  }
  return due;
}

AttachAnswer MakeAttachAnswer(const Attach& attach,
                              const TaskKey& key,
                              const Answer* answer) {
  AttachAnswer reply;
  reply.request = attach.request;
  reply.mode = attach.mode;
  reply.found = true;
  reply.attempt = key.attempt;
  reply.ended = answer != nullptr;
  if (answer != nullptr) {
    reply.ok = answer->ok;
    reply.error = answer->error;
    reply.ran = answer->ran;
    reply.worker = answer->worker;
    reply.payload = answer->payload;
  }
  return reply;
}

}  // namespace chivedale
