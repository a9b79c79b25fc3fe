// Conversion of the table from and to JSON, its validation and comparison.
#ifndef CHIVEDALE_TABLE_CODEC_H_
#define CHIVEDALE_TABLE_CODEC_H_

#include <string>
#include <vector>

#include "chivedale/work.h"

namespace chivedale {

// Throws Error(kBadTable) with every fault found: unknown column, wrong type,
// value out of bounds, row of an unknown team, two rows of one kind.
Table ParseTable(const std::string& json);
// Keys are sorted, so that equal tables have equal text.
std::string TableToJson(const Table& table);
// Returns all faults, one line each with row, column and bound; empty if the
// table is valid.
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

// Returns the rows and teams that differ from `base`, to send to a replica that
// has `base`. ApplyTableDelta is the inverse and throws Error(kBadTable).
std::string TableDeltaToJson(const Table& base, const Table& table);
Table ApplyTableDelta(const Table& base, const std::string& json);

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_CODEC_H_
