// Upkeep waves. Before its upkeep a VM is cleared: it gets no new tasks, tasks
// with checkpoints are stopped, long-running tasks are stopped as far as their
// step's max_unavailable allows, or at once if it is 0, and other tasks get a
// grace period to end. The upkeep order is idempotent, so it is repeated if its
// answer is lost.
//
// The VM is named in the wave's stored progress before its upkeep is ordered. A
// predecessor's write fails once another leader is elected, so its successor
// finds all orders that may have been sent, also one that is executed late. It
// counts these VMs and repeats their orders.
//
// Progress of a wave: [VM..., [VM...]], the VMs whose upkeep has begun and
// those that may have been ordered.
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
// The VM service may execute an order without an answer this late.
constexpr Millis kMaxOrderDelay{12'000};
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
        state.progress_revision = read.items[0].revision;
        const json progress = ParseMsgpack(read.items[0].value);
        if (!progress.is_array()) {
          context_.log.Write(
              Event::kCellBadRecord,
              {{"key", read.items[0].key}, {"reason", "not a list of VMs"}});
          return;
        }
        for (const json& entry : progress) {
          if (auto name = TextIn(entry, kMaxNameBytes)) {
            state.started_vms.insert(std::move(*name));
          } else if (entry.is_array()) {
            for (const json& vm : entry) {
              if (auto ordered = TextIn(vm, kMaxNameBytes)) {
                state.inherited_orders.insert(std::move(*ordered));
              }
            }
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
  next_vm_list_ = context_.clock.Now() + kVmListInterval;
  context_.vms.List(Guard([this, begin = context_.clock.Now()](
                              const std::optional<std::vector<VmInfo>>& list) {
    vm_list_in_flight_ = false;
    if (!list) {
      return;
    }
    vm_list_begin_ = begin;
    vms_.clear();
    for (const VmInfo& vm : *list) {
      vms_[vm.vm] = vm;
    }
  }));
}

void CellLeader::RunWave(WaveState& state) {
  // An earlier list, read for another wave, may lack VMs that this one names,
  // and show executors that are gone.
  if (vms_.empty() || vm_list_begin_ <= state.vms_named) {
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
  ResumeInheritedOrders(state);
  for (auto it = state.upkeeps.begin(); it != state.upkeeps.end();) {
    VmUpkeep& upkeep = it->second;
    // An earlier list may show the VM as it was before the upkeep.
    if (upkeep.phase == VmPhase::kDown && vm_list_begin_ > upkeep.since &&
        ObserveUpkeep(it->first, upkeep)) {
      it = state.upkeeps.erase(it);
      continue;
    }
    if (upkeep.phase == VmPhase::kClearing) {
      ClearVm(state, it->first, upkeep);
    }
    ++it;
  }
  while (OccupiedSlots(state) < state.wave.max_concurrent && PickVm(state)) {
  }
  const bool any_left = std::any_of(
      state.wave.vms.begin(), state.wave.vms.end(),
      [&](const std::string& vm) { return NeedsUpkeep(state, vm); });
  if (!any_left && OccupiedSlots(state) == 0) {
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

void CellLeader::ResumeInheritedOrders(WaveState& state) {
  for (const std::string& vm : std::exchange(state.inherited_orders, {})) {
    if (state.started_vms.count(vm) > 0) {
      continue;
    }
    VmUpkeep& upkeep = state.upkeeps[vm];
    upkeep.since = context_.clock.Now();
    upkeep.order_stored = true;
    upkeep.orders_executed_by = upkeep.since + kMaxOrderDelay;
    // A VM that is not listed is ordered as well; the answer shows whether it
    // still exists.
    const auto info = vms_.find(vm);
    if (info == vms_.end()) {
      continue;
    }
    upkeep.executor = info->second.executor;
    Executor* executor = FindExecutor(upkeep.executor);
    if (executor != nullptr && info->second.state == VmState::kUpkeep) {
      MarkAllRunsLost(*executor, "upkeep of its VM");
    }
  }
}

// VMs that are down by a predecessor's orders have no entry in `upkeeps`.
int CellLeader::OccupiedSlots(const WaveState& state) const {
  const auto down_otherwise = std::count_if(
      state.wave.vms.begin(), state.wave.vms.end(), [&](const std::string& vm) {
        const auto info = vms_.find(vm);
        return info != vms_.end() && info->second.state == VmState::kUpkeep &&
               state.upkeeps.count(vm) == 0;
      });
  return static_cast<int>(state.upkeeps.size()) +
         static_cast<int>(down_otherwise);
}

bool CellLeader::IsDownWithoutUpkeep(const std::string& vm) const {
  const auto info = vms_.find(vm);
  return info != vms_.end() && info->second.state != VmState::kUp &&
         info->second.state != VmState::kUpkeep;
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
  if (executor->boot.answered_hold_sent > upkeep.since) {
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
      const Executor& executor = *executors_.at(id);
      const auto& runs = executor.runs();
      const auto run = runs.find(name);
      is_available =
          is_available || (run != runs.end() && executor.missed_holds == 0 &&
                           run->second.phase == RunPhase::kRunning &&
                           run->second.running_since != TimePoint() &&
                           run->second.pace_percent == 100);
    }
    unavailable += is_available ? 0 : 1;
  }
  return unavailable < step.spec->max_unavailable;
}

bool CellLeader::MayHaveUnreadRuns(const std::string& vm,
                                   const ExecutorId& executor) const {
  const auto info = vms_.find(vm);
  const auto found = executors_.find(executor);
  return unread_executors_.count(executor) > 0 && found != executors_.end() &&
         !PredecessorLeasesExpired(*found->second) && info != vms_.end() &&
         info->second.state == VmState::kUp &&
         info->second.executor == executor;
}

void CellLeader::ClearVm(WaveState& state,
                         const std::string& vm,
                         VmUpkeep& upkeep) {
  Executor* executor = FindExecutor(upkeep.executor);
  bool clear = !MayHaveUnreadRuns(vm, upkeep.executor);
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
    clear = clear && executor->boot.ends_read == executor->boot.ends_stored;
  }
  if (!clear) {
    return;
  }
  if (upkeep.order_stored) {
    upkeep.phase = VmPhase::kOrdering;
    OrderUpkeep(state.wave.number, vm);
  } else {
    upkeep.phase = VmPhase::kStoringOrder;
    StoreWave(state);
  }
}

void CellLeader::OrderUpkeep(int64_t number, const std::string& vm) {
  // Authority may have ended since the VM was cleared.
  if (!may_start()) {
    context_.run_after(kOrderRetry,
                       Guard([this, number, vm] { OrderUpkeep(number, vm); }));
    return;
  }
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
      if (IsDownWithoutUpkeep(vm) &&
          context_.clock.Now() > upkeep.orders_executed_by) {
        // It is chosen again once it is up; others need not wait for it.
        if (Executor* executor = FindExecutor(upkeep.executor)) {
          executor->cordoned = false;
        }
        state.upkeeps.erase(found);
        StoreWave(state);
        return;
      }
      context_.run_after(
          kOrderRetry, Guard([this, number, vm] { OrderUpkeep(number, vm); }));
      return;
    case VmOrderResult::kUnknown:
      upkeep.orders_executed_by = context_.clock.Now() + kMaxOrderDelay;
      context_.run_after(
          kOrderRetry, Guard([this, number, vm] { OrderUpkeep(number, vm); }));
      return;
  }
}

void CellLeader::StoreWave(WaveState& state) {
  if (state.progress_write_in_flight) {
    state.progress_changed = true;
    return;
  }
  std::vector<std::string> orders;
  for (const auto& [vm, upkeep] : state.upkeeps) {
    if (upkeep.phase != VmPhase::kDown &&
        (upkeep.order_stored || upkeep.phase == VmPhase::kStoringOrder)) {
      orders.push_back(vm);
    }
  }
  json progress(state.started_vms);
  if (!orders.empty()) {
    progress.push_back(json(orders));
  }
  std::string bytes;
  json::to_msgpack(progress, bytes);
  const std::string key =
      kWaveProgressPrefix + std::to_string(state.wave.number);
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leadership_.fence);
  // An unanswered write must not take effect after a later one.
  write.conditions.emplace_back(key, state.progress_revision);
  write.puts.emplace_back(key, bytes);
  state.progress_write_in_flight = true;
  state.progress_changed = false;
  context_.store.Write(write, kWaveTimeout,
                       Guard([this, number = state.wave.number,
                              orders](const StoreWriteReply& reply) {
                         OnWaveStored(number, orders, reply);
                       }));
}

void CellLeader::OnWaveStored(int64_t number,
                              const std::vector<std::string>& orders,
                              const StoreWriteReply& reply) {
  const std::string key = kWaveProgressPrefix + std::to_string(number);
  WaveState& state = waves_.at(number);
  state.progress_write_in_flight = false;
  if (reply.status == StoreStatus::kConflict) {
    bool leading = false;
    state.progress_revision = 0;
    for (const StoreItem& item : reply.items) {
      leading = leading ||
                (item.key == kLeaderKey && item.revision == leadership_.fence);
      if (item.key == key) {
        state.progress_revision = item.revision;
      }
    }
    if (!leading) {
      OnFenced("another member holds the leader key");
      return;
    }
  }
  if (reply.status != StoreStatus::kOk &&
      reply.status != StoreStatus::kInvalid) {
    context_.run_after(kOrderRetry,
                       Guard([this, number] { StoreWave(waves_.at(number)); }));
    return;
  }
  if (reply.status == StoreStatus::kOk) {
    state.progress_revision = reply.revision;
  } else {
    // Would be rejected again, and the wave would never be completed.
    context_.log.Write(Event::kStoreWriteRejected, {{"key", key}});
  }
  for (const std::string& vm : orders) {
    const auto found = state.upkeeps.find(vm);
    if (found == state.upkeeps.end()) {
      continue;
    }
    found->second.order_stored = true;
    if (found->second.phase == VmPhase::kStoringOrder) {
      found->second.phase = VmPhase::kOrdering;
      OrderUpkeep(number, vm);
    }
  }
  if (state.progress_changed) {
    StoreWave(state);
  }
}

}  // namespace chivedale::cell
