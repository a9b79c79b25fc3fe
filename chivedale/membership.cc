// Time to detect a death: ping interval 500 ms + direct and indirect timeout of
// 300 ms each + suspicion 1,500 ms = 2,600 ms, below the guaranteed 3 s.
//
// Faults of this process. After a pause all answers that were due during it are
// missing, so timers are shifted by the length of the pause. If most others are
// silent at once, it is more likely that this process is cut off than that they
// are dead, so none is declared dead during the isolation time.
#include "chivedale/membership.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <set>
#include <utility>

#include "chivedale/member_list.h"
#include "chivedale/ping_targets.h"

namespace chivedale {
namespace {

// A relayed ping is remembered this long, to forward its reply.
constexpr Millis kRelayTimeout{1'000};
constexpr Millis kSeedInterval{1'000};
// Interval of pings to a random dead member, so that two halves of a healed
// partition find each other.
constexpr Millis kDeadPingInterval{1'000};
// Isolation is detected only with at least this many other members.
constexpr size_t kMinOthersForIsolation = 3;
constexpr Millis kCleanupInterval{1'000};
// A suspicion or death is pushed immediately to this many members, at most once
// per interval. Waiting for the next ping round took 1.1 to 1.6 s from the
// first to the last member at 30 to 300 members.
constexpr int kPushTargets = 2;
constexpr Millis kPushInterval{100};
// Maximum number of members that are told immediately that this member leaves
// or changes its state.
constexpr size_t kMaxBroadcast = 512;

}  // namespace

struct Membership::Impl {
  struct Sent {
    MemberId target;
    util::TimePoint at{};
    bool indirect = false;
  };
  struct Relay {
    MemberId requester;
    uint64_t sequence = 0;
    util::TimePoint at{};
  };

  Impl(const util::Clock& clock,
       util::Random& random,
       PeerPort& peers,
       MemberInfo self,
       Options options,
       Hooks hooks)
      : clock(clock),
        random(random),
        peers(peers),
        options(options),
        hooks(std::move(hooks)),
        targets(random),
        list(clock, random, std::move(self), [this](const MemberInfo& info) {
          if (!info.address.empty() && info.id != list.self().id) {
            this->peers.SetAddress(info.id, info.address);
          }
          push_wanted = push_wanted || info.state == MemberState::kSuspect ||
                        !IsPresent(info.state);
          if (this->hooks.member_changed) {
            this->hooks.member_changed(info);
          }
        }) {
    last_call = clock.Now();
  }

  // Shifts timers if this process was paused.
  void ShiftTimersAfterPause() {
    const util::TimePoint now = clock.Now();
    const util::Duration gap = now - last_call;
    last_call = now;
    if (gap <= options.ping_timeout) {
      return;
    }
    for (auto& [sequence, ping] : sent) {
      ping.at += gap;
    }
    list.ShiftSuspicions(gap);
    if (most_suspect_since) {
      *most_suspect_since += gap;
    }
  }

  template <typename T>
  T Make(uint64_t sequence, const MemberId& to) {
    T message;
    message.sequence = sequence;
    message.sender = list.self();
    message.updates =
        list.TakeUpdates(static_cast<size_t>(options.max_updates_per_ping));
    // The receiver needs to know which state to refute.
    const MemberList::Member* member = list.Find(to);
    const bool must_refute =
        member != nullptr && (member->info.state == MemberState::kSuspect ||
                              member->info.state == MemberState::kDead);
    if (must_refute) {
      message.updates.push_back(member->info);
    }
    if (hooks.extras) {
      PingPayload payload = hooks.extras();
      message.table_revision = payload.table_revision;
      message.demand = std::move(payload.demand);
    }
    return message;
  }

  void SendPing(const MemberId& target) {
    const uint64_t sequence = ++last_sequence;
    sent[sequence] = {target, clock.Now(), false};
    peers.Send(target, Make<Ping>(sequence, target));
  }

  void OnPing(const MemberId& from, const Ping& ping) {
    ShiftTimersAfterPause();
    const bool first_contact = list.Find(ping.sender.id) == nullptr;
    MergeUpdates(ping.sender, ping.updates);
    NotifyHooks(ping);
    PingReply reply = Make<PingReply>(ping.sequence, ping.sender.id);
    if (first_contact) {
      reply.updates = list.All();
    }
    peers.Send(from.empty() ? ping.sender.id : from, reply);
  }

  void OnPingReply(const MemberId& from, const PingReply& reply) {
    ShiftTimersAfterPause();
    auto relay = relays.find(reply.sequence);
    if (relay != relays.end()) {
      PingReply copy = reply;
      copy.sequence = relay->second.sequence;
      peers.Send(relay->second.requester, copy);
      relays.erase(relay);
    }
    sent.erase(reply.sequence);
    MergeUpdates(reply.sender, reply.updates);
    // A relayed reply does not show that the direct connection works.
    if (from.empty() || from == reply.sender.id) {
      NotifyHooks(reply);
    }
  }

  void OnPingRequest(const MemberId& from, const PingRequest& request) {
    ShiftTimersAfterPause();
    const uint64_t sequence = ++last_sequence;
    relays[sequence] = {from, request.sequence, clock.Now()};
    if (!request.target.address.empty()) {
      peers.SetAddress(request.target.id, request.target.address);
    }
    peers.Send(request.target.id, Make<Ping>(sequence, request.target.id));
  }

  template <typename T>
  void NotifyHooks(const T& message) {
    if (!hooks.payload_received) {
      return;
    }
    PingPayload payload;
    payload.table_revision = message.table_revision;
    payload.demand = message.demand;
    hooks.payload_received(message.sender.id, payload);
  }

  void MergeUpdates(const MemberInfo& sender,
                    const std::vector<MemberInfo>& updates) {
    const uint64_t incarnation = list.self().incarnation;
    const bool declared_dead =
        std::any_of(updates.begin(), updates.end(), [&](const MemberInfo& m) {
          return m.id == list.self().id && m.state == MemberState::kDead &&
                 m.incarnation >= incarnation;
        });
    list.Merge(sender);
    list.RecordContact(sender.id);
    for (const MemberInfo& update : updates) {
      list.Merge(update);
    }
    if (declared_dead && hooks.declared_dead) {
      hooks.declared_dead();
    }
    // This member refuted a suspicion: it tells the sender immediately and the
    // others by a push.
    if (list.self().incarnation != incarnation) {
      push_wanted = true;
      SendPing(sender.id);
    }
    // A joining member knows no other member until its first answer.
    if (!announced_join && !updates.empty()) {
      announced_join = true;
      Broadcast();
    }
  }

  void Tick() {
    ShiftTimersAfterPause();
    const util::TimePoint now = clock.Now();
    CheckTimeouts(now);
    CheckSuspects(now);
    if (now >= next_ping) {
      next_ping = now + options.ping_interval;
      PingRound(now);
    }
    PushUpdates(now);
    PingSeeds(now);
    PingDead(now);
    for (auto it = relays.begin(); it != relays.end();) {
      it = now - it->second.at >= kRelayTimeout ? relays.erase(it)
                                                : std::next(it);
    }
    if (now >= next_cleanup) {
      next_cleanup = now + kCleanupInterval;
      list.DropTombstones(options.tombstone_age);
    }
  }

  void CheckTimeouts(util::TimePoint now) {
    std::vector<MemberId> silent;
    std::vector<std::pair<uint64_t, MemberId>> indirect;
    for (auto it = sent.begin(); it != sent.end();) {
      Sent& ping = it->second;
      const MemberList::Member* member = list.Find(ping.target);
      const bool settled = member == nullptr || member->last_heard > ping.at;
      const util::Duration age = now - ping.at;
      if (settled || age >= 2 * options.ping_timeout) {
        if (!settled) {
          silent.push_back(ping.target);
        }
        it = sent.erase(it);
        continue;
      }
      if (!ping.indirect && age >= options.ping_timeout) {
        ping.indirect = true;
        indirect.emplace_back(it->first, ping.target);
      }
      ++it;
    }
    for (const auto& [sequence, target] : indirect) {
      SendIndirectPings(sequence, target);
    }
    for (const MemberId& id : silent) {
      list.Suspect(id);
    }
  }

  void SendIndirectPings(uint64_t sequence, const MemberId& target) {
    const MemberList::Member* member = list.Find(target);
    if (member == nullptr || !IsPresent(member->info.state)) {
      return;
    }
    std::vector<MemberId> helpers;
    for (const auto& [id, other] : list.others()) {
      if (id != target && other.info.state != MemberState::kSuspect &&
          IsPresent(other.info.state)) {
        helpers.push_back(id);
      }
    }
    for (int i = 0; i < options.indirect_pings && !helpers.empty(); ++i) {
      const size_t pick = random.UniformInt(helpers.size());
      peers.Send(helpers[pick], PingRequest{sequence, member->info});
      helpers.erase(helpers.begin() + static_cast<ptrdiff_t>(pick));
    }
  }

  void CheckSuspects(util::TimePoint now) {
    std::vector<MemberId> due;
    for (const MemberId& id : list.suspects()) {
      if (now - list.Find(id)->since >= options.suspicion_timeout) {
        due.push_back(id);
      }
    }
    const size_t others = list.present_count();
    const size_t suspects = list.suspects().size();
    const bool most_suspect =
        others >= kMinOthersForIsolation && suspects * 2 > others;
    if (!most_suspect) {
      most_suspect_since.reset();
    } else if (!most_suspect_since) {
      most_suspect_since = now;
    }
    if (Isolated()) {
      return;
    }
    for (const MemberId& id : due) {
      list.DeclareDead(id);
    }
  }

  bool Isolated() const {
    return most_suspect_since &&
           clock.Now() - *most_suspect_since < options.isolation_time;
  }

  void PingRound(util::TimePoint now) {
    const bool cross = now >= next_cross_region_ping;
    if (cross) {
      next_cross_region_ping = now + options.cross_region_interval;
    }
    std::vector<MemberId> near;
    std::vector<MemberId> far;
    for (const auto& [id, member] : list.others()) {
      if (!IsPresent(member.info.state)) {
        continue;
      }
      const bool same = member.info.region == list.self().region;
      (same ? near : far).push_back(id);
    }
    const size_t count = near.size() + far.size() + 1;
    if (count <= static_cast<size_t>(options.full_mesh_limit)) {
      PingAll(near);
      if (cross) {
        PingAll(far);
      }
      return;
    }
    PingSubset(near);
    if (cross) {
      PingOtherRegions(near, far);
    }
  }

  void PingAll(const std::vector<MemberId>& ids) {
    for (const MemberId& id : ids) {
      SendPing(id);
    }
  }

  void PingSubset(const std::vector<MemberId>& near) {
    if (!near.empty()) {
      PingAll(targets.Near(list, near));
    }
  }

  void PingOtherRegions(const std::vector<MemberId>& near,
                        const std::vector<MemberId>& far) {
    PingAll(targets.Bridges(list, near, far));
  }

  void PushUpdates(util::TimePoint now) {
    if (!push_wanted || now < next_push) {
      return;
    }
    push_wanted = false;
    next_push = now + kPushInterval;
    std::vector<MemberId> present;
    for (const auto& [id, member] : list.others()) {
      if (member.info.state != MemberState::kSuspect &&
          IsPresent(member.info.state)) {
        present.push_back(id);
      }
    }
    for (int i = 0; i < kPushTargets && !present.empty(); ++i) {
      const size_t pick = random.UniformInt(present.size());
      peers.Send(present[pick], Make<Ping>(++last_sequence, present[pick]));
      present.erase(present.begin() + static_cast<ptrdiff_t>(pick));
    }
  }

  void PingSeeds(util::TimePoint now) {
    if (now < next_seed_ping) {
      return;
    }
    next_seed_ping = now + kSeedInterval;
    for (const std::string& address : seeds) {
      const bool present = std::any_of(
          list.others().begin(), list.others().end(), [&](const auto& entry) {
            return entry.second.info.address == address &&
                   IsPresent(entry.second.info.state);
          });
      if (!present && address != list.self().address) {
        peers.SendToAddress(address, Make<Ping>(++last_sequence, MemberId()));
      }
    }
  }

  void PingDead(util::TimePoint now) {
    if (now < next_dead_ping || list.self().state == MemberState::kLeft) {
      return;
    }
    next_dead_ping = now + kDeadPingInterval;
    std::vector<MemberId> dead;
    for (const auto& [id, member] : list.others()) {
      if (member.info.state == MemberState::kDead) {
        dead.push_back(id);
      }
    }
    if (dead.empty()) {
      return;
    }
    const MemberId target = dead[random.UniformInt(dead.size())];
    // Sent to the address, not to the member id: a new process at the address
    // may know no running member.
    peers.SendToAddress(list.Find(target)->info.address,
                        Make<Ping>(++last_sequence, target));
  }

  void Broadcast() {
    size_t count = 0;
    for (const auto& [id, member] : list.others()) {
      if (IsPresent(member.info.state) && ++count <= kMaxBroadcast) {
        peers.Send(id, Make<Ping>(++last_sequence, id));
      }
    }
  }

  std::vector<MemberInfo> Members() const {
    std::vector<MemberInfo> members;
    for (const auto& [id, member] : list.others()) {
      if (IsPresent(member.info.state) &&
          member.info.state != MemberState::kStarting) {
        members.push_back(member.info);
      }
    }
    const auto after = std::find_if(
        members.begin(), members.end(),
        [this](const MemberInfo& m) { return list.self().id < m.id; });
    members.insert(after, list.self());
    return members;
  }

  const util::Clock& clock;
  util::Random& random;
  PeerPort& peers;
  const Options options;
  const Hooks hooks;
  PingTargets targets;
  MemberList list;
  std::set<std::string> seeds;
  std::map<uint64_t, Sent> sent;
  std::map<uint64_t, Relay> relays;
  uint64_t last_sequence = 0;
  util::TimePoint last_call{};
  util::TimePoint next_ping{};
  util::TimePoint next_cross_region_ping{};
  util::TimePoint next_seed_ping{};
  util::TimePoint next_dead_ping{};
  util::TimePoint next_push{};
  util::TimePoint next_cleanup{};
  bool push_wanted = false;
  bool announced_join = false;
  std::optional<util::TimePoint> most_suspect_since;
};

Membership::Membership(const util::Clock& clock,
                       util::Random& random,
                       PeerPort& peers,
                       MemberInfo self,
                       Options options,
                       Hooks hooks)
    : impl_(std::make_unique<Impl>(clock,
                                   random,
                                   peers,
                                   std::move(self),
                                   options,
                                   std::move(hooks))) {}

Membership::~Membership() = default;

void Membership::AddSeed(const std::string& address) {
  impl_->seeds.insert(address);
}

void Membership::SetSelfState(MemberState state) {
  impl_->list.SetSelfState(state);
  impl_->Broadcast();
}

void Membership::OnPing(const MemberId& from, const Ping& ping) {
  impl_->OnPing(from, ping);
}

void Membership::OnPingReply(const MemberId& from, const PingReply& reply) {
  impl_->OnPingReply(from, reply);
}

void Membership::OnPingRequest(const MemberId& from,
                               const PingRequest& request) {
  impl_->OnPingRequest(from, request);
}

void Membership::Tick() {
  impl_->Tick();
}

void Membership::Leave() {
  SetSelfState(MemberState::kLeft);
}

const MemberInfo& Membership::self() const {
  return impl_->list.self();
}

std::vector<MemberInfo> Membership::Members() const {
  return impl_->Members();
}

std::vector<MemberInfo> Membership::Owners() const {
  std::vector<MemberInfo> owners;
  for (const MemberInfo& member : impl_->Members()) {
    const MemberList::Member* other = impl_->list.Find(member.id);
    const MemberState announced =
        other == nullptr ? member.state : other->announced;
    if (announced == MemberState::kLive) {
      owners.push_back(member);
    }
  }
  return owners;
}

const MemberInfo* Membership::Find(const MemberId& id) const {
  if (id == impl_->list.self().id) {
    return &impl_->list.self();
  }
  const MemberList::Member* member = impl_->list.Find(id);
  return member == nullptr ? nullptr : &member->info;
}

bool Membership::isolated() const {
  return impl_->Isolated();
}

}  // namespace chivedale
