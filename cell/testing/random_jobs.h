// Queues and random jobs for the random histories of a cell.
//
//   cell.SetQueue(UrgentQueue());
//   cell.Submit("a", JobIdOf(1), RandomJob(random, false), "urgent");
#ifndef CELL_TESTING_RANDOM_JOBS_H_
#define CELL_TESTING_RANDOM_JOBS_H_

#include <string>

#include "cell/job.h"
#include "cell/types.h"
#include "util/random.h"

namespace chivedale::cell::testing {

inline constexpr char kRandomPool[] = "pool";
inline constexpr Millis kLongestEstimate{6'000};
// Steps of a random job.
inline constexpr int kMaxSteps = 3;

QueuePolicy UrgentQueue();
QueuePolicy HeavyQueue();
// One of them with another objective and validity of advice.
QueuePolicy ChangedQueue(util::Random& random);

std::string JobIdOf(int number);

// If `narrow`, each step fits on one executor and needs no label, because
// advice allows only some of the executors.
JobSpec RandomJob(util::Random& random, bool narrow);
// Adds steps with many tasks, and long and large ones, to those of RandomJob().
JobSpec RandomWideJob(util::Random& random, bool narrow);

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_RANDOM_JOBS_H_
