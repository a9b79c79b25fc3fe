#include "cell/accounts.h"

#include <openssl/sha.h>

#include <utility>

namespace chivedale::cell {

KeyDigest KeyDigest::Of(std::string_view key) {
  KeyDigest digest;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         digest.bytes.data());
  return digest;
}

std::string KeyDigest::Bytes() const {
  return std::string(bytes.begin(), bytes.end());
}

AccountTable::AccountTable(std::vector<Account> accounts)
    : accounts_(std::move(accounts)) {
  for (size_t i = 0; i < accounts_.size(); ++i) {
    by_name_.emplace(accounts_[i].name, i);
    for (const KeyDigest& key : accounts_[i].keys) {
      by_key_.emplace(key, i);
    }
  }
}

const Account* AccountTable::FindByKey(const KeyDigest& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : &accounts_[found->second];
}

const Account* AccountTable::Find(std::string_view name) const {
  const auto found = by_name_.find(name);
  return found == by_name_.end() ? nullptr : &accounts_[found->second];
}

}  // namespace chivedale::cell
