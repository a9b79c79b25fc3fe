// A job's manager that takes over, or that lost an owner, asks every owner what
// it knows of the attempts on record. The epoch of the question fences starts
// of earlier managers that are still on their way: otherwise "absent" could be
// followed by such a start.
#include "chivedale/job_record.h"
#include "chivedale/owner_agent_impl.h"

namespace chivedale {

bool OwnerAgent::Impl::IsOfEarlierManager(const Dispatch& dispatch) const {
  const std::optional<JobTaskName> name = ParseJobTaskId(dispatch.key.task);
  if (!name) {
    return false;
  }
  auto it = job_epochs_.find(name->job);
  return it != job_epochs_.end() && dispatch.job_epoch < it->second.epoch;
}

// An entry asks for attempts of requests that its owner's death left behind:
// there is no job and no epoch, and what is not here is absent.
void OwnerAgent::Impl::OnRequestQuery(const JobQuery& query) {
  if (!keeper_.settled()) {
    return;
  }
  JobQueryReply reply;
  for (const JobAttempt& asked : query.attempts) {
    if (Attempt* attempt = tracker_.Find(asked.key)) {
      reply.present.push_back({asked.key, attempt->worker});
    } else if (const auto* pending = relay_.Find(asked.key)) {
      reply.present.push_back({asked.key, pending->answer.worker});
    } else {
      reply.absent.push_back(asked.key);
    }
  }
  Send(query.manager, reply);
}

void OwnerAgent::Impl::OnJobQuery(const JobQuery& query) {
  if (query.job.empty()) {
    OnRequestQuery(query);
    return;
  }
  JobEpoch& known = job_epochs_[query.job];
  if (query.epoch < known.epoch) {
    return;
  }
  known.epoch = query.epoch;
  known.heard = clock_.Now();
  JobQueryReply reply;
  reply.job = query.job;
  reply.epoch = query.epoch;
  reply.round = query.round;
  for (const JobAttempt& asked : query.attempts) {
    if (Attempt* attempt = tracker_.Find(asked.key)) {
      attempt->entry = query.manager;
      reply.present.push_back({asked.key, attempt->worker});
    } else if (const auto* pending = relay_.Find(asked.key)) {
      reply.present.push_back({asked.key, pending->answer.worker});
      relay_.SetEntry(asked.key, query.manager);
    } else if (HasRead(asked.worker)) {
      reply.absent.push_back(asked.key);
    }
  }
  Send(query.manager, reply);
  SendAnswers();
}

// Whether this owner holds the worker and has read what runs there.
bool OwnerAgent::Impl::HasRead(const WorkerId& id) {
  const WorkerRecord* worker = id.empty() ? nullptr : keeper_.Find(id);
  return worker != nullptr && worker->lease.state() == LeaseState::kOwned;
}

void OwnerAgent::Impl::ExpireJobEpochs() {
  const util::TimePoint now = clock_.Now();
  for (auto it = job_epochs_.begin(); it != job_epochs_.end();) {
    it = now - it->second.heard > kJobEpochRetention ? job_epochs_.erase(it)
                                                     : std::next(it);
  }
}

}  // namespace chivedale
