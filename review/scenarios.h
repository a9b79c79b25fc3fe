// The cases of this review. Each returns whether the rule held.
#ifndef REVIEW_SCENARIOS_H_
#define REVIEW_SCENARIOS_H_

#include "review/rig.h"

namespace chivedale::review {

bool LastingTaskEndsDone(Rig& rig);
bool WaveNamesNewMachine(Rig& rig);
bool LeaderKilledInWave(Rig& rig);
bool WaveStopsTooMany(Rig& rig);
bool LongSchedule(Rig& rig);

}  // namespace chivedale::review

#endif  // REVIEW_SCENARIOS_H_
