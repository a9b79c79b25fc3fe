// Sends queued tasks to owners that have room for them and tracks each attempt
// until it has ended. At most one attempt of a task is open here.
//
//   dispatcher.Enqueue(task, listener);
//   dispatcher.DispatchQueued();  // after each change of room or queue
#ifndef CHIVEDALE_DISPATCHER_H_
#define CHIVEDALE_DISPATCHER_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivedale/fair_queue.h"
#include "chivedale/ids.h"
#include "chivedale/lease_times.h"
#include "chivedale/limit_share.h"
#include "chivedale/messages.h"
#include "chivedale/metrics.h"
#include "chivedale/owner_agent.h"
#include "chivedale/registrar.h"
#include "chivedale/routing.h"
#include "chivedale/run_time_model.h"
#include "util/clock.h"

namespace chivedale {

// Implemented by the component that enqueued a task and decides on its
// attempts.
class AttemptListener {
 public:
  virtual ~AttemptListener() = default;
  // Called before each attempt; false keeps the task in the queue for now.
  virtual bool MayStart(const TaskId&) const { return true; }
  // Returns the number of the attempt that is about to be sent.
  virtual uint32_t NextAttempt(const TaskId& task) = 0;
  virtual void OnAttemptStarted(const MemberId& owner,
                                const DispatchReply& reply) = 0;
  // The attempt has ended or is lost; see Answer::ran. Returns false if the
  // listener acknowledges the answer itself later.
  virtual bool OnAttemptEnded(const MemberId& owner, const Answer& answer) = 0;
  // The deadline passed while the task was queued: this attempt has certainly
  // not run.
  virtual void OnExpired(const TaskId& task) = 0;
};

struct DispatchTask {
  // The listener sets key.attempt.
  Dispatch dispatch;
  RegionRule region = RegionRule::kPreferHome;
  util::TimePoint enqueued{};
  util::TimePoint deadline{};
  util::TimePoint not_before{};
  double cost = 1;
};

class Dispatcher {
 public:
  struct Options {
    Millis resend_interval{1'000};
    // Time after the death of an attempt's owner from which all members are
    // queried for it. It has ended once each has replied that it does not have
    // it.
    Millis orphan_timeout = OrphanTimeout();
    int max_pops_per_call = 256;
  };
  struct Deps {
    const util::Clock& clock;
    FairQueue& queue;
    RunTimeModel& run_times;
    LimitShare& limits;
    Routing& routing;
    OwnerAgent& owner;
    MemberSender& sender;
    Metrics& metrics;
  };

  Dispatcher(Deps deps, MemberId self, Options options);

  // Commands.
  // Throws Error(kQueueFull).
  void Enqueue(DispatchTask task, AttemptListener& listener);
  // Enqueues work that has been accepted, such as a retry or a task of a job,
  // even if the queue is full.
  void Requeue(DispatchTask task, AttemptListener& listener);
  // Removes the task from the queue. Returns false if it is not queued.
  bool Withdraw(const TaskId& task);
  // Stops tracking the task, whatever its phase.
  void Forget(const TaskId& task);
  // Asks the owner of a sent attempt to stop it. Returns false if there is
  // none.
  bool Stop(const TaskId& task, bool checkpoint);
  void DispatchQueued();
  void OnDispatchReply(const MemberId& owner, const DispatchReply& reply);
  void OnAnswer(const MemberId& owner, const Answer& answer);
  void OnWorkerTakenOver(const WorkerTaken& taken);
  // All members that are neither dead nor left.
  void SetMembers(const std::vector<MemberInfo>& members);
  // Reply of a member to the query for lost attempts.
  void OnQueryReply(const MemberId& member, const JobQueryReply& reply);
  void OnMemberDead(const MemberId& member);
  void Tick();

  // Queries.
  int64_t sent() const;
  bool IsOpen(const TaskId& task) const;
  // Whether this attempt is sent and tracked here.
  bool IsSent(const TaskKey& key) const;

 private:
  enum class Phase { kQueued, kSent, kRunning };
  struct Attempt {
    DispatchTask task;
    // Item as returned by the queue; put back unchanged, so that it keeps its
    // position.
    QueuedItem item;
    AttemptListener* listener = nullptr;
    Phase phase = Phase::kQueued;
    MemberId owner;
    WorkerId worker;
    uint64_t token = 0;
    std::string boot_id;
    util::TimePoint sent_at{};
    // Zero while the owner is assumed to be alive.
    util::TimePoint owner_lost_at{};
    // Members that have not reported yet whether they have the lost attempt.
    std::set<MemberId> awaited_replies;
    util::TimePoint query_at{};
    bool queried = false;
    bool cancelled = false;
  };

  void Insert(DispatchTask task, AttemptListener& listener, bool requeue);
  // Returns the owner to send an item to, or nothing if it has to wait.
  std::optional<MemberId> ChooseOwner(const QueuedItem& item);
  void SendTo(const MemberId& owner, Attempt& attempt);
  void Deliver(const MemberId& owner, const Dispatch& dispatch);
  void ReturnToQueue(Attempt& attempt);
  // The attempt certainly did not start.
  void EndNotStarted(Attempt& attempt);
  bool End(const MemberId& owner, const Answer& answer);
  void EndLostAttempt(const TaskId& task);
  void MarkOwnerLost(Attempt& attempt);
  // Whether the lost attempt has certainly ended or is past its deadline.
  bool IsSettled(Attempt& attempt);
  Attempt* FindSent(const TaskKey& key);
  static QueuedItem ItemOf(const DispatchTask& task);

  const Deps deps_;
  const MemberId self_;
  const Options options_;
  std::unordered_map<TaskId, Attempt> attempts_;
  // Sent attempts, so that a tick does not have to visit the queue.
  std::unordered_map<TaskId, bool> sent_;
  std::set<MemberId> members_;
  uint64_t sequence_ = 0;
  bool dispatching_ = false;
};

}  // namespace chivedale

#endif  // CHIVEDALE_DISPATCHER_H_
