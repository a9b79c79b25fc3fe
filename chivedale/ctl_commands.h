// The verbs of chivedalectl that change state. Each change is sent once more
// after a lost answer: table edits and submissions carry an id, so that they
// take effect only once, and the other changes are idempotent by themselves.
#ifndef CHIVEDALE_CTL_COMMANDS_H_
#define CHIVEDALE_CTL_COMMANDS_H_

#include "chivedale/ctl_context.h"

namespace chivedale {

// Each throws UsageError.
ExitCode EditTable(CtlContext& context);
ExitCode ApplyTable(CtlContext& context);
ExitCode SubmitRequest(CtlContext& context);
ExitCode CancelRequest(CtlContext& context);
ExitCode SubmitJob(CtlContext& context);
ExitCode CancelJob(CtlContext& context);
ExitCode ScaleJob(CtlContext& context);
ExitCode DrainServer(CtlContext& context);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_COMMANDS_H_
