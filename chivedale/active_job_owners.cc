// Locates attempts at their owners. An attempt is retried only after one of: a
// final reply that it was not started, its answer, a report of its worker's
// current owner that it is absent, or the rule in EndLost. If its owner is gone
// and no other member has claimed the worker, the worker stops the attempt by
// itself within orphan_timeout of the last sign of the attempt. All live owners
// are then queried once more, since one of them may have taken over the worker
// in time; the attempt has ended if none has it.
#include <algorithm>
#include <iterator>

#include "chivedale/active_job.h"

namespace chivedale {
namespace {

constexpr Millis kQueryInterval{1'000};
// How often running attempts are confirmed with their owners, since any single
// message may be lost; 40 bytes each, 0.2 MB/s for 160,000 tasks.
constexpr Millis kConfirmInterval{30'000};
constexpr uint64_t kConfirmRound = 0;
// Time to wait for the answer of an absent attempt. Answers are resent every
// second, so two can arrive.
constexpr Millis kAnswerGrace{2'000};
// The start of a gang's task is sent directly to its owner. If there is no
// reply for this long, the owners are queried.
constexpr Millis kStartReplyTimeout{2'000};
// A live owner that has not replied to queries for this many multiples of
// orphan_timeout runs an older release without JobQuery and is no longer waited
// for.
constexpr int kMaxSilentOrphanTimeouts = 3;

bool MayOwn(const MemberInfo& member) {
  return member.state == MemberState::kLive ||
         member.state == MemberState::kSuspect ||
         member.state == MemberState::kDraining;
}

}  // namespace

void ActiveJob::SetMembers(const std::vector<MemberInfo>& members) {
  std::set<MemberId> now_live;
  data_centres_.clear();
  for (const MemberInfo& member : members) {
    if (MayOwn(member)) {
      now_live.insert(member.id);
      data_centres_.insert(member.data_centre.str());
    }
  }
  const bool member_left =
      std::any_of(members_.begin(), members_.end(),
                  [&](const MemberId& id) { return now_live.count(id) == 0; });
  std::set<MemberId> joined;
  std::set_difference(now_live.begin(), now_live.end(), members_.begin(),
                      members_.end(), std::inserter(joined, joined.end()));
  members_ = std::move(now_live);
  Fence(joined);
  // A member that left may have owned the worker of a lost attempt for a while
  // and thereby kept the attempt running longer.
  if (member_left) {
    for (int64_t i : lost_) {
      InfoOf(i).lost_since = clock_.Now();
    }
  }
  for (int64_t i : active_) {
    const AttemptInfo& info = InfoOf(i);
    if (!info.owner.empty() && members_.count(info.owner) == 0) {
      MarkLost(i);
    }
  }
}

void ActiveJob::OnWorkerTaken(const WorkerTaken& taken) {
  const std::set<TaskKey> running(taken.running.begin(), taken.running.end());
  std::vector<int64_t> found;
  for (const TaskKey& key : running) {
    if (const std::optional<int64_t> i = FindActive(key)) {
      found.push_back(*i);
      OnFound(*i, taken.owner);
      if (Task(*i).worker != taken.worker) {
        SetPlace(*i, taken.worker, "", "");
      }
      SetToken(*i, taken.token, taken.boot_id);
    }
  }
  // The new owner may have read an earlier manager as the entry of these
  // attempts from the worker's task list; the query redirects their answers
  // here.
  QueryOwner(taken.owner, found);
  if (in_worker_.count(taken.worker.str()) == 0) {
    return;
  }
  const std::vector<int64_t> indices(active_.begin(), active_.end());
  for (int64_t i : indices) {
    if (Task(i).worker == taken.worker && running.count(KeyOf(i)) == 0) {
      OnMissing(i, taken);
    }
  }
}

// Handles an attempt that the worker's new owner does not list.
void ActiveJob::OnMissing(int64_t i, const WorkerTaken& taken) {
  AttemptInfo& info = InfoOf(i);
  if (info.boot_id != taken.boot_id) {
    // Boot ids are not ordered, so this list may be the older one. All owners
    // are queried.
    MarkLost(i);
    return;
  }
  if (info.token >= taken.token || info.absent_deadline) {
    return;  // started after the list was read
  }
  // An accepted attempt has started even if the list does not show it.
  const bool started = Task(i).phase == TaskPhase::kRunning || taken.reboot;
  info.absent_deadline = clock_.Now() + kAnswerGrace;
  info.absent_ran = started ? Ran::kUnknown : Ran::kNo;
  absent_.insert(i);
}

void ActiveJob::SetToken(int64_t i,
                         uint64_t token,
                         const std::string& boot_id) {
  InfoOf(i).token = token;
  InfoOf(i).boot_id = boot_id;
}

void ActiveJob::OnQueryReply(const MemberId& owner,
                             const JobQueryReply& reply) {
  if (reply.epoch != record_.epoch) {
    return;
  }
  for (const JobAttempt& present : reply.present) {
    const std::optional<int64_t> i = FindActive(present.key);
    if (i && members_.count(owner) > 0) {
      OnFound(*i, owner);
      if (Task(*i).worker != present.worker) {
        SetPlace(*i, present.worker, "", "");
        SetToken(*i, 0, "");
      }
    }
  }
  if (reply.round == kConfirmRound) {
    // If an owner no longer has an attempt, another owner took it over and its
    // message was lost.
    for (int64_t i : std::set<int64_t>(active_)) {
      if (InfoOf(i).owner == owner && InfoOf(i).confirming) {
        MarkLost(i);
      }
    }
    return;
  }
  if (reply.round != round_) {
    return;
  }
  round_replies_.insert(owner);
  for (const TaskKey& key : reply.absent) {
    const std::optional<int64_t> i = FindActive(key);
    if (i && lost_.count(*i) > 0 && !Task(*i).worker.empty()) {
      EndAttempt(*i, false, Ran::kUnknown, "lost because its owner is gone");
    }
  }
}

void ActiveJob::OnFound(int64_t i, const MemberId& owner) {
  AttemptInfo& info = InfoOf(i);
  info.owner = owner;
  info.confirming = false;
  info.lost_since.reset();
  info.absent_deadline.reset();
  lost_.erase(i);
  absent_.erase(i);
  unaccepted_.erase(i);
  if (Task(i).phase != TaskPhase::kRunning) {
    Task(i).phase = TaskPhase::kRunning;
    info.started = clock_.Now();
    dirty_ = true;
  }
  if (members_.count(owner) == 0) {
    MarkLost(i);
  }
  if (info.stopping) {
    info.stop_sent = util::TimePoint{};
  }
}

void ActiveJob::MarkLost(int64_t i) {
  AttemptInfo& info = InfoOf(i);
  if (!info.lost_since) {
    info.lost_since = clock_.Now();
    lost_.insert(i);
    unaccepted_.erase(i);
    round_at_ = util::TimePoint{};  // query immediately
  }
}

JobQuery ActiveJob::MakeQuery(uint64_t round) const {
  JobQuery query;
  query.job = record_.spec.id;
  query.manager = self_;
  query.epoch = record_.epoch;
  query.round = round;
  return query;
}

// A member that joined after the last round does not know the epoch. It would
// accept a start from an earlier manager that was paused meanwhile.
void ActiveJob::Fence(const std::set<MemberId>& joined) {
  if (!claimed_) {
    return;  // nothing may be sent yet; the first round queries all members
  }
  for (const MemberId& member : joined) {
    listener_.SendToMember(member, MakeQuery(kConfirmRound));
  }
}

void ActiveJob::QueryOwners() {
  const util::TimePoint now = clock_.Now();
  if (now - round_at_ < kQueryInterval) {
    return;
  }
  round_at_ = now;
  round_replies_.clear();
  JobQuery query = MakeQuery(++round_);
  for (int64_t i : lost_) {
    query.attempts.push_back({KeyOf(i), Task(i).worker});
  }
  for (const MemberId& member : std::set<MemberId>(members_)) {
    listener_.SendToMember(member, query);
  }
}

// Makes the owner send the answers of these attempts here and report whether it
// still has them.
void ActiveJob::QueryOwner(const MemberId& owner,
                           const std::vector<int64_t>& indices) {
  if (indices.empty()) {
    return;
  }
  JobQuery query = MakeQuery(kConfirmRound);
  for (int64_t i : indices) {
    InfoOf(i).confirming = true;
    query.attempts.push_back({KeyOf(i), Task(i).worker});
  }
  listener_.SendToMember(owner, query);
}

void ActiveJob::ConfirmRunning() {
  const util::TimePoint now = clock_.Now();
  if (now - confirmed_at_ < kConfirmInterval) {
    return;
  }
  confirmed_at_ = now;
  std::map<MemberId, std::vector<int64_t>> by_owner;
  for (int64_t i : active_) {
    const AttemptInfo& info = InfoOf(i);
    if (!info.owner.empty() && !info.lost_since && !info.absent_deadline) {
      by_owner[info.owner].push_back(i);
    }
  }
  for (const auto& [owner, indices] : by_owner) {
    QueryOwner(owner, indices);
  }
}

void ActiveJob::EndLost() {
  const util::TimePoint now = clock_.Now();
  const bool all_replied =
      std::includes(round_replies_.begin(), round_replies_.end(),
                    members_.begin(), members_.end());
  const std::vector<int64_t> indices(lost_.begin(), lost_.end());
  for (int64_t i : indices) {
    const util::TimePoint since = *InfoOf(i).lost_since;
    const bool queried_after = round_at_ >= since + options_.orphan_timeout;
    const bool given_up =
        now >= since + kMaxSilentOrphanTimeouts * options_.orphan_timeout;
    if ((queried_after && all_replied) || given_up) {
      EndAttempt(i, false, Ran::kUnknown, "lost because its owner is gone");
    }
  }
}

void ActiveJob::EndAbsent() {
  const util::TimePoint now = clock_.Now();
  const std::vector<int64_t> indices(absent_.begin(), absent_.end());
  for (int64_t i : indices) {
    if (now >= *InfoOf(i).absent_deadline) {
      EndAttempt(i, false, InfoOf(i).absent_ran,
                 "missing on its worker after a change of owner");
    }
  }
  if (unaccepted_.empty() || Shape() != WorkShape::kGang) {
    return;
  }
  for (int64_t i : std::set<int64_t>(unaccepted_)) {
    if (now - InfoOf(i).sent_at >= kStartReplyTimeout) {
      MarkLost(i);
    }
  }
}

}  // namespace chivedale
