// Which executors may run a step, and the ticket for each.
//
//   StepAdvice advice;
//   advice.SetGood({executor.number, ticket, expires});
//   if (const StepTicket* ticket = advice.TicketOf(executor.number)) ...
#ifndef CELL_STEP_ADVICE_H_
#define CELL_STEP_ADVICE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

// Permission to run a step on an executor.
struct StepTicket {
  size_t executor = 0;  // its number
  std::string ticket;
  TimePoint expires{};
  TimePoint received{};
  // No executor accepts it later.
  TimePoint accepted_until{};
};

// Advice on which executors, by their numbers, may run a step.
class StepAdvice {
 public:
  enum class Kind : uint8_t { kUnknown, kBad, kGood };

  void SetGood(StepTicket ticket);
  void SetBad(size_t executor);
  // Discards the advice on the executor.
  void Forget(size_t executor);

  Kind KindOf(size_t executor) const {
    return executor < kinds_.size() ? kinds_[executor] : Kind::kUnknown;
  }
  // Tickets of all executors that may run the step, in order of their numbers.
  const std::vector<StepTicket>& good() const { return good_; }
  // Null unless the executor may run the step.
  const StepTicket* TicketOf(size_t executor) const;

  bool call_in_flight = false;  // a call is queued or in flight
  bool answered = false;
  TimePoint next_call{};  // earliest, after a failed call

 private:
  void SetKind(size_t executor, Kind kind);

  std::vector<Kind> kinds_;  // by executor number
  std::vector<StepTicket> good_;
};

}  // namespace chivedale::cell

#endif  // CELL_STEP_ADVICE_H_
