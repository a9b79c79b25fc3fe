// The schedule of a live failure run: which fault begins and ends when. The
// same seed gives the same schedule. scripts/failures.sh carries it out.
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
  // Daemons killed, paused or draining at the same time.
  int most_daemons_out = 3;
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
  std::string kind;  // of the fault, the same at its begin and its end
  bool begins = true;
  int daemon = 0;    // from 1
  std::string body;  // JSON

  // `AT_MS begin|end KIND VERB ARGUMENT`
  std::string Line() const;
};

// Ordered by time. All faults have ended at `duration`.
std::vector<FailureStep> MakeFailurePlan(const FailurePlanOptions& options);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TOOLS_FAILURE_PLAN_H_
