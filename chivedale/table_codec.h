// JSON form of the table, its checks and differences.
#ifndef CHIVEDALE_TABLE_CODEC_H_
#define CHIVEDALE_TABLE_CODEC_H_

#include <string>
#include <vector>

#include "chivedale/work.h"

namespace chivedale {

// Throws Error(kBadTable) with every fault found: unknown column, wrong type,
// value out of bounds, row of an unknown team, two rows of one kind.
Table ParseTable(const std::string& json);
// Sorted keys, so that equal tables have equal text.
std::string TableToJson(const Table& table);
// All faults, one line each with row, column and bound; empty when valid.
std::vector<std::string> ValidateTable(const Table& table);

struct TableChange {
  enum class Kind { kAdded, kRemoved, kChanged };
  Kind kind = Kind::kChanged;
  std::string row;  // or "team NAME"
  std::string column;
  std::string before;
  std::string after;
};
std::vector<TableChange> DiffTables(const Table& before, const Table& after);

// Names used in JSON and by the command-line tool.
std::string ShapeName(WorkShape shape);
std::string UrgencyName(Urgency urgency);
std::string RegionRuleName(RegionRule rule);

// Rows and teams that differ from `base`, for sending to a replica that has
// `base`; ApplyTableDelta is its inverse and throws Error(kBadTable).
std::string TableDeltaToJson(const Table& base, const Table& table);
Table ApplyTableDelta(const Table& base, const std::string& json);

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_CODEC_H_
