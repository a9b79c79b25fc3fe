// The asking side of the request directory: registers this entry's ids with
// the holder of their group, asks again until it answers, and registers open
// ids again when the holder changes.
//
//   registrar.Begin(id, repeatable, digest, [&](const RegisterReply& reply)
//   {}); registrar.End(id, /*ran=*/true);
#ifndef CHIVEDALE_REGISTRAR_H_
#define CHIVEDALE_REGISTRAR_H_

#include <deque>
#include <functional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/request_directory.h"
#include "util/clock.h"

namespace chivedale {

class MemberSender {
 public:
  virtual ~MemberSender() = default;
  // False when the message was certainly not sent.
  virtual bool SendToMember(const MemberId& to, const Message& message) = 0;
};

class Registrar {
 public:
  struct Options {
    // Longer than a round trip between regions, shorter than a heartbeat.
    Millis ask_again{300};
    // Ended ids are still registered with a new holder for this long, so that
    // a late second send is attached and not run again.
    Millis ended_retention{60'000};
    size_t max_ended = 50'000;
  };
  using Done = std::function<void(const RegisterReply&)>;

  Registrar(const util::Clock& clock,
            const RequestDirectory& directory,
            MemberSender& sender,
            MemberId self,
            Options options);

  // Commands.
  // Called when a new holder knows a held id as another entry's.
  void OnLost(std::function<void(const RequestId&, const MemberId&)> lost) {
    lost_ = std::move(lost);
  }
  // `done` gets the final reply: never kNotHolder or kWait.
  void Begin(const RequestId& id, bool repeatable, uint64_t digest, Done done);
  // Only asks whether the id is known; the id is not kept here. A digest of 0
  // is not compared.
  void Probe(const RequestId& id, bool repeatable, uint64_t digest, Done done);
  // The request has ended. `ran` false: certainly not run, the id is freed.
  void End(const RequestId& id, bool ran);
  // False when the reply is to no registration of an entry.
  bool OnReply(const RegisterReply& reply);
  // Registers open ids with new holders.
  void OnMembersChanged();
  // Others took this member for dead: holders may have freed its ids.
  void RegisterAgain();
  void Tick();

  // Queries.
  // Whether the present holder has granted or confirmed the id.
  bool IsConfirmed(const RequestId& id) const;
  size_t size() const { return ids_.size(); }

 private:
  struct Registration {
    bool repeatable = true;
    uint64_t digest = 0;
    uint64_t number = 0;
    bool probe = false;
    bool held = false;  // granted; kept for a change of holder
    bool ended = false;
    MemberId holder;
    util::TimePoint ask_at{};
    std::vector<Done> done;
  };

  void ExpireEnded();
  void Ask(const RequestId& id, Registration& registration);
  void Insert(const RequestId& id, Registration registration);

  const util::Clock& clock_;
  const RequestDirectory& directory_;
  MemberSender& sender_;
  const MemberId self_;
  util::TimePoint ticked_{};
  std::function<void(const RequestId&, const MemberId&)> lost_;
  const Options options_;
  std::unordered_map<RequestId, Registration> ids_;
  // Ids that wait for a reply; the others need no timer.
  std::unordered_map<RequestId, bool> asking_;
  // Ended ids in the order of their end.
  std::deque<std::pair<util::TimePoint, RequestId>> ended_;
  uint64_t last_number_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_REGISTRAR_H_
