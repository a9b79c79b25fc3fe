// Counts the memory allocations of each thread, as a measure of cost that does
// not depend on the machine. Replaces the global operator new, so that it may
// be included in only one source of a program.
//
//   const int64_t allocations = CountAllocations([&] { ... });
#ifndef CELL_TESTING_ALLOCATION_COUNT_H_
#define CELL_TESTING_ALLOCATION_COUNT_H_

#include <cstdint>
#include <cstdlib>
#include <new>

namespace chivedale::cell::testing {

// Of the calling thread.
inline thread_local int64_t allocation_count = 0;

template <typename F>
int64_t CountAllocations(const F& run) {
  const int64_t before = allocation_count;
  run();
  return allocation_count - before;
}

}  // namespace chivedale::cell::testing

[[gnu::noinline]] void* operator new(size_t size) {
  ++chivedale::cell::testing::allocation_count;
  void* memory = std::malloc(size);
  if (memory == nullptr) {
    throw std::bad_alloc();
  }
  return memory;
}

[[gnu::noinline]] void operator delete(void* memory) noexcept {
  std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory, size_t) noexcept {
  std::free(memory);
}

#endif  // CELL_TESTING_ALLOCATION_COUNT_H_
