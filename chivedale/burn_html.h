// The burn report as one HTML page with inline plots, readable offline.
#ifndef CHIVEDALE_BURN_HTML_H_
#define CHIVEDALE_BURN_HTML_H_

#include <string>
#include <vector>

#include "chivedale/burn.h"

namespace chivedale {

// Loads nothing: no scripts, fonts or images from elsewhere. Follows the
// reader's light or dark colour scheme.
std::string BurnReportToHtml(const std::vector<BurnSnapshot>& parts);

}  // namespace chivedale

#endif  // CHIVEDALE_BURN_HTML_H_
