// The table in force in this process. Moves forward only.
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

  // `applied` runs after each change that is put in force.
  TableReplica(const util::Clock& clock,
               StorePort& store,
               MemberInfo self,
               SendTo send,
               Applied applied);
  ~TableReplica();

  // Commands.
  // Decides whether this process is one of its data centre's two watchers.
  void SetMembers(const std::vector<MemberInfo>& live);
  // A heartbeat told a member's revision: pulls when it is ahead.
  void OnRevision(const MemberId& member, uint64_t revision);
  void OnPull(const MemberId& from, const TablePull& pull);
  void OnData(const TableData& data);
  // A table that this process has just written or read. Ignored when not
  // newer or invalid; the caller sees the latter in `rejected()`.
  bool Offer(const Table& table);
  void Tick();

  // Queries.
  const Table& table() const;
  bool ready() const;  // has a table
  bool is_watcher() const;
  // Last invalid table seen: its revision and why; revision 0 is none.
  uint64_t rejected_revision() const;
  const std::string& rejected_reason() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_REPLICA_H_
