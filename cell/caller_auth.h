// Decides who makes a call and whether the call may be served, from the table
// and the API key that the call carries.
//
//   const Authentication auth = Authenticate(table, queue, key, options);
//   if (auth.result != AuthResult::kAllowed) ...  // refuse
//   node.Submit(queue, auth.caller, ...);
#ifndef CELL_CALLER_AUTH_H_
#define CELL_CALLER_AUTH_H_

#include <optional>
#include <string_view>

#include "cell/accounts.h"
#include "cell/types.h"

namespace chivedale::cell {

enum class AuthResult {
  kAllowed,
  kNoKey,
  kUnknownKey,
  kTableUnconfirmed,  // the key may have been revoked since
};

struct Authentication {
  AuthResult result = AuthResult::kNoKey;
  Caller caller;  // empty unless the call carries a known key
};

struct AuthOptions {
  // Calls need a key even if the table has no accounts, so that a table without
  // them admits nobody.
  bool keys_required = false;
  // The table is known to be recent enough to accept keys.
  bool table_confirmed = true;
};

// `key`: as sent by the caller; nullopt: none.
Authentication Authenticate(const QueueTable& table,
                            const QueuePolicy& queue,
                            std::optional<std::string_view> key,
                            const AuthOptions& options);

// Whether the caller may see and cancel a job of this owner. A key that
// submitted the job keeps this right when it moves to another account.
bool MayAccess(const Caller& caller, const Caller& owner);

}  // namespace chivedale::cell

#endif  // CELL_CALLER_AUTH_H_
