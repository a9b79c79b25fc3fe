// Questions to the entry that has a request: wait for its end, its status, or
// cancel it. Sent again until answered, given up when that entry dies.
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
  // Nothing: the entry is gone or did not answer in time.
  using Done = std::function<void(const std::optional<AttachAnswer>&)>;

  AttachClient(const util::Clock& clock,
               MemberSender& sender,
               MemberId self,
               Millis ask_again);

  // Commands. `done` is called once.
  void Ask(const RequestId& id,
           const MemberId& entry,
           AttachMode mode,
           util::TimePoint give_up_at,
           Done done);
  void OnAnswer(const MemberId& from, const AttachAnswer& answer);
  // All members that are not dead or left. A question to another one is given
  // up after a while: an old holder may name an entry that is long gone.
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnMemberDead(const MemberId& member);
  void Tick();

  // Query. The entry that a question about this id went to, or empty.
  MemberId EntryOf(const RequestId& id) const;

 private:
  struct Question {
    MemberId entry;
    AttachMode mode = AttachMode::kWait;
    util::TimePoint asked{};
    util::TimePoint ask_at{};
    util::TimePoint give_up_at{};
    Done done;
  };

  void Send(const RequestId& id, Question& question);
  // Removes the questions for which `ended` holds and returns them.
  std::vector<Question> TakeIf(
      const std::function<bool(const RequestId&, Question&)>& ended);

  const util::Clock& clock_;
  MemberSender& sender_;
  const MemberId self_;
  const Millis ask_again_;
  std::set<MemberId> members_;
  std::unordered_map<RequestId, std::vector<Question>> questions_;
  // Members called dead, and when.
  std::map<MemberId, util::TimePoint> dead_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ATTACH_CLIENT_H_
