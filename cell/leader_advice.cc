// Advice tells which executors may run a step and provides a ticket for each.
// The advice on an executor does not change, but its ticket expires, so tickets
// are renewed while a step waits and the members have capacity for calls.
#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// Minimum remaining validity of a ticket, so that the start arrives in time.
constexpr Millis kTicketMargin{80};
// Expected network round trip to the service, excluding the call itself.
constexpr Millis kAdviceRoundTrip{40};
// Number of executors in one call. About half of them may run the step, so
// there must be enough for its tasks; each one adds to the duration of the
// call.
constexpr size_t kMaxExecutorsPerCall = 100;
constexpr size_t kMinExecutorsPerCall = 30;
constexpr size_t kExecutorsPerTask = 4;
constexpr Millis kAdviceRetry{150};
// Executors to ask for are looked for at this interval while there are none.
constexpr Millis kAdviceSearchInterval{20};

// Selects executors for a call, those that can run a task now first. Selecting
// them in name order would direct all steps to the same executors.
std::vector<const Executor*> SelectByFreeResources(
    const Step& step,
    const std::vector<Executor*>& executors) {
  const StepSpec& spec = *step.spec;
  const Resources size = ResourcesFor(spec);
  // Prefer executors with few free accelerators, to keep whole executors for
  // tasks that need all accelerators of one.
  const bool uses_accelerators = size.accelerators > 0;
  struct Row {
    bool fits;
    int64_t free;
    const Executor* executor;
  };
  std::vector<Row> rows;
  rows.reserve(executors.size());
  for (const Executor* executor : executors) {
    const Resources free = executor->Free();
    rows.push_back({size.FitsIn(free),
                    uses_accelerators ? -free.accelerators : free.cpu_milli,
                    executor});
  }
  // With rack, gang or accelerator constraints many executors may be
  // unsuitable, so ask for the maximum.
  const bool any = uses_accelerators || spec.gang || spec.same_rack ||
                   !spec.preferred_rack.empty();
  const size_t wanted =
      any ? kMaxExecutorsPerCall
          : std::clamp(kExecutorsPerTask * static_cast<size_t>(spec.count),
                       kMinExecutorsPerCall, kMaxExecutorsPerCall);
  const size_t count = std::min(rows.size(), wanted);
  std::partial_sort(rows.begin(), rows.begin() + static_cast<long>(count),
                    rows.end(), [](const Row& a, const Row& b) {
                      return std::tie(b.fits, b.free) <
                             std::tie(a.fits, a.free);
                    });
  std::vector<const Executor*> requested;
  for (size_t i = 0; i < count; ++i) {
    requested.push_back(rows[i].executor);
  }
  return requested;
}

}  // namespace

bool CellLeader::HasValidTicket(const Step& step,
                                const Executor& executor,
                                TimePoint now) {
  const StepTicket* ticket = step.advice.TicketOf(executor.boot.number);
  return ticket != nullptr && ticket->expires - now > kTicketMargin;
}

std::vector<Executor*> CellLeader::WithValidTicket(
    Step& step,
    const std::vector<Executor*>& eligible,
    const PoolState& pool) {
  if (!PolicyOf(*step.job).advice) {
    return eligible;
  }
  const TimePoint now = context_.clock.Now();
  const Resources size = ResourcesFor(*step.spec);
  std::vector<Executor*> usable;
  usable.reserve(eligible.size());
  bool room_expired = false;
  for (Executor* executor : eligible) {
    if (HasValidTicket(step, *executor, now)) {
      usable.push_back(executor);
    } else if (size.FitsIn(executor->Free())) {
      room_expired = true;
    }
  }
  for (const Executor* executor : ProbesFor(step, pool)) {
    room_expired = room_expired || !HasValidTicket(step, *executor, now);
  }
  RenewAdvice(step, pool, room_expired);
  return usable;
}

void CellLeader::RenewAdvice(Step& step,
                             const PoolState& pool,
                             bool room_expired) {
  const std::optional<AdvicePolicy>& policy = PolicyOf(*step.job).advice;
  const TimePoint now = context_.clock.Now();
  if (!policy || step.advice.call_in_flight || now < step.advice.next_call) {
    return;
  }
  const bool dispatcher_idle = advice_dispatcher_.waiting() == 0;
  if (step.advice.answered && !room_expired && !dispatcher_idle) {
    return;
  }
  // Executors without advice, and those whose ticket expires before the next
  // call would end.
  const Duration refresh_before = policy->call_time + kAdviceRoundTrip;
  std::vector<Executor*> requested;
  std::vector<Executor*> usable = ProbesFor(step, pool);
  usable.insert(usable.end(), pool.usable.begin(), pool.usable.end());
  for (Executor* executor : usable) {
    using Kind = StepAdvice::Kind;
    const Kind kind = step.advice.KindOf(executor->boot.number);
    if (kind == Kind::kBad || !IsEligible(step, *executor)) {
      continue;
    }
    if (kind == Kind::kUnknown ||
        step.advice.TicketOf(executor->boot.number)->expires - now <
            refresh_before + kTicketMargin) {
      requested.push_back(executor);
    }
  }
  if (requested.empty()) {
    step.advice.next_call = now + kAdviceSearchInterval;
    return;
  }
  RequestAdvice(step, requested);
}

void CellLeader::RequestAdvice(Step& step,
                               const std::vector<Executor*>& executors) {
  const AdvicePolicy& policy = *PolicyOf(*step.job).advice;
  AdviceRequest request;
  request.step = step.NameOf(0).StepText();
  request.priority =
      step.HasWaitedForRestart(kMaxRestartWait, context_.clock.Now())
          ? std::numeric_limits<int>::min()
          : PolicyOf(*step.job).priority;
  request.objective = step.objective;
  for (const Executor* executor : SelectByFreeResources(step, executors)) {
    request.executors.push_back(executor->entry.id);
    request.executor_numbers.push_back(executor->boot.number);
  }
  request.expected_duration =
      policy.call_time +
      policy.time_per_executor * static_cast<int64_t>(request.executors.size());
  step.advice.call_in_flight = true;
  advice_dispatcher_.Enqueue(std::move(request));
}

void CellLeader::SendAdviceCalls() {
  while (auto call = advice_dispatcher_.NextCall()) {
    ++counts_.advice;
    const std::optional<TaskName> name =
        TaskName::Parse(call->request.step + ".0");
    context_.call_member_for_advice(
        call->member, call->request,
        Guard([this, id = call->request.id, name = *name,
               asked = std::move(call->request.executor_numbers)](
                  const AdviceReply& reply) {
          advice_dispatcher_.OnAnswer(id);
          OnAdvice(name, asked, reply);
          SendAdviceCalls();
        }));
  }
}

void CellLeader::OnAdvice(const TaskName& name,
                          const std::vector<size_t>& asked,
                          const AdviceReply& reply) {
  Step* step = StepOf(name);
  if (step == nullptr) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  StepAdvice& advice = step->advice;
  advice.call_in_flight = false;
  if (!reply.answered) {
    advice.next_call = now + kAdviceRetry;
    context_.log.Write(Event::kAdviceFailed,
                       {{"step", name.StepText()},
                        {"overloaded", reply.overloaded ? "yes" : "no"}});
    RequestSchedulingPass();
    return;
  }
  advice.answered = true;
  std::vector<size_t> allowed;
  allowed.reserve(reply.allowed.size());
  for (const auto& [id, ticket] : reply.allowed) {
    const Executor* executor = FindExecutor(id);
    // A boot that was not known when the call was sent needs a ticket of its
    // own.
    if (executor == nullptr ||
        std::find(asked.begin(), asked.end(), executor->boot.number) ==
            asked.end()) {
      continue;
    }
    allowed.push_back(executor->boot.number);
    advice.SetGood({executor->boot.number, ticket,
                    now + reply.validity - kAdviceRoundTrip, now,
                    now + MaxTimeOf(reply.validity)});
  }
  std::sort(allowed.begin(), allowed.end());
  for (const size_t number : asked) {
    if (by_number_[number] != nullptr &&
        !std::binary_search(allowed.begin(), allowed.end(), number)) {
      advice.SetBad(number);
    }
  }
  context_.log.Write(Event::kAdviceReceived,
                     {{"step", name.StepText()},
                      {"asked", std::to_string(asked.size())},
                      {"good", std::to_string(reply.allowed.size())}});
  RequestSchedulingPass();
}

}  // namespace chivedale::cell
