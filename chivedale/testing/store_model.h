// The semantics of the store without a transport: compare-and-swap on a per-key
// revision taken from one global counter. Used by FakeStore and StoreStandin.
#ifndef CHIVEDALE_TESTING_STORE_MODEL_H_
#define CHIVEDALE_TESTING_STORE_MODEL_H_

#include <map>
#include <string>

#include "chivedale/ports.h"

namespace chivedale::testing {

class StoreModel {
 public:
  // Commands.
  StoreResult Put(const std::string& key,
                  const std::string& value,
                  uint64_t expected);
  StoreResult Delete(const std::string& key, uint64_t expected);

  // Queries. The `revision` of List is the global one, to start a watch from.
  StoreResult Get(const std::string& key) const;
  StoreResult List(const std::string& prefix) const;
  // Returns whether a key under `prefix` was written or deleted after revision
  // `after`.
  bool ChangedSince(const std::string& prefix, uint64_t after) const;
  uint64_t revision() const { return revision_; }
  const std::map<std::string, StoreEntry>& entries() const { return entries_; }

 private:
  std::map<std::string, StoreEntry> entries_;
  // Revision of the last write or deletion of each key.
  std::map<std::string, uint64_t> changed_;
  uint64_t revision_ = 0;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_STORE_MODEL_H_
