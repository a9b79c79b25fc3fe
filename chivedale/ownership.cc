#include "chivedale/ownership.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include "util/random.h"

// The worker decides who owns it; the hashing only prevents all members from
// claiming it at once. Lease time is counted from when the request was sent,
// because the worker counts it from the later arrival of the request.
namespace chivedale {

void OwnerChoice::SetMembers(const std::vector<MemberInfo>& members) {
  by_region_.clear();
  all_.clear();
  for (const MemberInfo& member : members) {
    if (MayOwn(member.state)) {
      by_region_[member.region].push_back(member.id);
      all_.push_back(member.id);
    }
  }
}

// A suspect member keeps its workers until it is declared dead: most suspicions
// are refuted, and the worker refuses other claims while the lease is renewed.
bool OwnerChoice::MayOwn(MemberState state) {
  return state == MemberState::kLive || state == MemberState::kSuspect;
}

MemberId OwnerChoice::PreferredOwner(const Vm& worker,
                                     const MemberId& without) const {
  auto it = by_region_.find(worker.region);
  if (it != by_region_.end()) {
    MemberId best = HighestWeight(it->second, worker, without);
    if (!best.empty()) {
      return best;
    }
  }
  return HighestWeight(all_, worker, without);
}

MemberId OwnerChoice::HighestWeight(const std::vector<MemberId>& members,
                                    const Vm& worker,
                                    const MemberId& without) const {
  const MemberId* best = nullptr;
  uint64_t best_weight = 0;
  for (const MemberId& member : members) {
    if (member == without) {
      continue;
    }
    const uint64_t weight = util::RendezvousWeight(worker.id, member.str());
    if (best == nullptr || weight > best_weight ||
        (weight == best_weight && member < *best)) {
      best = &member;
      best_weight = weight;
    }
  }
  return best == nullptr ? MemberId() : *best;
}

std::string_view LeaseStateName(LeaseState state) {
  switch (state) {
    case LeaseState::kUnowned:
      return "unowned";
    case LeaseState::kClaiming:
      return "claiming";
    case LeaseState::kWaitingOut:
      return "waiting_out";
    case LeaseState::kReading:
      return "reading";
    case LeaseState::kOwned:
      return "owned";
    case LeaseState::kHandingOver:
      return "handing_over";
    case LeaseState::kLost:
      return "lost";
  }
  return "";
}

namespace {

namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ClaimEvent {};
struct GrantEvent {};
struct GrantUnfencedEvent {};
struct FailEvent {};
struct RefuseEvent {};
struct WaitedEvent {};
struct ReadEvent {};
struct LoseEvent {};
struct ReleaseEvent {};
struct ReleasedEvent {};

struct LeaseDef : msm::front::state_machine_def<LeaseDef> {
  // MSM numbers states by their first mention in the table, so the entry action
  // records the public state instead.
  template <LeaseState kState>
  struct Named : msm::front::state<> {
    template <typename Event, typename Fsm>
    void on_entry(const Event&, Fsm& machine) {
      machine.present = kState;
    }
  };
  using Unowned = Named<LeaseState::kUnowned>;
  using Claiming = Named<LeaseState::kClaiming>;
  using WaitingOut = Named<LeaseState::kWaitingOut>;
  using Reading = Named<LeaseState::kReading>;
  using Owned = Named<LeaseState::kOwned>;
  using HandingOver = Named<LeaseState::kHandingOver>;
  using Lost = Named<LeaseState::kLost>;
  using initial_state = Unowned;

  // clang-format off
  // The name is required by MSM.
  // NOLINTNEXTLINE(readability-identifier-naming)
  struct transition_table : boost::mpl::vector<
      Row<Unowned,     ClaimEvent,         Claiming>,
      Row<Lost,        ClaimEvent,         Claiming>,
      Row<Owned,       ClaimEvent,         Claiming>,
      Row<Reading,     ClaimEvent,         Claiming>,
      Row<Claiming,    GrantEvent,         Reading>,
      Row<Claiming,    GrantUnfencedEvent, WaitingOut>,
      Row<Claiming,    FailEvent,          Lost>,
      Row<Claiming,    RefuseEvent,        Unowned>,
      Row<WaitingOut,  WaitedEvent,        Reading>,
      Row<WaitingOut,  LoseEvent,          Lost>,
      Row<Reading,     ReadEvent,          Owned>,
      Row<Reading,     LoseEvent,          Lost>,
      Row<Owned,       LoseEvent,          Lost>,
      Row<HandingOver, LoseEvent,          Lost>,
      Row<WaitingOut,  ReleaseEvent,       HandingOver>,
      Row<Reading,     ReleaseEvent,       HandingOver>,
      Row<Owned,       ReleaseEvent,       HandingOver>,
      Row<HandingOver, ReleasedEvent,      Unowned>,
      Row<Lost,        ReleasedEvent,      Unowned>> {};
  // clang-format on

  template <typename Fsm, typename Event>
  void no_transition(const Event&, Fsm&, int) {}

  LeaseState present = LeaseState::kUnowned;
};

}  // namespace

struct WorkerLease::Machine {
  Machine() { back.start(); }
  template <typename Event>
  bool Process(const Event& event) {
    return back.process_event(event) == msm::back::HANDLED_TRUE;
  }
  msm::back::state_machine<LeaseDef> back;
};

WorkerLease::WorkerLease(Options options)
    : options_(options), machine_(std::make_unique<Machine>()) {}
WorkerLease::~WorkerLease() = default;
WorkerLease::WorkerLease(WorkerLease&&) noexcept = default;

util::TimePoint WorkerLease::ValidFrom(util::TimePoint sent) const {
  const auto guaranteed = std::chrono::duration_cast<util::Duration>(
      options_.ttl * (1 - options_.drift));
  return sent + guaranteed;
}

bool WorkerLease::Claim(util::TimePoint sent) {
  if (!machine_->Process(ClaimEvent())) {
    return false;
  }
  data_.claim_sent = sent;
  return true;
}

bool WorkerLease::Granted(const LeaseToken& token,
                          bool fencing,
                          util::TimePoint now) {
  const bool done = fencing ? machine_->Process(GrantEvent())
                            : machine_->Process(GrantUnfencedEvent());
  if (done) {
    data_.token = token;
    data_.valid_until = ValidFrom(data_.claim_sent);
    data_.waits_until = now + options_.ttl + options_.max_message_delay;
  }
  return done;
}

bool WorkerLease::ClaimFailed() {
  return machine_->Process(FailEvent());
}

void WorkerLease::Renewed(util::TimePoint sent) {
  data_.valid_until = std::max(data_.valid_until, ValidFrom(sent));
}

bool WorkerLease::ClaimRefused() {
  return machine_->Process(RefuseEvent());
}

bool WorkerLease::EndWait(util::TimePoint now) {
  return now >= data_.waits_until && machine_->Process(WaitedEvent());
}

bool WorkerLease::ListRead() {
  return machine_->Process(ReadEvent());
}

bool WorkerLease::Expire(util::TimePoint now) {
  return now >= data_.valid_until && machine_->Process(LoseEvent());
}

bool WorkerLease::Revoke() {
  return machine_->Process(LoseEvent());
}

bool WorkerLease::Release() {
  return machine_->Process(ReleaseEvent());
}

bool WorkerLease::Released() {
  return machine_->Process(ReleasedEvent());
}

LeaseState WorkerLease::state() const {
  return machine_->back.present;
}

bool WorkerLease::CanStart(util::TimePoint now) const {
  return state() == LeaseState::kOwned &&
         now + options_.safety_margin <= data_.valid_until;
}

bool WorkerLease::held() const {
  const LeaseState now = state();
  return now == LeaseState::kWaitingOut || now == LeaseState::kReading ||
         now == LeaseState::kOwned;
}

const LeaseToken& WorkerLease::token() const {
  return data_.token;
}

util::TimePoint WorkerLease::valid_until() const {
  return data_.valid_until;
}

util::TimePoint WorkerLease::waits_until() const {
  return data_.waits_until;
}

}  // namespace chivedale
