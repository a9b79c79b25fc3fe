// The scripted cases. Each returns what run.sh exits with: 1 if the rule was
// broken, 0 if it held, 2 if the case could not run.
#ifndef REVIEW_11_HARNESS_CASES_H_
#define REVIEW_11_HARNESS_CASES_H_

#include "review/11/harness/lab.h"

namespace chivedale::review {

inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCannotRun = 2;

// `trouble`: with the disruption.
int RunForeignState(Lab& lab, bool trouble);
int RunLateSubmission(Lab& lab, bool trouble);
int RunReplacedCell(Lab& lab, bool trouble);
int RunUnansweredStart(Lab& lab, bool trouble);

}  // namespace chivedale::review

#endif  // REVIEW_11_HARNESS_CASES_H_
