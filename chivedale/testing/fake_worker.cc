// A dead worker receives a call and never answers, so the call ends with
// kUnreachable after the timeout. Only a removed worker is certain not to have
// received it.
#include "chivedale/testing/fake_worker.h"

namespace chivedale::testing {

void FakeWorker::Add(WorkerOptions options) {
  const WorkerId id = options.id;
  models_[id] = std::make_unique<WorkerModel>(queue_.clock(), queue_.random(),
                                              task_runs_, std::move(options));
}

void FakeWorker::Remove(const WorkerId& worker) {
  models_.at(worker)->Reboot();
  models_.erase(worker);
}

void FakeWorker::Resume(const WorkerId& worker) {
  model(worker).Resume();
  for (std::function<void()>& call : paused_[worker]) {
    queue_.Post(std::move(call));
  }
  paused_.erase(worker);
  ServeWorker(worker);
}

void FakeWorker::Call(
    const WorkerId& worker,
    std::function<std::function<void()>(WorkerModel&)> reached,
    std::function<void(WorkerCallStatus)> lost) {
  ++calls_;
  queue_.Post([this, worker, reached = std::move(reached),
               lost = std::move(lost)] { Deliver(worker, reached, lost); },
              delay_);
}

void FakeWorker::Deliver(
    const WorkerId& worker,
    const std::function<std::function<void()>(WorkerModel&)>& reached,
    const std::function<void(WorkerCallStatus)>& lost) {
  const auto it = models_.find(worker);
  if (it == models_.end()) {
    return queue_.Post([lost] { lost(WorkerCallStatus::kNotSent); }, delay_);
  }
  WorkerModel& model = *it->second;
  if (model.faults().paused) {
    paused_[worker].push_back(
        [this, worker, reached, lost] { Deliver(worker, reached, lost); });
    return;
  }
  if (model.faults().dead) {
    return queue_.Post([lost] { lost(WorkerCallStatus::kUnreachable); },
                       timeout_);
  }
  std::function<void()> answer = reached(model);
  if (answer) {
    queue_.Post(std::move(answer), delay_);
  } else {
    queue_.Post([lost] { lost(WorkerCallStatus::kUnreachable); }, timeout_);
  }
  ServeWorker(worker);
}

// Answers waiting polls and schedules the worker's next event.
void FakeWorker::ServeWorker(const WorkerId& worker) {
  const auto it = models_.find(worker);
  if (it == models_.end()) {
    return;
  }
  WorkerModel& model = *it->second;
  model.Tick();
  if (!model.faults().dead && !model.faults().paused) {
    const auto polls = polls_;
    for (const auto& poll : polls) {
      if (poll->worker == worker &&
          (model.HasCompletions(poll->request.after) ||
           !model.Accepts(poll->request.token))) {
        AnswerPoll(poll);
      }
    }
  }
  const util::TimePoint next = model.NextEvent();
  if (next != util::TimePoint::max()) {
    queue_.Post([this, worker] { ServeWorker(worker); },
                std::chrono::ceil<Millis>(next - queue_.clock().Now()));
  }
}

void FakeWorker::AnswerPoll(const std::shared_ptr<Poll>& poll) {
  const size_t before = polls_.size();
  polls_.remove(poll);
  if (polls_.size() == before) {
    return;
  }
  const auto it = models_.find(poll->worker);
  CompletionsResult result;
  if (it != models_.end() && !it->second->faults().dead &&
      !it->second->faults().paused) {
    WorkerModel& model = *it->second;
    result = model.Completions(poll->request);
    if (model.faults().lose_completions > 0) {
      --model.faults().lose_completions;
      result = {};
    }
  }
  queue_.Post([poll, result] { poll->done(result); }, delay_);
}

void FakeWorker::Lease(const WorkerId& worker,
                       const MemberId& owner,
                       const LeaseToken& token,
                       Millis ttl,
                       std::function<void(LeaseResult)> done) {
  Call(
      worker,
      [owner, token, ttl, done](WorkerModel& model) {
        const LeaseResult result = model.Lease(owner, token, ttl);
        return [done, result] { done(result); };
      },
      [done](WorkerCallStatus status) {
        LeaseResult result;
        result.status = status;
        done(result);
      });
}

void FakeWorker::Release(const WorkerId& worker,
                         const MemberId& owner,
                         const LeaseToken& token,
                         std::function<void(WorkerCallStatus)> done) {
  Call(
      worker,
      [owner, token, done](WorkerModel& model) {
        const WorkerCallStatus status = model.Release(owner, token);
        return [done, status] { done(status); };
      },
      done);
}

void FakeWorker::List(const WorkerId& worker,
                      std::function<void(TaskList)> done) {
  Call(
      worker,
      [done](WorkerModel& model) {
        const TaskList list = model.List();
        return [done, list] { done(list); };
      },
      [done](WorkerCallStatus status) {
        done({status, {}});
      });
}

void FakeWorker::Start(const WorkerId& worker,
                       const StartRequest& request,
                       std::function<void(StartOutcome)> done) {
  Call(
      worker,
      [request, done](WorkerModel& model) -> std::function<void()> {
        const StartOutcome outcome = model.Start(request);
        if (model.faults().lose_starts > 0) {
          --model.faults().lose_starts;
          return {};
        }
        return [done, outcome] { done(outcome); };
      },
      [done](WorkerCallStatus status) {
        done(status == WorkerCallStatus::kNotSent ? StartOutcome::kNotSent
                                                  : StartOutcome::kUnknown);
      });
}

void FakeWorker::Completions(const WorkerId& worker,
                             const CompletionsRequest& request,
                             std::function<void(CompletionsResult)> done) {
  auto poll = std::make_shared<Poll>(Poll{worker, request, done});
  Call(
      worker,
      [this, poll](WorkerModel& model) {
        model.Acknowledge(poll->request);
        // Answered by ServeWorker when there are completions, otherwise when
        // the wait ends.
        polls_.push_back(poll);
        queue_.Post([this, poll] { AnswerPoll(poll); }, poll->request.wait);
        return [] {};
      },
      [done](WorkerCallStatus status) {
        done({status, {}});
      });
}

void FakeWorker::Control(const WorkerId& worker,
                         const LeaseToken& token,
                         const TaskKey& key,
                         TaskControl control,
                         std::function<void(WorkerCallStatus)> done) {
  Call(
      worker,
      [token, key, control, done](WorkerModel& model) {
        const WorkerCallStatus status = model.Control(token, key, control);
        return [done, status] { done(status); };
      },
      done);
}

}  // namespace chivedale::testing
