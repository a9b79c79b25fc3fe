// Advice says which executors may run a step and gives a ticket for each. The
// answer of an executor does not change, but its ticket runs out, so tickets
// are renewed while a step waits and the members have time for it.
#include <algorithm>
#include <tuple>
#include <utility>

#include "cell/leader.h"

namespace chivedale::cell {
namespace {

// A ticket must hold at least this long for the start to arrive in time.
constexpr Millis kTicketMargin{80};
// Expected way to the service and back, beside the time the call itself takes.
constexpr Millis kAdviceSlack{40};
// Executors in one call: enough that the tasks find room on those that may run
// them, about half, and no more, since each adds to the call's time.
constexpr size_t kMaxNamed = 100;
constexpr size_t kMinNamed = 30;
constexpr size_t kNamedPerTask = 4;
constexpr Millis kAdviceRetry{150};

// Those that can take a task now come first. In the order of their names all
// steps would crowd on the same ones.
std::vector<const Executor*> MostRoomFirst(
    const Step& step,
    const std::vector<Executor*>& executors) {
  const StepSpec& spec = *step.spec;
  const Resources size = RoomFor(spec);
  // Whole executors stay free for tasks that need all accelerators of one.
  const bool wide = size.accelerators > 0;
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
                    wide ? -free.accelerators : free.cpu_milli, executor});
  }
  // Where racks, gangs or accelerators matter, any of them may be the one.
  const bool any =
      wide || spec.gang || spec.same_rack || !spec.near_rack.empty();
  const size_t wanted =
      any ? kMaxNamed
          : std::clamp(kNamedPerTask * static_cast<size_t>(spec.count),
                       kMinNamed, kMaxNamed);
  const size_t count = std::min(rows.size(), wanted);
  std::partial_sort(rows.begin(), rows.begin() + static_cast<long>(count),
                    rows.end(), [](const Row& a, const Row& b) {
                      return std::tie(b.fits, b.free) <
                             std::tie(a.fits, a.free);
                    });
  std::vector<const Executor*> named;
  for (size_t i = 0; i < count; ++i) {
    named.push_back(rows[i].executor);
  }
  return named;
}

}  // namespace

std::vector<Executor*> CellLeader::Advised(
    Step& step,
    const std::vector<Executor*>& eligible) {
  const QueuePolicy& policy = PolicyOf(*step.job);
  if (!policy.advice) {
    return eligible;
  }
  using Kind = ExecutorAdvice::Kind;
  const TimePoint now = context_.clock.Now();
  const Resources size = RoomFor(*step.spec);
  const Duration refresh_before = policy.advice->decision + kAdviceSlack;
  std::vector<Executor*> usable;
  std::vector<Executor*> named;
  bool room_expired = false;
  for (Executor* executor : eligible) {
    const ExecutorAdvice& advice = step.advice.Of(executor->number);
    if (advice.kind != Kind::kGood) {
      // What an earlier answer did not name is asked for along with the rest.
      if (advice.kind == Kind::kUnknown) {
        named.push_back(executor);
      }
      continue;
    }
    const Duration left = advice.expires - now;
    if (left > kTicketMargin) {
      usable.push_back(executor);
    } else if (size.FitsIn(executor->Free())) {
      room_expired = true;
    }
    if (left < refresh_before + kTicketMargin) {
      named.push_back(executor);
    }
  }
  if (step.advice.asked || now < step.advice.ask_again) {
    return usable;
  }
  const bool idle_desk = desk_.waiting() == 0;
  if (!step.advice.answered || room_expired || idle_desk) {
    AskAdvice(step, named);
  }
  return usable;
}

void CellLeader::AskAdvice(Step& step,
                           const std::vector<Executor*>& executors) {
  if (executors.empty()) {
    return;
  }
  const AdvicePolicy& policy = *PolicyOf(*step.job).advice;
  AdviceAsk ask;
  ask.step = step.NameOf(0).StepText();
  ask.priority = PolicyOf(*step.job).priority;
  ask.objective = step.objective;
  for (const Executor* executor : MostRoomFirst(step, executors)) {
    ask.executors.push_back(executor->entry.id);
  }
  ask.takes = policy.decision +
              policy.each * static_cast<int64_t>(ask.executors.size());
  step.advice.asked = true;
  desk_.Ask(std::move(ask));
}

void CellLeader::PumpAdvice() {
  while (auto call = desk_.NextCall()) {
    ++counts_.advice;
    const std::optional<TaskName> name = TaskName::Parse(call->ask.step + ".0");
    context_.ask_member(
        call->member, call->ask,
        Guard([this, id = call->ask.id, name = *name,
               asked = call->ask.executors](const AdviceReply& reply) {
          desk_.OnAnswer(id);
          OnAdvice(name, asked, reply);
          PumpAdvice();
        }));
  }
}

void CellLeader::OnAdvice(const TaskName& name,
                          const std::vector<ExecutorId>& asked,
                          const AdviceReply& reply) {
  Step* step = StepOf(name);
  if (step == nullptr) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  StepAdvice& advice = step->advice;
  advice.asked = false;
  if (!reply.answered) {
    advice.ask_again = now + kAdviceRetry;
    context_.log.Write(Event::kAdviceFailed,
                       {{"step", name.StepText()},
                        {"overloaded", reply.overloaded ? "yes" : "no"}});
    RequestPass();
    return;
  }
  advice.answered = true;
  for (const ExecutorId& id : asked) {
    if (const Executor* executor = FindExecutor(id)) {
      advice.At(executor->number).kind = ExecutorAdvice::Kind::kBad;
    }
  }
  for (const auto& [id, ticket] : reply.good) {
    if (const Executor* executor = FindExecutor(id)) {
      advice.At(executor->number) = {ExecutorAdvice::Kind::kGood, ticket,
                                     now + reply.validity - kAdviceSlack};
    }
  }
  context_.log.Write(Event::kAdviceReceived,
                     {{"step", name.StepText()},
                      {"asked", std::to_string(asked.size())},
                      {"good", std::to_string(reply.good.size())}});
  RequestPass();
}

}  // namespace chivedale::cell
