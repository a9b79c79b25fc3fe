// Queues calls to the advice service and distributes them over the members. The
// service processes one call at a time per calling VM, so throughput depends on
// the number of members that call.
//
//   AdviceDispatcher dispatcher(clock);
//   dispatcher.SetMembers({"node-a", "node-b"});
//   const uint64_t id = dispatcher.Enqueue(request);  // ordered by priority
//   while (auto call = dispatcher.NextCall()) {
//     Send(call->member, call->request);
//   }
//   dispatcher.OnAnswer(id);  // frees the member's call slot
#ifndef CELL_ADVICE_DISPATCHER_H_
#define CELL_ADVICE_DISPATCHER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

struct AdviceRequest {
  uint64_t id = 0;  // assigned by Enqueue()
  std::string step;
  int priority = 0;
  TimePoint objective{};  // breaks ties within a priority; earlier first
  std::vector<ExecutorId> executors;
  std::vector<size_t> executor_numbers;  // the leader's, of the same executors
  Duration expected_duration{0};         // time at the service
};

class AdviceDispatcher {
 public:
  struct Call {
    std::string member;
    AdviceRequest request;
  };

  explicit AdviceDispatcher(const Clock& clock) : clock_(clock) {}

  // Commands.
  void SetMembers(const std::set<std::string>& members);
  uint64_t Enqueue(AdviceRequest request);
  // The next call and the member that makes it; nullopt if all are busy or the
  // queue is empty.
  std::optional<Call> NextCall();
  void OnAnswer(uint64_t id);
  // Removes a queued request whose step no longer needs advice.
  void Withdraw(uint64_t id);

  // Queries.
  size_t waiting() const { return waiting_.size(); }
  size_t under_way() const { return under_way_.size(); }
  // Expected time until the queued requests have been sent if all members call
  // in parallel.
  Duration Backlog() const;

 private:
  struct Member {
    int calls = 0;
    TimePoint busy_until{};
  };
  using Key = std::tuple<int, TimePoint, uint64_t>;

  const Clock& clock_;
  uint64_t next_id_ = 1;
  std::map<std::string, Member> members_;
  std::map<Key, AdviceRequest> waiting_;
  std::map<uint64_t, std::string> under_way_;  // request ID to member
};

}  // namespace chivedale::cell

#endif  // CELL_ADVICE_DISPATCHER_H_
