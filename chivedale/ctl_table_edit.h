// Changes of single cells on the JSON form of the table. Columns that this
// program does not know are kept.
#ifndef CHIVEDALE_CTL_TABLE_EDIT_H_
#define CHIVEDALE_CTL_TABLE_EDIT_H_

#include <cstdint>
#include <string>
#include <vector>

namespace chivedale {

// A row or a team.
struct CellEdit {
  bool team = false;
  std::string name;
  std::string column;
  std::string value;  // JSON text
};

// "ROW.COLUMN=VALUE" or "team:NAME.COLUMN=VALUE". A value that is no JSON is
// taken as a string. Throws UsageError.
CellEdit ParseCellEdit(const std::string& text);

struct TableChanges {
  std::vector<std::string> add_rows;
  std::vector<std::string> remove_rows;
  std::vector<std::string> add_teams;
  std::vector<std::string> remove_teams;
  std::vector<CellEdit> cells;
};

// The body of PUT /v1/table for `table_json` with the changes: additions, then
// removals, then cells. Throws UsageError for a row that is missing or there
// already, and Error(kBadRequest) when the table is not as expected.
std::string EditTableBody(const std::string& table_json,
                          const TableChanges& changes,
                          const std::string& change_id,
                          const std::string& author);
// The body for a whole table from a file, made on `base_revision`.
std::string ReplaceTableBody(const std::string& file_json,
                             uint64_t base_revision,
                             const std::string& change_id,
                             const std::string& author);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_TABLE_EDIT_H_
