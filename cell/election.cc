// The leader key has no lease. A leader that cannot reach the store continues
// as long as no other member can write either. A failed leader is replaced as
// soon as its missing heartbeats are noticed rather than when a lease expires.
// A member that alone misses them, because its link fails or because the leader
// has not listed it yet, must not replace a leader that the others follow. So
// it asks some of them before its candidacy.
#include "cell/election.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/decode.h"

namespace chivedale::cell {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct CandidacyStarted {};
struct Won {};
struct Lost {};

struct RoleDef : msm::front::state_machine_def<RoleDef> {
  struct Follower : msm::front::state<> {};
  struct Candidate : msm::front::state<> {};
  struct Leader : msm::front::state<> {};
  using initial_state = Follower;
  // NOLINTNEXTLINE: MSM's name
  struct transition_table
      : boost::mpl::vector<Row<Follower, CandidacyStarted, Candidate>,
                           Row<Follower, Won, Leader>,
                           Row<Candidate, Won, Leader>,
                           Row<Candidate, Lost, Follower>,
                           Row<Leader, Lost, Follower>> {};
  // Ignores events without a transition in the current state.
  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
};
using Role = msm::back::state_machine<RoleDef>;

// State IDs, in the order of the transition table.
constexpr int kFollower = 0;
constexpr int kCandidate = 1;
constexpr int kLeading = 2;

}  // namespace

struct Election::Machine {
  Role role;
  int state() const { return role.current_state()[0]; }
};

std::string EncodeLeaderRecord(const LeaderRecord& record) {
  std::string bytes;
  nlohmann::json::to_msgpack(
      nlohmann::json::array(
          {record.node, record.boot_id, record.address, record.term}),
      bytes);
  return bytes;
}

std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& bytes) {
  const nlohmann::json value = ParseMsgpack(bytes);
  if (!value.is_array() || value.size() < 4) {
    return std::nullopt;
  }
  const auto node = TextIn(value[0], kMaxNameBytes);
  const auto boot_id = TextIn(value[1], kMaxNameBytes);
  const auto address = TextIn(value[2], kMaxNameBytes);
  const auto term = IntegerIn(value[3], 0, kMaxNumber);
  if (!node || !boot_id || !address || !term) {
    return std::nullopt;
  }
  return LeaderRecord{*node, *boot_id, *address, *term};
}

Election::Election(const Clock& clock,
                   util::Random& random,
                   LeaderRecord self,
                   const ElectionOptions& options,
                   Callbacks callbacks)
    : clock_(clock),
      random_(random),
      self_(std::move(self)),
      options_(options),
      callbacks_(std::move(callbacks)),
      machine_(std::make_unique<Machine>()),
      last_beat_(clock.Now()),
      last_tick_(clock.Now()) {
  machine_->role.start();
}

Election::~Election() = default;

bool Election::leading() const {
  return machine_->state() == kLeading;
}

void Election::Tick() {
  const TimePoint now = clock_.Now();
  const Duration gap = now - last_tick_;
  last_tick_ = now;
  if (gap > options_.pause_threshold) {
    // Heartbeats may be waiting to be read, so restart the timeout.
    last_beat_ = now;
    callbacks_.on_pause(gap);
    return;
  }
  if (leading() || leaving_ || !record_read_ ||
      machine_->state() == kCandidate) {
    return;
  }
  if (!leader_) {
    Suspect("no leader elected yet", true);
  } else if (leader_->node == self_.node && leader_->boot_id != self_.boot_id) {
    Suspect("leader was an earlier process of this VM", true);
  } else if (now - last_beat_ > options_.beat_timeout) {
    CheckSilence();
  }
  if (IsSuspected() && now >= next_candidacy_) {
    StartCandidacy();
  }
}

void Election::CheckSilence() {
  const TimePoint now = clock_.Now();
  if (asked_at_ == TimePoint()) {
    asked_at_ = now;
    if (!callbacks_.ask_members(leader_->term)) {
      Suspect("silent", false);
    }
  } else if (now - asked_at_ > options_.confirm_time) {
    Suspect("silent", false);
  }
}

void Election::OnLeaderHeard(int64_t term) {
  if (!leader_ || leader_->term != term || asked_at_ == TimePoint() ||
      machine_->state() != kFollower) {
    return;
  }
  asked_at_ = TimePoint();
  suspected_ = false;
  last_beat_ = clock_.Now() - options_.beat_timeout + options_.confirm_interval;
}

bool Election::HearsLeader(int64_t term) const {
  return leader_ && leader_->term == term &&
         (leading() || clock_.Now() - last_heard_ < options_.heard_time);
}

// A member that stops is never elected again. One that suspects the leader may
// be elected at any time, also by an earlier write that takes effect late.
bool Election::MayFollow(int64_t term) const {
  return (!leader_ || leader_->term <= term) &&
         machine_->state() == kFollower && (!IsSuspected() || leaving_);
}

void Election::Suspect(const std::string& reason, bool gone) {
  leader_gone_ = leader_gone_ || gone;
  SetSuspected(suspected_, reason);
}

void Election::SuspectUnable(const std::string& reason) {
  SetSuspected(unable_, reason);
}

void Election::OnLeaderAble() {
  unable_ = false;
}

void Election::SetSuspected(bool& flag, const std::string& reason) {
  if (leading() || leaving_) {
    return;
  }
  if (std::exchange(flag, true) || (suspected_ && unable_)) {
    return;  // the delay of the first suspicion counts
  }
  const Millis initial_delay = leader_ ? Millis(0) : options_.initial_delay;
  const Millis max_jitter(random_.UniformInt(
      static_cast<uint64_t>(options_.max_jitter.count()) + 1));
  next_candidacy_ =
      clock_.Now() + initial_delay + max_jitter + callbacks_.candidacy_delay();
  callbacks_.on_suspect(reason);
}

void Election::StartCandidacy() {
  machine_->role.process_event(CandidacyStarted());
  LeaderRecord record = self_;
  record.term = (leader_ ? leader_->term : 0) + 1;
  callbacks_.write(record, revision_,
                   [this, alive = std::weak_ptr<bool>(alive_),
                    term = record.term](Outcome outcome, int64_t revision) {
                     if (alive.lock()) {
                       OnWritten(outcome, revision, term);
                     }
                   });
}

void Election::OnWritten(Outcome outcome, int64_t revision, int64_t term) {
  if (outcome == Outcome::kWon && revision > revision_ && !leaving_) {
    LeaderRecord record = self_;
    record.term = term;
    OnRecord(record, revision);
    return;
  }
  // An unanswered write may still take effect; the watch of the key shows it.
  if (machine_->state() == kCandidate) {
    machine_->role.process_event(Lost());
  }
  next_candidacy_ = clock_.Now() + options_.retry;
}

void Election::OnRecord(const std::optional<LeaderRecord>& record,
                        int64_t revision) {
  if (record_read_ && revision <= revision_) {
    return;
  }
  record_read_ = true;
  predecessor_ = std::exchange(leader_, record);
  revision_ = revision;
  last_beat_ = clock_.Now();
  last_heard_ = TimePoint();
  asked_at_ = TimePoint();
  suspected_ = false;
  unable_ = false;
  const bool predecessor_gone = std::exchange(leader_gone_, false);
  const bool is_self =
      record && record->node == self_.node && record->boot_id == self_.boot_id;
  if (is_self && !leaving_) {
    // A leader that wins again gets a new fencing token, which its orders need.
    if (leading()) {
      machine_->role.process_event(Lost());
      callbacks_.on_not_leading("elected again");
    }
    machine_->role.process_event(Won());
    callbacks_.on_leading(record->term, revision, predecessor_gone);
    return;
  }
  const bool led = leading();
  machine_->role.process_event(Lost());
  if (led) {
    callbacks_.on_not_leading("another member was elected");
  }
}

void Election::OnBeat(const std::string& node,
                      const std::string& boot_id,
                      int64_t term) {
  if (leader_ && leader_->node == node && leader_->boot_id == boot_id &&
      leader_->term == term) {
    last_beat_ = clock_.Now();
    last_heard_ = last_beat_;
    asked_at_ = TimePoint();
    suspected_ = false;
  }
}

void Election::OnLaterTerm(const LeaderRecord& record) {
  if (!leader_ || record.term <= leader_->term) {
    return;
  }
  // Keep the old revision, so that a write that expects it fails as it should.
  leader_ = record;
  last_beat_ = clock_.Now();
  last_heard_ = last_beat_;
  asked_at_ = TimePoint();
  suspected_ = false;
  unable_ = false;
  leader_gone_ = false;
  StepDown("another member leads in a later term");
}

void Election::StopCompeting() {
  leaving_ = true;
}

void Election::StepDown(const std::string& reason) {
  if (!leading()) {
    return;
  }
  machine_->role.process_event(Lost());
  last_beat_ = clock_.Now();
  callbacks_.on_not_leading(reason);
}

}  // namespace chivedale::cell
