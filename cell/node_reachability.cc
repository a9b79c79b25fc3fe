// Whether a leader that is silent to this member is silent to others too.
#include <algorithm>
#include <utility>
#include <vector>

#include "cell/node.h"

namespace chivedale::cell {
namespace {

// Members asked whether a leader that is silent to this one is silent to them.
constexpr size_t kMembersAsked = 3;

}  // namespace

bool CellNode::AskMembersForLeader(int64_t term) {
  std::vector<const Member*> others;
  const auto& leader = election_->leader();
  for (const auto& [node, member] : members_) {
    if (!leader || node != leader->node) {
      others.push_back(&member);
    }
  }
  const size_t asked = std::min(others.size(), kMembersAsked);
  for (size_t i = 0; i < asked; ++i) {
    std::swap(others[i],
              others[i + context_.random.UniformInt(others.size() - i)]);
    context_.peers.SendToAddress(others[i]->address,
                                 LeaderQuery{options_.address, term});
  }
  return asked > 0;
}

void CellNode::OnLeaderQuery(const LeaderQuery& query) {
  if (election_->HearsLeader(query.term)) {
    context_.peers.SendToAddress(query.address, LeaderHeard{query.term});
  }
}

}  // namespace chivedale::cell
