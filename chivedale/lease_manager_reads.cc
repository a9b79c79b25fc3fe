#include <algorithm>

#include "chivedale/lease_manager.h"

// Reads a worker after a claim and polls it for completions. The task list is
// read before the completions, so that a task that ends in between appears in
// both.
namespace chivedale {
namespace {

constexpr Millis kReadRetry{100};
// Minimum interval between polls that return no completions.
constexpr Millis kPollPause{20};
// Reading from sequence 0 at this interval finds completions that became
// visible below the highest sequence seen.
constexpr Millis kFullPollInterval{2'000};

}  // namespace

void LeaseManager::Probe(WorkerRecord& worker) {
  worker.calling = true;
  port_.List(worker.id, Guard<TaskList>(worker, [this](WorkerRecord& record,
                                                       const TaskList& list) {
               record.calling = false;
               if (list.status == WorkerCallStatus::kOk) {
                 Claim(record);
               } else {
                 BackOff(record);
               }
             }));
}

void LeaseManager::Read(WorkerRecord& worker) {
  worker.reading = true;
  port_.List(worker.id, Guard<TaskList>(worker, [this](WorkerRecord& record,
                                                       const TaskList& list) {
               OnListed(record, list);
             }));
}

void LeaseManager::OnListed(WorkerRecord& worker, const TaskList& list) {
  if (worker.lease.state() != LeaseState::kReading) {
    return;
  }
  if (list.status != WorkerCallStatus::kOk) {
    worker.reading = false;
    worker.next_try = clock_.Now() + kReadRetry;
    return;
  }
  const CompletionsRequest request{worker.lease.token(), 0,
                                   listener_.AcksFor(worker), Millis(0)};
  port_.Completions(
      worker.id, request,
      Guard<CompletionsResult>(
          worker, [this, list, acks = request.acks](
                      WorkerRecord& record, const CompletionsResult& result) {
            record.reading = false;
            if (record.lease.state() != LeaseState::kReading) {
              return;
            }
            if (result.status != WorkerCallStatus::kOk) {
              record.next_try = clock_.Now() + kReadRetry;
              return;
            }
            listener_.OnAcksDelivered(record, acks);
            for (const Completion& completion : result.completions) {
              record.after = std::max(record.after, completion.sequence);
            }
            const std::string& boot = record.lease.token().boot_id;
            const bool reboot = record.known_boot != boot;
            if (reboot) {
              record.refused_leaving = false;
            }
            record.known_boot = boot;
            record.next_poll = clock_.Now();
            record.next_full_poll = clock_.Now() + kFullPollInterval;
            record.lease.ListRead();
            listener_.OnRead(record, list.tasks, result.completions, reboot);
            record.taken_over = false;
            listener_.OnChange(record);
          }));
}

void LeaseManager::Poll(WorkerRecord& worker) {
  const util::TimePoint now = clock_.Now();
  worker.polling = true;
  worker.poll_sent = now;
  CompletionsRequest request{worker.lease.token(), worker.after,
                             listener_.AcksFor(worker),
                             options_.completion_wait};
  const bool full = now >= worker.next_full_poll;
  if (full) {
    request.after = 0;
    request.wait = Millis(0);
    worker.next_full_poll = now + kFullPollInterval;
  }
  port_.Completions(
      worker.id, request,
      Guard<CompletionsResult>(
          worker, [this, full, acks = request.acks](
                      WorkerRecord& record, const CompletionsResult& result) {
            OnPolled(record, result, acks, full);
          }));
}

void LeaseManager::OnPolled(WorkerRecord& worker,
                            const CompletionsResult& result,
                            const std::vector<uint64_t>& acks,
                            bool full) {
  const util::TimePoint now = clock_.Now();
  worker.polling = false;
  if (worker.lease.state() != LeaseState::kOwned) {
    return;
  }
  if (result.status != WorkerCallStatus::kOk) {
    // The next renewal shows whether the token or the worker failed.
    worker.next_poll = now + kReadRetry;
    return;
  }
  listener_.OnAcksDelivered(worker, acks);
  const uint64_t before = worker.after;
  for (const Completion& completion : result.completions) {
    worker.after = std::max(worker.after, completion.sequence);
  }
  // A full poll does not wait for completions. A pause after it would delay 1%
  // of all completions: those of 20 ms out of every 2 s.
  const bool waited = full || now - worker.poll_sent >= kPollPause;
  worker.next_poll = worker.after > before || waited ? now : now + kPollPause;
  if (!result.completions.empty()) {
    listener_.OnCompletions(worker, result.completions);
  }
}

}  // namespace chivedale
