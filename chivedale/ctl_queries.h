// The read-only verbs of chivedalectl.
#ifndef CHIVEDALE_CTL_QUERIES_H_
#define CHIVEDALE_CTL_QUERIES_H_

#include "chivedale/ctl_context.h"

namespace chivedale {

// Each throws UsageError, or Error if an answer cannot be parsed.
ExitCode ShowTable(CtlContext& context);
ExitCode DiffTable(CtlContext& context);
ExitCode ShowHistory(CtlContext& context);
ExitCode ShowStatus(CtlContext& context);
ExitCode ShowWorkers(CtlContext& context);
ExitCode ShowQueue(CtlContext& context);
ExitCode ShowJob(CtlContext& context);
// Asks every server and merges their snapshots.
ExitCode ReportBurn(CtlContext& context);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_QUERIES_H_
