#include "cell/testing/fake_executors.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell::testing {
namespace {

constexpr Millis kCallTimeout{800};
constexpr Duration kOneWayLatency = std::chrono::microseconds(500);
constexpr Millis kCheckpointEvery{500};

std::string RunLabel(const TaskName& name, int64_t run, const ExecutorId& id) {
  return name.Text() + "#" + std::to_string(run) + " on " + id;
}

}  // namespace

class FakeExecutorView final : public ExecutorPort {
 public:
  FakeExecutorView(FakeExecutors& all, std::string member)
      : all_(all), member_(std::move(member)) {}

  void Start(const StartOrder& order, OnOrder done) override {
    all_.loop_.Spend(all_.start_cost);
    Order(order.address, order.executor, done,
          [this, order](FakeExecutors::State& state) {
            return all_.DoStart(state, order);
          });
  }
  void Stop(const std::string& address,
            const ExecutorId& executor,
            const std::string& task,
            int64_t run,
            int64_t fence,
            OnOrder done) override {
    Order(address, executor, done,
          [this, task, run, fence](FakeExecutors::State& state) {
            return all_.DoStop(state, task, run, fence);
          });
  }
  void Pace(const std::string& address,
            const ExecutorId& executor,
            const std::string& task,
            int64_t,
            int percent,
            int64_t,
            OnOrder done) override {
    Order(address, executor, done,
          [this, task, percent](FakeExecutors::State&) {
            ++all_.paces;
            all_.percents[task] = percent;
            return OrderReply{OrderResult::kOk, {}};
          });
  }
  void Hold(const HoldRequest& request, OnHold done) override;

 private:
  template <typename Act>
  void Order(const std::string& address,
             const ExecutorId& id,
             const OnOrder& done,
             const Act& act) {
    const LinkFaults link = all_.LinkOf(member_, id);
    if (link.cut || all_.At(address, id) == nullptr) {
      all_.loop_.After(kCallTimeout, [done] { done({}); });
      return;
    }
    if (link.refused) {
      all_.loop_.After(kOneWayLatency, [done] {
        done({OrderResult::kNotSent, std::nullopt});
      });
      return;
    }
    if (all_.random_.UniformReal() < link.late_orders) {
      all_.loop_.After(all_.LateAfter(), [this, address, id, act] {
        FakeExecutors::State* state = all_.At(address, id);
        if (state != nullptr) {
          act(*state);
        }
      });
      all_.loop_.After(kCallTimeout, [done] { done({}); });
      return;
    }
    const Duration one_way = kOneWayLatency + link.delay;
    const bool lost = all_.random_.UniformReal() < link.lost_answers ||
                      2 * one_way > kCallTimeout;
    const Duration timeout = kCallTimeout - link.delay;
    all_.loop_.After(
        one_way, [this, address, id, act, done, lost, one_way, timeout] {
          FakeExecutors::State* state = all_.At(address, id);
          if (state == nullptr) {
            all_.loop_.After(timeout, [done] { done({}); });
            return;
          }
          const OrderReply reply = act(*state);
          if (lost) {
            all_.loop_.After(timeout, [done] { done({}); });
          } else {
            all_.loop_.After(one_way, [done, reply] { done(reply); });
          }
        });
  }

  FakeExecutors& all_;
  const std::string member_;
};

void FakeExecutorView::Hold(const HoldRequest& request, OnHold done) {
  ++all_.holds_;
  const LinkFaults link = all_.LinkOf(member_, request.executor);
  if (link.cut || all_.At(request.address, request.executor) == nullptr) {
    all_.loop_.After(request.wait + kCallTimeout, [done] { done({}); });
    return;
  }
  if (link.late_holds > 0 && all_.random_.UniformReal() < link.late_holds) {
    all_.loop_.After(all_.LateAfter(), [this, request] {
      FakeExecutors::State* state = all_.At(request.address, request.executor);
      if (state != nullptr) {
        all_.DoHold(*state, request);
      }
    });
    all_.loop_.After(request.wait + kCallTimeout, [done] { done({}); });
    return;
  }
  const bool lost = all_.random_.UniformReal() < link.lost_answers;
  const Duration one_way = kOneWayLatency + link.delay;
  all_.loop_.After(one_way, [this, request, done, lost, one_way] {
    FakeExecutors::State* state = all_.At(request.address, request.executor);
    if (state == nullptr || lost) {
      if (state != nullptr) {
        all_.DoHold(*state, request);
      }
      all_.loop_.After(request.wait + kCallTimeout, [done] { done({}); });
      return;
    }
    const HoldReply reply = all_.DoHold(*state, request);
    const auto answer = [this, done, one_way](const HoldReply& hold) {
      all_.loop_.After(one_way, [done, hold] { done(hold); });
    };
    if (reply.result != OrderResult::kOk || !reply.ended.empty() ||
        request.wait == Millis(0)) {
      answer(reply);
      return;
    }
    const uint64_t wait = state->next_wait++;
    const uint64_t incarnation = state->incarnation;
    const auto finish = [this, request, answer, wait, incarnation] {
      FakeExecutors::State* now = all_.At(request.address, request.executor);
      if (now != nullptr && now->incarnation == incarnation &&
          now->waiting.erase(wait) > 0) {
        answer(all_.MakeHoldReply(*now));
      }
    };
    state->waiting[wait] = finish;
    all_.loop_.After(request.wait, finish);
    // After a crash in the meantime the caller gets a timeout.
    all_.loop_.After(request.wait + kCallTimeout, [this, request, done,
                                                   incarnation] {
      FakeExecutors::State* now = all_.At(request.address, request.executor);
      if (now == nullptr || now->incarnation != incarnation) {
        done({});
      }
    });
  });
}

std::unique_ptr<ExecutorPort> FakeExecutors::ViewOf(const std::string& member) {
  return std::make_unique<FakeExecutorView>(*this, member);
}

void FakeExecutors::Add(const ExecutorEntry& entry) {
  State& state = states_[entry.id];
  state.entry = entry;
  state.clock_origin = loop_.clock().Now();
}

void FakeExecutors::Crash(const ExecutorId& id) {
  State& state = states_.at(id);
  state.up = false;
  state.runs.clear();
  state.waiting.clear();
  ++state.incarnation;
}

void FakeExecutors::Remove(const ExecutorId& id) {
  Crash(id);
  states_.at(id).removed = true;
}

void FakeExecutors::Restart(const ExecutorId& id) {
  State& state = states_.at(id);
  if (state.removed) {
    return;
  }
  ExecutorEntry entry = state.entry;
  const uint64_t incarnation = state.incarnation + 1;
  state = State();
  entry.incarnation += 1'000;
  state.entry = entry;
  state.incarnation = incarnation;
  state.clock_origin = loop_.clock().Now();
  state.clock_start = restart_clock ? restart_clock() : Millis(0);
}

void FakeExecutors::Drain(const ExecutorId& id) {
  states_.at(id).entry.draining = true;
}

void FakeExecutors::Expect(const JobId& id,
                           const JobSpec& spec,
                           int max_attempts) {
  jobs_[id] = {spec, max_attempts};
}

FakeExecutors::State* FakeExecutors::At(const std::string& address,
                                        const ExecutorId& id) {
  const auto found = states_.find(id);
  return found == states_.end() || !found->second.up ||
                 found->second.entry.address != address
             ? nullptr
             : &found->second;
}

LinkFaults FakeExecutors::LinkOf(const std::string& member,
                                 const ExecutorId& id) const {
  const auto one = links.find({member, id});
  if (one != links.end()) {
    return one->second;
  }
  const auto all = member_links.find(member);
  return all == member_links.end() ? LinkFaults() : all->second;
}

void FakeExecutors::Extend(State& state, Millis until) {
  const Millis most = ClockOf(state) + longest_lease;
  const Millis before = state.until;
  state.until = std::max(state.until, std::min(until, most));
  if (state.until > before) {
    ScheduleLeaseExpiry(state);
  }
}

void FakeExecutors::ScheduleLeaseExpiry(State& state) {
  const Duration left = std::chrono::duration_cast<Duration>(
      (state.until - ClockOf(state)) / clock_speed);
  // ClockOf() rounds down, and 1 ms may be less on a slow clock.
  loop_.After(left + Millis(2),
              [this, id = state.entry.id, incarnation = state.incarnation] {
                State& now = states_.at(id);
                if (!now.up || now.incarnation != incarnation ||
                    ClockOf(now) <= now.until) {
                  return;
                }
                std::vector<std::string> tasks;
                for (const auto& [task, run] : now.runs) {
                  tasks.push_back(task);
                }
                for (const std::string& task : tasks) {
                  // The end of a gang member also ends the other members on
                  // this executor.
                  if (now.runs.count(task) > 0) {
                    End(now, task, RunEnd::kLeaseExpired);
                  }
                }
              });
}

const StepSpec* FakeExecutors::SpecOf(const TaskName& name) const {
  const auto job = jobs_.find(name.job);
  if (job == jobs_.end() || name.step < 0 ||
      static_cast<size_t>(name.step) >= job->second.spec.steps.size()) {
    return nullptr;
  }
  return &job->second.spec.steps[static_cast<size_t>(name.step)];
}

void FakeExecutors::CheckStart(const State& state,
                               const Run& run,
                               const StartOrder& order) {
  const TaskName& name = run.name;
  const std::string where = RunLabel(name, run.number, state.entry.id);
  const auto job = jobs_.find(name.job);
  const StepSpec* spec = SpecOf(name);
  if (spec == nullptr || order.payload != job->second.spec.payload) {
    AddViolation("unknown task or wrong payload: " + where);
    return;
  }
  Resources used = run.size;
  for (const auto& [task, other] : state.runs) {
    used += other.size;
  }
  if (!used.FitsIn(state.entry.capacity)) {
    AddViolation("capacity exceeded: " + where);
  }
  int beside = 0;
  for (const auto& [task, other] : state.runs) {
    beside += other.name.job == name.job && other.name.step == name.step &&
              other.name.occurrence == name.occurrence;
  }
  if (spec->max_per_executor > 0 && beside >= spec->max_per_executor) {
    AddViolation("max_per_executor exceeded: " + where);
  }
  if (!spec->label.empty() &&
      std::find(state.entry.labels.begin(), state.entry.labels.end(),
                spec->label) == state.entry.labels.end()) {
    AddViolation("required label missing: " + where);
  }
  const std::string text = name.Text();
  if (!spec->copies_allowed) {
    for (const auto& [id, other] : states_) {
      if (other.up && id != state.entry.id && other.runs.count(text) > 0) {
        std::string what = "running on two executors: " + where;
        what += " and on ";
        what += id;
        what += ", fences " + std::to_string(order.fence) + " and " +
                std::to_string(other.runs.at(text).fence) + ", renewed by " +
                std::to_string(other.fence);
        AddViolation(what);
      }
    }
    if (done_stored_.count(text) > 0) {
      AddViolation("started after its end was stored: " + where + ", fence " +
                   std::to_string(order.fence));
    }
  }
  for (const int earlier : spec->depends_on) {
    const StepSpec& before =
        job->second.spec.steps[static_cast<size_t>(earlier)];
    for (int i = 0; i < before.count; ++i) {
      const TaskName needed{name.job, name.occurrence, earlier, i};
      if (done_.count(needed.Text()) == 0) {
        AddViolation("started before its dependencies completed: " + where);
        return;
      }
    }
  }
  if (!spec->long_running && !spec->copies_allowed &&
      failed_stored_[text] >= job->second.max_attempts) {
    AddViolation("too many attempts: " + where);
  }
}

OrderReply FakeExecutors::DoStart(State& state, const StartOrder& order) {
  OrderReply reply;
  reply.executor_clock = ClockOf(state);
  if (order.fence < state.fence) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  state.fence = order.fence;
  const auto there = state.runs.find(order.task);
  if (there != state.runs.end() && there->second.number == order.run) {
    reply.result = OrderResult::kOk;
    return reply;
  }
  if (there != state.runs.end() ||
      order.run <= state.highest_rejected_run[order.task]) {
    Extend(state, order.start_deadline);
    reply.result = OrderResult::kStaleRun;
    return reply;
  }
  if (order.start_deadline <= *reply.executor_clock) {
    reply.result = OrderResult::kDeadlinePassed;
    return reply;
  }
  if (!order.ticket.empty() && !IsValidTicket(state, order.ticket)) {
    reply.result = OrderResult::kBadTicket;
    return reply;
  }
  if (start_result && start_result(order) != OrderResult::kOk) {
    reply.result = start_result(order);
    if (reply.result == OrderResult::kInsufficientCapacity) {
      Extend(state, order.start_deadline);
    }
    return reply;
  }
  Run run;
  run.name = TaskName::Parse(order.task).value();
  run.number = order.run;
  run.fence = order.fence;
  run.checkpoint = order.checkpoint;
  run.serial = next_serial_++;
  if (const StepSpec* spec = SpecOf(run.name)) {
    run.size = spec->size;
    if (spec->fills) {
      run.size.cpu_milli = 0;
    }
  }
  CheckStart(state, run, order);
  ++starts_;
  started_.insert(order.task);
  Extend(state, order.start_deadline);
  state.runs[order.task] = run;
  if (on_start) {
    on_start(run.name.job, run.size);
  }
  const StepSpec* spec = SpecOf(run.name);
  if (spec != nullptr && spec->gang) {
    BeginGang(run);
    loop_.After(gang_timeout, [this, id = state.entry.id, task = order.task,
                               serial = run.serial] {
      State& now = states_.at(id);
      const auto found = now.runs.find(task);
      if (found != now.runs.end() && found->second.serial == serial &&
          !found->second.working) {
        End(now, task, RunEnd::kGangTimeout);
      }
    });
  } else {
    Begin(state, order.task);
  }
  reply.result = OrderResult::kOk;
  return reply;
}

void FakeExecutors::BeginGang(const Run& member) {
  const StepSpec* spec = SpecOf(member.name);
  std::vector<std::pair<State*, std::string>> members;
  for (auto& [id, state] : states_) {
    for (auto& [task, run] : state.runs) {
      if (run.name.job == member.name.job &&
          run.name.step == member.name.step &&
          run.name.occurrence == member.name.occurrence &&
          run.number == member.number && !run.working) {
        members.emplace_back(&state, task);
      }
    }
  }
  if (static_cast<int>(members.size()) == spec->count) {
    for (const auto& [state, task] : members) {
      Begin(*state, task);
    }
  }
}

void FakeExecutors::Begin(State& state, const std::string& task) {
  Run& run = state.runs.at(task);
  run.working = true;
  run.began = loop_.clock().Now();
  const StepSpec* spec = SpecOf(run.name);
  if (spec == nullptr) {
    return;
  }
  const bool failing = fails && fails(run.name, state.entry.id);
  if (spec->long_running && !failing) {
    return;
  }
  const Duration time =
      run_time ? run_time(run.name, *spec) : Duration(spec->estimate);
  loop_.After(time,
              [this, id = state.entry.id, task, serial = run.serial, failing] {
                State& now = states_.at(id);
                const auto found = now.runs.find(task);
                if (found != now.runs.end() && found->second.serial == serial) {
                  End(now, task, failing ? RunEnd::kFailed : RunEnd::kDone);
                }
              });
}

void FakeExecutors::End(State& state, const std::string& task, RunEnd end) {
  const Run run = state.runs.at(task);
  state.runs.erase(task);
  EndedTask ended;
  ended.number = state.next_end++;
  ended.task = task;
  ended.run = run.number;
  ended.end = end;
  const StepSpec* spec = SpecOf(run.name);
  if (spec != nullptr && spec->checkpoints && run.working &&
      loop_.clock().Now() - run.began > kCheckpointEvery) {
    ended.checkpoint = "cp" + std::to_string(run.serial);
  }
  state.ended.push_back(ended);
  state.highest_rejected_run[task] =
      std::max(state.highest_rejected_run[task], run.number);
  if (end == RunEnd::kDone) {
    done_.insert(task);
  }
  if (end == RunEnd::kFailed && spec != nullptr && !spec->long_running) {
    std::set<int64_t>& runs =
        failed_runs_[spec->gang ? run.name.StepText() : task];
    runs.insert(run.number);
    if (static_cast<int>(runs.size()) >= jobs_.at(run.name.job).max_attempts) {
      failed_jobs_.insert(run.name.job);
    }
  }
  if (spec != nullptr && spec->gang) {
    if (end == RunEnd::kDone) {
      // The end of one member completes all of them.
      for (int i = 0; i < spec->count; ++i) {
        TaskName member = run.name;
        member.index = i;
        done_.insert(member.Text());
      }
    }
    const RunEnd others =
        end == RunEnd::kDone ? RunEnd::kDone : RunEnd::kGangEnded;
    for (auto& [id, other] : states_) {
      std::vector<std::string> members;
      for (const auto& [text, member] : other.runs) {
        if (member.name.job == run.name.job &&
            member.name.step == run.name.step && member.number == run.number &&
            member.working) {
          members.push_back(text);
        }
      }
      for (const std::string& text : members) {
        if (other.runs.count(text) > 0) {
          End(other, text, others);
        }
      }
    }
  }
  Wake(state);
}

void FakeExecutors::EndRun(const TaskName& name, RunEnd end) {
  for (auto& [id, state] : states_) {
    if (state.up && state.runs.count(name.Text()) > 0) {
      End(state, name.Text(), end);
      return;
    }
  }
}

Resources FakeExecutors::UseOf(
    const std::function<bool(const JobId&)>& matches) const {
  Resources use;
  for (const auto& [id, state] : states_) {
    for (const auto& [task, run] : state.runs) {
      if (state.up && matches(run.name.job)) {
        use += run.size;
      }
    }
  }
  return use;
}

OrderReply FakeExecutors::DoStop(State& state,
                                 const std::string& task,
                                 int64_t run,
                                 int64_t fence) {
  OrderReply reply;
  reply.executor_clock = ClockOf(state);
  if (fence < state.fence) {
    reply.result = OrderResult::kFenced;
    return reply;
  }
  state.fence = fence;
  state.highest_rejected_run[task] =
      std::max(state.highest_rejected_run[task], run);
  const auto found = state.runs.find(task);
  if (found != state.runs.end() && found->second.number <= run &&
      !found->second.stopping) {
    found->second.stopping = true;
    loop_.After(stop_time, [this, id = state.entry.id, task,
                            serial = found->second.serial] {
      State& now = states_.at(id);
      const auto there = now.runs.find(task);
      if (there != now.runs.end() && there->second.serial == serial) {
        End(now, task, RunEnd::kStopped);
      }
    });
  }
  reply.result = OrderResult::kOk;
  return reply;
}

HoldReply FakeExecutors::DoHold(State& state, const HoldRequest& request) {
  if (request.fence < state.fence) {
    HoldReply reply;
    reply.result = OrderResult::kFenced;
    return reply;
  }
  state.fence = request.fence;
  if (request.lease_until) {
    Extend(state, *request.lease_until);
  }
  for (const EndedTask& end : state.ended) {
    if (end.number <= request.ends_stored && end.number > state.stored) {
      const auto name = TaskName::Parse(end.task);
      const StepSpec* spec = name ? SpecOf(*name) : nullptr;
      if (end.end == RunEnd::kDone && spec != nullptr && !spec->long_running) {
        done_stored_.insert(end.task);
      } else if (end.end == RunEnd::kFailed) {
        ++failed_stored_[end.task];
      }
    }
  }
  state.stored = std::max(state.stored, request.ends_stored);
  state.ended.erase(std::remove_if(state.ended.begin(), state.ended.end(),
                                   [&](const EndedTask& end) {
                                     return end.number <= state.stored;
                                   }),
                    state.ended.end());
  return MakeHoldReply(state);
}

void FakeExecutors::Wake(State& state) {
  std::map<uint64_t, std::function<void()>> waiting = state.waiting;
  for (const auto& [wait, finish] : waiting) {
    finish();
  }
}

}  // namespace chivedale::cell::testing
