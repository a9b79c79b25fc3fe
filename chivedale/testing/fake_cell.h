// Several Schedulers with fake workers, a fake store and a fake network, driven
// by one fake clock. Processes can be killed, paused, started and drained, and
// links can be cut. Callers resend through another process when they get no
// answer.
//
//   FakeCell cell(seed);
//   cell.AddWorkers(4, {32'000, 131'072, 0, 8});
//   cell.StartProcess();
//   cell.Run(Millis(5'000));
//   cell.Send("tally", 100);
//   cell.Run(Millis(10'000));
//   BOOST_TEST(cell.FindViolations(/*ended=*/true).empty());
#ifndef CHIVEDALE_TESTING_FAKE_CELL_H_
#define CHIVEDALE_TESTING_FAKE_CELL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chivedale/scheduler.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/testing/fake_worker.h"
#include "util/random.h"

namespace chivedale::testing {

// A request as seen by its caller.
struct CellCaller {
  RequestId id;
  std::string kind;
  Body payload;
  bool repeatable = true;
  int sends = 0;
  int answers = 0;
  util::TimePoint sent_at{};
  util::TimePoint first_sent{};
  util::TimePoint resend_at{};
  Millis deadline{30'000};
  std::optional<RequestResult> result;
};

class FakeCell {
 public:
  explicit FakeCell(uint64_t seed);
  ~FakeCell();

  // Setup.
  void AddWorkers(int count, const Resources& capacity);
  // Writes the table into the store.
  void SetTable(const Table& table);
  // Returns the number of the process.
  int StartProcess();

  // Fault injection.
  void Kill(int process);
  void Pause(int process);
  void Resume(int process);
  void Drain(int process);
  // Cuts or restores the link between two processes.
  void SetLinkCut(int a, int b, bool cut);

  // Work and time. Send() submits through a random live process and returns the
  // number of the caller.
  size_t Send(const std::string& kind, int run_ms, bool repeatable = true);
  // The first send goes through this process.
  size_t SendThrough(int process, const std::string& kind, int run_ms);
  void CancelCaller(size_t caller);
  void Run(Millis time);

  // Queries.
  bool IsAlive(int process) const;
  bool IsStopped(int process) const;
  std::vector<int> Alive() const;
  int processes() const { return static_cast<int>(processes_.size()); }
  Scheduler& scheduler(int process);
  FakeStore& store() { return store_; }
  FakeWorker& workers() { return workers_; }
  FakeClock& clock() { return clock_; }
  const std::vector<WorkerId>& worker_ids() const { return worker_ids_; }
  const std::vector<CellCaller>& callers() const { return callers_; }
  std::vector<Vm>& vms() { return vms_; }
  // Violations so far, one line each. With `ended`, requests without an answer
  // count as violations too.
  std::vector<std::string> FindViolations(bool ended) const;

 private:
  struct Process;
  class GuardedStore;
  class GuardedWorkers;
  class CellPeers;
  class CellVmList;

  void Deliver(int from, int to, const Message& message);
  size_t AddCaller(const std::string& kind, int run_ms, bool repeatable);
  void SubmitCaller(size_t caller);
  void SubmitThrough(int process, size_t caller);
  void OnCallerResult(size_t caller, const RequestResult& result);
  void ResendUnanswered();
  void CheckCaller(const CellCaller& caller,
                   bool ended,
                   std::vector<std::string>& violations) const;

  FakeClock clock_;
  FakeCallbackQueue queue_;
  util::Random random_;
  FakeStore store_;
  FakeWorker workers_;
  std::vector<Vm> vms_;
  uint64_t vm_version_ = 1;
  std::vector<WorkerId> worker_ids_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<MemberId, int> by_member_;
  std::map<std::string, int> by_address_;
  std::set<std::pair<int, int>> cut_links_;
  std::vector<CellCaller> callers_;
};

// Returns a row with short run times for tests.
WorkRow MakeRow(const std::string& kind, bool repeatable);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_CELL_H_
