#include "cell/step_advice.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {
namespace {

// Position of the executor in a list in order of executor numbers.
template <typename Tickets>
auto FindTicket(Tickets& tickets, size_t executor) {
  return std::lower_bound(tickets.begin(), tickets.end(), executor,
                          [](const StepTicket& ticket, size_t number) {
                            return ticket.executor < number;
                          });
}

}  // namespace

void StepAdvice::SetKind(size_t executor, Kind kind) {
  if (executor >= kinds_.size()) {
    kinds_.resize(executor + 1, Kind::kUnknown);
  }
  kinds_[executor] = kind;
}

void StepAdvice::SetGood(StepTicket ticket) {
  const size_t executor = ticket.executor;
  const auto at = FindTicket(good_, executor);
  if (KindOf(executor) == Kind::kGood) {
    *at = std::move(ticket);
  } else {
    good_.insert(at, std::move(ticket));
  }
  SetKind(executor, Kind::kGood);
}

void StepAdvice::SetBad(size_t executor) {
  Forget(executor);
  SetKind(executor, Kind::kBad);
}

void StepAdvice::Forget(size_t executor) {
  if (KindOf(executor) == Kind::kGood) {
    good_.erase(FindTicket(good_, executor));
  }
  if (executor < kinds_.size()) {
    kinds_[executor] = Kind::kUnknown;
  }
}

const StepTicket* StepAdvice::TicketOf(size_t executor) const {
  return KindOf(executor) == Kind::kGood ? &*FindTicket(good_, executor)
                                         : nullptr;
}

}  // namespace chivedale::cell
