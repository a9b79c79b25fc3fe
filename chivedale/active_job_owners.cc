// An attempt is started elsewhere only after one of: a final reply that it was
// not started, its answer, the word of its worker's present owner that it is
// not there, or the rule of EndLost. When its owner is gone and no other has
// claimed it, the worker stops it by itself; orphan_wait after the last sign
// one more round of questions goes to all live owners, since one of them may
// have taken the worker over in time. Only when none has it, it has ended.
#include <algorithm>
#include <iterator>

#include "chivedale/active_job.h"

namespace chivedale {
namespace {

constexpr Millis kQueryInterval{1'000};
// Attempts at an owner are confirmed with their owners this often, since any
// single message may be lost; 40 bytes each, 0.2 MB/s for 160,000 tasks.
constexpr Millis kConfirmInterval{30'000};
constexpr uint64_t kConfirmRound = 0;
// An answer is sent again each second; two sends must have had time to arrive
// before an attempt without one is given up.
constexpr Millis kAnswerGrace{2'000};
// A gang's start goes to its owner directly; without a reply for this long the
// owners are asked.
constexpr Millis kStartReplyTimeout{2'000};
// A live owner that does not answer questions for this many orphan_waits does
// not know the message (an older release) and is not waited for.
constexpr int kPatience = 3;

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
  const bool someone_left =
      std::any_of(members_.begin(), members_.end(),
                  [&](const MemberId& id) { return now_live.count(id) == 0; });
  std::set<MemberId> joined;
  std::set_difference(now_live.begin(), now_live.end(), members_.begin(),
                      members_.end(), std::inserter(joined, joined.end()));
  members_ = std::move(now_live);
  Fence(joined);
  // A member that left may have had the worker of a lost attempt for a while,
  // which prolonged the attempt's life.
  if (someone_left) {
    for (int64_t i : lost_) {
      LiveOf(i).lost_since = clock_.Now();
    }
  }
  for (int64_t i : active_) {
    const Live& live = LiveOf(i);
    if (!live.owner.empty() && members_.count(live.owner) == 0) {
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
      Found(*i, taken.owner);
      if (Task(*i).worker != taken.worker) {
        SetPlace(*i, taken.worker, "", "");
      }
      SetToken(*i, taken.token, taken.boot_id);
    }
  }
  // The worker's label may still name an earlier manager.
  AskOwner(taken.owner, found);
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

// The worker's new owner does not list the attempt.
void ActiveJob::OnMissing(int64_t i, const WorkerTaken& taken) {
  Live& live = LiveOf(i);
  if (live.boot_id != taken.boot_id) {
    // Boot ids have no order, so the list may be the older one; all owners are
    // asked.
    MarkLost(i);
    return;
  }
  if (live.token >= taken.token || live.gone_at) {
    return;  // started after the list was made
  }
  // An accepted attempt did start, whatever the list says.
  const bool started = Task(i).phase == TaskPhase::kRunning || taken.reboot;
  live.gone_at = clock_.Now() + kAnswerGrace;
  live.gone_ran = started ? Ran::kUnknown : Ran::kNo;
  gone_.insert(i);
}

void ActiveJob::SetToken(int64_t i,
                         uint64_t token,
                         const std::string& boot_id) {
  LiveOf(i).token = token;
  LiveOf(i).boot_id = boot_id;
}

void ActiveJob::OnQueryReply(const MemberId& owner,
                             const JobQueryReply& reply) {
  if (reply.epoch != record_.epoch) {
    return;
  }
  for (const JobAttempt& present : reply.present) {
    const std::optional<int64_t> i = FindActive(present.key);
    if (i && members_.count(owner) > 0) {
      Found(*i, owner);
      if (Task(*i).worker != present.worker) {
        SetPlace(*i, present.worker, "", "");
        SetToken(*i, 0, "");
      }
    }
  }
  if (reply.round == kConfirmRound) {
    // An attempt that its owner no longer has was taken over by an owner whose
    // word was lost.
    for (int64_t i : std::set<int64_t>(active_)) {
      if (LiveOf(i).owner == owner && LiveOf(i).confirming) {
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
      EndAttempt(*i, false, Ran::kUnknown, "lost with its owner");
    }
  }
}

void ActiveJob::Found(int64_t i, const MemberId& owner) {
  Live& live = LiveOf(i);
  live.owner = owner;
  live.confirming = false;
  live.lost_since.reset();
  live.gone_at.reset();
  lost_.erase(i);
  gone_.erase(i);
  unaccepted_.erase(i);
  if (Task(i).phase != TaskPhase::kRunning) {
    Task(i).phase = TaskPhase::kRunning;
    live.started = clock_.Now();
    dirty_ = true;
  }
  if (members_.count(owner) == 0) {
    MarkLost(i);
  }
  if (live.stopping) {
    live.stop_sent = util::TimePoint{};
  }
}

void ActiveJob::MarkLost(int64_t i) {
  Live& live = LiveOf(i);
  if (!live.lost_since) {
    live.lost_since = clock_.Now();
    lost_.insert(i);
    unaccepted_.erase(i);
    round_at_ = util::TimePoint{};  // ask at once
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

// A member that joined after the last round does not know the epoch, and would
// take a start of an earlier manager that was paused meanwhile.
void ActiveJob::Fence(const std::set<MemberId>& joined) {
  if (!claimed_) {
    return;  // nothing may be sent yet; the first round asks all members
  }
  for (const MemberId& member : joined) {
    listener_.SendToMember(member, MakeQuery(kConfirmRound));
  }
}

void ActiveJob::AskOwners() {
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

// Has the owner send answers of these attempts here and say whether it still
// has them.
void ActiveJob::AskOwner(const MemberId& owner,
                         const std::vector<int64_t>& indices) {
  if (indices.empty()) {
    return;
  }
  JobQuery query = MakeQuery(kConfirmRound);
  for (int64_t i : indices) {
    LiveOf(i).confirming = true;
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
    const Live& live = LiveOf(i);
    if (!live.owner.empty() && !live.lost_since && !live.gone_at) {
      by_owner[live.owner].push_back(i);
    }
  }
  for (const auto& [owner, indices] : by_owner) {
    AskOwner(owner, indices);
  }
}

void ActiveJob::EndLost() {
  const util::TimePoint now = clock_.Now();
  const bool all_replied =
      std::includes(round_replies_.begin(), round_replies_.end(),
                    members_.begin(), members_.end());
  const std::vector<int64_t> indices(lost_.begin(), lost_.end());
  for (int64_t i : indices) {
    const util::TimePoint since = *LiveOf(i).lost_since;
    const bool asked_after = round_at_ >= since + options_.orphan_wait;
    const bool given_up = now >= since + kPatience * options_.orphan_wait;
    if ((asked_after && all_replied) || given_up) {
      EndAttempt(i, false, Ran::kUnknown, "lost with its owner");
    }
  }
}

void ActiveJob::EndGone() {
  const util::TimePoint now = clock_.Now();
  const std::vector<int64_t> indices(gone_.begin(), gone_.end());
  for (int64_t i : indices) {
    if (now >= *LiveOf(i).gone_at) {
      EndAttempt(i, false, LiveOf(i).gone_ran, "lost with its worker");
    }
  }
  if (unaccepted_.empty() || Shape() != WorkShape::kGang) {
    return;
  }
  for (int64_t i : std::set<int64_t>(unaccepted_)) {
    if (now - LiveOf(i).sent_at >= kStartReplyTimeout) {
      MarkLost(i);
    }
  }
}

}  // namespace chivedale
