#include "cell/tombstone.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "cell/caller_auth.h"
#include "cell/decode.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Accounts that cancel the same ID; more than one is a mistake or an attempt to
// keep a job of another account from running.
constexpr size_t kMaxCallers = 16;
// An account needs them only for jobs whose submission was not answered. The
// number bounds what a new leader lists.
constexpr size_t kMaxPerAccount = 1'000;
// A submission that was sent before the tombstone was written has taken effect
// by then or never: writes take effect up to 6 s after their time limit, and a
// member repeats them for 1.5 s.
constexpr Millis kMinRetention{15'000};
constexpr size_t kMaxWrittenPerMinute = 120;
constexpr std::chrono::minutes kLimitWindow{1};
// First byte of a tombstone in MessagePack. Records of jobs have seven elements
// or more.
constexpr char kArrayOfTwo = '\x92';

bool IsSameCaller(const Caller& a, const Caller& b) {
  return a.account == b.account && a.key_digest == b.key_digest;
}

}  // namespace

bool Tombstone::AddCaller(const Caller& caller) {
  const bool known = std::any_of(
      callers.begin(), callers.end(),
      [&](const Caller& other) { return IsSameCaller(caller, other); });
  if (known) {
    return true;
  }
  if (callers.size() >= kMaxCallers) {
    return false;
  }
  callers.push_back({caller.account, {}, caller.key_digest});
  return true;
}

bool Tombstone::Covers(const Caller& owner) const {
  return std::any_of(callers.begin(), callers.end(), [&](const Caller& caller) {
    return MayAccess(caller, owner);
  });
}

std::string EncodeTombstone(const Tombstone& tombstone) {
  json callers = json::array();
  for (const Caller& caller : tombstone.callers) {
    const std::vector<uint8_t> digest(caller.key_digest.begin(),
                                      caller.key_digest.end());
    callers.push_back(json::array({caller.account, json::binary(digest)}));
  }
  const auto written =
      std::chrono::duration_cast<Millis>(tombstone.written.time_since_epoch());
  std::string bytes;
  json::to_msgpack(json::array({written.count(), std::move(callers)}), bytes);
  return bytes;
}

bool IsTombstone(const std::string& bytes) {
  return !bytes.empty() && bytes[0] == kArrayOfTwo;
}

std::optional<Tombstone> DecodeTombstone(const std::string& bytes) {
  if (!IsTombstone(bytes)) {
    return std::nullopt;
  }
  const json value = ParseMsgpack(bytes);
  if (!value.is_array() || !value[1].is_array()) {
    return std::nullopt;
  }
  const auto written = IntegerIn(value[0], 0, kMaxClock.count());
  if (!written) {
    return std::nullopt;
  }
  Tombstone tombstone;
  tombstone.written = WallTime(Millis(*written));
  for (const json& row : value[1]) {
    const bool is_row = row.is_array() && row.size() >= 2 && row[1].is_binary();
    const auto account = is_row ? TextIn(row[0], kMaxTextBytes) : std::nullopt;
    if (!account || tombstone.callers.size() >= kMaxCallers) {
      return std::nullopt;
    }
    const auto& digest = row[1].get_binary();
    tombstone.callers.push_back(
        {*account, {}, std::string(digest.begin(), digest.end())});
  }
  return tombstone;
}

void TombstoneSet::Add(const JobId& id,
                       const std::string& bytes,
                       int64_t revision,
                       TimePoint now) {
  Entry& entry = tombstones_[id];
  if (entry.revision < revision) {
    entry = {DecodeTombstone(bytes).value_or(Tombstone()), revision, now};
  }
}

void TombstoneSet::Remove(const JobId& id, int64_t revision) {
  const auto found = tombstones_.find(id);
  if (found != tombstones_.end() && found->second.revision <= revision) {
    tombstones_.erase(found);
  }
}

// The age by the wall clocks of the members counts, so that it goes on when the
// leader changes; not before kMinRetention, as these clocks may jump.
std::vector<TombstoneSet::Removal> TombstoneSet::Expired(TimePoint now,
                                                         WallTime wall,
                                                         size_t most) const {
  std::map<std::string, std::vector<const std::pair<const JobId, Entry>*>>
      by_account;
  std::vector<Removal> expired;
  for (const auto& row : tombstones_) {
    const Entry& entry = row.second;
    if (now - entry.added <= kMinRetention) {
      continue;
    }
    if (now - entry.added > retention_ ||
        wall - entry.tombstone.written > retention_) {
      expired.push_back({row.first, entry.revision});
    } else {
      const std::vector<Caller>& callers = entry.tombstone.callers;
      by_account[callers.empty() ? "" : callers.front().account].push_back(
          &row);
    }
  }
  for (auto& [account, rows] : by_account) {
    if (rows.size() <= kMaxPerAccount) {
      continue;
    }
    std::sort(rows.begin(), rows.end(), [](const auto* a, const auto* b) {
      return a->second.revision < b->second.revision;
    });
    for (size_t i = 0; i < rows.size() - kMaxPerAccount; ++i) {
      expired.push_back({rows[i]->first, rows[i]->second.revision});
    }
  }
  if (expired.size() > most) {
    expired.resize(most);
  }
  return expired;
}

bool TombstoneLimit::Admit(const std::string& account) {
  const TimePoint now = clock_.Now();
  for (auto it = written_.begin(); it != written_.end();) {
    std::deque<TimePoint>& times = it->second;
    while (!times.empty() && now - times.front() > kLimitWindow) {
      times.pop_front();
    }
    it = times.empty() ? written_.erase(it) : std::next(it);
  }
  std::deque<TimePoint>& times = written_[account];
  if (times.size() >= kMaxWrittenPerMinute) {
    return false;
  }
  times.push_back(now);
  return true;
}

}  // namespace chivedale::cell
