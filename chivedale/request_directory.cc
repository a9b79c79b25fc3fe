// Idempotent ids are kept only in the memory of this process. A new holder does
// not know the ids of its predecessor, so it answers kRetryLater during the
// settling time, in which the entries register their ids again. Ids that are
// not registered by then are free: a second run of idempotent work is allowed,
// though wasteful.
//
// Unrepeatable ids are backed by the record log; the memory here only maps an
// id to its entry. A recorded id that is not in memory is answered with
// kAlreadyRecorded and never with kNew, so the loss of this memory cannot cause
// a second run.
//
// kStoreDown is correct only while no other holder of the group can exist (see
// record_log.cc). Another member takes over a group only after it has declared
// this one dead, and before that this one has seen some member become suspect
// or disappear. Each such change therefore calls RecordLog::MarkUnconfirmed().
#include "chivedale/request_directory.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "chivedale/request_id_map.h"
#include "util/random.h"

namespace chivedale {
namespace {

// An entry that registers ids without being a member for this long is treated
// as dead; membership changes may propagate that slowly.
constexpr Millis kUnknownEntryGrace{3'000};
constexpr Millis kSweepInterval{500};
// A longer gap between two calls means that this process was paused. Others may
// hold its groups by now, so it settles again before it frees or grants an id.
constexpr Millis kPauseThreshold{1'000};

bool MayHold(MemberState state) {
  return state == MemberState::kLive || state == MemberState::kSuspect;
}

}  // namespace

struct RequestDirectory::Impl {
  using Reply = std::function<void(const RegisterReply&)>;

  struct Departure {
    util::TimePoint at{};
    std::set<MemberId> awaited_reports;
    bool resolved = false;
    // The member left as planned, after it had answered all its callers.
    bool left = false;
  };
  struct Group {
    bool held = false;
    util::TimePoint taken_at{};
  };

  Impl(const util::Clock& clock,
       MemberInfo self,
       RecordLog& records,
       Options options)
      : clock(clock),
        self(std::move(self)),
        records(records),
        options(options),
        ids(clock, options.max_ids),
        unrepeatable_groups(static_cast<size_t>(options.record_groups)),
        repeatable_groups(static_cast<size_t>(options.record_groups)) {}

  int GroupOfHash(uint64_t hash) const {
    return static_cast<int>(hash %
                            static_cast<uint64_t>(options.record_groups));
  }
  int GroupOf(const RequestId& id) const {
    return GroupOfHash(util::Hash64(id.str()));
  }

  // Draining and starting members hold groups only if there is no other member.
  MemberId Holder(int group, bool repeatable) const {
    const std::string key =
        (repeatable ? "idempotent/" : "once/") + std::to_string(group);
    MemberId best;
    bool best_may_hold = false;
    uint64_t best_weight = 0;
    for (const auto& [id, member] : members) {
      const bool may_hold = MayHold(member.state);
      const uint64_t weight = util::RendezvousWeight(key, id.str());
      const bool better =
          best.empty() ||
          (may_hold != best_may_hold ? may_hold : weight > best_weight);
      if (better) {
        best = id;
        best_may_hold = may_hold;
        best_weight = weight;
      }
    }
    return best;
  }

  Group& GroupState(const RequestId& id, bool repeatable) {
    auto& groups = repeatable ? repeatable_groups : unrepeatable_groups;
    return groups[static_cast<size_t>(GroupOf(id))];
  }

  // Whether ids that are unknown here may still be run by other members. A new
  // holder does not know the ids of an entry that died with the previous holder
  // until every member has reported its tasks for that entry. With more than
  // one death the views of the members may differ, and the entry may have
  // registered with a member that is only considered dead here; then all open
  // departures are awaited.
  bool Settling(const Group& group) const {
    if (clock.Now() - group.taken_at < options.settle_time) {
      return true;
    }
    const auto deaths = std::count_if(
        departures.begin(), departures.end(),
        [](const auto& departure) { return !departure.second.left; });
    return std::any_of(
        departures.begin(), departures.end(), [&](const auto& departure) {
          return !departure.second.resolved &&
                 (deaths > 1 || departure.second.at <= group.taken_at);
        });
  }

  void DetectPause() {
    const util::TimePoint now = clock.Now();
    const bool paused = now - std::exchange(last_call, now) > kPauseThreshold;
    if (!paused) {
      return;
    }
    for (auto* groups : {&unrepeatable_groups, &repeatable_groups}) {
      for (Group& group : *groups) {
        group.taken_at = now;
      }
    }
  }

  // Whether an unknown idempotent id may have run: the ids of work that ended
  // before the unplanned death of an entry are lost with it.
  bool MayHaveRun() const {
    return std::any_of(
        departures.begin(), departures.end(),
        [](const auto& departure) { return !departure.second.left; });
  }

  void OnMemberLeft(const MemberId& member) {
    OnMemberDead(member);
    departures[member].left = true;
  }

  void SetMembers(const std::vector<MemberInfo>& list) {
    std::map<MemberId, MemberInfo> next;
    bool unconfirmed = false;
    for (const MemberInfo& member : list) {
      if (member.state == MemberState::kDead ||
          member.state == MemberState::kLeft) {
        continue;
      }
      unconfirmed = unconfirmed || member.state == MemberState::kSuspect;
      next.emplace(member.id, member);
    }
    std::vector<MemberId> departed;
    for (const auto& [id, member] : members) {
      if (next.count(id) == 0) {
        departed.push_back(id);
      }
    }
    auto self_member = next.find(self.id);
    unconfirmed = unconfirmed || !departed.empty() ||
                  self_member == next.end() ||
                  !MayHold(self_member->second.state);
    // A member that joins or returns may run work of one that has departed.
    for (const auto& [id, member] : next) {
      if (members.count(id) == 0) {
        AwaitReportOf(id);
      }
    }
    members = std::move(next);
    for (const auto& [id, member] : members) {
      unknown_since.erase(id);
      if (departures.erase(id) != 0) {
        OnMemberBack(id);
      }
    }
    for (const MemberId& id : departed) {
      OnMemberDead(id);
    }
    UpdateHeldGroups();
    if (unconfirmed) {
      records.MarkUnconfirmed();
    }
  }

  void AwaitReportOf(const MemberId& member) {
    for (auto& [gone, departure] : departures) {
      if (!departure.resolved && gone != member &&
          reporters[gone].count(member) == 0) {
        departure.awaited_reports.insert(member);
      }
    }
  }

  // The member was paused or cut off; it still has the ids it had then.
  void OnMemberBack(const MemberId& member) {
    reporters.erase(member);
    early_adoptions.erase(member);
    ids.Reclaim(member);
  }

  void UpdateHeldGroups() {
    for (int number = 0; number < options.record_groups; ++number) {
      const auto i = static_cast<size_t>(number);
      SetHeld(repeatable_groups[i], Holder(number, true) == self.id, number,
              true);
      const bool held = Holder(number, false) == self.id;
      SetHeld(unrepeatable_groups[i], held, number, false);
      if (held) {
        records.Hold(number);
      } else {
        records.Resign(number);
      }
    }
  }

  void SetHeld(Group& group, bool held, int number, bool repeatable) {
    if (held == group.held) {
      return;
    }
    group.held = held;
    group.taken_at = clock.Now();
    if (!held) {
      DropGroup(number, repeatable);
    }
  }

  void DropGroup(int number, bool repeatable) {
    ids.EraseIf([&](uint64_t hash, bool is_repeatable) {
      return is_repeatable == repeatable && GroupOfHash(hash) == number;
    });
  }

  RegisterReply MakeReply(const RequestId& id,
                          RegisterOutcome outcome,
                          const MemberId& entry) const {
    RegisterReply reply;
    reply.request = id;
    reply.outcome = outcome;
    reply.entry = entry;
    if (outcome == RegisterOutcome::kRetryLater ||
        outcome == RegisterOutcome::kNotHolder) {
      reply.retry_after = options.retry_interval;
    }
    return reply;
  }

  // Grant of an idempotent id.
  RegisterReply MakeGrant(const Register& request) const {
    RegisterReply grant =
        MakeReply(request.request, RegisterOutcome::kNew, request.entry);
    grant.may_have_run = MayHaveRun();
    return grant;
  }

  void OnRegister(const Register& request, const Reply& reply) {
    DetectPause();
    const RequestId& id = request.request;
    Group& group = GroupState(id, request.repeatable);
    if (!group.held) {
      reply(MakeReply(id, RegisterOutcome::kNotHolder, MemberId()));
      return;
    }
    const std::optional<RequestIdMap::Entry> known = ids.Find(id);
    if (known) {
      ReplyKnown(request, *known, reply);
      return;
    }
    if (request.running) {
      ids.Insert(id, NewEntry(request));
      reply(MakeReply(id, RegisterOutcome::kNew, request.entry));
      return;
    }
    if (request.repeatable) {
      RegisterRepeatable(request, group, reply);
      return;
    }
    if (request.probe) {
      ProbeUnrepeatable(request, group, reply);
      return;
    }
    RecordUnrepeatable(request, reply);
  }

  RequestIdMap::Entry NewEntry(const Register& request) const {
    RequestIdMap::Entry entry;
    entry.entry = request.entry;
    entry.digest = request.digest;
    entry.registration = request.registration;
    entry.repeatable = request.repeatable;
    return entry;
  }

  void ReplyKnown(const Register& request,
                  const RequestIdMap::Entry& entry,
                  const Reply& reply) {
    const RequestId& id = request.request;
    const bool digest_differs = entry.digest != 0 && request.digest != 0 &&
                                entry.digest != request.digest;
    if (digest_differs || entry.repeatable != request.repeatable) {
      reply(MakeReply(id, RegisterOutcome::kDigestDiffers, entry.entry));
      return;
    }
    if (request.running && (entry.orphaned || entry.entry == request.entry)) {
      ids.Assign(id, request.entry);
      reply(MakeReply(id, RegisterOutcome::kNew, request.entry));
      return;
    }
    if (entry.recording) {
      // Only the first registration is answered; this one is retried.
      reply(MakeReply(id, RegisterOutcome::kRetryLater, entry.entry));
      return;
    }
    if (entry.orphaned) {
      reply(ReplyOrphan(id, entry));
      return;
    }
    const bool same = entry.entry == request.entry && !request.probe;
    if (same && entry.repeatable) {
      reply(MakeGrant(request));
      return;
    }
    if (same && request.registration != 0 && entry.granted &&
        entry.registration == request.registration) {
      reply(MakeReply(id, RegisterOutcome::kNew, request.entry));
      return;
    }
    reply(MakeReply(id, RegisterOutcome::kKnown, entry.entry));
  }

  RegisterReply ReplyOrphan(const RequestId& id,
                            const RequestIdMap::Entry& entry) const {
    auto departure = departures.find(entry.entry);
    const bool resolved =
        departure == departures.end() || departure->second.resolved;
    const RegisterOutcome outcome = resolved ? RegisterOutcome::kAlreadyRecorded
                                             : RegisterOutcome::kRetryLater;
    return MakeReply(id, outcome, entry.entry);
  }

  void RegisterRepeatable(const Register& request,
                          const Group& group,
                          const Reply& reply) {
    const RequestId& id = request.request;
    if (Settling(group)) {
      reply(MakeReply(id, RegisterOutcome::kRetryLater, MemberId()));
      return;
    }
    if (!request.probe) {
      ids.Insert(id, NewEntry(request));
    }
    reply(MakeGrant(request));
  }

  void ProbeUnrepeatable(const Register& request,
                         const Group& group,
                         const Reply& reply) {
    const std::optional<bool> recorded =
        records.IsRecorded(GroupOf(request.request), request.request);
    RegisterOutcome outcome = RegisterOutcome::kNew;
    if (!recorded || (*recorded && Settling(group))) {
      outcome = RegisterOutcome::kRetryLater;
    } else if (*recorded) {
      outcome = RegisterOutcome::kAlreadyRecorded;
    }
    reply(MakeReply(request.request, outcome, MemberId()));
  }

  void RecordUnrepeatable(const Register& request, const Reply& reply) {
    const RequestId id = request.request;
    RequestIdMap::Entry entry = NewEntry(request);
    entry.recording = true;
    const uint64_t order = ids.Insert(id, entry);
    records.Record(GroupOf(id), id,
                   [this, guard = std::weak_ptr<int>(alive), id, order,
                    from = request.entry, reply](RecordOutcome outcome) {
                     if (!guard.expired()) {
                       reply(OnRecorded(id, order, from, outcome));
                     }
                   });
  }

  RegisterReply OnRecorded(const RequestId& id,
                           uint64_t order,
                           const MemberId& from,
                           RecordOutcome outcome) {
    const std::optional<RequestIdMap::Entry> known = ids.Find(id);
    // False if the id has been registered again since or the group is no longer
    // held.
    const bool is_current = known && known->order == order;
    const bool granted = outcome == RecordOutcome::kRecorded;
    if (is_current) {
      // A member that adopted the id in the meantime was granted nothing.
      ids.SetRecorded(id, granted && known->entry == from);
    }
    if (granted) {
      return MakeReply(id, RegisterOutcome::kNew, from);
    }
    if (is_current && known->entry == from) {
      ids.Erase(id);
    }
    if (outcome == RecordOutcome::kStoreDown ||
        outcome == RecordOutcome::kUnconfirmed) {
      RegisterReply reply =
          MakeReply(id, RegisterOutcome::kStoreDown, MemberId());
      reply.may_have_run = outcome == RecordOutcome::kUnconfirmed;
      return reply;
    }
    if (outcome == RecordOutcome::kNotHolder) {
      return MakeReply(id, RegisterOutcome::kNotHolder, MemberId());
    }
    // The entry may be about to register again with this new holder.
    return MakeReply(id,
                     Settling(GroupState(id, false))
                         ? RegisterOutcome::kRetryLater
                         : RegisterOutcome::kAlreadyRecorded,
                     MemberId());
  }

  void OnUnregister(const Unregister& message) {
    const std::optional<RequestIdMap::Entry> known = ids.Find(message.request);
    // A recorded id stays, since its record cannot be withdrawn.
    if (known && known->repeatable && known->entry == message.entry) {
      ids.Erase(message.request);
    }
  }

  void OnMemberDead(const MemberId& member) {
    if (departures.count(member) != 0) {
      return;
    }
    unknown_since.erase(member);
    Departure departure;
    departure.at = clock.Now();
    for (const auto& [id, info] : members) {
      if (id != member) {
        departure.awaited_reports.insert(id);
      }
    }
    for (const MemberId& reporter : reporters[member]) {
      departure.awaited_reports.erase(reporter);
    }
    departures[member] = std::move(departure);
    ids.Orphan(member);
    for (auto& [gone, other] : departures) {
      other.awaited_reports.erase(member);
    }
    ResolveDepartures();
  }

  void OnEntryGone(const EntryGone& message) {
    const bool alive_here = members.count(message.entry) != 0;
    for (const RequestId& id : message.running) {
      const std::optional<RequestIdMap::Entry> known = ids.Find(id);
      if (!known) {
        continue;  // registered by the adopter, with its digest
      }
      if (known->entry == message.entry && !alive_here) {
        ids.Assign(id, message.sender);
      } else if (known->entry == message.entry) {
        early_adoptions[message.entry][id] = message.sender;
      }
    }
    if (!message.complete) {
      return;
    }
    auto departure = departures.find(message.entry);
    if (departure == departures.end()) {
      reporters[message.entry].insert(message.sender);
      return;
    }
    departure->second.awaited_reports.erase(message.sender);
    ResolveDepartures();
  }

  // Frees the ids of departed entries that no member runs.
  void ResolveDepartures() {
    const util::TimePoint now = clock.Now();
    for (auto& [member, departure] : departures) {
      ApplyEarlyAdoptions(member);
      const bool due = departure.awaited_reports.empty() ||
                       now - departure.at >= options.orphan_timeout;
      if (departure.resolved || !due) {
        continue;
      }
      departure.resolved = true;
      // Unrepeatable ids stay and are answered with kAlreadyRecorded.
      ids.EraseRepeatableOf(member);
    }
  }

  // Applies reports that arrived before this member learned of the death.
  void ApplyEarlyAdoptions(const MemberId& gone) {
    auto early = early_adoptions.find(gone);
    if (early == early_adoptions.end()) {
      return;
    }
    for (const auto& [id, sender] : early->second) {
      const std::optional<RequestIdMap::Entry> known = ids.Find(id);
      if (known && known->entry == gone) {
        ids.Assign(id, sender);
      }
    }
    early_adoptions.erase(early);
  }

  // Finds entries that are not members: they died before this member learned of
  // them, or never joined.
  void DetectUnknownEntries() {
    const util::TimePoint now = clock.Now();
    std::vector<MemberId> dead;
    for (const MemberId& member : ids.Entries()) {
      if (members.count(member) != 0 || departures.count(member) != 0) {
        continue;
      }
      const auto [it, added] = unknown_since.emplace(member, now);
      if (!added && now - it->second >= kUnknownEntryGrace) {
        dead.push_back(member);
      }
    }
    for (const MemberId& member : dead) {
      OnMemberDead(member);
    }
  }

  void Expire() {
    const util::TimePoint now = clock.Now();
    ids.Expire(options.retention);
    for (auto it = departures.begin(); it != departures.end();) {
      if (now - it->second.at >= options.retention) {
        reporters.erase(it->first);
        early_adoptions.erase(it->first);
        it = departures.erase(it);
      } else {
        ++it;
      }
    }
  }

  void Tick() {
    DetectPause();
    const util::TimePoint now = clock.Now();
    ResolveDepartures();
    if (now < next_sweep) {
      return;
    }
    next_sweep = now + kSweepInterval;
    DetectUnknownEntries();
    Expire();
  }

  const util::Clock& clock;
  const MemberInfo self;
  RecordLog& records;
  const Options options;
  RequestIdMap ids;
  std::map<MemberId, MemberInfo> members;
  std::vector<Group> unrepeatable_groups;
  std::vector<Group> repeatable_groups;
  std::map<MemberId, Departure> departures;
  std::map<MemberId, util::TimePoint> unknown_since;
  // Members that have reported on a member that is still alive here.
  std::map<MemberId, std::set<MemberId>> reporters;
  std::map<MemberId, std::map<RequestId, MemberId>> early_adoptions;
  util::TimePoint next_sweep{};
  util::TimePoint last_call = clock.Now();
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

RequestDirectory::RequestDirectory(const util::Clock& clock,
                                   MemberInfo self,
                                   RecordLog& records,
                                   Options options)
    : impl_(std::make_unique<Impl>(clock, std::move(self), records, options)) {}

RequestDirectory::~RequestDirectory() = default;

void RequestDirectory::SetMembers(const std::vector<MemberInfo>& members) {
  impl_->SetMembers(members);
}

void RequestDirectory::OnRegister(
    const Register& request,
    std::function<void(const RegisterReply&)> reply) {
  impl_->OnRegister(request, [registration = request.registration,
                              reply = std::move(reply)](RegisterReply answer) {
    answer.registration = registration;
    reply(answer);
  });
}

void RequestDirectory::OnUnregister(const Unregister& message) {
  impl_->OnUnregister(message);
}

void RequestDirectory::OnEntryGone(const EntryGone& message) {
  impl_->OnEntryGone(message);
}

void RequestDirectory::OnMemberDead(const MemberId& member) {
  impl_->OnMemberDead(member);
}

void RequestDirectory::OnMemberLeft(const MemberId& member) {
  impl_->OnMemberLeft(member);
}

void RequestDirectory::Tick() {
  impl_->Tick();
}

int RequestDirectory::GroupOf(const RequestId& request) const {
  return impl_->GroupOf(request);
}

MemberId RequestDirectory::HolderOf(const RequestId& request,
                                    bool repeatable) const {
  return impl_->Holder(impl_->GroupOf(request), repeatable);
}

int64_t RequestDirectory::known_ids() const {
  return impl_->ids.size();
}

}  // namespace chivedale
