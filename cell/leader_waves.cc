// Upkeep waves. Before its upkeep a VM is cleared: it gets no new tasks, tasks
// with checkpoints are stopped, long-running tasks are stopped as far as their
// step's max_unavailable allows, or at once if it is 0, and other tasks get a
// grace period to end. The upkeep order is idempotent, so it is repeated if its
// answer is lost.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/decode.h"
#include "cell/leader.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

constexpr Millis kWaveCheckInterval{200};
constexpr Millis kVmListInterval{1'000};
constexpr Millis kWaveTimeout{1'000};
constexpr Millis kOrderRetry{400};
// Bounds of the time in which runs on a VM may end by themselves.
constexpr Millis kMinGracePeriod{300};
constexpr Millis kMaxGracePeriod{5'000};
// Time reserved per VM, in addition to its upkeep, when the time until the
// wave's deadline is divided among the VMs.
constexpr Millis kVmTimeMargin{1'500};

}  // namespace

void CellLeader::AddWave(const UpkeepWave& wave) {
  const auto [found, added] = waves_.try_emplace(wave.number);
  WaveState& state = found->second;
  const TimePoint now = context_.clock.Now();
  if (added || state.wave.vms != wave.vms) {
    state.vms_named = now;
  }
  state.wave = wave;
  if (added) {
    state.announced = now;
    LoadWave(wave.number);
  }
}

void CellLeader::LoadWave(int64_t number) {
  context_.store.Read(
      kWaveProgressPrefix + std::to_string(number), kWaveTimeout,
      Guard([this, number](const StoreRead& read) {
        if (read.status != StoreStatus::kOk &&
            read.status != StoreStatus::kNotFound) {
          context_.run_after(kOrderRetry,
                             Guard([this, number] { LoadWave(number); }));
          return;
        }
        WaveState& state = waves_.at(number);
        state.loaded = true;
        if (read.items.empty()) {
          return;
        }
        const json started_vms = ParseMsgpack(read.items[0].value);
        if (!started_vms.is_array()) {
          context_.log.Write(
              Event::kCellBadRecord,
              {{"key", read.items[0].key}, {"reason", "not a list of VMs"}});
          return;
        }
        for (const json& vm : started_vms) {
          if (auto name = TextIn(vm, kMaxNameBytes)) {
            state.started_vms.insert(std::move(*name));
          }
        }
      }));
}

void CellLeader::RunWaves() {
  const TimePoint now = context_.clock.Now();
  if (waves_.empty() || now < next_wave_check_ || !may_start()) {
    return;
  }
  next_wave_check_ = now + kWaveCheckInterval;
  bool open = false;
  for (auto& [number, state] : waves_) {
    if (!state.completed && state.loaded) {
      open = true;
      RunWave(state);
    }
  }
  if (open && now >= next_vm_list_ && !vm_list_in_flight_) {
    ListVms();
  }
}

void CellLeader::ListVms() {
  vm_list_in_flight_ = true;
  const TimePoint now = context_.clock.Now();
  next_vm_list_ = now + kVmListInterval;
  context_.vms.List(
      Guard([this, now](const std::optional<std::vector<VmInfo>>& list) {
        vm_list_in_flight_ = false;
        if (!list) {
          return;
        }
        vms_requested_ = now;
        vms_.clear();
        for (const VmInfo& vm : *list) {
          vms_[vm.vm] = vm;
        }
      }));
}

void CellLeader::RunWave(WaveState& state) {
  // An earlier list, read for another wave, may lack VMs that this one names,
  // and show executors that are gone.
  if (vms_.empty() || vms_requested_ <= state.vms_named) {
    return;
  }
  if (!state.running_reported) {
    state.running_reported = true;
    context_.write_wave_status(
        state.wave.number, false,
        Guard([this, number = state.wave.number](bool written) {
          waves_.at(number).running_reported = written;
        }));
  }
  for (auto it = state.upkeeps.begin(); it != state.upkeeps.end();) {
    VmUpkeep& upkeep = it->second;
    if (upkeep.phase == VmPhase::kDown && ObserveUpkeep(it->first, upkeep)) {
      it = state.upkeeps.erase(it);
      continue;
    }
    if (upkeep.phase == VmPhase::kClearing) {
      ClearVm(state, it->first, upkeep);
    }
    ++it;
  }
  while (static_cast<int>(state.upkeeps.size()) < state.wave.max_concurrent &&
         PickVm(state)) {
  }
  const bool any_left = std::any_of(
      state.wave.vms.begin(), state.wave.vms.end(),
      [&](const std::string& vm) { return NeedsUpkeep(state, vm); });
  if (!any_left && state.upkeeps.empty()) {
    state.completed = true;
    context_.write_wave_status(
        state.wave.number, true,
        Guard([this, number = state.wave.number](bool written) {
          waves_.at(number).completed = written;
          if (written) {
            context_.log.Write(Event::kWaveEnded,
                               {{"wave", std::to_string(number)}});
          }
        }));
  }
}

// Applies what the VM and its executor show; returns true if the upkeep is
// over. An order is answered with kOk also if the upkeep is already done,
// perhaps on the order of a predecessor. Only what the VM and its executor do
// afterwards shows which it was.
bool CellLeader::ObserveUpkeep(const std::string& vm, const VmUpkeep& upkeep) {
  const auto info = vms_.find(vm);
  if (info == vms_.end()) {
    return true;
  }
  Executor* executor = FindExecutor(upkeep.executor);
  const bool replaced = info->second.executor != upkeep.executor;
  if (replaced || info->second.state != VmState::kUp) {
    if (executor != nullptr) {
      MarkAllRunsLost(*executor, "upkeep of its VM");
    }
    return replaced && info->second.state == VmState::kUp;
  }
  if (executor == nullptr) {
    return false;
  }
  if (executor->answered_hold_sent > upkeep.since) {
    executor->cordoned = false;
    return true;
  }
  // Calls the executor until it answers.
  executor->missed_holds = std::max(executor->missed_holds, 1);
  return false;
}

// Starts to clear the VM with the fewest runs. Returns false if none is left.
bool CellLeader::PickVm(WaveState& state) {
  const std::string* best = nullptr;
  size_t best_runs = 0;
  for (const std::string& vm : state.wave.vms) {
    if (!NeedsUpkeep(state, vm) || state.upkeeps.count(vm) > 0) {
      continue;
    }
    const VmInfo& info = vms_.at(vm);
    if (info.state != VmState::kUp) {
      continue;
    }
    const Executor* executor = FindExecutor(info.executor);
    const size_t runs = executor == nullptr ? 0 : executor->runs().size();
    if (best == nullptr || runs < best_runs) {
      best = &vm;
      best_runs = runs;
    }
  }
  if (best == nullptr) {
    return false;
  }
  VmUpkeep& upkeep = state.upkeeps[*best];
  upkeep.since = context_.clock.Now();
  upkeep.executor = vms_.at(*best).executor;
  if (Executor* executor = FindExecutor(upkeep.executor)) {
    executor->cordoned = true;
  }
  return true;
}

// A VM that is not listed is gone and needs no upkeep, unless it is listed
// again before the wave has ended.
bool CellLeader::NeedsUpkeep(const WaveState& state,
                             const std::string& vm) const {
  return state.started_vms.count(vm) == 0 && vms_.count(vm) > 0;
}

Duration CellLeader::GracePeriodOf(const WaveState& state) const {
  const int64_t left = std::count_if(
      state.wave.vms.begin(), state.wave.vms.end(),
      [&](const std::string& vm) { return NeedsUpkeep(state, vm); });
  const int64_t rounds = std::max<int64_t>(
      1, (left + state.wave.max_concurrent - 1) / state.wave.max_concurrent);
  const Duration time =
      state.announced + state.wave.deadline - context_.clock.Now();
  return std::clamp<Duration>(
      time / rounds - options_.upkeep_time - kVmTimeMargin, kMinGracePeriod,
      kMaxGracePeriod);
}

bool CellLeader::MayInterrupt(const Step& step, int task) const {
  int unavailable = 0;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    if (static_cast<int>(i) == task) {
      continue;
    }
    bool is_available = false;
    const std::string name = step.NameOf(static_cast<int>(i)).Text();
    for (const auto& [id, count] : step.live_on) {
      const auto& runs = executors_.at(id)->runs();
      const auto run = runs.find(name);
      is_available =
          is_available ||
          (run != runs.end() && run->second.phase == RunPhase::kRunning &&
           run->second.running_since != TimePoint() &&
           run->second.pace_percent == 100);
    }
    unavailable += is_available ? 0 : 1;
  }
  return unavailable < step.spec->max_unavailable;
}

void CellLeader::ClearVm(WaveState& state,
                         const std::string& vm,
                         VmUpkeep& upkeep) {
  Executor* executor = FindExecutor(upkeep.executor);
  bool clear = true;
  if (executor != nullptr) {
    executor->cordoned = true;
    const bool in_grace_period =
        context_.clock.Now() - upkeep.since < GracePeriodOf(state);
    for (auto& [name, run] : executor->runs()) {
      if (run.step == nullptr) {
        clear = clear && run.phase == RunPhase::kStopping;
        continue;
      }
      const StepSpec& spec = *run.step->spec;
      const bool availability_bound =
          spec.long_running && spec.max_unavailable > 0;
      clear = clear && !availability_bound && !in_grace_period;
      if (run.phase != RunPhase::kRunning) {
        continue;
      }
      if (spec.long_running) {
        if (!availability_bound || MayInterrupt(*run.step, run.name.index)) {
          StopRun(*executor, run, "upkeep of its VM");
        }
      } else if (spec.checkpoints && !spec.gang) {
        StopRun(*executor, run, "upkeep of its VM");
      }
    }
    // Ends that are not stored yet would be lost with the executor.
    clear = clear && executor->ends_read == executor->ends_stored;
  }
  if (clear) {
    upkeep.phase = VmPhase::kOrdering;
    OrderUpkeep(state.wave.number, vm);
  }
}

void CellLeader::OrderUpkeep(int64_t number, const std::string& vm) {
  context_.vms.StartUpkeep(vm, number, leadership_.fence,
                           Guard([this, number, vm](VmOrderResult result) {
                             OnUpkeep(number, vm, result);
                           }));
}

void CellLeader::OnUpkeep(int64_t number,
                          const std::string& vm,
                          VmOrderResult result) {
  WaveState& state = waves_.at(number);
  const auto found = state.upkeeps.find(vm);
  if (found == state.upkeeps.end()) {
    return;
  }
  VmUpkeep& upkeep = found->second;
  context_.log.Write(Event::kUpkeepOrdered,
                     {{"wave", std::to_string(number)},
                      {"vm", vm},
                      {"result", std::to_string(static_cast<int>(result))}});
  switch (result) {
    case VmOrderResult::kOk:
      upkeep.phase = VmPhase::kDown;
      upkeep.since = context_.clock.Now();
      state.started_vms.insert(vm);
      StoreWave(state);
      return;
    case VmOrderResult::kFenced:
      OnFenced("VM " + vm + " has seen a newer leader");
      return;
    case VmOrderResult::kWrongWave:
    case VmOrderResult::kRejected:
      state.started_vms.insert(vm);
      if (Executor* executor = FindExecutor(upkeep.executor)) {
        executor->cordoned = false;
      }
      state.upkeeps.erase(found);
      return;
    case VmOrderResult::kBusy:
    case VmOrderResult::kUnknown:
      context_.run_after(
          kOrderRetry, Guard([this, number, vm] { OrderUpkeep(number, vm); }));
      return;
  }
}

void CellLeader::StoreWave(const WaveState& state) {
  std::string bytes;
  json::to_msgpack(json(state.started_vms), bytes);
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.puts.emplace_back(
      kWaveProgressPrefix + std::to_string(state.wave.number), bytes);
  // The result is not checked: a successor that misses the update repeats the
  // order, which is idempotent.
  context_.store.Write(write, kWaveTimeout, [](const StoreWriteReply&) {});
}

}  // namespace chivedale::cell
