// Client accounts of the table and the API keys that identify their callers.
//
//   AccountTable accounts(std::move(rows));
//   const Account* account = accounts.FindByKey(KeyDigest::Of(key));
//
// Keys are kept only as digests, so that no log, message or metric can contain
// one.
#ifndef CELL_ACCOUNTS_H_
#define CELL_ACCOUNTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chivedale/resources.h"

namespace chivedale::cell {

// SHA-256 of an API key.
struct KeyDigest {
  static KeyDigest Of(std::string_view key);
  // The digest's 32 bytes, as stored with a job.
  std::string Bytes() const;

  std::array<uint8_t, 32> bytes{};

  friend bool operator<(const KeyDigest& a, const KeyDigest& b) {
    return a.bytes < b.bytes;
  }
};

// What an account may use. Zero in a dimension of `limit`: unlimited.
struct AccountPolicy {
  Resources limit;    // of all its runs together
  double weight = 0;  // jobs per second that are its share; 0: no share set
};

struct Account {
  std::string name;
  std::vector<KeyDigest> keys;
  AccountPolicy policy;
};

// Who made a call: the account of its key, or nobody on a public route.
struct Caller {
  std::string account;     // empty: none
  AccountPolicy policy;    // of the account
  std::string key_digest;  // KeyDigest::Bytes() of the call's key
};

class AccountTable {
 public:
  AccountTable() = default;
  // A key or a name that occurs twice belongs to the first account.
  explicit AccountTable(std::vector<Account> accounts);

  bool empty() const { return accounts_.empty(); }
  const std::vector<Account>& accounts() const { return accounts_; }
  // Null if no account has the key.
  const Account* FindByKey(const KeyDigest& key) const;
  // Null if there is no such account.
  const Account* Find(std::string_view name) const;

 private:
  std::vector<Account> accounts_;
  std::map<KeyDigest, size_t> by_key_;
  std::map<std::string, size_t, std::less<>> by_name_;
};

}  // namespace chivedale::cell

#endif  // CELL_ACCOUNTS_H_
