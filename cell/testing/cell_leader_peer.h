// Access to the state of a leader that tests check, or change to simulate
// faults of the leader itself.
#ifndef CELL_TESTING_CELL_LEADER_PEER_H_
#define CELL_TESTING_CELL_LEADER_PEER_H_

#include "cell/leader.h"

namespace chivedale::cell::testing {

class CellLeaderPeer {
 public:
  // Leaves the steps of all jobs out of the scheduling passes.
  static void ClearWaitingSteps(const CellLeader& leader) {
    const_cast<CellLeader&>(leader).waiting_.clear();
  }
  // Null if the executor is not known.
  static const ExecutorHealth* HealthOf(const CellLeader& leader,
                                        const ExecutorId& id) {
    const auto found = leader.by_id_.find(id);
    return found == leader.by_id_.end() ? nullptr : &found->second->boot.health;
  }
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_CELL_LEADER_PEER_H_
