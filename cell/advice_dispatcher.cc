// Each member normally has one call in flight, so that all other requests stay
// in this queue and are sent in order of priority. A second call is sent
// shortly before the first is expected to end, so that the network delay does
// not leave the service idle.
#include "cell/advice_dispatcher.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace chivedale::cell {
namespace {

constexpr int kMaxCallsPerMember = 2;
// A member's next call is sent this long before its current one is expected to
// end: the longest round trip between two regions of a site.
constexpr Millis kSendAhead{20};

}  // namespace

void AdviceDispatcher::SetMembers(const std::set<std::string>& members) {
  for (auto it = members_.begin(); it != members_.end();) {
    it = members.count(it->first) == 0 ? members_.erase(it) : std::next(it);
  }
  for (const std::string& member : members) {
    members_.try_emplace(member);
  }
}

uint64_t AdviceDispatcher::Enqueue(AdviceRequest request) {
  request.id = next_id_++;
  const uint64_t id = request.id;
  const Key key{request.priority, request.objective, id};
  waiting_.emplace(key, std::move(request));
  return id;
}

std::optional<AdviceDispatcher::Call> AdviceDispatcher::NextCall() {
  if (waiting_.empty()) {
    return std::nullopt;
  }
  const TimePoint now = clock_.Now();
  auto best = members_.end();
  for (auto it = members_.begin(); it != members_.end(); ++it) {
    const Member& member = it->second;
    const bool free =
        member.calls == 0 || (member.calls < kMaxCallsPerMember &&
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
  member.busy_until =
      std::max(member.busy_until, now) + call.request.expected_duration;
  under_way_[call.request.id] = call.member;
  return call;
}

void AdviceDispatcher::OnAnswer(uint64_t id) {
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

void AdviceDispatcher::Withdraw(uint64_t id) {
  for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
    if (it->second.id == id) {
      waiting_.erase(it);
      return;
    }
  }
}

Duration AdviceDispatcher::Backlog() const {
  Duration total{0};
  for (const auto& [key, request] : waiting_) {
    total += request.expected_duration;
  }
  return members_.empty() ? total
                          : total / static_cast<int64_t>(members_.size());
}

}  // namespace chivedale::cell
