// Each message type has one handler; an unhandled new type does not compile.
#include "chivedale/scheduler_parts.h"

#include <utility>

namespace chivedale {

void Scheduler::OwnerEvents::SendToMember(const MemberId& to,
                                          const Message& message) {
  scheduler_.SendToMember(to, message);
}

void Scheduler::OwnerEvents::OnCapacityFreed() {
  scheduler_.room_changed_ = true;
}

void Scheduler::OwnerEvents::SendToHolder(const Register& message) {
  const MemberId holder = scheduler_.parts_->directory.HolderOf(
      message.request, message.repeatable);
  if (!holder.empty()) {
    scheduler_.SendToMember(holder, message);
  }
}

void Scheduler::OwnerEvents::OnRunTime(const std::string&, Millis) {
  // The entry learns run times from the answers to its own work.
}

void Scheduler::JobEvents::Enqueue(const Dispatch& dispatch,
                                   util::TimePoint not_before) {
  Parts& parts = *scheduler_.parts_;
  const WorkRow* row = FindRow(dispatch.kind);
  DispatchTask task;
  task.dispatch = dispatch;
  task.enqueued = scheduler_.deps_.clock.Now();
  task.deadline = util::TimePoint::max();
  task.not_before = not_before;
  if (row != nullptr) {
    task.region = row->region;
    task.cost = parts.run_times.Cost(*row, dispatch.size);
  }
  attempts_[dispatch.key.task] = dispatch.key.attempt;
  parts.dispatcher.Requeue(std::move(task), *this);
}

void Scheduler::JobEvents::CancelAttempt(const TaskKey& key,
                                         const MemberId& owner) {
  Parts& parts = *scheduler_.parts_;
  if (parts.dispatcher.Withdraw(key.task)) {
    DispatchReply reply;
    reply.key = key;
    reply.outcome = DispatchOutcome::kRefused;
    parts.jobs.OnDispatchReply(scheduler_.self_.id, reply);
    return;
  }
  if (!parts.dispatcher.Stop(key.task, /*checkpoint=*/false) &&
      !owner.empty()) {
    scheduler_.SendToMember(owner, chivedale::Cancel{key, false});
  }
}

void Scheduler::JobEvents::RemoveFromQueue(const TaskKey& key) {
  attempts_.erase(key.task);
  scheduler_.parts_->dispatcher.Forget(key.task);
}

void Scheduler::JobEvents::SendToMember(const MemberId& to,
                                        const Message& message) {
  scheduler_.SendToMember(to, message);
}

const WorkRow* Scheduler::JobEvents::FindRow(const std::string& kind) const {
  return scheduler_.parts_->replica.table().FindRow(kind);
}

std::vector<Summary> Scheduler::JobEvents::Summaries() const {
  return scheduler_.parts_->routing.Summaries();
}

uint32_t Scheduler::JobEvents::NextAttempt(const TaskId& task) {
  return attempts_[task];
}

void Scheduler::JobEvents::OnAttemptStarted(const MemberId& owner,
                                            const DispatchReply& reply) {
  scheduler_.parts_->jobs.OnDispatchReply(owner, reply);
}

bool Scheduler::JobEvents::OnAttemptEnded(const MemberId& owner,
                                          const Answer& answer) {
  attempts_.erase(answer.key.task);
  scheduler_.parts_->jobs.OnAnswer(owner, answer);
  return false;  // acknowledged once the outcome is in the store
}

// Tasks of jobs have no deadline (see Enqueue).
void Scheduler::JobEvents::OnExpired(const TaskId&) {}

namespace {

Millis OrphanTimeoutOf(const Settings& settings) {
  return OrphanTimeout(settings.lease_ttl, settings.orphan_ttl);
}

}  // namespace

Scheduler::Parts::Parts(Scheduler& scheduler_in)
    : scheduler(scheduler_in),
      owner_events(scheduler),
      job_events(scheduler),
      store(scheduler.deps_.store,
            scheduler.deps_.metrics,
            scheduler.deps_.log),
      burn(scheduler.deps_.clock),
      queue(scheduler.deps_.clock,
            [&] {
              FairQueue::Options options;
              options.max_items = scheduler.settings_.max_queued;
              options.policy = scheduler.settings_.queue_policy;
              return options;
            }()),
      limits(scheduler.deps_.clock, scheduler.self_.id),
      routing(scheduler.deps_.clock,
              scheduler.deps_.random,
              scheduler.self_,
              scheduler.settings_.routing),
      admission(scheduler.deps_.clock, queue, limits, run_times),
      retries(scheduler.deps_.clock,
              scheduler.deps_.random,
              RetryPolicy::Options()),
      ledger(scheduler.deps_.clock,
             [&] {
               RequestLedger::Options options;
               options.answer_retention = scheduler.settings_.answer_retention;
               return options;
             }()),
      records(scheduler.deps_.clock,
              scheduler.deps_.random,
              store,
              [&] {
                RecordLog::Options options;
                options.record_groups = scheduler.settings_.record_groups;
                return options;
              }()),
      directory(scheduler.deps_.clock,
                scheduler.self_,
                records,
                [&] {
                  RequestDirectory::Options options;
                  options.record_groups = scheduler.settings_.record_groups;
                  options.orphan_timeout = OrphanTimeoutOf(scheduler.settings_);
                  return options;
                }()),
      registrar(scheduler.deps_.clock,
                directory,
                scheduler,
                scheduler.self_.id,
                Registrar::Options()),
      owner(
          scheduler.deps_.clock,
          scheduler.deps_.random,
          scheduler.deps_.workers,
          owner_events,
          scheduler.self_,
          [&] {
            OwnerAgent::Options options;
            options.lease_ttl = scheduler.settings_.lease_ttl;
            options.orphan_ttl = scheduler.settings_.orphan_ttl;
            options.placement = scheduler.settings_.placement;
            return options;
          }(),
          &scheduler.deps_.log),
      dispatcher({scheduler.deps_.clock, queue, run_times, limits, routing,
                  owner, scheduler, scheduler.deps_.metrics},
                 scheduler.self_.id,
                 [&] {
                   Dispatcher::Options options;
                   options.orphan_timeout =
                       OrphanTimeoutOf(scheduler.settings_);
                   return options;
                 }()),
      entry({scheduler.deps_.clock, scheduler.deps_.random, ledger, registrar,
             admission, dispatcher, owner, retries, run_times, limits, routing,
             burn, scheduler, scheduler.deps_.metrics, scheduler.deps_.log},
            scheduler.self_.id,
            [&] {
              EntryAgent::Options options;
              options.max_deadline = scheduler.settings_.max_deadline;
              return options;
            }()),
      jobs(scheduler.deps_.clock,
           scheduler.deps_.random,
           store,
           job_events,
           scheduler.self_.id,
           [&] {
             JobManager::Options options;
             options.orphan_timeout = OrphanTimeoutOf(scheduler.settings_);
             return options;
           }()),
      editor(scheduler.deps_.clock, store),
      replica(
          scheduler.deps_.clock,
          store,
          scheduler.self_,
          [this](const MemberId& to, const Message& message) {
            scheduler.SendToMember(to, message);
          },
          [this](const Table& table) { scheduler.OnTableApplied(table); }),
      lifecycle([this](LifecycleState state) { scheduler.OnLifecycle(state); }),
      membership(scheduler.deps_.clock,
                 scheduler.deps_.random,
                 scheduler.deps_.peers,
                 scheduler.self_,
                 Membership::Options(),
                 Membership::Hooks{
                     [this] {
                       Membership::PingPayload payload;
                       payload.table_revision = replica.table().revision;
                       for (const auto& [kind, row] : replica.table().rows) {
                         limits.SetQueued(kind, queue.QueuedOf(kind));
                       }
                       payload.demand = limits.OwnDemand();
                       // All members have to compute the shares from the same
                       // figures.
                       limits.OnDemand(scheduler.self_.id, payload.demand);
                       return payload;
                     },
                     [this](const MemberInfo& member) {
                       scheduler.OnMemberChanged(member);
                     },
                     [this](const MemberId& member,
                            const Membership::PingPayload& payload) {
                       replica.OnRevision(member, payload.table_revision);
                       limits.OnDemand(member, payload.demand);
                     },
                     [this] { entry.OnDeclaredDead(); }}),
      vm_list(scheduler.deps_.clock, VmList::Options()) {}

// One overload per message type.
class Scheduler::MessageHandler {
 public:
  MessageHandler(Parts& parts, const MemberId& from)
      : parts_(parts), from_(from) {}

  void operator()(const Hello&) {}
  void operator()(const Ping& m) { parts_.membership.OnPing(from_, m); }
  void operator()(const PingReply& m) {
    parts_.membership.OnPingReply(from_, m);
  }
  void operator()(const PingRequest& m) {
    parts_.membership.OnPingRequest(from_, m);
  }
  void operator()(const Summary& m) { parts_.routing.OnSummary(m); }
  void operator()(const Dispatch& m) { parts_.owner.OnDispatch(m); }
  void operator()(const DispatchReply& m) {
    if (IsUntrackedJobTask(m.key)) {
      parts_.jobs.OnDispatchReply(from_, m);
    } else {
      parts_.dispatcher.OnDispatchReply(from_, m);
    }
  }
  void operator()(const Answer& m) {
    if (IsUntrackedJobTask(m.key)) {
      parts_.jobs.OnAnswer(from_, m);
    } else {
      parts_.dispatcher.OnAnswer(from_, m);
    }
  }
  void operator()(const AnswerAck& m) { parts_.owner.OnAnswerAck(m); }
  void operator()(const chivedale::Cancel& m) { parts_.owner.OnCancel(m); }
  void operator()(const WorkerTaken& m) {
    parts_.owner.OnWorkerTakenOver(m);
    parts_.dispatcher.OnWorkerTakenOver(m);
    parts_.jobs.OnWorkerTaken(m);
  }
  void operator()(const Register& m) {
    Scheduler& scheduler = parts_.scheduler;
    const MemberId to = from_;
    parts_.directory.OnRegister(m, [&scheduler, to](const RegisterReply& r) {
      scheduler.SendToMember(to, r);
      scheduler.Flush();
    });
  }
  void operator()(const RegisterReply& m) {
    if (!parts_.registrar.OnReply(m)) {
      parts_.owner.OnRegisterReply(m);
    }
  }
  void operator()(const Unregister& m) { parts_.directory.OnUnregister(m); }
  void operator()(const Attach& m) {
    if (!parts_.entry.OnAttach(m)) {
      parts_.owner.OnAttach(m);
    }
  }
  void operator()(const AttachAnswer& m) {
    parts_.entry.OnAttachAnswer(from_, m);
  }
  void operator()(const EntryGone& m) { parts_.directory.OnEntryGone(m); }
  void operator()(const TablePull& m) { parts_.replica.OnPull(from_, m); }
  void operator()(const TableData& m) { parts_.replica.OnData(m); }
  void operator()(const Hold& m) { parts_.owner.OnHold(from_, m); }
  void operator()(const HoldReply& m) { parts_.jobs.OnHoldReply(from_, m); }
  void operator()(const HoldRelease& m) { parts_.owner.OnHoldRelease(m); }
  // Messages of the other kind of cell (cell/), which this daemon never
  // receives.
  void operator()(const CellBeat&) {}
  void operator()(const JobStateCall&) {}
  void operator()(const JobStateAnswer&) {}
  void operator()(const AdviceCall&) {}
  void operator()(const AdviceAnswer&) {}
  void operator()(const JobStoreCall&) {}
  void operator()(const JobStoreAnswer&) {}
  void operator()(const JobNotice&) {}
  void operator()(const LeaderQuery&) {}
  void operator()(const LeaderHeard&) {}
  void operator()(const FollowCall&) {}
  void operator()(const FollowAnswer&) {}
  void operator()(const OwnedStateCall&) {}
  void operator()(const OwnedCancelCall&) {}
  void operator()(const TableCall&) {}
  void operator()(const TableConfirmation&) {}
  void operator()(const Handover& m) { parts_.owner.OnHandover(m); }
  void operator()(const JobQuery& m) { parts_.owner.OnJobQuery(m); }
  void operator()(const JobQueryReply& m) {
    if (m.job.empty()) {
      parts_.dispatcher.OnQueryReply(from_, m);
    } else {
      parts_.jobs.OnJobQueryReply(from_, m);
    }
  }
  void operator()(const JobChanged& m) { parts_.jobs.OnJobChanged(m); }

 private:
  // Whether the attempt belongs to a job but is not tracked by the dispatcher:
  // it is part of a gang or of an earlier manager.
  bool IsUntrackedJobTask(const TaskKey& key) const {
    return JobManager::IsJobTask(key.task) && !parts_.dispatcher.IsSent(key);
  }

  Parts& parts_;
  const MemberId& from_;
};

void Scheduler::Parts::Handle(const MemberId& from, const Message& message) {
  std::visit(MessageHandler(*this, from), message);
}

}  // namespace chivedale
