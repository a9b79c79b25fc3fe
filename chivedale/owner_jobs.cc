// A job's manager that takes over, or that lost an owner, queries every owner
// for the recorded attempts. The epoch of the query fences starts of earlier
// managers that are still in transit; otherwise such a start could follow a
// reply of "absent".
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

// Query of an entry for attempts of requests whose owner died. It has no job
// and no epoch, and every attempt that is not here is absent.
void OwnerAgent::Impl::OnRequestQuery(const JobQuery& query) {
  if (!lease_manager_.has_read_all()) {
    return;
  }
  JobQueryReply reply;
  for (const JobAttempt& queried : query.attempts) {
    if (Attempt* attempt = tracker_.Find(queried.key)) {
      reply.present.push_back({queried.key, attempt->worker});
    } else if (const auto* pending = relay_.Find(queried.key)) {
      reply.present.push_back({queried.key, pending->answer.worker});
    } else {
      reply.absent.push_back(queried.key);
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
  known.last_seen = clock_.Now();
  JobQueryReply reply;
  reply.job = query.job;
  reply.epoch = query.epoch;
  reply.round = query.round;
  for (const JobAttempt& queried : query.attempts) {
    if (Attempt* attempt = tracker_.Find(queried.key)) {
      attempt->entry = query.manager;
      reply.present.push_back({queried.key, attempt->worker});
    } else if (const auto* pending = relay_.Find(queried.key)) {
      reply.present.push_back({queried.key, pending->answer.worker});
      relay_.SetEntry(queried.key, query.manager);
    } else if (HasRead(queried.worker)) {
      reply.absent.push_back(queried.key);
    }
  }
  Send(query.manager, reply);
  SendAnswers();
}

// Whether this owner holds the worker and has read its tasks.
bool OwnerAgent::Impl::HasRead(const WorkerId& id) {
  const WorkerRecord* worker = id.empty() ? nullptr : lease_manager_.Find(id);
  return worker != nullptr && worker->lease.state() == LeaseState::kOwned;
}

void OwnerAgent::Impl::ExpireJobEpochs() {
  const util::TimePoint now = clock_.Now();
  for (auto it = job_epochs_.begin(); it != job_epochs_.end();) {
    it = now - it->second.last_seen > kJobEpochRetention ? job_epochs_.erase(it)
                                                         : std::next(it);
  }
}

}  // namespace chivedale
