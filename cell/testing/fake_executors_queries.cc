// What tests ask of the fake executors, and their answers to hold calls.
#include <algorithm>
#include <cstddef>

#include "cell/testing/fake_executors.h"

namespace chivedale::cell::testing {
namespace {

// Ends listed in one answer.
constexpr size_t kEndsPerReply = 500;

}  // namespace

std::vector<ExecutorEntry> FakeExecutors::Entries() const {
  std::vector<ExecutorEntry> entries;
  for (const auto& [id, state] : states_) {
    if (state.up) {
      entries.push_back(state.entry);
    }
  }
  return entries;
}

int FakeExecutors::running() const {
  int count = 0;
  for (const auto& [id, state] : states_) {
    count += static_cast<int>(state.runs.size());
  }
  return count;
}

std::vector<std::pair<const ExecutorEntry*, Resources>> FakeExecutors::Use()
    const {
  std::vector<std::pair<const ExecutorEntry*, Resources>> use;
  for (const auto& [id, state] : states_) {
    if (!state.up) {
      continue;
    }
    use.emplace_back(&state.entry, Resources());
    for (const auto& [task, run] : state.runs) {
      use.back().second += run.size;
    }
  }
  return use;
}

size_t FakeExecutors::listed_ends() const {
  size_t ends = 0;
  for (const auto& [id, state] : states_) {
    ends += state.up ? state.ended.size() : 0;
  }
  return ends;
}

bool FakeExecutors::RunsAnyOf(const JobId& id) const {
  return std::any_of(states_.begin(), states_.end(), [&](const auto& entry) {
    const auto& runs = entry.second.runs;
    return entry.second.up &&
           std::any_of(runs.begin(), runs.end(), [&](const auto& run) {
             return run.second.name.job == id;
           });
  });
}

bool FakeExecutors::IsDone(const TaskName& name) const {
  const StepSpec* spec = SpecOf(name);
  if (spec == nullptr || spec->long_running || done_.count(name.Text()) == 0) {
    return false;
  }
  std::set<std::string> tasks{name.Text()};
  for (int i = 0; spec->gang && i < spec->count; ++i) {
    TaskName member = name;
    member.index = i;
    tasks.insert(member.Text());
  }
  const bool stored = std::any_of(
      tasks.begin(), tasks.end(),
      [&](const std::string& task) { return done_stored_.count(task) > 0; });
  return stored ||
         std::any_of(states_.begin(), states_.end(), [&](const auto& entry) {
           const auto& ended = entry.second.ended;
           return entry.second.up &&
                  std::any_of(ended.begin(), ended.end(), [&](const auto& end) {
                    return end.end == RunEnd::kDone &&
                           tasks.count(end.task) > 0;
                  });
         });
}

const JobSpec* FakeExecutors::JobSpecOf(const JobId& id) const {
  const auto found = jobs_.find(id);
  return found == jobs_.end() ? nullptr : &found->second.spec;
}

Millis FakeExecutors::ClockOf(const State& state) const {
  return state.clock_start +
         std::chrono::duration_cast<Millis>(
             (loop_.clock().Now() - state.clock_origin) * clock_speed);
}

Millis FakeExecutors::LateAfter() {
  return Millis(2'000 + static_cast<int64_t>(random_.UniformInt(10'000)));
}

Millis FakeExecutors::LeaseLeft(const ExecutorId& id) const {
  const State& state = states_.at(id);
  return std::max(Millis(0), state.until - ClockOf(state));
}

std::string FakeExecutors::TicketFor(const ExecutorId& id,
                                     Millis validity) const {
  const auto found = states_.find(id);
  const uint64_t incarnation =
      found == states_.end() ? 0 : found->second.incarnation;
  const TimePoint expires = loop_.clock().Now() + validity;
  return std::to_string(incarnation) + "/" +
         std::to_string(expires.time_since_epoch().count());
}

bool FakeExecutors::IsValidTicket(const State& state,
                                  const std::string& ticket) const {
  const size_t slash = ticket.find('/');
  if (slash == std::string::npos) {
    return true;  // of another advice service
  }
  return std::stoull(ticket.substr(0, slash)) == state.incarnation &&
         std::stoll(ticket.substr(slash + 1)) >
             loop_.clock().Now().time_since_epoch().count();
}

HoldReply FakeExecutors::MakeHoldReply(const State& state) const {
  HoldReply reply;
  reply.result = OrderResult::kOk;
  reply.executor_clock = ClockOf(state);
  reply.incarnation = state.entry.incarnation;
  for (const auto& [task, run] : state.runs) {
    RunningTask row;
    row.task = task;
    row.run = run.number;
    if (const auto figure = figures.find(task); figure != figures.end()) {
      row.load_figure = figure->second;
    }
    if (const auto percent = percents.find(task); percent != percents.end()) {
      row.pace_percent = percent->second;
    }
    reply.running.push_back(row);
  }
  const auto listed = std::min(kEndsPerReply, state.ended.size());
  reply.ended.assign(state.ended.begin(),
                     state.ended.begin() + static_cast<std::ptrdiff_t>(listed));
  if (change_hold) {
    change_hold(reply);
  }
  return reply;
}

}  // namespace chivedale::cell::testing
