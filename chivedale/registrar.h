// Client side of the request directory: registers the ids of this entry with
// the holder of their group, resends until it answers, and registers open ids
// again when the holder changes.
//
//   registrar.Begin(id, repeatable, digest, on_reply);
//   registrar.End(id, /*ran=*/true);
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
  // Returns false if the message was certainly not sent.
  virtual bool SendToMember(const MemberId& to, const Message& message) = 0;
};

class Registrar {
 public:
  struct Options {
    // Longer than a round trip between regions, shorter than a heartbeat
    // interval.
    Millis resend_interval{300};
    // Ended ids are registered with a new holder for this long, so that a late
    // resubmission is attached and not run again.
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
  // Sets the callback for ids that a new holder has assigned to another entry.
  void SetReassignedCallback(
      std::function<void(const RequestId&, const MemberId&)> on_reassigned) {
    on_reassigned_ = std::move(on_reassigned);
  }
  // `done` receives the final reply, never kNotHolder or kRetryLater.
  void Begin(const RequestId& id, bool repeatable, uint64_t digest, Done done);
  // Only queries whether the id is known; the id is not kept here. A digest of
  // 0 is not compared.
  void Probe(const RequestId& id, bool repeatable, uint64_t digest, Done done);
  // The request has ended. If `ran` is false, a resubmission may run, so the
  // holder is told to free the id. Otherwise a granted id is kept for
  // `ended_retention`.
  void End(const RequestId& id, bool ran);
  // Returns false if the reply is for the owner role, which registers adopted
  // requests with number 0.
  bool OnReply(const RegisterReply& reply);
  // Registers open ids with new holders.
  void OnMembersChanged();
  // Other members considered this one dead, so holders may have freed its ids.
  void ReregisterIds();
  void Tick();

  // Queries.
  // Whether the current holder has granted or confirmed the id.
  bool IsConfirmed(const RequestId& id) const;
  size_t size() const { return ids_.size(); }

 private:
  struct Registration {
    bool repeatable = true;
    uint64_t digest = 0;
    uint64_t number = 0;
    bool probe = false;
    bool held = false;  // granted; registered again with a new holder
    bool ended = false;
    MemberId holder;
    util::TimePoint resend_at{};
    std::vector<Done> done;
  };

  void ExpireEnded();
  void SendRegister(const RequestId& id, Registration& registration);
  void Insert(const RequestId& id, Registration registration);

  const util::Clock& clock_;
  const RequestDirectory& directory_;
  MemberSender& sender_;
  const MemberId self_;
  util::TimePoint last_tick_{};
  std::function<void(const RequestId&, const MemberId&)> on_reassigned_;
  const Options options_;
  std::unordered_map<RequestId, Registration> ids_;
  // Ids that wait for a reply; only these need a timer.
  std::unordered_map<RequestId, bool> unanswered_;
  // Ended ids, by time of their end.
  std::deque<std::pair<util::TimePoint, RequestId>> ended_;
  uint64_t last_number_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_REGISTRAR_H_
