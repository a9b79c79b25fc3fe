// A member that does not lead communicates only with the leader, so its traffic
// does not grow with the number of members. The leader sends heartbeats to all.
#include "cell/node.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {
namespace {

constexpr Millis kCellTimeout{1'000};
// Callers may be shown counts of pending jobs of this age.
constexpr Millis kMaxPendingAge{2'000};
// Name of the only entry of CellBeat::pending if the counts are unknown.
constexpr char kPendingUnknown[] = "";
// Heartbeat interval; several fit in ElectionOptions::beat_timeout.
constexpr Millis kBeatInterval{200};
// A member is used for advice calls if a heartbeat of it arrived within this
// time, which spans several heartbeats.
constexpr Millis kMemberTimeout{1'000};
constexpr Millis kExpiryInterval{50};
// After store calls have failed for this time, a leader reports it in its
// heartbeats, and a member that the store answers may replace it.
constexpr Millis kStoreHandoverDelay{350};
// The store counts as down once calls have failed for this time; a success in
// between resets it.
constexpr Millis kStoreDown{200};
// A member that can use neither the store nor a leader that the store answers
// becomes not ready after this time, so that callers use other VMs.
constexpr Millis kNotReadyDelay{700};
// The leader is suspected if the store answers this member but not the leader
// for this time, just under two heartbeats.
constexpr Millis kLeaderStoreTimeout{350};
constexpr Millis kMemberRelistDelay{500};
// Maximum delay with which weaker members let stronger ones win an election.
constexpr Millis kMaxCandidacyDelay{300};
// A leader below this share of another member's strength yields to it.
constexpr double kYieldStrengthRatio = 0.6;
// A new leader does not yield before this time.
constexpr Millis kMinLeadTime{3'000};

}  // namespace

CellNode::CellNode(const NodeContext& context, const NodeOptions& options)
    : context_(context),
      options_(options),
      store_(context.clock, context.log, context.store),
      intake_(
          context.clock,
          store_,
          context.run_after,
          [this] { return store_.failing_for() > kStoreDown; },
          OutagePolicy::Of(options.outage_admission).UnsentWait()),
      freshness_(context.clock, context.log, options.revocation_bound),
      confirmer_(context.clock,
                 context.random,
                 freshness_,
                 {context.read_table,
                  [this](uint64_t call) { return AskLeaderForTable(call); }}),
      table_(std::make_shared<QueueTable>()),
      call_numbers_(context.random) {
  LeaderRecord self;
  self.node = options_.node;
  self.boot_id = options_.boot_id;
  self.address = options_.address;
  Election::Callbacks callbacks;
  callbacks.write = [this](
                        const LeaderRecord& record, int64_t expected,
                        std::function<void(Election::Outcome, int64_t)> done) {
    WriteLeader(record, expected, std::move(done));
  };
  callbacks.on_leading = [this](int64_t term, int64_t fence, bool gone) {
    OnLeading(Leadership{term, fence, gone});
  };
  callbacks.on_not_leading = [this](const std::string& reason) {
    OnNotLeading(reason);
  };
  callbacks.on_pause = [this](Duration gap) { OnPause(gap); };
  callbacks.ask_members = [this](int64_t term) {
    return AskMembersForLeader(term);
  };
  callbacks.candidacy_delay = [this] { return CandidacyDelay(); };
  callbacks.on_suspect = [this](const std::string& reason) {
    context_.log.Write(Event::kLeaderSuspected, {{"reason", reason}});
  };
  election_ = std::make_unique<Election>(context_.clock, context_.random, self,
                                         options_.election, callbacks);
}

CellNode::~CellNode() = default;

void CellNode::Start() {
  started_at_ = context_.clock.Now();
  ListCell();
  ListMembers();
  // List again: in a new cell all members register at the same time.
  context_.run_after(kMemberRelistDelay, Guard([this] { ListMembers(); }));
}

// ---- Membership and election.

void CellNode::WriteLeader(
    const LeaderRecord& record,
    int64_t expected,
    std::function<void(Election::Outcome, int64_t)> done) {
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, expected);
  write.puts.emplace_back(kLeaderKey, EncodeLeaderRecord(record));
  store_.Write(
      write, kCellTimeout,
      Guard([this, done = std::move(done)](const StoreWriteReply& reply) {
        switch (reply.status) {
          case StoreStatus::kOk:
            done(Election::Outcome::kWon, reply.revision);
            return;
          case StoreStatus::kConflict:
            for (const StoreItem& item : reply.items) {
              ApplyCellItem(item);
            }
            done(Election::Outcome::kLost, 0);
            return;
          case StoreStatus::kRefused:
          case StoreStatus::kInvalid:
            done(Election::Outcome::kLost, 0);
            return;
          default:
            done(Election::Outcome::kUnknown, 0);
        }
      }));
}

void CellNode::OnLeading(const Leadership& leadership) {
  context_.log.Write(Event::kCellLeading,
                     {{"term", std::to_string(leadership.term)},
                      {"fence", std::to_string(leadership.fence)}});
  LeaderContext context{
      context_.clock,
      context_.log,
      context_.metrics,
      store_,
      context_.executors,
      context_.vms,
      context_.list_executors,
      context_.write_wave_status,
      [this](const std::string& member, const AdviceRequest& request,
             AdvicePort::OnAdvice done) {
        RequestAdviceFromMember(member, request, std::move(done));
      },
      context_.run_after,
      [this] { return authority_->valid_until(); },
      [this](const std::string& reason) {
        // Deferred: must not destroy the leader within its call.
        context_.run_after(
            Millis(0), Guard([this, reason] { election_->StepDown(reason); }));
      }};
  leader_ = std::make_unique<CellLeader>(context, options_.leader, leadership);
  leader_->Suspend();
  members_listed_ = false;
  leader_->SetTable(table_);
  for (const auto& [number, wave] : waves_) {
    leader_->AddWave(wave);
  }
  ListMembers();
  UpdateAdviceMembers();
  next_beat_ = context_.clock.Now();
  leading_since_ = next_beat_;
  BeginAuthority();
  KeepAuthority();
  leader_->Begin();
}

void CellNode::OnNotLeading(const std::string& reason) {
  context_.log.Write(Event::kCellNotLeading, {{"reason", reason}});
  leader_.reset();
  leader_store_lost_since_ = TimePoint();
  pending_advice_calls_.clear();
}

void CellNode::OnPause(Duration gap) {
  resumed_at_ = context_.clock.Now();
  context_.log.Write(
      Event::kCellPaused,
      {{"ms",
        std::to_string(std::chrono::duration_cast<Millis>(gap).count())}});
}

void CellNode::StartShutdown() {
  if (stopping_) {
    return;
  }
  stopping_ = true;
  election_->StopCompeting();
  SendBeats();
  // Conditional on the revision: a removal that takes effect late must not
  // remove the entry of the VM's next process.
  StoreWrite write;
  write.conditions.emplace_back(kMemberPrefix + options_.node,
                                member_revision_);
  write.removals.push_back(kMemberPrefix + options_.node);
  store_.Write(write, kCellTimeout, [](const StoreWriteReply&) {});
}

Millis CellNode::CandidacyDelay() const {
  const double strongest = std::max(strongest_, options_.strength);
  return std::chrono::duration_cast<Millis>(
      kMaxCandidacyDelay * (1 - options_.strength / strongest));
}

bool CellNode::ShouldYield() const {
  const TimePoint now = context_.clock.Now();
  return leader_ != nullptr && now - leading_since_ > kMinLeadTime &&
         std::any_of(members_.begin(), members_.end(), [&](const auto& entry) {
           const Member& member = entry.second;
           return now - member.last_heard < kMemberTimeout && member.store_ok &&
                  options_.strength < kYieldStrengthRatio * member.strength;
         });
}

// ---- Heartbeats.

CellBeat CellNode::MakeBeat() const {
  CellBeat beat;
  beat.node = options_.node;
  beat.boot_id = options_.boot_id;
  beat.address = options_.address;
  beat.is_leader = leader_ != nullptr;
  beat.max_strength = strongest_;
  // Without the store, members would stop following this leader and could not
  // elect another one.
  beat.leaving = leader_ == nullptr
                     ? stopping_
                     : authority_basis_ == LeaderAuthority::Basis::kStore &&
                           (stopping_ || ShouldYield());
  beat.store_ok = store_.failing_for() < kStoreHandoverDelay;
  beat.term = election_->leader() ? election_->leader()->term : 0;
  // While the store answers nobody, no job is accepted, and the counts hold.
  const bool store_fails = store_.failing_for() > kStoreDown;
  if (leader_ != nullptr &&
      (!leader_->loaded() || (!leader_->pending_known() && !store_fails))) {
    beat.pending.push_back({kPendingUnknown, 0});
  } else if (leader_ != nullptr) {
    for (const auto& [queue, jobs] : leader_->Pending()) {
      beat.pending.push_back({queue, jobs});
    }
  }
  return beat;
}

void CellNode::SendBeats() {
  const CellBeat beat = MakeBeat();
  next_beat_ = context_.clock.Now() + kBeatInterval;
  ProbeStore();
  if (leader_ != nullptr) {
    if (context_.clock.Now() >= next_members_) {
      ListMembers();
    }
    for (const auto& [node, member] : members_) {
      context_.peers.SendToAddress(member.address, beat);
    }
    ApplyPending(beat);
    WriteRoster();
    return;
  }
  const auto& leader = election_->leader();
  if (leader && leader->node != options_.node) {
    context_.peers.SendToAddress(leader->address, beat);
  }
}

// A leader that has not read the jobs cannot count those that wait. Earlier
// counts are used for kMaxPendingAge.
void CellNode::ApplyPending(const CellBeat& beat) {
  if (!beat.pending.empty() && beat.pending[0].queue == kPendingUnknown) {
    return;
  }
  pending_at_ = context_.clock.Now();
  pending_.clear();
  for (const QueuePending& queue : beat.pending) {
    pending_[queue.queue] = queue.jobs;
  }
}

// Reads the leader key while store calls fail, to notice the recovery; a
// pending watch shows it only when it ends.
void CellNode::ProbeStore() {
  if (store_.failing_for() == Duration(0) || probing_store_) {
    return;
  }
  probing_store_ = true;
  ReadLeaderKey(kBeatInterval,
                [this](const StoreRead&) { probing_store_ = false; });
}

void CellNode::OnBeat(const CellBeat& beat) {
  // The leader also adds senders that it has not listed yet: a member that has
  // just started must get heartbeats, or it suspects the leader.
  if (leader_ != nullptr || members_.count(beat.node) > 0) {
    Member& member = members_[beat.node];
    member.last_heard = context_.clock.Now();
    member.store_ok = beat.store_ok;
    member.boot_id = beat.boot_id;
    member.address = beat.address;
  }
  if (leader_ != nullptr) {
    OnRosterMemberFollows(beat);
    OnRosterAuthorBeat(beat);
  }
  const auto& leader = election_->leader();
  if (!beat.is_leader) {
    // The leader's process has been replaced by a new one on its VM. A late
    // heartbeat of an earlier process has a lower term.
    if (leader && leader->node == beat.node &&
        leader->boot_id != beat.boot_id && beat.term == leader->term) {
      election_->Suspect("leader process was restarted", true);
    }
    return;
  }
  election_->OnLaterTerm({beat.node, beat.boot_id, beat.address, beat.term});
  election_->OnBeat(beat.node, beat.boot_id, beat.term);
  if (!leader || leader->node != beat.node || leader->boot_id != beat.boot_id) {
    return;
  }
  leader_last_heard_ = context_.clock.Now();
  leader_store_ok_ = beat.store_ok;
  strongest_ = std::max(beat.max_strength, options_.strength);
  ApplyPending(beat);
  if (beat.leaving) {
    election_->Suspect("leader is stopping or yields to a stronger member",
                       false);
  } else if (!beat.store_ok) {
    CheckStoreForLeader();
  } else {
    leader_store_lost_since_ = TimePoint();
    election_->OnLeaderAble();
  }
}

void CellNode::CheckStoreForLeader() {
  if (checking_store_ || stopping_) {
    return;
  }
  checking_store_ = true;
  ReadLeaderKey(kCellTimeout, [this](const StoreRead& read) {
    checking_store_ = false;
    if (read.status != StoreStatus::kOk) {
      // Nobody can replace the leader now, which then needs its followers.
      election_->OnLeaderAble();
      return;
    }
    // When the store recovers, some member gets an answer first.
    // Do not replace a leader that gets one a moment later.
    const TimePoint now = context_.clock.Now();
    if (leader_store_lost_since_ == TimePoint()) {
      leader_store_lost_since_ = now;
    } else if (now - leader_store_lost_since_ > kLeaderStoreTimeout) {
      election_->SuspectUnable("store does not answer the leader");
    }
  });
}

void CellNode::OnPeerDisconnected(const std::string& address, bool refused) {
  const auto& leader = election_->leader();
  if (!leader || leader->address != address || leader_ != nullptr) {
    return;
  }
  if (refused) {
    // Reason enough for a candidacy, on which the store decides, but no proof
    // that the process has ended.
    election_->Suspect("leader address refuses connections", false);
  } else {
    // Send a heartbeat now, to notice a refused connection early.
    next_beat_ = context_.clock.Now();
  }
}

void CellNode::UpdateAdviceMembers() {
  if (leader_ == nullptr) {
    return;
  }
  std::set<std::string> advice_members = {options_.node};
  for (const auto& [node, member] : members_) {
    if (context_.clock.Now() - member.last_heard < kMemberTimeout) {
      advice_members.insert(node);
    }
  }
  leader_->SetMembers(advice_members);
}

// ---- Timers, table and waves.

void CellNode::Tick() {
  election_->Tick();
  KeepAuthority();
  confirmer_.Tick(leader_ != nullptr);
  const TimePoint now = context_.clock.Now();
  if (now >= next_beat_) {
    SendBeats();
    UpdateAdviceMembers();
  }
  if (leader_ != nullptr) {
    leader_->Tick();
  }
  if (now >= next_expiry_) {
    next_expiry_ = now + kExpiryInterval;
    ExpireCalls();
  }
}

void CellNode::OnTable(std::shared_ptr<const QueueTable> table) {
  if (table->version <= table_->version) {
    return;
  }
  table_ = std::move(table);
  freshness_.OnApplied(table_->version);
  context_.log.Write(Event::kTableApplied,
                     {{"version", std::to_string(table_->version)},
                      {"queues", std::to_string(table_->queues.size())}});
  if (leader_ != nullptr) {
    leader_->SetTable(table_);
  }
}

void CellNode::OnWave(const UpkeepWave& wave) {
  waves_[wave.number] = wave;
  if (leader_ != nullptr) {
    leader_->AddWave(wave);
  }
}

// ---- Calls from clients.

bool CellNode::ready() const {
  return table_->version > 0 && freshness_.IsConfirmed() && !stopping_ &&
         cell_listed_ &&
         (store_.failing_for() < kNotReadyDelay || HasAuthority() ||
          ShouldStoreAtLeader());
}

std::chrono::seconds CellNode::RetryAfter(int priority) const {
  return OutagePolicy::Of(options_.outage_admission)
      .RetryAfter(priority, context_.random);
}

std::optional<int64_t> CellNode::Pending(const std::string& queue) const {
  if (pending_at_ == TimePoint() ||
      context_.clock.Now() - pending_at_ > kMaxPendingAge) {
    return std::nullopt;
  }
  const auto found = pending_.find(queue);
  return found == pending_.end() ? 0 : found->second;
}

void CellNode::Submit(const QueuePolicy& queue,
                      const Caller& caller,
                      const JobId& id,
                      const JobSpec& spec,
                      TimePoint deadline,
                      JobIntake::OnSubmit done) {
  JobRecord record;
  record.queue = queue;
  record.spec = spec;
  record.owner = caller;
  record.accepted = context_.clock.WallNow();
  const auto finish = [this, id, name = queue.name, done = std::move(done)](
                          SubmitResult result, int64_t revision) {
    if (result == SubmitResult::kAccepted) {
      context_.log.Write(Event::kJobAccepted, {{"job", id}, {"queue", name}});
    } else {
      context_.log.Write(
          Event::kJobNotAccepted,
          {{"job", id},
           {"queue", name},
           {"result", result == SubmitResult::kUnknown        ? "unknown"
                      : result == SubmitResult::kInvalid      ? "too large"
                      : result == SubmitResult::kOtherAccount ? "other account"
                      : result == SubmitResult::kCancelled    ? "cancelled"
                                                              : "not_stored"}});
    }
    done(result, revision);
  };
  const Body bytes =
      std::make_shared<const std::string>(EncodeJobRecord(record));
  const size_t max_bytes = options_.leader.max_value_bytes;
  if (bytes->size() > max_bytes ||
      Job::MaxBareProgressBytes(spec) > max_bytes) {
    finish(SubmitResult::kInvalid, 0);
    return;
  }
  if (!ShouldStoreAtLeader()) {
    intake_.Submit(
        id, *bytes, deadline,
        [this, id, bytes, finish](SubmitResult result, int64_t revision) {
          if (revision > 0) {
            NotifyLeader(id, bytes, revision);
          }
          finish(result, revision);
        });
    return;
  }
  StoreAtLeader(id, bytes, deadline, [finish](JobStoreResult result) {
    finish(result == JobStoreResult::kStored      ? SubmitResult::kAccepted
           : result == JobStoreResult::kNotStored ? SubmitResult::kNotStored
           : result == JobStoreResult::kOtherAccount
               ? SubmitResult::kOtherAccount
               : SubmitResult::kUnknown,
           0);
  });
}

void CellNode::CancelJob(const JobId& id,
                         const Caller& caller,
                         TimePoint deadline,
                         JobIntake::OnCancel done) {
  if (!ShouldStoreAtLeader()) {
    intake_.Cancel(id, caller, deadline,
                   [this, id, done = std::move(done)](CancelResult result) {
                     if (result == CancelResult::kCancelled) {
                       NotifyLeader(id, nullptr, 0);
                     }
                     done(result);
                   });
    return;
  }
  CancelAtLeader(
      id, caller, deadline, [done = std::move(done)](JobStoreResult result) {
        done(result == JobStoreResult::kStored      ? CancelResult::kCancelled
             : result == JobStoreResult::kUnknown   ? CancelResult::kUnknown
             : result == JobStoreResult::kNoSuchJob ? CancelResult::kNoSuchJob
             : result == JobStoreResult::kOtherAccount
                 ? CancelResult::kOtherAccount
                 : CancelResult::kUnavailable);
      });
}

namespace {

// Combines lambdas into one visitor for std::visit.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace

// Dispatches the cell's messages to their handlers and ignores all others.
void CellNode::OnMessage(const MemberId&, const Message& message) {
  std::visit(
      Overloaded{
          [this](const CellBeat& m) { OnBeat(m); },
          [this](const TableCall& m) { OnTableCall(m); },
          [this](const TableConfirmation& m) { confirmer_.OnConfirmation(m); },
          [this](const JobStateCall& m) { OnStateCall(m); },
          [this](const OwnedStateCall& m) { OnOwnedStateCall(m); },
          [this](const OwnedCancelCall& m) { OnOwnedCancelCall(m); },
          [this](const JobStateAnswer& m) { OnStateAnswer(m); },
          [this](const AdviceCall& m) { OnAdviceCall(m); },
          [this](const JobStoreCall& m) { OnStoreCall(m); },
          [this](const JobStoreAnswer& m) { OnStoreAnswer(m); },
          [this](const AdviceAnswer& m) { OnAdviceAnswer(m); },
          [this](const JobNotice& m) { OnJobNotice(m); },
          [this](const LeaderQuery& m) { OnLeaderQuery(m); },
          [this](const FollowCall& m) { OnFollowCall(m); },
          [this](const FollowAnswer& m) { OnFollowAnswer(m); },
          [this](const LeaderHeard& m) { election_->OnLeaderHeard(m.term); },
          [](const auto&) {}},
      message);
}

}  // namespace chivedale::cell
