#include "cell/caller_auth.h"

namespace chivedale::cell {

Authentication Authenticate(const QueueTable& table,
                            const QueuePolicy& queue,
                            std::optional<std::string_view> key,
                            const AuthOptions& options) {
  if (table.accounts.empty() && !options.keys_required) {
    return {AuthResult::kAllowed, {}};
  }
  if (!key) {
    return {queue.is_public ? AuthResult::kAllowed : AuthResult::kNoKey, {}};
  }
  // An unconfirmed table may also lack a key that is valid by now, so that 401
  // would be wrong as well.
  if (!options.table_confirmed) {
    return {AuthResult::kTableUnconfirmed, {}};
  }
  const KeyDigest digest = KeyDigest::Of(*key);
  const Account* account = table.accounts.FindByKey(digest);
  if (account == nullptr) {
    return {AuthResult::kUnknownKey, {}};
  }
  return {AuthResult::kAllowed,
          {account->name, account->policy, digest.Bytes()}};
}

bool MayAccess(const Caller& caller, const Caller& owner) {
  return owner.account.empty() || owner.account == caller.account ||
         (!owner.key_digest.empty() && owner.key_digest == caller.key_digest);
}

}  // namespace chivedale::cell
