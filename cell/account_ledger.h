// What the runs of each client account use, and how many more it may start. The
// leader, which orders all starts, keeps it up to date from its orders and from
// what executors list.
//
//   AccountLedger ledger(overshoot, log);
//   ledger.SetTable(table.accounts);
//   job.set_account(ledger.AccountOf(record.owner));
//   account->use += step.size;  // a run begins; see Executor
//   if (ledger.MaxStarts(*account, size, wanted) > 0) ...
//
// Invariant: an order to start brings an account's use above its limit only if
// the account runs nothing else.
#ifndef CELL_ACCOUNT_LEDGER_H_
#define CELL_ACCOUNT_LEDGER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "cell/accounts.h"
#include "cell/types.h"
#include "chivedale/event_log.h"

namespace chivedale::cell {

struct AccountUse {
  std::string name;
  AccountPolicy policy;
  Resources use;  // of its known runs, from the order until the end is listed
  // What else may run on executors that have not listed their runs to this
  // leader.
  Resources possible_use;
  // Time until which its accepted jobs use up its share.
  TimePoint share_used_until{};
  int64_t jobs_within_share = 0;
  int64_t jobs_over_share = 0;
  TimePoint limited_at{};  // when a step last waited for the limit
  bool limit_reported = false;
};

class AccountLedger {
 public:
  // `overshoot`: fraction by which the use may exceed the limit if all that may
  // run on unread executors does.
  AccountLedger(double overshoot, EventLog& log);

  // Commands.
  // Accounts that are not in the table keep their last policy.
  void SetTable(const AccountTable& table);
  // Null if the job has no account. Valid as long as the ledger.
  AccountUse* AccountOf(const Caller& owner);
  // Counts a job that was accepted at this time, and returns whether the
  // account has submitted more than its share. Call in order of acceptance.
  static bool CountJob(AccountUse& account, TimePoint accepted);
  void ClearPossibleUse();
  // Logs accounts that reach their limit with work waiting, and those that no
  // longer do.
  void Report(TimePoint now);

  // Queries.
  // Number of tasks of this size that the account may start, at most `wanted`.
  int MaxStarts(const AccountUse& account,
                const Resources& size,
                int wanted) const;
  // Likewise for a gang, which starts whole: its size or 0.
  int MaxGangStarts(const AccountUse& account,
                    const Resources& size,
                    int members) const;
  const std::map<std::string, std::unique_ptr<AccountUse>>& accounts() const {
    return accounts_;
  }

 private:
  const double overshoot_;
  EventLog& log_;
  std::map<std::string, std::unique_ptr<AccountUse>> accounts_;
};

}  // namespace chivedale::cell

#endif  // CELL_ACCOUNT_LEDGER_H_
