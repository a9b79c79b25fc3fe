// The cell's keys in the store: the leader and the members.
#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "cell/decode.h"
#include "cell/node.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Above the strength of any member, so that ratios of strengths are finite.
constexpr double kMaxStrength = 1e6;
constexpr Millis kCellTimeout{1'000};
// A member missing from a new list is kept if it was heard from within this
// time.
constexpr Millis kRecentlyHeard{1'000};
constexpr Millis kCellRetry{100};
constexpr Millis kCellWatchTimeout{1'500};
// Interval at which the leader lists the members.
constexpr Millis kMembersInterval{2'000};

std::string MemberValue(const NodeOptions& options) {
  std::string bytes;
  json::to_msgpack(
      json::array({options.boot_id, options.address, options.strength}), bytes);
  return bytes;
}

}  // namespace

void CellNode::ListCell() {
  store_.List(kLeaderKey, kCellTimeout, Guard([this](const StoreRead& read) {
                if (read.status != StoreStatus::kOk) {
                  context_.run_after(kCellRetry, Guard([this] { ListCell(); }));
                  return;
                }
                bool leader_seen = false;
                for (const StoreItem& item : read.items) {
                  leader_seen = leader_seen || item.key == kLeaderKey;
                  ApplyCellItem(item);
                }
                if (!leader_seen) {
                  election_->OnRecord(std::nullopt, 0);
                }
                cell_listed_ = true;
                cell_revision_ = std::max(cell_revision_, read.revision);
                WatchCell();
                if (!registered_) {
                  RegisterMember();
                }
              }));
}

void CellNode::WatchCell() {
  store_.Watch(kLeaderKey, cell_revision_, kCellWatchTimeout, kWatchMargin,
               Guard([this](const StoreRead& read) {
                 if (read.status == StoreStatus::kOk) {
                   for (const StoreItem& item : read.items) {
                     ApplyCellItem(item);
                   }
                   cell_revision_ = std::max(cell_revision_, read.revision);
                   WatchCell();
                 } else if (read.status == StoreStatus::kCompacted) {
                   ListCell();
                 } else {
                   context_.run_after(kCellRetry,
                                      Guard([this] { WatchCell(); }));
                 }
               }));
}

void CellNode::ApplyCellItem(const StoreItem& item) {
  if (item.key == kLeaderKey) {
    std::optional<LeaderRecord> record;
    if (!item.deleted) {
      record = DecodeLeaderRecord(item.value);
      if (!record) {
        context_.log.Write(Event::kCellBadRecord,
                           {{"key", item.key}, {"reason", "not a leader"}});
      }
    }
    election_->OnRecord(record, item.revision);
    return;
  }
  constexpr size_t kPrefix = sizeof kMemberPrefix - 1;
  if (item.key.compare(0, kPrefix, kMemberPrefix) != 0) {
    return;
  }
  const std::string node = item.key.substr(kPrefix);
  if (node == options_.node) {
    return;
  }
  if (item.deleted) {
    members_.erase(node);
    rejected_members_.erase(node);
    return;
  }
  const json value = ParseMsgpack(item.value);
  const bool is_row = value.is_array() && value.size() >= 3;
  const auto boot_id = is_row ? TextIn(value[0], kMaxNameBytes) : std::nullopt;
  const auto address = is_row ? TextIn(value[1], kMaxNameBytes) : std::nullopt;
  if (!boot_id || !address || !value[2].is_number()) {
    int64_t& logged = rejected_members_[node];
    if (std::exchange(logged, item.revision) != item.revision) {
      context_.log.Write(Event::kCellBadRecord,
                         {{"key", item.key}, {"reason", "not a member"}});
    }
    return;
  }
  rejected_members_.erase(node);
  Member& member = members_[node];
  member.boot_id = *boot_id;
  member.address = *address;
  member.strength = ClampedNumber(value[2], 0, kMaxStrength);
}

// Only the leader lists the members periodically. If every member did, a start
// of the whole cell would need a number of calls quadratic in its size.
void CellNode::ListMembers() {
  next_members_ = context_.clock.Now() + kMembersInterval;
  store_.List(kMemberPrefix, members_limit_.Of(kCellTimeout),
              Guard([this](const StoreRead& read) {
                members_limit_.OnRead(read.status == StoreStatus::kOk);
                if (read.status != StoreStatus::kOk) {
                  return;  // listed again after kMembersInterval
                }
                members_listed_ = true;
                std::map<std::string, Member> before;
                before.swap(members_);
                strongest_ = options_.strength;
                for (const StoreItem& item : read.items) {
                  ApplyCellItem(item);
                }
                const TimePoint now = context_.clock.Now();
                for (const auto& [node, known] : before) {
                  const auto listed = members_.find(node);
                  if (listed != members_.end()) {
                    listed->second.last_heard = known.last_heard;
                    listed->second.store_ok = known.store_ok;
                  } else if (now - known.last_heard < kRecentlyHeard) {
                    members_[node] = known;
                  }
                }
                for (const auto& [node, member] : members_) {
                  strongest_ = std::max(strongest_, member.strength);
                }
              }));
}

void CellNode::RegisterMember() {
  if (register_in_flight_ || stopping_) {
    return;
  }
  register_in_flight_ = true;
  StoreWrite write;
  write.puts.emplace_back(kMemberPrefix + options_.node, MemberValue(options_));
  store_.Write(write, kCellTimeout, Guard([this](const StoreWriteReply& reply) {
                 register_in_flight_ = false;
                 registered_ = reply.status == StoreStatus::kOk;
                 member_revision_ = reply.revision;
                 if (!registered_) {
                   context_.run_after(kCellRetry,
                                      Guard([this] { RegisterMember(); }));
                 }
               }));
}

}  // namespace chivedale::cell
