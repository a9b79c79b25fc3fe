// Amounts of a worker's resources: capacities, task sizes and sums.
//
//   if (row.size.FitsIn(capacity - committed)) ...
#ifndef CHIVEDALE_RESOURCES_H_
#define CHIVEDALE_RESOURCES_H_

#include <cstdint>
#include <ostream>

namespace chivedale {

struct Resources {
  int64_t cpu_milli = 0;
  int64_t memory_mb = 0;
  int64_t accelerators = 0;
  int64_t slots = 0;

  // True if no component exceeds that of `available`.
  bool FitsIn(const Resources& available) const {
    return cpu_milli <= available.cpu_milli &&
           memory_mb <= available.memory_mb &&
           accelerators <= available.accelerators && slots <= available.slots;
  }
  bool IsZero() const { return *this == Resources(); }
  // True if no component is negative.
  bool IsValid() const { return Resources().FitsIn(*this); }

  Resources& operator+=(const Resources& other) {
    cpu_milli += other.cpu_milli;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    slots += other.slots;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpu_milli -= other.cpu_milli;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    slots -= other.slots;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend bool operator==(const Resources& a, const Resources& b) {
    return a.cpu_milli == b.cpu_milli && a.memory_mb == b.memory_mb &&
           a.accelerators == b.accelerators && a.slots == b.slots;
  }
  friend bool operator!=(const Resources& a, const Resources& b) {
    return !(a == b);
  }
  friend std::ostream& operator<<(std::ostream& out, const Resources& r) {
    return out << r.cpu_milli << "m/" << r.memory_mb << "MB/" << r.accelerators
               << "acc/" << r.slots << "slots";
  }
};

}  // namespace chivedale

#endif  // CHIVEDALE_RESOURCES_H_
