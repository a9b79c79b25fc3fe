// The burn report as one HTML page with inline plots, readable offline.
#ifndef CHIVEDALE_BURN_HTML_H_
#define CHIVEDALE_BURN_HTML_H_

#include <string>
#include <vector>

#include "chivedale/burn.h"

namespace chivedale {

// Loads nothing: no scripts, fonts or images from elsewhere. Follows the
// reader's light or dark colour scheme. `missing` are sentences on daemons
// without a snapshot.
std::string BurnReportToHtml(const std::vector<BurnSnapshot>& parts,
                             const std::vector<std::string>& missing = {});

}  // namespace chivedale

#endif  // CHIVEDALE_BURN_HTML_H_
