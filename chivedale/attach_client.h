// Requests to the entry that owns a request id: wait for its end, get its
// status, or cancel it. Each call is resent until it is answered and fails when
// that entry dies.
#ifndef CHIVEDALE_ATTACH_CLIENT_H_
#define CHIVEDALE_ATTACH_CLIENT_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "chivedale/messages.h"
#include "chivedale/registrar.h"
#include "util/clock.h"

namespace chivedale {

class AttachClient {
 public:
  // Called with nullopt if the entry is gone or did not answer in time.
  using Done = std::function<void(const std::optional<AttachAnswer>&)>;

  AttachClient(const util::Clock& clock,
               MemberSender& sender,
               MemberId self,
               Millis resend_interval);

  // Commands. `done` is called exactly once.
  void Call(const RequestId& id,
            const MemberId& entry,
            AttachMode mode,
            util::TimePoint expires_at,
            Done done);
  void OnAnswer(const MemberId& from, const AttachAnswer& answer);
  // All members that are neither dead nor left. A call to any other member
  // fails after a grace period, since the holder may name an entry that has
  // long been gone.
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnMemberDead(const MemberId& member);
  void Tick();

  // Query. Returns the entry that an open call for this id was sent to, or an
  // empty id.
  MemberId EntryOf(const RequestId& id) const;

 private:
  struct PendingCall {
    MemberId entry;
    AttachMode mode = AttachMode::kWait;
    util::TimePoint first_sent_at{};
    util::TimePoint resend_at{};
    util::TimePoint expires_at{};
    Done done;
  };

  void Send(const RequestId& id, PendingCall& call);
  // Removes and returns the calls for which `ended` returns true.
  std::vector<PendingCall> TakeIf(
      const std::function<bool(const RequestId&, PendingCall&)>& ended);

  const util::Clock& clock_;
  MemberSender& sender_;
  const MemberId self_;
  const Millis resend_interval_;
  std::set<MemberId> members_;
  std::unordered_map<RequestId, std::vector<PendingCall>> pending_calls_;
  // Members that were declared dead, with the time of the declaration.
  std::map<MemberId, util::TimePoint> declared_dead_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ATTACH_CLIENT_H_
