// What a leader does to keep its authority (leader_authority.h): it reads the
// leader key, has the members that may be elected stored as the roster, and
// asks them while the store does not answer. A new leader reads the roster to
// find out how long its predecessor may have gone on.
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/decode.h"
#include "cell/node.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

constexpr Millis kConfirmTimeout{1'000};
// Members are asked once the last answer of the store is older than this, in
// time for their answers to arrive before the authority ends.
constexpr Millis kAskMembersAfter{500};
constexpr Millis kAskMembersInterval{200};
constexpr Millis kRosterTimeout{1'000};
constexpr Millis kRosterRetry{100};
// A member without a heartbeat for this time is taken off the roster, so that
// one without power does not stop the leader in a later outage of the store.
// Longer than members without heartbeats of the leader take to elect another
// one: those are to be on the roster.
constexpr Millis kRosterTimeToLive{4'000};
// PeerLink closes a connection whose data is not acknowledged for this time, so
// that no heartbeat arrives later.
constexpr Millis kLongestDelivery{2'000};

std::string_view BasisName(LeaderAuthority::Basis basis) {
  switch (basis) {
    case LeaderAuthority::Basis::kStore:
      return "store";
    case LeaderAuthority::Basis::kMembers:
      return "members";
    case LeaderAuthority::Basis::kNone:
      break;
  }
  return "none";
}

}  // namespace

std::string EncodeRoster(const Roster& roster) {
  std::string bytes;
  json::to_msgpack(json::array({roster.node, roster.boot_id, roster.address,
                                roster.members, roster.term}),
                   bytes);
  return bytes;
}

std::optional<Roster> DecodeRoster(const std::string& bytes) {
  const json value = ParseMsgpack(bytes);
  if (!value.is_array() || value.size() < 5 || !value[3].is_array()) {
    return std::nullopt;
  }
  const auto node = TextIn(value[0], kMaxNameBytes);
  const auto boot_id = TextIn(value[1], kMaxNameBytes);
  const auto address = TextIn(value[2], kMaxNameBytes);
  const auto term = IntegerIn(value[4], 0, kMaxNumber);
  if (!node || !boot_id || !address || !term) {
    return std::nullopt;
  }
  Roster roster{*node, *boot_id, *address, *term, {}};
  for (const json& name : value[3]) {
    if (const auto member = TextIn(name, kMaxNameBytes)) {
      roster.members.insert(*member);
    }
  }
  return roster;
}

void CellNode::ReadLeaderKey(Millis timeout,
                             std::function<void(const StoreRead&)> done) {
  const TimePoint sent = context_.clock.Now();
  store_.Read(
      kLeaderKey, timeout,
      Guard([this, sent, done = std::move(done)](const StoreRead& read) {
        if (read.status == StoreStatus::kOk) {
          ApplyCellItem(read.items[0]);
          if (leader_ != nullptr &&
              leader_->leadership().fence == read.items[0].revision) {
            authority_->OnStoreConfirmed(sent);
            ApplyAuthority();
          }
        }
        done(read);
      }));
}

void CellNode::BeginAuthority() {
  const TimePoint now = context_.clock.Now();
  authority_ = std::make_unique<LeaderAuthority>(context_.clock);
  authority_basis_ = LeaderAuthority::Basis::kNone;
  next_confirm_ = now;
  next_ask_ = now;
  roster_.reset();
  roster_revision_ = 0;
  roster_in_flight_ = false;
  roster_read_ = false;
  may_write_roster_ = false;
  new_followers_.clear();
  ReadRoster();
}

void CellNode::KeepAuthority() {
  if (leader_ == nullptr) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  if (now >= next_confirm_) {
    next_confirm_ = now + kConfirmInterval;
    ReadLeaderKey(confirm_limit_.Of(kConfirmTimeout),
                  [this](const StoreRead& read) {
                    confirm_limit_.OnRead(read.status == StoreStatus::kOk);
                  });
  }
  if (now - authority_->confirmed() > kAskMembersAfter && now >= next_ask_) {
    next_ask_ = now + kAskMembersInterval;
    AskRoster();
  }
  ApplyAuthority();
  if (roster_read_ && !may_write_roster_ && leader_->predecessor_fenced()) {
    EndPredecessorAuthority(now);
  }
}

void CellNode::ApplyAuthority() {
  const LeaderAuthority::Basis basis = authority_->basis();
  if (basis == authority_basis_) {
    return;
  }
  const bool had = authority_basis_ != LeaderAuthority::Basis::kNone;
  const bool has = basis != LeaderAuthority::Basis::kNone;
  authority_basis_ = basis;
  context_.log.Write(
      Event::kLeaderAuthority,
      {{"basis", std::string(BasisName(basis))},
       {"members", std::to_string(authority_->required().size())},
       {"silent", authority_->Silent()}});
  if (has && !had) {
    leader_->Resume();
  } else if (had && !has) {
    leader_->Suspend();
  }
}

bool CellNode::HasAuthority() const {
  return leader_ != nullptr && authority_->valid();
}

void CellNode::AskRoster() {
  const auto since_epoch = context_.clock.Now().time_since_epoch();
  FollowCall call;
  call.address = options_.address;
  call.term = leader_->leadership().term;
  call.sent = std::chrono::duration_cast<Millis>(since_epoch);
  for (const std::string& address : authority_->required()) {
    context_.peers.SendToAddress(address, call);
  }
}

void CellNode::OnFollowCall(const FollowCall& call) {
  if (!election_->MayFollow(call.term)) {
    return;
  }
  FollowAnswer answer;
  answer.address = options_.address;
  answer.boot_id = options_.boot_id;
  answer.term = call.term;
  answer.sent = call.sent;
  answer.uptime =
      std::chrono::duration_cast<Millis>(context_.clock.Now() - started_at_);
  context_.peers.SendToAddress(call.address, answer);
}

void CellNode::OnFollowAnswer(const FollowAnswer& answer) {
  if (leader_ != nullptr && leader_->leadership().term == answer.term &&
      answer.sent >= Millis(0) && answer.sent <= kMaxClock &&
      answer.uptime >= Millis(0) && answer.uptime <= kMaxClock) {
    authority_->OnFollowed(answer.address, {answer.boot_id, answer.uptime},
                           TimePoint() + answer.sent);
    ApplyAuthority();
  }
}

// ---- The roster.

void CellNode::ReadRoster() {
  store_.Read(
      kRosterKey, roster_limit_.Of(kRosterTimeout),
      Guard([this, fence = leader_->leadership().fence](const StoreRead& read) {
        if (leader_ == nullptr || leader_->leadership().fence != fence) {
          return;
        }
        const bool answered = read.status == StoreStatus::kOk ||
                              read.status == StoreStatus::kNotFound;
        roster_limit_.OnRead(answered);
        if (!answered) {
          context_.run_after(kRosterRetry, Guard([this, fence] {
                               if (leader_ != nullptr &&
                                   leader_->leadership().fence == fence) {
                                 ReadRoster();
                               }
                             }));
          return;
        }
        OnRoster(read);
      }));
}

// Without a roster no predecessor could go on without the store. One stored by
// an earlier process of this VM is of a leader that has ended.
void CellNode::OnRoster(const StoreRead& read) {
  roster_read_ = true;
  bool listed = read.items.empty();
  if (!read.items.empty()) {
    roster_revision_ = read.items[0].revision;
    roster_ = DecodeRoster(read.items[0].value);
    if (roster_) {
      const auto& before = election_->predecessor();
      listed = roster_->members.count(options_.address) > 0 ||
               roster_->node == options_.node ||
               (leader_->leadership().predecessor_gone && before &&
                before->boot_id == roster_->boot_id);
    } else {
      context_.log.Write(Event::kCellBadRecord,
                         {{"key", kRosterKey}, {"reason", "not a roster"}});
    }
  }
  if (listed) {
    EndPredecessorAuthority(leading_since_ + kFencingDelay);
  }
}

// The roster lists the members that an earlier leader has to ask. So it is not
// replaced while an earlier leader that did not ask this one may go on.
void CellNode::EndPredecessorAuthority(TimePoint end) {
  if (!std::exchange(may_write_roster_, true)) {
    leader_->LimitPredecessorAuthority(end);
    WriteRoster();
  }
}

// The leader that stored the roster needs answers of all its members. A member
// that has followed this leader for longer than evidence counts, and was not
// started again meanwhile, sent its last answer before that.
void CellNode::OnRosterMemberFollows(const CellBeat& beat) {
  if (may_write_roster_ || !roster_ || beat.is_leader ||
      beat.term != leader_->leadership().term ||
      roster_->members.count(beat.address) == 0) {
    return;
  }
  const TimePoint now = context_.clock.Now();
  NewFollower& follower = new_followers_[beat.address];
  if (follower.boot_id != beat.boot_id) {
    follower = {beat.boot_id, now};
  } else if (now - follower.since > kFencingDelay + kLongestDelivery) {
    EndPredecessorAuthority(now);
  }
}

// A new process of its VM, or the author itself in this leader's term, shows
// that the author no longer leads by the roster. A heartbeat of an earlier
// process or term may arrive late; its term is lower.
void CellNode::OnRosterAuthorBeat(const CellBeat& beat) {
  if (may_write_roster_ || !roster_ || roster_->node != beat.node) {
    return;
  }
  const bool replaced =
      roster_->boot_id != beat.boot_id && beat.term >= roster_->term;
  const bool follows =
      !beat.is_leader && beat.term == leader_->leadership().term;
  if (replaced || follows) {
    EndPredecessorAuthority(context_.clock.Now() + kFencingDelay);
  }
}

void CellNode::WriteRoster() {
  const TimePoint now = context_.clock.Now();
  may_write_roster_ =
      may_write_roster_ ||
      (roster_read_ && now - leading_since_ > kUnlistedFencingDelay);
  if (leader_ == nullptr || roster_in_flight_ || !may_write_roster_ ||
      !members_listed_) {
    return;
  }
  Roster roster{options_.node,
                options_.boot_id,
                options_.address,
                leader_->leadership().term,
                {}};
  for (const auto& [node, member] : members_) {
    const TimePoint heard =
        std::max({member.last_heard, leading_since_, resumed_at_});
    if (now - heard < kRosterTimeToLive) {
      roster.members.insert(member.address);
    }
  }
  if (roster_ && roster_->term == roster.term &&
      roster_->members == roster.members) {
    return;
  }
  StoreWrite write;
  write.conditions.emplace_back(kLeaderKey, leader_->leadership().fence);
  write.conditions.emplace_back(kRosterKey, roster_revision_);
  write.puts.emplace_back(kRosterKey, EncodeRoster(roster));
  roster_in_flight_ = true;
  authority_->OnRosterSent(roster.members);
  store_.Write(
      write, roster_limit_.Of(kRosterTimeout),
      Guard([this, fence = leader_->leadership().fence,
             roster](const StoreWriteReply& reply) {
        if (leader_ == nullptr || leader_->leadership().fence != fence) {
          return;
        }
        OnRosterWritten(roster, reply);
      }));
}

void CellNode::OnRosterWritten(const Roster& roster,
                               const StoreWriteReply& reply) {
  roster_in_flight_ = false;
  roster_limit_.OnRead(reply.status != StoreStatus::kUnknown);
  if (reply.status == StoreStatus::kOk) {
    roster_ = roster;
    roster_revision_ = reply.revision;
    authority_->OnRosterStored();
    return;
  }
  // An earlier write without an answer may have taken effect.
  for (const StoreItem& item : reply.items) {
    if (item.key == kRosterKey) {
      roster_revision_ = item.revision;
    } else {
      ApplyCellItem(item);
    }
  }
}

}  // namespace chivedale::cell
