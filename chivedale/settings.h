// Settings of a daemon, read from a JSON file and fully validated.
//
//   Settings settings = LoadSettings(path);  // throws Error(kBadSettings)
#ifndef CHIVEDALE_SETTINGS_H_
#define CHIVEDALE_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivedale/fair_queue.h"
#include "chivedale/owner_agent.h"
#include "chivedale/placement.h"
#include "chivedale/routing.h"
#include "chivedale/work.h"

namespace chivedale {

struct Settings {
  std::string vm_id;
  std::string data_centre;
  std::string region;
  // Addresses are IP:port.
  std::string caller_address;
  std::string peer_address;
  std::string store_address;
  std::string vm_list_address;
  std::vector<std::string> seeds;
  int traffic_threads = 2;
  int64_t max_body_bytes = 1 << 20;
  int64_t max_connections = 10'000;
  Millis caller_idle_timeout{60'000};
  Millis stop_deadline{60'000};
  Millis lease_ttl{2'000};
  Millis orphan_ttl{6'000};
  Millis answer_retention{600'000};
  int record_groups = 8;
  int64_t max_queued = 100'000;
  Millis max_deadline{1'800'000};
  RoutingPolicyKind routing = RoutingPolicyKind::kPowerOfTwoChoices;
  PlacementPolicyKind placement = PlacementPolicyKind::kPack;
  // kFifo serves as the baseline of benchmarks.
  QueuePolicyKind queue_policy = QueuePolicyKind::kFairQueue;
  std::string log_file;  // empty: standard error
  std::string log_level = "info";
  uint64_t seed = 0;  // 0: random
};

// Throws Error(kBadSettings) that lists every invalid, missing or unknown key
// with its value and the allowed values.
Settings ParseSettings(const std::string& json);
Settings LoadSettings(const std::string& path);

}  // namespace chivedale

#endif  // CHIVEDALE_SETTINGS_H_
