// Workers in buckets by free CPU and memory, with one table of buckets per
// number of free accelerators. Finds workers with capacity for a size without
// visiting the others.
//
//   index.Put("w-1", {"rack-2", "dc-1", capacity, free});
//   index.Visit(size, RoomIndex::Order::kTightFirst, visitor);
#ifndef CHIVEDALE_ROOM_INDEX_H_
#define CHIVEDALE_ROOM_INDEX_H_

#include <algorithm>
#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/resources.h"

namespace chivedale {

struct PlacementWorker {
  std::string rack;
  std::string data_centre;
  Resources capacity;
  Resources free;
};

class RoomIndex {
 public:
  static constexpr uint32_t kNone = UINT32_MAX;
  enum class Order { kTightFirst, kWideFirst };
  // The data that a search reads, in one cache line: with 21,000 workers, cache
  // misses dominate the time of a decision.
  struct alignas(64) Entry {
    Resources free;
    // Reciprocals of the capacity, to weigh CPU against memory.
    float cpu_share = 0;
    float memory_share = 0;
    uint32_t rack = 0;
    uint32_t data_centre = 0;
    uint32_t name = 0;
    uint32_t table = kNone;
    uint32_t position = 0;  // in its bucket
    uint16_t bucket = 0;
    bool present = false;
  };

  // Commands.
  void Put(const WorkerId& id, const PlacementWorker& worker);
  void Remove(const WorkerId& id);

  // Queries.
  // Calls `visit(slot)` for workers with capacity for `size` until it returns
  // false. Visits a bounded number of workers.
  template <typename Visitor>
  void Visit(const Resources& size, Order order, Visitor visit) const;
  const Entry& entry(uint32_t slot) const { return entries_[slot]; }
  const WorkerId& id(uint32_t slot) const { return ids_[slot]; }
  // Slots are contiguous except for those of removed workers.
  uint32_t slots() const { return static_cast<uint32_t>(entries_.size()); }
  uint32_t present() const { return present_; }
  // The number assigned to the name of a worker, rack or data centre; kNone if
  // unknown.
  uint32_t NameOf(const std::string& name) const;
  // Sums over all workers; `largest` is found by visiting every worker.
  RoomSummary Summarise(bool accelerated) const;

 private:
  static constexpr int kClasses = 64;
  // Limits on the workers without capacity that a search may visit. Except for
  // lack of free task slots, only buckets in the lowest matching row and column
  // can contain such workers; these buckets have a budget of their own, so that
  // misses there do not end the search elsewhere.
  static constexpr int kMissesPerBucket = 64;
  static constexpr int kEdgeMisses = 512;
  static constexpr int kInnerMisses = 2048;
  struct Budget {
    int edge = kEdgeMisses;
    int inner = kInnerMisses;
  };
  // Table 0 holds workers without accelerators, table n + 1 workers with n free
  // ones; the last table holds all workers with 16 or more.
  static constexpr uint32_t kTables = 18;

  struct Table {
    // Per CPU class: a bit per memory class with workers.
    std::array<uint64_t, kClasses> filled{};
    uint64_t rows = 0;  // bit per CPU class with workers
    std::array<std::vector<uint32_t>, size_t{kClasses} * kClasses> buckets;
  };

  static int CpuClass(int64_t cpu_milli);
  static int MemoryClass(int64_t memory_mb);
  static uint32_t TableOf(const PlacementWorker& worker);
  void Unlink(uint32_t slot);
  void Link(uint32_t slot);
  uint32_t Intern(const std::string& name);
  template <typename Visitor>
  bool VisitTable(const Table& table,
                  const Resources& size,
                  Order order,
                  Budget* budget,
                  Visitor& visit) const;
  template <typename Visitor>
  bool VisitBucket(const std::vector<uint32_t>& bucket,
                   const Resources& size,
                   int* misses,
                   Visitor& visit) const;

  std::vector<Entry> entries_;
  std::vector<WorkerId> ids_;
  std::vector<Resources> capacities_;
  std::vector<uint32_t> unused_;
  std::unordered_map<WorkerId, uint32_t> slots_;
  std::unordered_map<std::string, uint32_t> names_;
  std::array<std::unique_ptr<Table>, kTables> tables_;
  uint32_t present_ = 0;
};

template <typename Visitor>
void RoomIndex::Visit(const Resources& size, Order order, Visitor visit) const {
  Budget budget;
  // Work without accelerators goes to workers without accelerators first, then
  // to those with the fewest free ones.
  const uint32_t first = size.accelerators <= 0
                             ? 0
                             : static_cast<uint32_t>(std::min<int64_t>(
                                   size.accelerators + 1, kTables - 1));
  for (uint32_t t = first; t < kTables; ++t) {
    if (tables_[t] != nullptr && tables_[t]->rows != 0 &&
        !VisitTable(*tables_[t], size, order, &budget, visit)) {
      return;
    }
  }
}

template <typename Visitor>
bool RoomIndex::VisitTable(const Table& table,
                           const Resources& size,
                           Order order,
                           Budget* budget,
                           Visitor& visit) const {
  const int low_cpu = CpuClass(size.cpu_milli);
  const int low_memory = MemoryClass(size.memory_mb);
  uint64_t rows = table.rows & (~uint64_t{0} << low_cpu);
  while (rows != 0) {
    const int row = order == Order::kTightFirst ? __builtin_ctzll(rows)
                                                : 63 - __builtin_clzll(rows);
    rows &= ~(uint64_t{1} << row);
    uint64_t columns =
        table.filled[static_cast<size_t>(row)] & (~uint64_t{0} << low_memory);
    while (columns != 0) {
      const int column = order == Order::kTightFirst
                             ? __builtin_ctzll(columns)
                             : 63 - __builtin_clzll(columns);
      columns &= ~(uint64_t{1} << column);
      const bool edge = row == low_cpu || column == low_memory;
      const auto bucket =
          static_cast<size_t>(row) * kClasses + static_cast<size_t>(column);
      if (!VisitBucket(table.buckets[bucket], size,
                       edge ? &budget->edge : &budget->inner, visit)) {
        return false;
      }
    }
  }
  return true;
}

template <typename Visitor>
bool RoomIndex::VisitBucket(const std::vector<uint32_t>& bucket,
                            const Resources& size,
                            int* misses,
                            Visitor& visit) const {
  int left = kMissesPerBucket;
  // Starts at the end: the worker added to the bucket last is in the CPU cache.
  for (size_t i = bucket.size(); i-- > 0 && left > 0 && *misses > 0;) {
    if (!size.FitsIn(entries_[bucket[i]].free)) {
      --left;
      --*misses;
    } else if (!visit(bucket[i])) {
      return false;
    }
  }
  return true;
}

}  // namespace chivedale

#endif  // CHIVEDALE_ROOM_INDEX_H_
