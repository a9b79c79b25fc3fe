// A member of the cell: accepts jobs, reports their state, calls the advice
// service on behalf of the leader, and leads when elected.
//
//   CellNode node(context, options);
//   node.Start();
//   node.OnTable(table);      // after each change of the table
//   node.Tick();              // every kNodeTick
//   node.Submit(...); node.FindJob(...); node.CancelJob(...);
//   node.StartShutdown();     // keep ticking to hand the leadership over
#ifndef CELL_NODE_H_
#define CELL_NODE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "cell/call_numbers.h"
#include "cell/call_refusals.h"
#include "cell/election.h"
#include "cell/job_intake.h"
#include "cell/leader.h"
#include "cell/leader_authority.h"
#include "cell/outage_admission.h"
#include "cell/ports.h"
#include "cell/store_monitor.h"
#include "cell/table_confirmer.h"
#include "cell/table_freshness.h"
#include "cell/types.h"
#include "chivedale/event_log.h"
#include "chivedale/messages.h"
#include "chivedale/metrics.h"
#include "chivedale/ports.h"
#include "util/random.h"
#include "util/read_limit.h"

namespace chivedale::cell {

inline constexpr Millis kNodeTick{10};

struct NodeOptions {
  std::string node;
  std::string boot_id;  // unique per process start
  std::string address;  // for calls from other members
  std::vector<std::string> seeds;
  // Capacity for leading: CPU cores of this process, reduced in proportion if
  // the VM's link is slow. Members with more are preferred as the leader.
  double strength = 1;
  // See TableFreshness; 0: keys need no confirmation of the table.
  Millis revocation_bound{0};
  OutageAdmission outage_admission = OutageAdmission::kHold;
  LeaderOptions leader;
  ElectionOptions election;
};

struct NodeContext {
  const Clock& clock;
  EventLog& log;
  Metrics& metrics;
  util::Random& random;
  StorePort& store;
  ExecutorPort& executors;
  AdvicePort& advice;
  VmPort& vms;
  PeerPort& peers;
  ExecutorLister list_executors;
  WaveStatusWriter write_wave_status;
  RunAfter run_after;
  TableReader read_table;
};

// Value of kRosterKey: addresses of the members whose answers a leader needs
// while the store does not answer it, and the leader that stored them.
struct Roster {
  std::string node;
  std::string boot_id;
  std::string address;
  int64_t term = 0;
  std::set<std::string> members;
};
std::string EncodeRoster(const Roster& roster);
std::optional<Roster> DecodeRoster(const std::string& bytes);

// Answer to a query for the state of a job.
struct JobAnswer {
  enum class Kind { kFound, kNoSuchJob, kUnavailable, kOtherAccount };
  Kind kind = Kind::kUnavailable;
  JobState state = JobState::kQueued;
};

class CellNode {
 public:
  using OnJob = std::function<void(JobAnswer)>;

  CellNode(const NodeContext& context, const NodeOptions& options);
  ~CellNode();
  CellNode(const CellNode&) = delete;
  CellNode& operator=(const CellNode&) = delete;

  // Commands.
  void Start();
  void Tick();
  // Ignored unless the table is newer than the current one.
  void OnTable(std::shared_ptr<const QueueTable> table);
  // The newest table of the store cannot be applied.
  void OnInvalidTable() { freshness_.OnInvalid(); }
  // A read that was sent at this time, since boot, showed this newest table.
  void OnTableShown(int64_t version, Duration sent) {
    freshness_.OnShown(version, sent);
  }
  void OnWave(const UpkeepWave& wave);
  void OnMessage(const MemberId& from, const Message& message);
  // The connection to a member was lost. `refused`: a new one was refused,
  // either as no process listens there or by a device on the way.
  void OnPeerDisconnected(const std::string& address, bool refused);
  void Submit(const QueuePolicy& queue,
              const Caller& caller,
              const JobId& id,
              const JobSpec& spec,
              TimePoint deadline,
              JobIntake::OnSubmit done);
  void CancelJob(const JobId& id,
                 const Caller& caller,
                 TimePoint deadline,
                 JobIntake::OnCancel done);
  void FindJob(const JobId& id,
               const Caller& caller,
               TimePoint deadline,
               OnJob done);
  void CountRefusal(RefusalReason reason) { refusals_.Count(reason); }
  // Hands over the leadership and removes this member's entry.
  void StartShutdown();

  // Queries.
  const std::shared_ptr<const QueueTable>& table() const { return table_; }
  // Jobs of the queue without a started task, as last reported by the leader.
  // Returns nullopt if no leader that has read the jobs reported it recently.
  std::optional<int64_t> Pending(const std::string& queue) const;
  // True if this member has a table, which is confirmed if callers need keys,
  // has read the leader key, is not stopping,
  // and leads or can store jobs, directly or through the leader.
  bool ready() const;
  // Whether the table is recent enough to accept keys.
  bool table_confirmed() const { return freshness_.IsConfirmed(); }
  const TableFreshness& freshness() const { return freshness_; }
  bool stopping() const { return stopping_; }
  bool leading() const { return leader_ != nullptr; }
  const CellLeader* leader() const { return leader_.get(); }
  const Election& election() const { return *election_; }
  int64_t store_calls() const { return store_.calls(); }
  const Metrics& metrics() const { return context_.metrics; }
  const CallRefusals& refusals() const { return refusals_; }
  // Time after which the caller of a refused call should return.
  std::chrono::seconds RetryAfter(int priority) const;
  bool refuses_at_once() const {
    return options_.outage_admission == OutageAdmission::kRefuse;
  }

 private:
  struct Member {
    std::string boot_id;
    std::string address;
    double strength = 0;
    TimePoint last_heard{};
    bool store_ok = true;  // as it last reported
  };

  void ListCell();
  void WatchCell();
  void ApplyCellItem(const StoreItem& item);
  void ListMembers();
  void RegisterMember();
  void WriteLeader(const LeaderRecord& record,
                   int64_t expected,
                   std::function<void(Election::Outcome, int64_t)> done);
  void OnLeading(const Leadership& leadership);
  void OnNotLeading(const std::string& reason);
  void OnPause(Duration gap);
  void SendBeats();
  void ApplyPending(const CellBeat& beat);
  void OnBeat(const CellBeat& beat);
  void ProbeStore();
  void CheckStoreForLeader();
  void UpdateAdviceMembers();
  CellBeat MakeBeat() const;
  // Election delay that lets stronger members go first.
  Millis CandidacyDelay() const;
  // True if a much stronger member is alive, reaches the store and should lead.
  bool ShouldYield() const;

  // node_reachability.cc
  // Asks some members whether they receive the leader's heartbeats. Returns
  // false if there are no other members.
  bool AskMembersForLeader(int64_t term);
  void OnLeaderQuery(const LeaderQuery& query);

  // node_authority.cc
  // Reads the leader key and applies it; it may confirm this leader.
  void ReadLeaderKey(Millis timeout,
                     std::function<void(const StoreRead&)> done);
  void BeginAuthority();
  // Gathers evidence for the leader's authority.
  void KeepAuthority();
  // Suspends a leader without authority, and resumes one that has it again.
  void ApplyAuthority();
  void AskRoster();
  void OnFollowCall(const FollowCall& call);
  void OnFollowAnswer(const FollowAnswer& answer);
  void ReadRoster();
  void OnRoster(const StoreRead& read);
  // Earlier leaders may not act after this time.
  void EndPredecessorAuthority(TimePoint end);
  void OnRosterMemberFollows(const CellBeat& beat);
  // Called with each heartbeat to a leader.
  void OnRosterAuthorBeat(const CellBeat& beat);
  void WriteRoster();
  void OnRosterWritten(const Roster& roster, const StoreWriteReply& reply);
  // Whether this member leads and no other one has been elected.
  bool HasAuthority() const;

  // node_calls.cc
  // Returns false if no other member is known to lead.
  bool AskLeaderForTable(uint64_t call);
  void OnTableCall(const TableCall& call);
  void OnStateCall(const JobStateCall& call);
  void OnOwnedStateCall(const OwnedStateCall& call);
  void AnswerStateCall(uint64_t call,
                       const std::string& address,
                       const JobId& id,
                       const Caller& caller);
  void OnStateAnswer(const JobStateAnswer& answer);
  // True if the store fails for this member but answers the leader, which
  // should then store on its behalf.
  bool ShouldStoreAtLeader() const;
  void StoreAtLeader(const JobId& id,
                     Body record,
                     TimePoint deadline,
                     std::function<void(JobStoreResult)> done);
  void CancelAtLeader(const JobId& id,
                      const Caller& caller,
                      TimePoint deadline,
                      std::function<void(JobStoreResult)> done);
  void OnStoreCall(const JobStoreCall& call);
  void OnOwnedCancelCall(const OwnedCancelCall& call);
  // Cancels the job on behalf of another member.
  void CancelFor(const std::string& address,
                 uint64_t call,
                 const JobId& id,
                 const Caller& caller,
                 Millis timeout);
  void NotifyLeader(const JobId& id, Body record, int64_t revision);
  void OnJobNotice(const JobNotice& notice);
  void OnStoreAnswer(const JobStoreAnswer& answer);
  void OnAdviceCall(const AdviceCall& call);
  void OnAdviceAnswer(const AdviceAnswer& answer);
  void RequestAdviceFromMember(const std::string& member,
                               const AdviceRequest& request,
                               AdvicePort::OnAdvice done);
  void FindInStore(const JobId& id,
                   const Caller& caller,
                   TimePoint deadline,
                   OnJob done);
  void ExpireCalls();

  template <typename F>
  auto Guard(F f) {
    return [alive = std::weak_ptr<bool>(alive_), f](auto&&... args) {
      if (alive.lock()) {
        f(std::forward<decltype(args)>(args)...);
      }
    };
  }

  const NodeContext context_;
  const NodeOptions options_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  StoreMonitor store_;
  JobIntake intake_;
  CallRefusals refusals_;
  TableFreshness freshness_;
  TableConfirmer confirmer_;
  std::unique_ptr<Election> election_;
  std::unique_ptr<CellLeader> leader_;
  std::shared_ptr<const QueueTable> table_;
  std::map<std::string, int64_t> pending_;  // from the leader's heartbeats
  TimePoint pending_at_{};  // of the heartbeat with pending_; zero: none yet
  std::map<std::string, Member> members_;  // by node, excluding this one
  // Revisions of logged records of members that cannot be read, by node.
  std::map<std::string, int64_t> rejected_members_;
  int64_t cell_revision_ = 0;
  bool cell_listed_ = false;
  bool registered_ = false;
  int64_t member_revision_ = 0;
  bool register_in_flight_ = false;
  bool stopping_ = false;
  bool checking_store_ = false;
  bool probing_store_ = false;
  std::unique_ptr<LeaderAuthority> authority_;  // of leader_
  LeaderAuthority::Basis authority_basis_ = LeaderAuthority::Basis::kNone;
  TimePoint next_confirm_{};
  TimePoint next_ask_{};
  std::optional<Roster> roster_;  // as last read or written
  int64_t roster_revision_ = 0;
  bool roster_in_flight_ = false;
  util::ReadLimit confirm_limit_;
  util::ReadLimit roster_limit_;
  struct NewFollower {
    std::string boot_id;
    TimePoint since{};  // first heartbeat of that process in this term
  };
  // Members of the roster that follow this leader, by address.
  std::map<std::string, NewFollower> new_followers_;
  bool roster_read_ = false;
  bool may_write_roster_ = false;
  bool members_listed_ = false;    // since this member leads
  TimePoint leader_last_heard_{};  // latest heartbeat of the leader
  bool leader_store_ok_ = false;   // as reported in that heartbeat
  // Time since which the store answers this member but not the leader.
  TimePoint leader_store_lost_since_{};
  TimePoint leading_since_{};
  TimePoint started_at_{};
  TimePoint resumed_at_{};  // after the latest pause of this process
  TimePoint next_members_{};
  util::ReadLimit members_limit_;
  double strongest_ = 0;  // highest strength among the members
  TimePoint next_beat_{};
  TimePoint next_expiry_{};

  std::map<int64_t, UpkeepWave> waves_;  // all announced waves
  CallNumbers call_numbers_;
  struct PendingStateCall {
    JobId job;
    Caller caller;
    TimePoint fallback_at{};
    TimePoint deadline{};
    OnJob done;
  };
  std::map<uint64_t, PendingStateCall> pending_state_calls_;
  struct PendingStoreCall {
    TimePoint deadline{};
    std::function<void(JobStoreResult)> done;
  };
  std::map<uint64_t, PendingStoreCall> pending_store_calls_;
  struct PendingAdviceCall {
    TimePoint deadline{};
    AdvicePort::OnAdvice done;
  };
  std::map<uint64_t, PendingAdviceCall> pending_advice_calls_;
};

}  // namespace chivedale::cell

#endif  // CELL_NODE_H_
