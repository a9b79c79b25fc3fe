// Who can reach whom: whether a silent leader is silent to other members too,
// and whether this member, if it leads, is cut off from all of them.
#include <algorithm>
#include <utility>
#include <vector>

#include "cell/node.h"

namespace chivedale::cell {
namespace {

// Members asked whether a leader that is silent to this one is silent to them.
constexpr size_t kMembersAsked = 3;
// A leader that receives no heartbeat for this time, three intervals, checks
// whether it reaches the store.
constexpr Millis kIsolationTime{600};
// Interval of that check, and its time limit.
constexpr Millis kIsolationCheckInterval{200};
// A leader without an answer of the store for this time reports it, and the
// members without a heartbeat for this time.
constexpr Millis kUnconfirmedTime{1'000};

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

// The other members elect a successor, which starts the tasks again once the
// leases that its predecessor may have granted have expired. So an isolated
// leader must not renew them. An outage of the store in which all other VMs
// fail as well looks the same, except if these refuse connections.
void CellNode::CheckIsolation() {
  const TimePoint now = context_.clock.Now();
  if (leader_ == nullptr || now < next_isolation_check_ ||
      checking_isolation_) {
    return;
  }
  next_isolation_check_ = now + kIsolationCheckInterval;
  if (!ReceivesNoBeats()) {
    SetIsolated(false);
    return;
  }
  checking_isolation_ = true;
  store_.Read(
      kLeaderKey, kIsolationCheckInterval, Guard([this](const StoreRead& read) {
        checking_isolation_ = false;
        if (read.status == StoreStatus::kOk) {
          ApplyCellItem(read.items[0]);
        }
        SetIsolated(read.status != StoreStatus::kOk && ReceivesNoBeats());
      }));
}

bool CellNode::ReceivesNoBeats() const {
  const TimePoint now = context_.clock.Now();
  bool expects_members = false;
  for (const auto& [node, member] : members_) {
    if (now - member.last_heard < kIsolationTime) {
      return false;
    }
    expects_members = expects_members || !member.gone;
  }
  return expects_members && now - leading_since_ > kIsolationTime;
}

void CellNode::SetIsolated(bool isolated) {
  if (leader_ == nullptr || isolated == isolated_) {
    return;
  }
  isolated_ = isolated;
  context_.log.Write(Event::kLeaderIsolated,
                     {{"isolated", isolated ? "yes" : "no"}});
  if (isolated) {
    leader_->Suspend();
  } else {
    leader_->Resume();
  }
}

void CellNode::ReportUnconfirmed() {
  if (leader_ == nullptr || store_.failing_for() < kUnconfirmedTime) {
    unconfirmed_reported_ = false;
    return;
  }
  if (std::exchange(unconfirmed_reported_, true)) {
    return;
  }
  std::string silent;
  for (const auto& [node, member] : members_) {
    if (context_.clock.Now() - member.last_heard > kUnconfirmedTime) {
      silent += silent.empty() ? node : "," + node;
    }
  }
  context_.log.Write(Event::kLeaderUnconfirmed,
                     {{"term", std::to_string(leader_->leadership().term)},
                      {"members", std::to_string(members_.size())},
                      {"silent", silent}});
}

}  // namespace chivedale::cell
