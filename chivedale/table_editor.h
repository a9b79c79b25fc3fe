// Commands on the table in the store. An edit names the revision it was made
// on; of two edits on one revision one wins and the other gets a conflict. A
// write whose answer was lost is settled by its change id.
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
  // Revision of the table that the edit was made on; 0 creates the first.
  uint64_t base_revision = 0;
  // Chosen by the editor, unique; a second send of the same change is done
  // once.
  std::string change_id;
  std::string author;
  Table table;  // rows and teams
};

struct EditResult {
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  std::string detail;
  // With ok the new table; with kTableConflict the present one.
  std::optional<Table> table;
};

class TableEditor {
 public:
  TableEditor(const util::Clock& clock, StorePort& store);
  ~TableEditor();

  // Command. `done` is called once: ok, kBadTable, kTableConflict, kStoreDown
  // (then the edit may still be done: send it again with the same change id).
  void Apply(const TableEdit& edit, std::function<void(EditResult)> done);

  // Query. Newest first, at most `limit`.
  void History(int limit,
               std::function<void(StoreStatus, std::vector<Table>)> done);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_EDITOR_H_
