// Spreads calls for advice over the members: the service handles one call at a
// time for each VM that calls, so the VMs together are the scarce resource.
//
//   AdviceDesk desk(clock, max_calls_per_member);
//   desk.SetMembers({"node-a", "node-b"});
//   desk.Ask(ask);                          // queued by urgency
//   while (auto call = desk.NextCall()) Send(call->member, call->ask);
//   desk.OnAnswer(member, ask.id);          // its place is free again
#ifndef CELL_ADVICE_DESK_H_
#define CELL_ADVICE_DESK_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

struct AdviceAsk {
  uint64_t id = 0;  // given by the desk
  std::string step;
  int priority = 0;
  TimePoint objective{};  // earlier ones first within a priority
  std::vector<ExecutorId> executors;
  Duration takes{0};  // expected time at the service
};

class AdviceDesk {
 public:
  struct Call {
    std::string member;
    AdviceAsk ask;
  };

  explicit AdviceDesk(const Clock& clock) : clock_(clock) {}

  // Commands.
  void SetMembers(const std::set<std::string>& members);
  uint64_t Ask(AdviceAsk ask);
  // The next call to make now and the member to make it; nothing when all are
  // busy or nothing waits.
  std::optional<Call> NextCall();
  void OnAnswer(uint64_t id);
  // The step needs no advice any more.
  void Withdraw(uint64_t id);

  // Queries.
  size_t waiting() const { return waiting_.size(); }
  size_t under_way() const { return under_way_.size(); }
  // Work under way and waiting for each member.
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
  std::map<Key, AdviceAsk> waiting_;
  std::map<uint64_t, std::string> under_way_;  // id to member
};

}  // namespace chivedale::cell

#endif  // CELL_ADVICE_DESK_H_
