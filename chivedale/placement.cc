#include "chivedale/placement.h"

#include <algorithm>
#include <limits>

// The pack policy takes the best of a few workers from the tightest buckets.
// Visiting more of them brings no improvement, because the bucket width of an
// eighth already hides smaller differences.
namespace chivedale {
namespace {

constexpr int kCandidates = 4;
// Maximum number of workers visited while the search looks for ones that are
// not in the avoid list.
constexpr int kAvoidedCandidates = 256;
constexpr int kSamples = 16;

// Avoiding a data centre has the lowest weight, the worker itself the highest.
int Penalty(const RoomIndex::Entry& entry, const std::vector<uint32_t>& avoid) {
  int penalty = 0;
  for (uint32_t name : avoid) {
    penalty += name == entry.data_centre ? 1 : 0;
    penalty += name == entry.rack ? 2 : 0;
    penalty += name == entry.name ? 4 : 0;
  }
  return penalty;
}

// Free capacity after the start, plus its imbalance: CPU without memory cannot
// be used by later work.
float LeftoverScore(const RoomIndex::Entry& entry, const Resources& size) {
  const float cpu = static_cast<float>(entry.free.cpu_milli - size.cpu_milli) *
                    entry.cpu_share;
  const float memory =
      static_cast<float>(entry.free.memory_mb - size.memory_mb) *
      entry.memory_share;
  return cpu + memory + std::max(cpu - memory, memory - cpu);
}

}  // namespace

class PlacementPolicy {
 public:
  virtual ~PlacementPolicy() = default;
  // Returns a slot with capacity for `size`, or RoomIndex::kNone.
  virtual uint32_t Choose(const RoomIndex& index,
                          const Resources& size,
                          const std::vector<uint32_t>& avoid,
                          util::Random& random) = 0;
};

namespace {

// Returns the worker with the lowest penalty, then the lowest score, among the
// first candidates in `order`.
template <typename Score>
uint32_t BestOf(const RoomIndex& index,
                const Resources& size,
                RoomIndex::Order order,
                const std::vector<uint32_t>& avoid,
                Score score) {
  uint32_t best = RoomIndex::kNone;
  int best_penalty = std::numeric_limits<int>::max();
  float best_score = 0;
  int remaining = kCandidates;
  int visited = 0;
  uint32_t best_table = RoomIndex::kNone;
  index.Visit(size, order, [&](uint32_t slot) {
    const RoomIndex::Entry& entry = index.entry(slot);
    // Workers with more free accelerators are kept for work that needs them.
    if (best_penalty == 0 && entry.table != best_table) {
      return false;
    }
    const int penalty = Penalty(entry, avoid);
    const float value = score(entry);
    if (penalty < best_penalty ||
        (penalty == best_penalty && entry.table == best_table &&
         value < best_score)) {
      best = slot;
      best_penalty = penalty;
      best_score = value;
      best_table = entry.table;
    }
    remaining -= penalty == 0 ? 1 : 0;
    return remaining > 0 && ++visited < kAvoidedCandidates;
  });
  return best;
}

class PackPolicy final : public PlacementPolicy {
 public:
  uint32_t Choose(const RoomIndex& index,
                  const Resources& size,
                  const std::vector<uint32_t>& avoid,
                  util::Random&) override {
    return BestOf(index, size, RoomIndex::Order::kTightFirst, avoid,
                  [&](const RoomIndex::Entry& entry) {
                    return LeftoverScore(entry, size);
                  });
  }
};

class SpreadPolicy final : public PlacementPolicy {
 public:
  uint32_t Choose(const RoomIndex& index,
                  const Resources& size,
                  const std::vector<uint32_t>& avoid,
                  util::Random&) override {
    return BestOf(index, size, RoomIndex::Order::kWideFirst, avoid,
                  [&](const RoomIndex::Entry& entry) {
                    return -static_cast<float>(entry.free.cpu_milli) *
                           entry.cpu_share;
                  });
  }
};

// Tries a few slots given by `next`; if the cell is too full, searches the
// index.
template <typename Next>
uint32_t Sample(const RoomIndex& index,
                const Resources& size,
                const std::vector<uint32_t>& avoid,
                Next next) {
  uint32_t best = RoomIndex::kNone;
  int best_penalty = std::numeric_limits<int>::max();
  for (int i = 0; i < kSamples && index.slots() > 0; ++i) {
    const uint32_t slot = next();
    const RoomIndex::Entry& entry = index.entry(slot);
    if (!entry.present || !size.FitsIn(entry.free)) {
      continue;
    }
    const int penalty = Penalty(entry, avoid);
    if (penalty < best_penalty) {
      best = slot;
      best_penalty = penalty;
    }
    if (penalty == 0) {
      return slot;
    }
  }
  const uint32_t found =
      BestOf(index, size, RoomIndex::Order::kWideFirst, avoid,
             [](const RoomIndex::Entry&) { return 0.0F; });
  if (best == RoomIndex::kNone ||
      (found != RoomIndex::kNone &&
       Penalty(index.entry(found), avoid) < best_penalty)) {
    return found;
  }
  return best;
}

class RandomPolicy final : public PlacementPolicy {
 public:
  uint32_t Choose(const RoomIndex& index,
                  const Resources& size,
                  const std::vector<uint32_t>& avoid,
                  util::Random& random) override {
    return Sample(index, size, avoid, [&] {
      return static_cast<uint32_t>(random.UniformInt(index.slots()));
    });
  }
};

class RoundRobinPolicy final : public PlacementPolicy {
 public:
  uint32_t Choose(const RoomIndex& index,
                  const Resources& size,
                  const std::vector<uint32_t>& avoid,
                  util::Random&) override {
    return Sample(index, size, avoid,
                  [&] { return next_ = (next_ + 1) % index.slots(); });
  }

 private:
  uint32_t next_ = 0;
};

std::unique_ptr<PlacementPolicy> MakePolicy(PlacementPolicyKind kind) {
  switch (kind) {
    case PlacementPolicyKind::kPack:
      return std::make_unique<PackPolicy>();
    case PlacementPolicyKind::kSpread:
      return std::make_unique<SpreadPolicy>();
    case PlacementPolicyKind::kRandom:
      return std::make_unique<RandomPolicy>();
    case PlacementPolicyKind::kRoundRobin:
      return std::make_unique<RoundRobinPolicy>();
  }
  return nullptr;
}

}  // namespace

Placement::Placement(PlacementPolicyKind kind, util::Random& random)
    : random_(random), policy_(MakePolicy(kind)) {}
Placement::~Placement() = default;

void Placement::Update(const WorkerId& worker, const PlacementWorker& room) {
  index_.Put(worker, room);
}

void Placement::Remove(const WorkerId& worker) {
  index_.Remove(worker);
}

std::optional<WorkerId> Placement::Pick(const Resources& size,
                                        const std::vector<std::string>& avoid) {
  std::vector<uint32_t> names;
  for (const std::string& name : avoid) {
    const uint32_t number = index_.NameOf(name);
    if (number != RoomIndex::kNone) {
      names.push_back(number);
    }
  }
  const uint32_t slot = policy_->Choose(index_, size, names, random_);
  if (slot == RoomIndex::kNone) {
    return std::nullopt;
  }
  return index_.id(slot);
}

bool Placement::HasCapacity(const Resources& size) const {
  bool found = false;
  index_.Visit(size, RoomIndex::Order::kWideFirst, [&](uint32_t) {
    found = true;
    return false;
  });
  return found;
}

RoomSummary Placement::Summarise(bool accelerated) const {
  return index_.Summarise(accelerated);
}

}  // namespace chivedale
