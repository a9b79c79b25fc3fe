// Renders the burn report as one self-contained HTML page with inline plots.
#ifndef CHIVEDALE_BURN_HTML_H_
#define CHIVEDALE_BURN_HTML_H_

#include <string>
#include <vector>

#include "chivedale/burn.h"

namespace chivedale {

// The page loads no external scripts, fonts or images and follows the reader's
// light or dark colour scheme. `missing` are messages about daemons without a
// snapshot.
std::string BurnReportToHtml(const std::vector<BurnSnapshot>& parts,
                             const std::vector<std::string>& missing = {});

}  // namespace chivedale

#endif  // CHIVEDALE_BURN_HTML_H_
