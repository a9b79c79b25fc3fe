// Time limit of a read that is repeated from its start until it succeeds. A
// repeated read has more time, since a path that is slower than a fixed limit
// would never let it end.
//
//   ReadLimit limit;
//   store.Read(key, limit.Of(kTimeout), [&](const StoreRead& read) {
//     limit.OnRead(read.status == StoreStatus::kOk);
//   });
#ifndef UTIL_READ_LIMIT_H_
#define UTIL_READ_LIMIT_H_

#include <chrono>

namespace chivedale::util {

class ReadLimit {
 public:
  // Returns the limit of the next read: `first`, or twice that if the last read
  // failed. A call to a lost connection delays the next one by its limit, so
  // the factor is bounded.
  std::chrono::milliseconds Of(std::chrono::milliseconds first) const {
    return failed_ ? 2 * first : first;
  }
  void OnRead(bool succeeded) { failed_ = !succeeded; }

 private:
  bool failed_ = false;
};

}  // namespace chivedale::util

#endif  // UTIL_READ_LIMIT_H_
