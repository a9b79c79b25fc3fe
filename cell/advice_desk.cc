// One call under way for each member keeps the order of urgency: whatever waits
// waits here. A second one is sent early only when the first is about to end,
// so that the way between the VMs does not leave the service idle.
#include "cell/advice_desk.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivedale::cell {
namespace {

constexpr int kCallsPerMember = 2;
// The longest way there and back between two regions of a site.
constexpr Millis kSendAhead{20};

}  // namespace

void AdviceDesk::SetMembers(const std::set<std::string>& members) {
  for (auto it = members_.begin(); it != members_.end();) {
    it = members.count(it->first) == 0 ? members_.erase(it) : std::next(it);
  }
  for (const std::string& member : members) {
    members_.try_emplace(member);
  }
}

uint64_t AdviceDesk::Ask(AdviceAsk ask) {
  ask.id = next_id_++;
  const uint64_t id = ask.id;
  const Key key{ask.priority, ask.objective, id};
  waiting_.emplace(key, std::move(ask));
  return id;
}

std::optional<AdviceDesk::Call> AdviceDesk::NextCall() {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const TimePoint now = clock_.Now();
  auto best = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    const Member& member = it->second;
    const bool free =
        member.calls == 0 || (member.calls < kCallsPerMember &&
                              member.busy_until - now < kSendAhead);
    if (free && (best == members_.end() ||
                 std::tie(member.calls, member.busy_until) <
                     std::tie(best->second.calls, best->second.busy_until))) {
      best = it;
    }
  }
  if (best == members_.end()) {
    return std::nullopt;
  }
  const auto first = waiting_.begin();
  Call call{best->first, std::move(first->second)};
  waiting_.erase(first);
  Member& member = best->second;
  ++member.calls;
  member.busy_until = std::max(member.busy_until, now) + call.ask.takes;
  under_way_[call.ask.id] = call.member;
  return call;
}

void AdviceDesk::OnAnswer(uint64_t id) {
  const auto found = under_way_.find(id);
  if (found == under_way_.end()) {
    return;
  }
  const auto member = members_.find(found->second);
  if (member != members_.end()) {
    --member->second.calls;
    if (member->second.calls == 0) {
      member->second.busy_until = clock_.Now();
    }
  }
  under_way_.erase(found);
}

void AdviceDesk::Withdraw(uint64_t id) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->second.id == id) {
      waiting_.erase(it);
      return;
    }
  }
}

Duration AdviceDesk::Backlog() const {
  Duration total{0};
  for (const auto& [key, ask] : waiting_) {
    total += ask.takes;
  }
  return members_.empty() ? total
                          : total / static_cast<int64_t>(members_.size());
}

}  // namespace chivedale::cell
