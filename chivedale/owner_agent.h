// The owner role of a daemon: holds worker leases, places attempts on its
// workers, starts them, resolves unknown outcomes, and forwards completions to
// their entries until these acknowledge them.
#ifndef CHIVEDALE_OWNER_AGENT_H_
#define CHIVEDALE_OWNER_AGENT_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/event_log.h"
#include "chivedale/messages.h"
#include "chivedale/placement.h"
#include "chivedale/ports.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

// Receives the notifications of the agent for its daemon and for other members.
// `to` may be this member itself.
class OwnerListener {
 public:
  virtual ~OwnerListener() = default;
  virtual void SendToMember(const MemberId& to, const Message& message) = 0;
  // Capacity became free on a worker of this owner.
  virtual void OnCapacityFreed() = 0;
  // Run time of a completed task, for the run-time and usage models.
  virtual void OnRunTime(const std::string& kind, Millis run_time) = 0;
  // Sends to the holder of the request's group, for a request whose entry is
  // gone. The reply arrives at OnRegisterReply.
  virtual void SendToHolder(const Register&) {}
};

struct WorkerStatus {
  WorkerId id;
  std::string lease;  // unowned, claiming, reading, owned, handing_over, ...
  std::string data_centre;
  std::string rack;
  Resources capacity;
  Resources committed;
  Resources used;
  int64_t running = 0;
  bool leaving = false;
  double failure_rate = 0;
};

class OwnerAgent {
 public:
  struct Options {
    Millis lease_ttl{2'000};
    Millis renew_interval{500};
    Millis orphan_ttl{6'000};
    double drift_margin = 0.1;
    Millis answer_resend{1'000};
    Millis completion_wait{1'000};
    // How long the answer of a request is kept after its entry is gone.
    Millis answer_retention{600'000};
    // Rate limit on stopping checkpointable work to free capacity for urgent
    // work.
    double preemptions_per_s = 5;
    // See LeaseManager.
    Millis rebalance_after{10'000};
    double rebalances_per_s = 50;
    PlacementPolicyKind placement = PlacementPolicyKind::kPack;
  };

  OwnerAgent(const util::Clock& clock,
             util::Random& random,
             WorkerPort& workers,
             OwnerListener& listener,
             MemberInfo self,
             Options options,
             EventLog* log = nullptr);
  ~OwnerAgent();

  // Commands.
  // The endpoints that VmList considers present.
  void SetVms(const std::vector<Vm>& endpoints);
  // All members that are neither dead nor left. Live and suspect members may
  // own workers; this member counts as live unless it is draining.
  void SetMembers(const std::vector<MemberInfo>& owners);
  // Places and starts the attempt at once, or refuses it. Replies through the
  // listener with a DispatchReply, later with an Answer.
  void OnDispatch(const Dispatch& dispatch);
  void OnAnswerAck(const AnswerAck& ack);
  void OnCancel(const Cancel& cancel);
  void OnHold(const MemberId& from, const Hold& hold);
  void OnHoldRelease(const HoldRelease& release);
  void OnHandover(const Handover& handover);
  // Answers with what is known of the attempts. From then on their answers go
  // to the job's new manager, and starts of earlier managers are refused.
  void OnJobQuery(const JobQuery& query);
  // Another member owns the worker, so its attempts are no longer tracked here.
  // The entry role handles the message separately.
  void OnWorkerTakenOver(const WorkerTaken& taken);
  // Reports EntryGone to all members and adopts the tasks of that entry: keeps
  // their answers for Attach.
  void OnMemberDead(const MemberId& member);
  void OnAttach(const Attach& attach);
  void OnRegisterReply(const RegisterReply& reply);
  void Tick();
  // Stops accepting dispatches and hands over each worker to its next owner as
  // soon as no start is in flight. Running tasks continue.
  void Drain();

  // Queries.
  bool drained() const;
  // May be up to 20 ms old.
  Summary CachedSummary() const;
  // Not cached, so it includes all capacity reported through OnCapacityFreed.
  // Both queries number their summaries from the same sequence.
  Summary LatestSummary() const;
  // Whether a worker of this owner has free capacity for this size.
  bool HasCapacity(const Resources& size) const;
  // Whether OnAttach can answer for this request.
  bool HasAdopted(const RequestId& request) const;
  std::vector<WorkerStatus> Workers() const;
  int64_t owned_workers() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_OWNER_AGENT_H_
