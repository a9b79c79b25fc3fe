#include "chivedale/worker_health.h"

#include <algorithm>

// A failure can be caused by the worker or by the task. The results of the same
// kind on other workers distinguish the two: a kind that fails everywhere says
// nothing about a worker. They are consulted when the rate is computed, so that
// a worker that received a bad kind first is cleared once it has failed on
// other workers too.
namespace chivedale {
namespace {

// Samples of a kind needed from other workers to be used as evidence.
constexpr double kMinOtherSamples = 2;

}  // namespace

WorkerHealth::WorkerHealth(const util::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

void WorkerHealth::OnStart(const WorkerId& worker) {
  ++workers_[worker].in_flight;
}

void WorkerHealth::OnNotStarted(const WorkerId& worker) {
  Worker& state = workers_[worker];
  state.in_flight = std::max<int64_t>(0, state.in_flight - 1);
}

void WorkerHealth::OnEnd(const WorkerId& worker,
                         const std::string& kind,
                         bool ok) {
  Worker& state = workers_[worker];
  state.in_flight = std::max<int64_t>(0, state.in_flight - 1);
  Samples& own = state.kinds[kind];
  Samples& all = kinds_[kind];
  if (own.total() >= options_.sample_window) {
    // Samples that leave a worker's record leave the sum over all workers too.
    const double kept = 1 - 1 / options_.sample_window;
    all.ok -= own.ok * (1 - kept);
    all.failed -= own.failed * (1 - kept);
    own.ok *= kept;
    own.failed *= kept;
  }
  (ok ? own.ok : own.failed) += 1;
  (ok ? all.ok : all.failed) += 1;

  if (ok) {
    // One success ends the pauses; further ones lower the rate.
    state.pause = Millis(0);
    state.next_probe = clock_.Now();
    if (Rate(state) > options_.failing_rate) {
      for (auto& [name, samples] : state.kinds) {
        kinds_[name].failed -= samples.failed / 2;
        samples.failed /= 2;
      }
    }
    return;
  }
  if (Rate(state) > options_.failing_rate) {
    state.pause = state.pause.count() == 0
                      ? options_.first_pause
                      : std::min(state.pause * 2, options_.longest_pause);
    state.next_probe = clock_.Now() + state.pause;
  }
}

void WorkerHealth::Forget(const WorkerId& worker) {
  auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return;
  }
  for (const auto& [kind, samples] : it->second.kinds) {
    kinds_[kind].ok -= samples.ok;
    kinds_[kind].failed -= samples.failed;
  }
  workers_.erase(it);
}

double WorkerHealth::Attribution(const std::string& kind,
                                 const Samples& own) const {
  auto it = kinds_.find(kind);
  const double others = it->second.total() - own.total();
  if (others < kMinOtherSamples) {
    return 1;
  }
  const double failed = std::max(0.0, it->second.failed - own.failed);
  return std::max(0.0, 1 - failed / others);
}

WorkerHealth::Samples WorkerHealth::Attributed(const Worker& worker) const {
  Samples sum;
  for (const auto& [kind, samples] : worker.kinds) {
    sum.ok += samples.ok;
    sum.failed += samples.failed * Attribution(kind, samples);
  }
  return sum;
}

double WorkerHealth::Rate(const Worker& worker) const {
  const Samples sum = Attributed(worker);
  if (sum.total() < options_.min_samples) {
    return 0;
  }
  return sum.failed / sum.total();
}

bool WorkerHealth::MayStart(const WorkerId& worker) const {
  auto it = workers_.find(worker);
  if (it == workers_.end()) {
    return true;
  }
  const Worker& state = it->second;
  const double rate = Rate(state);
  if (rate <= options_.suspect_rate) {
    return true;
  }
  if (state.in_flight > 0) {
    return false;
  }
  return rate <= options_.failing_rate || clock_.Now() >= state.next_probe;
}

util::TimePoint WorkerHealth::NextProbe(const WorkerId& worker) const {
  auto it = workers_.find(worker);
  if (it == workers_.end() || it->second.next_probe <= clock_.Now()) {
    return util::TimePoint::max();
  }
  return it->second.next_probe;
}

double WorkerHealth::FailureRate(const WorkerId& worker) const {
  auto it = workers_.find(worker);
  return it == workers_.end() ? 0 : Rate(it->second);
}

bool WorkerHealth::failing(const WorkerId& worker) const {
  return FailureRate(worker) > options_.failing_rate;
}

}  // namespace chivedale
