// This process's replica of the table. Its revision never decreases.
#ifndef CHIVEDALE_TABLE_REPLICA_H_
#define CHIVEDALE_TABLE_REPLICA_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/messages.h"
#include "chivedale/ports.h"
#include "chivedale/work.h"
#include "util/clock.h"

namespace chivedale {

class TableReplica {
 public:
  using Applied = std::function<void(const Table&)>;
  using SendTo = std::function<void(const MemberId&, const Message&)>;

  // `applied` runs after each new revision takes effect.
  TableReplica(const util::Clock& clock,
               StorePort& store,
               MemberInfo self,
               SendTo send,
               Applied applied);
  ~TableReplica();

  // Commands.
  // Sets the live members of the cell. They determine whether this process is
  // one of the two watchers of its data centre.
  void SetMembers(const std::vector<MemberInfo>& live);
  // Handles the revision in a member's ping. Pulls the table if the member has
  // a newer one.
  void OnRevision(const MemberId& member, uint64_t revision);
  void OnPull(const MemberId& from, const TablePull& pull);
  void OnData(const TableData& data);
  // Applies a table that this process has just written or read. It is ignored
  // if it is not newer or is invalid; an invalid one is reported by
  // `rejected_revision()` and `rejected_reason()`.
  bool ApplyIfNewer(const Table& table);
  void Tick();

  // Queries.
  const Table& table() const;
  bool ready() const;  // whether a table is loaded
  bool is_watcher() const;
  // Revision of the last invalid table, or 0 if there was none, and why it is
  // invalid.
  uint64_t rejected_revision() const;
  const std::string& rejected_reason() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_REPLICA_H_
