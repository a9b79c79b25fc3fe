// A deletion takes a revision as well: a key that is created again gets a
// higher revision than before, so a stale compare-and-swap cannot succeed.
#include "chivedale/testing/store_model.h"

namespace chivedale::testing {
namespace {

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

StoreResult StoreModel::Put(const std::string& key,
                            const std::string& value,
                            uint64_t expected) {
  const auto it = entries_.find(key);
  const uint64_t current = it == entries_.end() ? 0 : it->second.revision;
  if (current != expected) {
    return {StoreStatus::kConflict, {}, current};
  }
  entries_[key] = {key, value, ++revision_};
  changed_[key] = revision_;
  return {StoreStatus::kOk, {}, revision_};
}

StoreResult StoreModel::Delete(const std::string& key, uint64_t expected) {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return {StoreStatus::kNotFound, {}, 0};
  }
  if (it->second.revision != expected) {
    return {StoreStatus::kConflict, {}, it->second.revision};
  }
  entries_.erase(it);
  changed_[key] = ++revision_;
  return {StoreStatus::kOk, {}, revision_};
}

StoreResult StoreModel::Get(const std::string& key) const {
  const auto it = entries_.find(key);
  if (it == entries_.end()) {
    return {StoreStatus::kNotFound, {}, 0};
  }
  return {StoreStatus::kOk, {it->second}, it->second.revision};
}

StoreResult StoreModel::List(const std::string& prefix) const {
  StoreResult result{StoreStatus::kOk, {}, revision_};
  for (auto it = entries_.lower_bound(prefix);
       it != entries_.end() && StartsWith(it->first, prefix); ++it) {
    result.entries.push_back(it->second);
  }
  return result;
}

bool StoreModel::ChangedSince(const std::string& prefix, uint64_t after) const {
  for (auto it = changed_.lower_bound(prefix);
       it != changed_.end() && StartsWith(it->first, prefix); ++it) {
    if (it->second > after) {
      return true;
    }
  }
  return false;
}

}  // namespace chivedale::testing
