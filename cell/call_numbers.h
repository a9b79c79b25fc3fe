// Numbers of the calls that a process sends to other members. An answer carries
// the number of its call and is sent to an address, where a later process may
// run by then, so that the numbers of two processes must not coincide.
//
//   CallNumbers numbers(random);
//   call.call = numbers.Next();
#ifndef CELL_CALL_NUMBERS_H_
#define CELL_CALL_NUMBERS_H_

#include <cstdint>

#include "util/random.h"

namespace chivedale::cell {

class CallNumbers {
 public:
  explicit CallNumbers(util::Random& random)
      : last_(random.UniformInt(kFirstNumbers)) {}

  uint64_t Next() { return ++last_; }

 private:
  // A process has fewer than 2^20 calls for which an answer may still arrive.
  // The ranges of two processes overlap with a probability of 2^-27 then.
  // Numbers stay far below 2^53, which all readers keep.
  static constexpr uint64_t kFirstNumbers = uint64_t{1} << 48;

  uint64_t last_;
};

}  // namespace chivedale::cell

#endif  // CELL_CALL_NUMBERS_H_
