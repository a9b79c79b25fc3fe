// A wave's VMs are cleared one after the other: no new task, checkpointed work
// stopped, lasting tasks taken only as their step allows, the rest given time
// to end. Then the upkeep is ordered; an order that was carried out before is
// answered as done, so it is simply repeated when its answer is lost.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

constexpr Millis kWaveCheck{200};
constexpr Millis kVmListInterval{1'000};
constexpr Millis kWaveTimeout{1'000};
constexpr Millis kOrderRetry{400};
// For what is at work on a VM to end by itself, at least and at most.
constexpr Millis kMinPatience{300};
constexpr Millis kMaxPatience{5'000};
// Of a VM's share of the time, beside its upkeep.
constexpr Millis kVmReserve{1'500};

}  // namespace

void CellLeader::AddWave(const UpkeepWave& wave) {
  const auto [found, added] = waves_.try_emplace(wave.number);
  found->second.wave = wave;
  if (added) {
    found->second.announced = context_.clock.Now();
    LoadWave(wave.number);
  }
}

void CellLeader::LoadWave(int64_t number) {
  context_.store.Read(
      kWaveProgressPrefix + std::to_string(number), kWaveTimeout,
      Guard([this, number](const StoreRead& read) {
        if (read.status != StoreStatus::kOk &&
            read.status != StoreStatus::kNotFound) {
          context_.defer(kOrderRetry,
                         Guard([this, number] { LoadWave(number); }));
          return;
        }
        WaveState& state = waves_.at(number);
        state.loaded = true;
        if (read.items.empty()) {
          return;
        }
        const json begun = json::from_msgpack(read.items[0].value, true, false);
        if (begun.is_array()) {
          for (const json& vm : begun) {
            state.begun.insert(vm.is_string() ? vm.get<std::string>() : "");
          }
        }
      }));
}

void CellLeader::RunWaves() {
  const TimePoint now = context_.clock.Now();
  if (waves_.empty() || now < next_wave_check_ || !may_start()) {
    return;
  }
  next_wave_check_ = now + kWaveCheck;
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
  next_vm_list_ = context_.clock.Now() + kVmListInterval;
  context_.vms.List(
      Guard([this](const std::optional<std::vector<VmInfo>>& list) {
        vm_list_in_flight_ = false;
        if (!list) {
          return;
        }
        vms_.clear();
        for (const VmInfo& vm : *list) {
          vms_[vm.vm] = vm;
        }
      }));
}

void CellLeader::RunWave(WaveState& state) {
  if (vms_.empty()) {
    return;
  }
  if (!state.shown_running) {
    state.shown_running = true;
    context_.write_wave_status(
        state.wave.number, false,
        Guard([this, number = state.wave.number](bool written) {
          waves_.at(number).shown_running = written;
        }));
  }
  for (auto it = state.work.begin(); it != state.work.end();) {
    const auto vm = vms_.find(it->first);
    VmWork& work = it->second;
    const bool back =
        work.phase == VmPhase::kDown &&
        (vm == vms_.end() || (vm->second.state == VmState::kUp &&
                              vm->second.executor != work.executor));
    if (back) {
      it = state.work.erase(it);
      continue;
    }
    if (work.phase == VmPhase::kClearing) {
      ClearVm(state, it->first, work);
    }
    ++it;
  }
  while (static_cast<int>(state.work.size()) < state.wave.max_at_once &&
         PickVm(state)) {
  }
  const bool all = std::all_of(
      state.wave.vms.begin(), state.wave.vms.end(),
      [&](const std::string& vm) { return state.begun.count(vm) > 0; });
  if (all && state.work.empty()) {
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

// The VM with the least work at present goes first.
bool CellLeader::PickVm(WaveState& state) {
  const std::string* best = nullptr;
  size_t best_runs = 0;
  for (const std::string& vm : state.wave.vms) {
    if (state.begun.count(vm) > 0 || state.work.count(vm) > 0) {
      continue;
    }
    const auto info = vms_.find(vm);
    if (info == vms_.end()) {
      state.begun.insert(vm);  // it has left; no upkeep is owed
      continue;
    }
    if (info->second.state != VmState::kUp) {
      continue;
    }
    const Executor* executor = FindExecutor(info->second.executor);
    const size_t runs = executor == nullptr ? 0 : executor->runs().size();
    if (best == nullptr || runs < best_runs) {
      best = &vm;
      best_runs = runs;
    }
  }
  if (best == nullptr) {
    return false;
  }
  VmWork& work = state.work[*best];
  work.since = context_.clock.Now();
  work.executor = vms_.at(*best).executor;
  if (Executor* executor = FindExecutor(work.executor)) {
    executor->cordoned = true;
  }
  return true;
}

Duration CellLeader::PatienceOf(const WaveState& state) const {
  const auto left =
      static_cast<int64_t>(state.wave.vms.size() - state.begun.size());
  const int64_t turns = std::max<int64_t>(
      1, (left + state.wave.max_at_once - 1) / state.wave.max_at_once);
  const Duration time =
      state.announced + state.wave.deadline - context_.clock.Now();
  return std::clamp<Duration>(time / turns - options_.upkeep_time - kVmReserve,
                              kMinPatience, kMaxPatience);
}

bool CellLeader::MayTake(const Step& step, int task) const {
  int away = 0;
  for (size_t i = 0; i < step.tasks.size(); ++i) {
    if (static_cast<int>(i) == task) {
      continue;
    }
    bool at_work = false;
    const std::string name = step.NameOf(static_cast<int>(i)).Text();
    for (const auto& [id, count] : step.live_on) {
      const auto& runs = executors_.at(id)->runs();
      const auto run = runs.find(name);
      at_work =
          at_work ||
          (run != runs.end() && run->second.phase == RunPhase::kAtWork &&
           run->second.confirmed != TimePoint() && run->second.percent == 100);
    }
    away += at_work ? 0 : 1;
  }
  return away < step.spec->may_miss;
}

void CellLeader::ClearVm(WaveState& state,
                         const std::string& vm,
                         VmWork& work) {
  Executor* executor = FindExecutor(work.executor);
  bool clear = true;
  if (executor != nullptr) {
    executor->cordoned = true;
    const bool patient = context_.clock.Now() - work.since < PatienceOf(state);
    for (auto& [name, run] : executor->runs()) {
      if (run.step == nullptr) {
        continue;
      }
      const StepSpec& spec = *run.step->spec;
      const bool guarded = spec.lasting && spec.may_miss > 0;
      clear = clear && !guarded && !patient;
      if (run.phase != RunPhase::kAtWork) {
        continue;
      }
      if (spec.lasting) {
        if (!guarded || MayTake(*run.step, run.name.index)) {
          StopRun(*executor, run, "upkeep of its VM");
        }
      } else if (spec.checkpoints && !spec.gang) {
        StopRun(*executor, run, "upkeep of its VM");
      }
    }
    // Ends that are not stored would be lost with the executor.
    clear = clear && executor->ends_read == executor->ends_stored;
  }
  if (clear) {
    work.phase = VmPhase::kOrdering;
    OrderUpkeep(state.wave.number, vm);
  }
}

void CellLeader::OrderUpkeep(int64_t number, const std::string& vm) {
  context_.vms.Upkeep(vm, number, leadership_.fence,
                      Guard([this, number, vm](VmOrderResult result) {
                        OnUpkeep(number, vm, result);
                      }));
}

void CellLeader::OnUpkeep(int64_t number,
                          const std::string& vm,
                          VmOrderResult result) {
  WaveState& state = waves_.at(number);
  const auto found = state.work.find(vm);
  if (found == state.work.end()) {
    return;
  }
  VmWork& work = found->second;
  context_.log.Write(Event::kUpkeepOrdered,
                     {{"wave", std::to_string(number)},
                      {"vm", vm},
                      {"result", std::to_string(static_cast<int>(result))}});
  switch (result) {
    case VmOrderResult::kOk:
      work.phase = VmPhase::kDown;
      work.since = context_.clock.Now();
      state.begun.insert(vm);
      if (Executor* executor = FindExecutor(work.executor)) {
        LoseRuns(*executor, "upkeep of its VM");
        executor->adopted = false;
        executor->misses = std::max(executor->misses, 1);
      }
      StoreWave(state);
      return;
    case VmOrderResult::kFenced:
      Fenced("VM " + vm + " has seen a newer leader");
      return;
    case VmOrderResult::kWrongWave:
    case VmOrderResult::kRejected:
      state.begun.insert(vm);
      if (Executor* executor = FindExecutor(work.executor)) {
        executor->cordoned = false;
      }
      state.work.erase(found);
      return;
    case VmOrderResult::kBusy:
    case VmOrderResult::kUnknown:
      context_.defer(kOrderRetry,
                     Guard([this, number, vm] { OrderUpkeep(number, vm); }));
      return;
  }
}

void CellLeader::StoreWave(const WaveState& state) {
  std::string bytes;
  json::to_msgpack(json(state.begun), bytes);
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  write.puts.emplace_back(
      kWaveProgressPrefix + std::to_string(state.wave.number), bytes);
  // What is not written is ordered again by a successor, and answered as done.
  context_.store.Write(write, kWaveTimeout, [](const StoreWriteReply&) {});
}

}  // namespace chivedale::cell
