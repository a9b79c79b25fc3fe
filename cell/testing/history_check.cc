#include "cell/testing/history_check.h"

#include <rapidcheck.h>

#include "cell/testing/liveness_check.h"
#include "cell/testing/random_jobs.h"

namespace chivedale::cell::testing {
namespace {

constexpr Millis kWaveDeadline{10'000};

}  // namespace

Millis SettleTime() {
  const ElectionOptions election;
  const Millis store_timeout{1'000};   // kCellTimeout in node.cc
  const Millis fencing_delay{1'500};   // kFencingDelay in leader.cc
  const Millis longest_avoid{12'000};  // kMaxAvoid in executor_health.cc
  return election.beat_timeout + election.max_jitter + store_timeout +
         election.retry + LeaderOptions().lease * 103 / 100 + fencing_delay +
         kLongestEstimate * 3 / 2 + longest_avoid;
}

void CheckHistory(FakeCell& cell,
                  bool may_not_fit,
                  const std::map<JobId, SeenJob>& forgotten) {
  for (const std::string& what : cell.executors.violations()) {
    const size_t at = what.find(": ");
    RC_FAIL(what + "\n" + cell.log.Lines(what.substr(at + 2, 16)) +
            cell.log.Lines(" cell_"));
  }
  RC_ASSERT(cell.leader() != nullptr);
  for (const JobId& id : cell.accepted()) {
    auto state = cell.StateOf(id);
    const auto before = forgotten.find(id);
    bool cancelled = cell.cancelled().count(id) > 0 ||
                     cell.store.Find(CancelKey(id)) != nullptr;
    if (!state && before != forgotten.end()) {
      state = before->second.state;
      cancelled = cancelled || before->second.cancellation_stored;
    }
    if (!state) {
      RC_FAIL("accepted job is unknown: " + id + "\n" + cell.log.Lines(id));
    }
    if (may_not_fit && !LivenessCheck(cell).FitsOnEmptyPool(id)) {
      continue;  // advice allows too few executors
    }
    const bool ended = *state == JobState::kCompleted ||
                       *state == JobState::kFailed ||
                       *state == JobState::kCancelled;
    if (!ended || (*state == JobState::kCancelled && !cancelled)) {
      RC_FAIL("job " + id + " is " + std::string(JobStateName(*state)) + "\n" +
              cell.log.Lines(id));
    }
  }
  for (const JobId& id : cell.refused()) {
    if (cell.accepted().count(id) == 0 &&
        cell.executors.EverStarted(id + ".0.0.0") &&
        cell.store.Find(JobKey(id)) == nullptr && forgotten.count(id) == 0) {
      RC_FAIL("refused job was started: " + id);
    }
  }
  for (const JobId& id : cell.gone()) {
    const StoreItem* item = cell.store.Find(JobKey(id));
    if (cell.accepted().count(id) > 0 ||
        (item != nullptr && !IsTombstone(item->value)) ||
        cell.executors.EverStarted(id + ".0.0.0")) {
      RC_FAIL("a job was stored although its cancellation found none: " + id +
              "\n" + cell.log.Lines(id));
    }
  }
  RC_ASSERT(cell.executors.running() == 0);
  // Executors list a limited number of ends until they are acknowledged.
  RC_ASSERT(cell.executors.listed_ends() == 0u);
}

void RandomWaves::Announce() {
  UpkeepWave wave;
  wave.deadline = kWaveDeadline;
  wave.max_concurrent = 2;
  for (const auto& [vm, info] : cell_.vms) {
    if (announced_.count(vm) == 0 && wave.vms.size() < 3) {
      wave.vms.push_back(vm);
      announced_.insert(vm);
    }
  }
  if (!wave.vms.empty()) {
    wave.number = ++waves_;
    cell_.Announce(wave);
  }
}

void RandomWaves::Check() const {
  if (!cell_.wave_violations.empty()) {
    RC_FAIL(cell_.wave_violations[0] + "\n" + cell_.log.Lines(" upkeep_") +
            cell_.log.Lines(" cell_"));
  }
  for (int64_t wave = 1; wave <= waves_; ++wave) {
    if (!cell_.wave_status[wave]) {
      RC_FAIL("wave " + std::to_string(wave) + " has not completed\n" +
              cell_.log.Lines(" upkeep_") + cell_.log.Lines(" wave_") +
              cell_.log.Lines(" cell_"));
    }
  }
}

}  // namespace chivedale::cell::testing
