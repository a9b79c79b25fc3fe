// Settings of a cell's daemon, read from one JSON file and checked whole.
//
//   CellSettings settings = LoadCellSettings(path);  // throws Error
#ifndef CELL_SETTINGS_H_
#define CELL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

struct CellSettings {
  std::string vm_id;
  std::string data_centre;
  std::string region;
  // IP:port each.
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;  // empty: none
  std::string store_address;
  std::string advice_address;  // empty: no queue has advice
  std::string vm_address;      // of the service that lists the executors' VMs
  std::vector<std::string> seeds;
  std::string log_level = "info";
  double cpu_share = 1;      // of a core that this process may use
  double link_mbps = 1'000;  // of this VM's link
  // The executors' contract.
  Millis longest_lease{6'000};  // they shorten longer ones
  Millis stop_time{900};        // the longest a stop takes
  Millis gang_timeout{3'000};
  Millis restore{600};  // to resume from a checkpoint
  Millis status_retention{120'000};
  Millis upkeep_time{2'000};  // that a VM's upkeep takes
  Millis stop_grace{6'000};   // from SIGTERM to SIGKILL
  double far_factor = 3;
};

// Throws Error(kBadSettings) that names the key, the value and the bound;
// unknown keys and wrong types too.
CellSettings ParseCellSettings(const std::string& json);
CellSettings LoadCellSettings(const std::string& path);

}  // namespace chivedale::cell

#endif  // CELL_SETTINGS_H_
