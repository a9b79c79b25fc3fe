// JSON forms of burn snapshots and reports.
#ifndef CHIVEDALE_BURN_JSON_H_
#define CHIVEDALE_BURN_JSON_H_

#include <string>

#include "chivedale/burn.h"

namespace chivedale {

std::string BurnSnapshotToJson(const BurnSnapshot& snapshot);
// Throws Error(kBadRequest).
BurnSnapshot ParseBurnSnapshot(const std::string& json);
std::string BurnReportToJson(const BurnReport& report);

}  // namespace chivedale

#endif  // CHIVEDALE_BURN_JSON_H_
