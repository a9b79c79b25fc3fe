// Value types of the work table: one row per kind of work, one quota per team.
// table_codec.h parses, validates and serializes them.
#ifndef CHIVEDALE_WORK_H_
#define CHIVEDALE_WORK_H_

#include <cstdint>
#include <map>
#include <string>

#include "chivedale/resources.h"
#include "util/clock.h"

namespace chivedale {

using Millis = std::chrono::milliseconds;

enum class WorkShape { kRequest, kTask, kGang, kService };
// Served in this order; part of the capacity is reserved for the later classes.
enum class Urgency { kUrgent, kNormal, kBatch };
// Where work of a row may run relative to the entry that accepted it.
enum class RegionRule { kHome, kPreferHome, kAny };

// Zero means no limit.
struct RowLimits {
  int64_t max_running = 0;
  int64_t max_queued = 10'000;
  double max_rate_per_s = 0;
};

// The service-level objective: `share` of the work waits at most `wait`.
struct Objective {
  Millis wait{2000};
  double share = 0.99;
};

struct WorkRow {
  std::string kind;
  WorkShape shape = WorkShape::kRequest;
  Urgency urgency = Urgency::kNormal;
  // Relative share of the capacity among rows of the same urgency.
  double weight = 1;
  // Fraction of the cell that the row is guaranteed while it has work, 0 to 1.
  double guaranteed_share = 0;
  RowLimits limits;
  Resources size{1000, 512, 0, 1};
  Millis expected_run{1000};
  Millis longest_run{60'000};
  int max_retries = 2;
  // If false, work runs at most once and is recorded in the store before it
  // starts.
  bool repeatable = true;
  // If true, work may be stopped after a checkpoint and resumed elsewhere.
  bool checkpoint = false;
  RegionRule region = RegionRule::kPreferHome;
  std::string team;
  Objective objective;
};

struct Team {
  std::string name;
  // A zero component is unlimited.
  Resources quota;
};

struct Table {
  // Incremented by each accepted change; 0 means that there is no table yet.
  uint64_t revision = 0;
  // Chosen by the editor, which uses it to recognize its own write after the
  // response was lost.
  std::string change_id;
  std::string author;
  util::WallTime changed_at{};
  std::map<std::string, WorkRow> rows;
  std::map<std::string, Team> teams;

  // Returns null if the kind has no row.
  const WorkRow* FindRow(const std::string& kind) const {
    auto it = rows.find(kind);
    return it == rows.end() ? nullptr : &it->second;
  }
};

}  // namespace chivedale

#endif  // CHIVEDALE_WORK_H_
