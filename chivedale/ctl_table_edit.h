// Edits of rows, teams and single cells in the JSON form of the table. Unknown
// columns are preserved.
#ifndef CHIVEDALE_CTL_TABLE_EDIT_H_
#define CHIVEDALE_CTL_TABLE_EDIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chivedale {

// A new value for one cell of a row or, if `team`, of a team.
struct CellEdit {
  bool team = false;
  std::string name;
  std::string column;
  std::string value;  // JSON text
};

// Parses "ROW.COLUMN=VALUE" or "team:NAME.COLUMN=VALUE". A value that is not
// valid JSON is taken as a string. Throws UsageError.
CellEdit ParseCellEdit(const std::string& text);

// The edits that one command asks for.
struct CtlTableEdits {
  std::vector<std::string> add_rows;
  std::vector<std::string> remove_rows;
  std::vector<std::string> add_teams;
  std::vector<std::string> remove_teams;
  std::vector<CellEdit> cells;
};

// Returns the body of PUT /v1/table for `table_json` with the edits applied:
// additions, then removals, then cells. Throws UsageError for a row or team
// that is missing or already exists, and Error(kBadRequest) if the table is
// malformed.
std::string EditTableBody(const std::string& table_json,
                          const CtlTableEdits& edits,
                          const std::string& change_id,
                          const std::string& author);
// Returns the body that replaces the table by the one in a file, based on
// `base_revision`.
std::string ReplaceTableBody(const std::string& file_json,
                             uint64_t base_revision,
                             const std::string& change_id,
                             const std::string& author);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_TABLE_EDIT_H_
