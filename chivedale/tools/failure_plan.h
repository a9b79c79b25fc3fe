// The schedule of a live failure run, with the start and end of each fault. The
// same seed gives the same schedule. scripts/failures.sh executes it.
#ifndef CHIVEDALE_TOOLS_FAILURE_PLAN_H_
#define CHIVEDALE_TOOLS_FAILURE_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivedale/work.h"

namespace chivedale::testing {

struct FailurePlanOptions {
  uint64_t seed = 1;
  Millis duration{120'000};
  int daemons = 7;
  // Maximum number of daemons killed, paused or draining at the same time.
  int max_daemons_out = 3;
  std::vector<std::string> workers;
};

enum class FailureVerb {
  kKill,     // SIGKILL to daemon `daemon`
  kTerm,     // SIGTERM to daemon `daemon`
  kReplace,  // starts a daemon under a new VM id at the same addresses
  kPause,    // SIGSTOP
  kResume,   // SIGCONT
  kFault,    // POST `body` to /fault of the stand-ins
};

struct FailureStep {
  Millis at{0};
  FailureVerb verb = FailureVerb::kFault;
  std::string kind;  // of the fault; the same for its start and its end
  bool begins = true;
  int daemon = 0;    // number from 1; 0 for a fault of the stand-ins
  std::string body;  // JSON

  // `AT_MS begin|end KIND VERB ARGUMENT`
  std::string Line() const;
};

// Returns the steps ordered by time. All faults end by `duration`.
std::vector<FailureStep> MakeFailurePlan(const FailurePlanOptions& options);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TOOLS_FAILURE_PLAN_H_
