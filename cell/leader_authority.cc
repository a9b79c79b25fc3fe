#include "cell/leader_authority.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {
namespace {

// Lower bound of the speed of this clock relative to another member's.
constexpr int kSlowestClockPercent = 97;

}  // namespace

void LeaderAuthority::OnStoreConfirmed(TimePoint sent) {
  confirmed_ = std::max(confirmed_, sent);
  UpdateMembersValidUntil();
}

void LeaderAuthority::OnRosterSent(const std::set<std::string>& members) {
  sent_roster_.insert(members.begin(), members.end());
  last_sent_roster_ = members;
  UpdateRequired();
}

void LeaderAuthority::OnRosterStored() {
  stored_roster_ = std::exchange(last_sent_roster_, {});
  // Each write is conditional on the roster's revision, so that earlier ones
  // without an answer no longer take effect.
  sent_roster_.clear();
  UpdateRequired();
}

void LeaderAuthority::OnFollowed(const std::string& member,
                                 const Process& process,
                                 TimePoint sent) {
  const TimePoint now = clock_.Now();
  if (sent > now) {
    return;
  }
  Member& record = members_[member];
  if (record.boot_id != process.boot_id) {
    record.boot_id = process.boot_id;
    record.first_answer = now;
    const TimePoint began = now - process.uptime * kSlowestClockPercent / 100;
    record.trusted = began - EvidenceOf(member) <= kAuthorityTime;
  }
  record.trusted = record.trusted || record.first_answer <= confirmed_;
  if (record.trusted) {
    record.followed = std::max(record.followed, sent);
    UpdateMembersValidUntil();
  }
}

TimePoint LeaderAuthority::EvidenceOf(const std::string& member) const {
  const auto found = members_.find(member);
  return found == members_.end() ? confirmed_
                                 : std::max(confirmed_, found->second.followed);
}

void LeaderAuthority::UpdateRequired() {
  required_ = sent_roster_;
  if (stored_roster_) {
    required_.insert(stored_roster_->begin(), stored_roster_->end());
  }
  UpdateMembersValidUntil();
}

void LeaderAuthority::UpdateMembersValidUntil() {
  members_valid_until_ = TimePoint();
  if (!stored_roster_ || confirmed_ == TimePoint()) {
    return;
  }
  members_valid_until_ = confirmed_ + kMaxUnconfirmedTime;
  for (const std::string& member : required_) {
    members_valid_until_ =
        std::min(members_valid_until_, EvidenceOf(member) + kAuthorityTime);
  }
}

TimePoint LeaderAuthority::valid_until() const {
  if (confirmed_ == TimePoint()) {
    return TimePoint();
  }
  return std::max(confirmed_ + kAuthorityTime, members_valid_until_);
}

LeaderAuthority::Basis LeaderAuthority::basis() const {
  const TimePoint now = clock_.Now();
  if (confirmed_ != TimePoint() && confirmed_ + kAuthorityTime > now) {
    return Basis::kStore;
  }
  return members_valid_until_ > now ? Basis::kMembers : Basis::kNone;
}

std::string LeaderAuthority::Silent() const {
  std::string silent;
  for (const std::string& member : required_) {
    if (EvidenceOf(member) + kAuthorityTime <= clock_.Now()) {
      silent += silent.empty() ? member : "," + member;
    }
  }
  return silent;
}

}  // namespace chivedale::cell
