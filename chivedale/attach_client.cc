// Calls are resent rather than acknowledged: the answer may take as long as the
// work itself, and the receiver keeps no state for a call that was lost.
//
// A death is not known to all members at the same time. A holder that has not
// learned of it yet may name the dead entry once more, and a call to that entry
// would stay open until its deadline. Such a call therefore fails after one
// resend interval, and the holder is asked again. If a member was wrongly
// declared dead, these retries reach it once it is a member again.
#include "chivedale/attach_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivedale {
namespace {

// After this time every holder has learned of a death or has been declared dead
// itself.
constexpr Millis kDeathPropagationTime{60'000};
// Upper bound on the delay until a joining member is known here.
constexpr Millis kUnknownEntryGrace{3'000};

}  // namespace

AttachClient::AttachClient(const util::Clock& clock,
                           MemberSender& sender,
                           MemberId self,
                           Millis resend_interval)
    : clock_(clock),
      sender_(sender),
      self_(std::move(self)),
      resend_interval_(resend_interval) {}

void AttachClient::Call(const RequestId& id,
                        const MemberId& entry,
                        AttachMode mode,
                        util::TimePoint expires_at,
                        Done done) {
  PendingCall call;
  call.entry = entry;
  call.mode = mode;
  call.first_sent_at = clock_.Now();
  call.expires_at = expires_at;
  call.done = std::move(done);
  if (declared_dead_.count(entry) > 0) {
    call.expires_at = std::min(expires_at, clock_.Now() + resend_interval_);
  }
  Send(id, call);
  pending_calls_[id].push_back(std::move(call));
}

void AttachClient::Send(const RequestId& id, PendingCall& call) {
  call.resend_at = clock_.Now() + resend_interval_;
  sender_.SendToMember(call.entry, Attach{id, self_, call.mode});
}

std::vector<AttachClient::PendingCall> AttachClient::TakeIf(
    const std::function<bool(const RequestId&, PendingCall&)>& ended) {
  std::vector<PendingCall> taken;
  for (auto it = pending_calls_.begin(); it != pending_calls_.end();) {
    std::vector<PendingCall>& list = it->second;
    for (auto call = list.begin(); call != list.end();) {
      if (ended(it->first, *call)) {
        taken.push_back(std::move(*call));
        call = list.erase(call);
      } else {
        ++call;
      }
    }
    it = list.empty() ? pending_calls_.erase(it) : std::next(it);
  }
  return taken;
}

void AttachClient::OnAnswer(const MemberId& from, const AttachAnswer& answer) {
  auto it = pending_calls_.find(answer.request);
  if (it == pending_calls_.end()) {
    return;
  }
  std::vector<PendingCall> answered;
  std::vector<PendingCall> open;
  for (PendingCall& call : it->second) {
    const bool matches = call.entry == from && call.mode == answer.mode;
    (matches ? answered : open).push_back(std::move(call));
  }
  it->second = std::move(open);
  if (it->second.empty()) {
    pending_calls_.erase(it);
  }
  for (const PendingCall& call : answered) {
    call.done(answer);
  }
}

void AttachClient::SetMembers(const std::vector<MemberInfo>& members) {
  members_.clear();
  for (const MemberInfo& member : members) {
    members_.insert(member.id);
  }
}

void AttachClient::OnMemberDead(const MemberId& member) {
  declared_dead_[member] = clock_.Now();
  const std::vector<PendingCall> ended =
      TakeIf([&](const RequestId&, PendingCall& call) {
        return call.entry == member;
      });
  for (const PendingCall& call : ended) {
    call.done(std::nullopt);
  }
}

void AttachClient::Tick() {
  const util::TimePoint now = clock_.Now();
  for (auto it = declared_dead_.begin(); it != declared_dead_.end();) {
    it = now - it->second < kDeathPropagationTime ? std::next(it)
                                                  : declared_dead_.erase(it);
  }
  const std::vector<PendingCall> ended =
      TakeIf([&](const RequestId& id, PendingCall& call) {
        const bool gone = members_.count(call.entry) == 0 &&
                          now - call.first_sent_at >= kUnknownEntryGrace;
        if (gone || now >= call.expires_at) {
          return true;
        }
        if (now >= call.resend_at) {
          Send(id, call);
        }
        return false;
      });
  for (const PendingCall& call : ended) {
    call.done(std::nullopt);
  }
}

MemberId AttachClient::EntryOf(const RequestId& id) const {
  auto it = pending_calls_.find(id);
  return it == pending_calls_.end() ? MemberId() : it->second.front().entry;
}

}  // namespace chivedale
