// Runs a small cell for a review case: the real daemon as processes, started as
// the deploy file does, beside the project's stand-ins of the store, the advice
// service and the executors. Everything is on loopback and follows the real
// clock.
//
//   ReviewCell cell(options);
//   cell.AddExecutor("e1", {16'000, 64'000, 0, 0}, {"a", "r1"});
//   cell.Start();
//   cell.Submit(Queue::kBatch, "5c0e7a21d94b36f8", spec);
//   cell.RunFor(Millis(500));
//
// Each call, order and disruption is written to the record.
#ifndef REVIEW_6_HARNESS_REVIEW_CELL_H_
#define REVIEW_6_HARNESS_REVIEW_CELL_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/testing/fake_executors.h"
#include "cell/testing/fake_store.h"
#include "cell/types.h"
#include "chivedale/resources.h"
#include "platform/testing/soak_network.h"

namespace chivedale::review {

// The queues of the table; the value is the priority.
enum class Queue { kUrgent = 0, kService = 1, kBatch = 2 };

struct ReviewCellOptions {
  std::string daemon;     // path of the executable
  std::string directory;  // for settings and logs of the daemons
  std::string record;     // path of the record
  int daemons = 3;
  // Of each daemon; 0.25 for those without one.
  std::vector<double> cpu_shares;
  cell::Millis longest_lease{10'000};  // hold_max_ms of the site
  cell::Millis stop_time{200};         // stop_ms of the site
};

// Reads DAEMON, DIRECTORY and RECORD from the command line. Throws
// std::runtime_error if one is missing.
ReviewCellOptions ParseOptions(int argc, char** argv);
// Which disruption to play: the variable TROUBLE, "0" for none, "1" if unset.
std::string Trouble();

// Exit codes of a case.
inline constexpr int kRuleHeld = 0;
inline constexpr int kRuleBroken = 1;
inline constexpr int kCouldNotRun = 2;

// Calls `play` and returns its exit code; kCouldNotRun if it throws.
int RunCase(const std::function<int()>& play);

class ReviewCell {
 public:
  explicit ReviewCell(const ReviewCellOptions& options);
  ~ReviewCell();

  // ---- Set-up.

  void AddExecutor(const cell::ExecutorId& id,
                   const Resources& capacity,
                   const std::vector<std::string>& labels);
  // Starts the daemons and waits until one leads. Throws std::runtime_error if
  // none does.
  void Start();

  // ---- Time. Events are handled only in these calls.

  void RunFor(cell::Millis time);
  // Returns whether the condition became true within the time.
  bool RunUntil(const std::function<bool()>& condition, cell::Millis time);
  // Called about once per millisecond.
  void SetObserver(std::function<void()> observer);

  // ---- Callers. Each call is repeated until it has a definite answer.

  // Returns false if the job was not accepted within 10 s.
  bool Submit(Queue queue, const cell::JobId& id, const cell::JobSpec& spec);
  bool Cancel(Queue queue, const cell::JobId& id);

  // ---- Disruptions.

  // Ends the executor's process. Its entry stays in the store, as the platform
  // removes it only after three ping intervals.
  void CrashExecutor(const cell::ExecutorId& id);
  // Starts it again under its ID, with these labels, and announces that in the
  // store at once.
  void RestartExecutor(const cell::ExecutorId& id,
                       const std::vector<std::string>& labels);
  // Cuts the executor off from all daemons without a sign to either side; it
  // runs on.
  void CutExecutor(const cell::ExecutorId& id, cell::Millis time);
  // Likewise from these daemons only.
  void CutExecutorFrom(const cell::ExecutorId& id,
                       const std::set<std::string>& daemons,
                       cell::Millis time);
  // Cuts the daemon off from all others and from the store: its connections are
  // reset and new ones refused.
  void CutDaemon(const std::string& daemon, cell::Millis time);
  // The store turns the daemon away: its connections are reset and new ones
  // refused.
  void CutFromStore(const std::string& daemon, cell::Millis time);

  // ---- Queries.

  cell::testing::FakeExecutors& executors();
  // Executors that are up and run the task.
  std::vector<cell::ExecutorId> Running(const cell::TaskName& task) const;
  const std::vector<cell::ExecutorId>& executor_ids() const;

  // The daemon that the store names as the leader.
  std::string LeaderName() const;

  void Record(const std::string& what);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::review

#endif  // REVIEW_6_HARNESS_REVIEW_CELL_H_
