// Edits the table in the store. An edit names the revision it is based on; of
// two edits based on the same revision, one succeeds and the other gets a
// conflict. After a write whose answer was lost, the change id tells whether
// it took effect.
#ifndef CHIVEDALE_TABLE_EDITOR_H_
#define CHIVEDALE_TABLE_EDITOR_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/ports.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

struct TableEdit {
  // Revision of the table that the edit is based on; 0 creates the first table.
  uint64_t base_revision = 0;
  // Unique id chosen by the editor. A change that is sent twice is applied
  // once.
  std::string change_id;
  std::string author;
  Table table;  // rows and teams
};

struct EditResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  std::string detail;
  // If `ok`, the new table; with kTableConflict, the current one.
  std::optional<Table> table;
};

class TableEditor {
 public:
  TableEditor(const util::Clock& clock, StorePort& store);
  ~TableEditor();

  // Command. `done` is called once, with ok, kBadTable, kTableConflict or
  // kStoreDown. After kStoreDown the edit may still take effect: send it again
  // with the same change id.
  void Apply(const TableEdit& edit, std::function<void(EditResult)> done);

  // Query. Returns at most `limit` tables, newest first.
  void History(int limit,
               std::function<void(StoreStatus, std::vector<Table>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_EDITOR_H_
