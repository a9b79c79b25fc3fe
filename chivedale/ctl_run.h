// Runs chivedalectl: takes the command line and returns the exit code. Can be
// called within another process, such as a test.
#ifndef CHIVEDALE_CTL_RUN_H_
#define CHIVEDALE_CTL_RUN_H_

#include <ostream>
#include <string>
#include <vector>

#include "chivedale/ctl_client.h"
#include "chivedale/ctl_options.h"
#include "util/random.h"

namespace chivedale {

ExitCode RunCtl(const std::vector<std::string>& arguments,
                CtlTransport& transport,
                util::Random& random,
                std::ostream& out,
                std::ostream& err);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_RUN_H_
