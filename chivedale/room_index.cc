#include "chivedale/room_index.h"

// Classes are exact up to 16 units and have eight steps per doubling above
// that. A class begins at each whole CPU and gigabyte, so a request of such a
// size fits every worker of its own class. A tree ordered by free capacity
// would find the exact best fit, but its depth, and thus the cost of a
// decision, more than doubles from 100 to 21,000 workers.
namespace chivedale {
namespace {

constexpr int64_t kCpuUnit = 250;     // milli
constexpr int64_t kMemoryUnit = 256;  // MB
constexpr int kExactUnits = 16;
constexpr int kStepsPerDoubling = 8;
constexpr int kLastClass = 63;

int ClassOf(int64_t units) {
  if (units < kExactUnits) {
    return static_cast<int>(std::max<int64_t>(units, 0));
  }
  const int doubling = 63 - __builtin_clzll(static_cast<uint64_t>(units)) - 4;
  const int step = static_cast<int>(units >> (doubling + 1)) & 7;
  return std::min(kExactUnits + doubling * kStepsPerDoubling + step,
                  kLastClass);
}

float ReciprocalOf(int64_t capacity) {
  return capacity > 0 ? 1.0F / static_cast<float>(capacity) : 0.0F;
}

Resources LargestOf(const Resources& a, const Resources& b) {
  return {std::max(a.cpu_milli, b.cpu_milli),
          std::max(a.memory_mb, b.memory_mb),
          std::max(a.accelerators, b.accelerators), std::max(a.slots, b.slots)};
}

}  // namespace

int RoomIndex::CpuClass(int64_t cpu_milli) {
  return ClassOf(cpu_milli / kCpuUnit);
}

int RoomIndex::MemoryClass(int64_t memory_mb) {
  return ClassOf(memory_mb / kMemoryUnit);
}

uint32_t RoomIndex::TableOf(const PlacementWorker& worker) {
  if (worker.capacity.accelerators <= 0) {
    return 0;
  }
  const auto free = std::max<int64_t>(worker.free.accelerators, 0);
  return static_cast<uint32_t>(std::min<int64_t>(free + 1, kTables - 1));
}

uint32_t RoomIndex::Intern(const std::string& name) {
  return names_.emplace(name, static_cast<uint32_t>(names_.size()))
      .first->second;
}

uint32_t RoomIndex::NameOf(const std::string& name) const {
  auto it = names_.find(name);
  return it == names_.end() ? kNone : it->second;
}

void RoomIndex::Put(const WorkerId& id, const PlacementWorker& worker) {
  auto [it, inserted] = slots_.emplace(id, 0);
  if (inserted) {
    if (unused_.empty()) {
      it->second = static_cast<uint32_t>(entries_.size());
      entries_.emplace_back();
      ids_.emplace_back();
      capacities_.emplace_back();
    } else {
      it->second = unused_.back();
      unused_.pop_back();
    }
    Entry& entry = entries_[it->second];
    ids_[it->second] = id;
    entry.name = Intern(id.str());
    entry.rack = Intern(worker.rack);
    entry.data_centre = Intern(worker.data_centre);
    entry.present = true;
    ++present_;
  }
  const uint32_t slot = it->second;
  Entry& entry = entries_[slot];
  if (capacities_[slot] != worker.capacity) {
    capacities_[slot] = worker.capacity;
    entry.cpu_share = ReciprocalOf(worker.capacity.cpu_milli);
    entry.memory_share = ReciprocalOf(worker.capacity.memory_mb);
  }
  entry.free = worker.free;
  const uint32_t table = TableOf(worker);
  const auto bucket =
      static_cast<uint16_t>(CpuClass(worker.free.cpu_milli) * kClasses +
                            MemoryClass(worker.free.memory_mb));
  if (table == entry.table && bucket == entry.bucket && worker.free.slots > 0) {
    return;
  }
  Unlink(slot);
  entry.bucket = bucket;
  // A worker without a free slot cannot take any task.
  entry.table = worker.free.slots > 0 ? table : kNone;
  Link(slot);
}

void RoomIndex::Remove(const WorkerId& id) {
  auto it = slots_.find(id);
  if (it == slots_.end()) {
    return;
  }
  Unlink(it->second);
  entries_[it->second] = Entry();
  capacities_[it->second] = Resources();
  unused_.push_back(it->second);
  slots_.erase(it);
  --present_;
}

void RoomIndex::Link(uint32_t slot) {
  Entry& entry = entries_[slot];
  if (entry.table == kNone) {
    return;
  }
  auto& table = tables_[entry.table];
  if (table == nullptr) {
    table = std::make_unique<Table>();
  }
  std::vector<uint32_t>& bucket = table->buckets[entry.bucket];
  entry.position = static_cast<uint32_t>(bucket.size());
  bucket.push_back(slot);
  const size_t row = entry.bucket / kClasses;
  table->filled[row] |= uint64_t{1} << (entry.bucket % kClasses);
  table->rows |= uint64_t{1} << row;
}

void RoomIndex::Unlink(uint32_t slot) {
  Entry& entry = entries_[slot];
  if (entry.table == kNone) {
    return;
  }
  Table& table = *tables_[entry.table];
  std::vector<uint32_t>& bucket = table.buckets[entry.bucket];
  bucket[entry.position] = bucket.back();
  entries_[bucket[entry.position]].position = entry.position;
  bucket.pop_back();
  if (bucket.empty()) {
    const size_t row = entry.bucket / kClasses;
    table.filled[row] &= ~(uint64_t{1} << (entry.bucket % kClasses));
    if (table.filled[row] == 0) {
      table.rows &= ~(uint64_t{1} << row);
    }
  }
  entry.table = kNone;
}

RoomSummary RoomIndex::Summarise(bool accelerated) const {
  RoomSummary summary;
  for (uint32_t slot = 0; slot < slots(); ++slot) {
    const Entry& entry = entries_[slot];
    const Resources& capacity = capacities_[slot];
    if (!entry.present || (capacity.accelerators > 0) != accelerated) {
      continue;
    }
    ++summary.workers;
    summary.capacity += capacity;
    summary.largest_worker = LargestOf(summary.largest_worker, capacity);
    if (entry.free.slots > 0) {
      const Resources free = LargestOf(entry.free, Resources());
      summary.free += free;
      summary.largest = LargestOf(summary.largest, free);
    }
  }
  return summary;
}

}  // namespace chivedale
