// Index of an owner's workers by free capacity; picks the worker for an
// attempt. The policy is a strategy object selected by a setting.
//
//   Placement placement(PlacementPolicyKind::kPack, random);
//   placement.Update(worker, {rack, data_centre, capacity, free});
//   if (auto worker = placement.Pick(size, avoid)) ...
#ifndef CHIVEDALE_PLACEMENT_H_
#define CHIVEDALE_PLACEMENT_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/resources.h"
#include "chivedale/room_index.h"
#include "util/random.h"

namespace chivedale {

enum class PlacementPolicyKind { kPack, kSpread, kRandom, kRoundRobin };

class PlacementPolicy;

class Placement {
 public:
  Placement(PlacementPolicyKind kind, util::Random& random);
  ~Placement();

  // Commands.
  // Adds the worker or updates its capacity. Rack and data centre are fixed by
  // the first call.
  void Update(const WorkerId& worker, const PlacementWorker& room);
  void Remove(const WorkerId& worker);
  // Returns nullopt if no worker with capacity for `size` was found. Workers,
  // racks and data centres in `avoid` are used only if no other was found.
  std::optional<WorkerId> Pick(const Resources& size,
                               const std::vector<std::string>& avoid);

  // Queries.
  bool HasCapacity(const Resources& size) const;
  // Visits all workers.
  RoomSummary Summarise(bool accelerated) const;

 private:
  RoomIndex index_;
  util::Random& random_;
  std::unique_ptr<PlacementPolicy> policy_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PLACEMENT_H_
