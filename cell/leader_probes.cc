// Tasks for executors that are avoided after failures.
#include <algorithm>
#include <iterator>

#include "cell/leader.h"

namespace chivedale::cell {

std::vector<Executor*> CellLeader::ProbesFor(const Step& step,
                                             const PoolState& pool) {
  const auto may_run = [&](const Executor* executor) {
    return IsEligible(step, *executor) &&
           step.advice.KindOf(executor->boot.number) != StepAdvice::Kind::kBad;
  };
  std::vector<Executor*> probes;
  std::copy_if(pool.avoided.begin(), pool.avoided.end(),
               std::back_inserter(probes), may_run);
  size_t others = 0;
  for (auto it = pool.usable.begin();
       it != pool.usable.end() && others < probes.size(); ++it) {
    others += may_run(*it) ? 1 : 0;
  }
  probes.resize((probes.size() - others + 1) / 2);
  return probes;
}

bool CellLeader::PlaceOnProbes(Step& step,
                               const PoolState& pool,
                               std::vector<Executor*> candidates,
                               int most) {
  const TimePoint now = context_.clock.Now();
  const bool needs_ticket = PolicyOf(*step.job).advice.has_value();
  const size_t without_probes = candidates.size();
  for (Executor* executor : ProbesFor(step, pool)) {
    if (executor->boot.health.MayStart(now) &&
        (!needs_ticket || HasValidTicket(step, *executor, now))) {
      candidates.push_back(executor);
    }
  }
  if (candidates.size() == without_probes) {
    return false;
  }
  return step.spec->gang ? PlaceGang(step, candidates)
                         : PlaceTasks(step, candidates, most);
}

}  // namespace chivedale::cell
