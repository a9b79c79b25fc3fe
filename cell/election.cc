// The key has no lease. A leader that is only cut from the store goes on while
// nobody else can write either, and one that is gone is replaced as soon as its
// silence is noticed, not when a lease runs out.
#include "cell/election.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace chivedale::cell {
namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct Try {};
struct Won {};
struct Lost {};

struct RoleDef : msm::front::state_machine_def<RoleDef> {
  struct Following : msm::front::state<> {};
  struct Contending : msm::front::state<> {};
  struct Leading : msm::front::state<> {};
  using initial_state = Following;
  // NOLINTNEXTLINE: MSM's name
  struct transition_table : boost::mpl::vector<Row<Following, Try, Contending>,
                                               Row<Following, Won, Leading>,
                                               Row<Contending, Won, Leading>,
                                               Row<Contending, Lost, Following>,
                                               Row<Leading, Lost, Following>> {
  };
  // An event that changes nothing in the present state.
  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}
};
using Role = msm::back::state_machine<RoleDef>;

// Order of the states in the transition table.
constexpr int kContending = 1;
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
          {record.node, record.boot, record.address, record.term}),
      bytes);
  return bytes;
}

std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& bytes) {
  const nlohmann::json value = nlohmann::json::from_msgpack(bytes, true, false);
  if (!value.is_array() || value.size() < 4 || !value[0].is_string() ||
      !value[1].is_string() || !value[2].is_string() ||
      !value[3].is_number_integer()) {
    return std::nullopt;
  }
  return LeaderRecord{value[0].get<std::string>(), value[1].get<std::string>(),
                      value[2].get<std::string>(), value[3].get<int64_t>()};
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
  if (gap > options_.pause) {
    // Beats may wait unread; silence is counted anew.
    last_beat_ = now;
    callbacks_.on_pause(gap);
    return;
  }
  if (leading() || leaving_ || !known_ || machine_->state() == kContending) {
    return;
  }
  if (!leader_) {
    Suspect("no leader yet", true);
  } else if (leader_->node == self_.node && leader_->boot != self_.boot) {
    Suspect("the leader was an earlier process of this VM", true);
  } else if (now - last_beat_ > options_.silence) {
    Suspect("silent", false);
  }
  if (suspected_ && now >= next_try_) {
    Contend();
  }
}

void Election::Suspect(const std::string& reason, bool gone) {
  gone_ = gone_ || gone;
  if (suspected_ || leading() || leaving_) {
    return;
  }
  suspected_ = true;
  const Millis gather = leader_ ? Millis(0) : options_.gather;
  const Millis stagger(
      random_.Below(static_cast<uint64_t>(options_.stagger.count()) + 1));
  next_try_ = clock_.Now() + gather + stagger + callbacks_.deference();
  callbacks_.on_suspect(reason);
}

void Election::Contend() {
  machine_->role.process_event(Try());
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
  // An unanswered write may still be done; the watch of the key tells.
  if (machine_->state() == kContending) {
    machine_->role.process_event(Lost());
  }
  next_try_ = clock_.Now() + options_.retry;
}

void Election::OnRecord(const std::optional<LeaderRecord>& record,
                        int64_t revision) {
  if (known_ && revision <= revision_) {
    return;
  }
  known_ = true;
  leader_ = record;
  revision_ = revision;
  last_beat_ = clock_.Now();
  suspected_ = false;
  const bool predecessor_gone = std::exchange(gone_, false);
  const bool mine =
      record && record->node == self_.node && record->boot == self_.boot;
  if (mine && !leaving_) {
    // A second win of a leader would be a new fence; its orders need it.
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
                      const std::string& boot,
                      int64_t term) {
  if (leader_ && leader_->node == node && leader_->boot == boot &&
      leader_->term == term) {
    last_beat_ = clock_.Now();
    suspected_ = false;
  }
}

void Election::OnLaterTerm(const LeaderRecord& record) {
  if (!leader_ || record.term <= leader_->term) {
    return;
  }
  // The revision stays as it is: a write that expects it fails, as it should.
  leader_ = record;
  last_beat_ = clock_.Now();
  suspected_ = false;
  gone_ = false;
  StepDown("another member leads in a later term");
}

void Election::Leave() {
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
