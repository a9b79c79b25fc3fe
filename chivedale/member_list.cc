// A higher incarnation wins. Only the member itself raises its incarnation, so
// a state with a higher one comes from the member. At equal incarnations the
// worse state wins, and the member refutes it by raising its incarnation. A
// dead member thus returns only by its own refutation.
//
// The initial incarnation is the wall clock at the start in milliseconds. Of
// two processes on one VM the later one has the higher incarnation, even if
// updates about the earlier one arrive last.
#include "chivedale/member_list.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace chivedale {
namespace {

// Sends of each update, per factor of two in the number of members. With three,
// an update reaches all members with high probability at 10% loss.
constexpr int kSendsPerDoubling = 3;
constexpr int kRandomUpdates = 2;

int Severity(MemberState state) {
  switch (state) {
    case MemberState::kStarting:
    case MemberState::kLive:
    case MemberState::kDraining:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kDead:
      return 2;
    case MemberState::kLeft:
      return 3;
  }
  return 0;
}

// Returns the VM id in a member id, or an empty string if there is none.
std::string VmOf(const MemberId& id) {
  const size_t slash = id.str().rfind('/');
  return slash == std::string::npos ? std::string() : id.str().substr(0, slash);
}

bool SameVm(const MemberInfo& a, const MemberInfo& b) {
  const std::string vm = VmOf(a.id);
  return (!vm.empty() && vm == VmOf(b.id)) ||
         (!a.address.empty() && a.address == b.address);
}

bool Newer(const MemberInfo& a, const MemberInfo& b) {
  return a.incarnation != b.incarnation ? a.incarnation > b.incarnation
                                        : b.id < a.id;
}

}  // namespace

bool IsPresent(MemberState state) {
  return Severity(state) < Severity(MemberState::kDead);
}

MemberList::MemberList(const util::Clock& clock,
                       util::Random& random,
                       MemberInfo self,
                       Changed changed)
    : clock_(clock),
      random_(random),
      self_(std::move(self)),
      changed_(std::move(changed)) {
  const int64_t now = clock_.WallNow().time_since_epoch().count();
  self_.incarnation = std::max(
      self_.incarnation, static_cast<uint64_t>(std::max<int64_t>(now, 1)));
}

void MemberList::SetSelfState(MemberState state) {
  self_.state = state;
  ++self_.incarnation;
  Announce(self_.id);
  changed_(self_);
}

bool MemberList::Merge(const MemberInfo& update) {
  if (update.id == self_.id) {
    if (Severity(update.state) > 0 && update.incarnation >= self_.incarnation) {
      Refute(update.incarnation);
    }
    return false;
  }
  auto it = others_.find(update.id);
  if (it == others_.end()) {
    if (IsSupersededOnSameVm(update)) {
      return false;
    }
    Member member;
    member.info = update;
    member.announced =
        Severity(update.state) == 0 ? update.state : MemberState::kLive;
    member.since = clock_.Now();
    const MemberInfo info =
        others_.emplace(update.id, std::move(member)).first->second.info;
    CountState(info, MemberState::kDead);
    Announce(update.id);
    changed_(info);
    return true;
  }
  Member& member = it->second;
  const bool newer = update.incarnation > member.info.incarnation;
  const bool worse = update.incarnation == member.info.incarnation &&
                     Severity(update.state) > Severity(member.info.state);
  // A member that has left does not return under the same id.
  if ((!newer && !worse) || member.info.state == MemberState::kLeft) {
    return false;
  }
  if (newer && IsPresent(update.state) && IsSupersededOnSameVm(update)) {
    return false;
  }
  member.info.incarnation = update.incarnation;
  if (!update.address.empty()) {
    member.info.address = update.address;
  }
  if (Severity(update.state) == 0) {
    member.announced = update.state;
  }
  Set(member, update.state);
  Announce(update.id);
  return true;
}

// Of two members on one VM, declares the older one dead. Returns true if the
// update is about the older one and is to be ignored.
bool MemberList::IsSupersededOnSameVm(const MemberInfo& update) {
  if (!IsPresent(update.state)) {
    return false;
  }
  if (SameVm(update, self_)) {
    return Newer(self_, update);
  }
  std::vector<MemberId> older;
  for (const auto& [id, member] : others_) {
    if (id == update.id || !SameVm(update, member.info)) {
      continue;
    }
    if (Newer(member.info, update)) {
      return true;
    }
    if (IsPresent(member.info.state)) {
      older.push_back(id);
    }
  }
  for (const MemberId& id : older) {
    DeclareDead(id);
  }
  return false;
}

void MemberList::Refute(uint64_t incarnation) {
  self_.incarnation = incarnation + 1;
  Announce(self_.id);
}

void MemberList::Suspect(const MemberId& id) {
  auto it = others_.find(id);
  if (it == others_.end() || Severity(it->second.info.state) > 0) {
    return;
  }
  Set(it->second, MemberState::kSuspect);
  Announce(id);
}

void MemberList::DeclareDead(const MemberId& id) {
  auto it = others_.find(id);
  if (it == others_.end() || !IsPresent(it->second.info.state)) {
    return;
  }
  Set(it->second, MemberState::kDead);
  Announce(id);
}

void MemberList::RecordContact(const MemberId& id) {
  auto it = others_.find(id);
  if (it != others_.end()) {
    it->second.last_heard = clock_.Now();
  }
}

void MemberList::ShiftSuspicions(util::Duration gap) {
  for (auto& [id, member] : others_) {
    if (member.info.state == MemberState::kSuspect) {
      member.since += gap;
    }
  }
}

void MemberList::DropTombstones(Millis age) {
  const util::TimePoint now = clock_.Now();
  for (auto it = others_.begin(); it != others_.end();) {
    const bool over =
        !IsPresent(it->second.info.state) && now - it->second.since >= age;
    if (over) {
      pending_updates_.erase(it->first);
      it = others_.erase(it);
    } else {
      ++it;
    }
  }
}

std::vector<MemberInfo> MemberList::TakeUpdates(size_t limit) {
  std::vector<std::pair<int, MemberId>> order;
  for (const auto& [id, pending] : pending_updates_) {
    order.emplace_back(pending.sends, id);
  }
  std::sort(order.begin(), order.end());
  std::vector<MemberInfo> updates;
  for (const auto& [sends, id] : order) {
    if (updates.size() >= limit) {
      break;
    }
    const Member* member = Find(id);
    updates.push_back(id == self_.id ? self_ : member->info);
    if (++pending_updates_[id].sends >= SendsPerUpdate()) {
      pending_updates_.erase(id);
    }
  }
  for (int i = 0; i < kRandomUpdates && updates.size() < limit; ++i) {
    if (others_.empty()) {
      break;
    }
    auto it = others_.begin();
    std::advance(it,
                 static_cast<ptrdiff_t>(random_.UniformInt(others_.size())));
    updates.push_back(it->second.info);
  }
  return updates;
}

const MemberList::Member* MemberList::Find(const MemberId& id) const {
  auto it = others_.find(id);
  return it == others_.end() ? nullptr : &it->second;
}

std::vector<MemberInfo> MemberList::All() const {
  std::vector<MemberInfo> all;
  all.reserve(others_.size());
  for (const auto& [id, member] : others_) {
    all.push_back(member.info);
  }
  return all;
}

void MemberList::Set(Member& member, MemberState state) {
  if (member.info.state == state) {
    return;
  }
  const MemberState before = member.info.state;
  member.info.state = state;
  member.since = clock_.Now();
  const MemberInfo info = member.info;
  CountState(info, before);
  changed_(info);
}

void MemberList::CountState(const MemberInfo& info, MemberState before) {
  if (info.state == MemberState::kSuspect) {
    suspects_.insert(info.id);
  } else {
    suspects_.erase(info.id);
  }
  present_count_ += IsPresent(info.state) ? 1 : 0;
  present_count_ -= IsPresent(before) ? 1 : 0;
}

void MemberList::Announce(const MemberId& id) {
  pending_updates_[id] = PendingUpdate();
}

int MemberList::SendsPerUpdate() const {
  const double members = static_cast<double>(others_.size()) + 2;
  return kSendsPerDoubling * static_cast<int>(std::ceil(std::log2(members)));
}

}  // namespace chivedale
