// Settings of the cell daemon, read from a JSON file and fully validated.
//
//   CellSettings settings = LoadCellSettings(path);  // throws Error
#ifndef CELL_SETTINGS_H_
#define CELL_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "cell/ports.h"
#include "cell/types.h"

namespace chivedale::cell {

struct CellSettings {
  std::string vm_id;
  std::string data_centre;
  std::string region;
  // Addresses are IP:port.
  std::string caller_address;
  std::string ready_address;
  std::string peer_address;
  std::string metrics_address;  // empty: not served
  std::string store_address;
  std::string advice_address;  // empty: no queue uses advice
  std::string vm_address;      // of the service that lists the executors' VMs
  std::vector<std::string> seeds;
  std::string log_level = "info";
  double cpu_share = 1;      // CPU cores that this process may use
  double link_mbps = 1'000;  // bandwidth of this VM's link
  // Limits of the executors' contract.
  Millis longest_lease{6'000};  // executors shorten longer ones
  Millis stop_time{900};        // maximum duration of a stop
  // Time in which all members of a gang must have started.
  Millis gang_timeout{3'000};
  Millis restore_time{600};  // to resume from a checkpoint
  Millis status_retention{120'000};
  size_t store_value_bytes = kDefaultMaxValueBytes;  // the store's limit
  Millis upkeep_time{2'000};        // duration of a VM's upkeep
  Millis stop_grace_period{6'000};  // from SIGTERM to SIGKILL
  double remote_rack_factor = 3;    // see PlacerOptions
  // Time after which a key that was removed from the table is accepted by no
  // member; 0: not enforced.
  Millis revocation_bound{0};
  // Fraction by which an account may exceed its limits while it is not known
  // what all its runs are.
  double account_overshoot = 0;
  ShortageOrder shortage_order = ShortageOrder::kObjective;
  OutageAdmission outage_admission = OutageAdmission::kHold;
};

// Throws Error(kBadSettings) that names the key, the value and the bound, also
// for unknown keys and wrong types.
CellSettings ParseCellSettings(const std::string& json);
CellSettings LoadCellSettings(const std::string& path);

}  // namespace chivedale::cell

#endif  // CELL_SETTINGS_H_
