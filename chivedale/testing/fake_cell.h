// A few Schedulers over fake workers, a fake store and a fake network, driven
// by one fake clock. Processes can be killed, paused, started and drained,
// links cut. Callers send again through another process when no answer comes.
//
//   FakeCell cell(seed);
//   cell.AddWorkers(4, {32'000, 131'072, 0, 8});
//   cell.StartProcesses(3);
//   cell.Run(Millis(5'000));
//   cell.Send("tally", 100);
//   cell.Run(Millis(10'000));
//   BOOST_TEST(cell.Faults().empty());
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

// A request from its caller's point of view.
struct CellCaller {
  RequestId id;
  std::string kind;
  Body payload;
  bool repeatable = true;
  int sends = 0;
  int answers = 0;
  util::TimePoint sent_at{};
  util::TimePoint first_sent{};
  util::TimePoint send_again{};
  Millis deadline{30'000};
  std::optional<RequestResult> result;
};

class FakeCell {
 public:
  explicit FakeCell(uint64_t seed);
  ~FakeCell();

  // Commands: set-up.
  void AddWorkers(int count, const Resources& capacity);
  // Writes the table into the store.
  void SetTable(const Table& table);
  // Returns the process's number.
  int StartProcess();

  // Commands: faults.
  void Kill(int process);
  void Pause(int process);
  void Resume(int process);
  void Drain(int process);
  // Cuts or mends the link between two processes.
  void SetCut(int a, int b, bool cut);

  // Commands: work and time.
  // Sends through a random live process; returns the caller's number.
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
  // Broken promises so far, one line each; empty is right. With `ended`, open
  // requests are broken promises too.
  std::vector<std::string> Faults(bool ended) const;

 private:
  struct Process;
  class GuardedStore;
  class GuardedWorkers;
  class CellPeers;
  class CellVmList;

  void Deliver(int from, int to, const Message& message);
  size_t AddCaller(const std::string& kind, int run_ms, bool repeatable);
  void SendCaller(size_t caller);
  void SubmitThrough(int process, size_t caller);
  void OnCallerResult(size_t caller, const RequestResult& result);
  void SendAgain();
  void CheckCaller(const CellCaller& caller,
                   bool ended,
                   std::vector<std::string>& faults) const;

  FakeClock clock_;
  FakeQueue queue_;
  util::Random random_;
  FakeStore store_;
  FakeWorker workers_;
  std::vector<Vm> vms_;
  uint64_t vm_version_ = 1;
  std::vector<WorkerId> worker_ids_;
  std::vector<std::unique_ptr<Process>> processes_;
  std::map<MemberId, int> by_member_;
  std::map<std::string, int> by_address_;
  std::set<std::pair<int, int>> cuts_;
  std::vector<CellCaller> callers_;
};

// A row for tests.
WorkRow MakeRow(const std::string& kind, bool repeatable);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_CELL_H_
