// A simulated cell: real members on a fake store, fake executors, fake links
// and a fake clock.
//
//   FakeCell cell(seed);
//   cell.AddNode("a");  cell.AddExecutors("pool", 4, {32'000, 64'000, 0, 0});
//   cell.SetQueue(queue);
//   cell.RunFor(Millis(1'000));
//   cell.Submit("a", id, spec);
#ifndef CELL_TESTING_FAKE_CELL_H_
#define CELL_TESTING_FAKE_CELL_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/node.h"
#include "cell/testing/fake_executors.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_store.h"
#include "chivedale/event_log.h"
#include "chivedale/metrics.h"
#include "util/random.h"

namespace chivedale::cell::testing {

// Records events as lines, for the messages of failed checks.
class RecordingLog final : public EventLog {
 public:
  explicit RecordingLog(const Clock& clock) : clock_(clock) {}
  void Write(Event event, const LogFields& fields) override;
  // Returns the lines that contain the text.
  std::string Lines(const std::string& text) const;

 private:
  const Clock& clock_;
  std::vector<std::string> lines_;
};

class FakeCell {
 public:
  explicit FakeCell(uint64_t seed);
  ~FakeCell();

  // Commands.
  void AddNode(const std::string& name, double strength = 1);
  void AddExecutors(const std::string& pool, int count, const Resources& size);
  void SetQueue(const QueuePolicy& queue);
  void RunFor(Duration time);
  // Ends the member's process immediately; Restart() starts a new one.
  void Kill(const std::string& name);
  // Likewise, but its VM has no power: connections to it are not refused, they
  // get no answer.
  void PowerOff(const std::string& name);
  void Restart(const std::string& name);
  // Pauses the member's process. Its timers run late; messages sent to it
  // meanwhile are lost.
  void Freeze(const std::string& name, Duration time);
  // Disconnects the member from all other members, or reconnects it.
  void CutPeers(const std::string& name, bool cut);
  // Drops messages between the members listed and all others; an empty set
  // reconnects them.
  void Partition(const std::set<std::string>& members) { side_ = members; }
  // Cuts the members and executors listed off from all others; the store stays
  // on the other side, unless `with_store`. Reconnect() ends it.
  void CutOff(const std::set<std::string>& members,
              const std::set<ExecutorId>& executors,
              bool with_store = false);
  // Cuts the member off from the store alone. Reconnect() ends it.
  void CutStore(const std::string& name);
  void Reconnect();
  // Drops the messages that one member sends to another, or no longer.
  void CutLink(const std::string& from, const std::string& to, bool cut);
  // Removes the executor and adds one of the same kind after a delay.
  void ReplaceExecutor(const ExecutorId& id, Duration delay);
  // Crashes the executor, starts it again under its ID after `down`, and cuts
  // it off from all members `until_cut` later, for `cut`.
  void RestartAndCut(const ExecutorId& id,
                     Duration down,
                     Duration until_cut,
                     Duration cut);
  void Submit(const std::string& name,
              const JobId& id,
              const JobSpec& spec,
              const std::string& queue = "q",
              const Caller& caller = {});
  void SetAccounts(std::vector<Account> accounts);
  void Cancel(const std::string& name,
              const JobId& id,
              const Caller& caller = {});
  void Announce(const UpkeepWave& wave);
  void BeginUpkeep(const std::string& vm);

  // Queries.
  // Whether advice allows the step (JOB.OCCURRENCE.STEP) on the executor.
  bool AdviceAllows(const std::string& step, const ExecutorId& id) const;
  std::optional<JobState> StateOf(const JobId& id) const;
  CellNode* node(const std::string& name);
  CellNode* leader();
  const std::set<JobId>& accepted() const { return accepted_; }
  // Jobs whose first submission was refused as not stored.
  const std::set<JobId>& refused() const { return refused_; }
  const std::set<JobId>& cancelled() const { return cancelled_; }
  // Jobs whose cancellation was answered with kNoSuchJob.
  const std::set<JobId>& gone() const { return gone_; }

  FakeLoop loop;
  util::Random random;
  FakeStore store;
  FakeExecutors executors;
  RecordingLog log;
  Metrics metrics;  // shared by all members
  // Share of executors that advice allows, constant per step and executor.
  double advised_share = 1;
  Duration advice_time = std::chrono::milliseconds(10);
  Millis ticket_validity{2'000};
  QueuePolicy queue;
  // Of processes that are started later; the executors set the longest lease.
  LeaderOptions leader_options;
  Millis revocation_bound{0};                                 // likewise
  OutageAdmission outage_admission = OutageAdmission::kHold;  // likewise
  // Cuts between members refuse connections in place of the live process.
  bool cuts_refuse = false;
  // Added to the time of messages, by sender and receiver. A message is for
  // whichever process has the address when it arrives.
  std::map<std::pair<std::string, std::string>, Duration> peer_delays;
  bool entries_down = false;  // executors' entries cannot be listed
  // Duration of a list of the executors' entries as they are when it begins.
  Duration entries_time = std::chrono::milliseconds(2);
  std::set<ExecutorId> lost_entries;  // not registered
  std::map<std::string, VmInfo> vms;
  std::set<std::string> upkeep_done;
  // Time until an upkeep order is executed. An order that takes longer than the
  // limit of a call gets no answer; with nullopt it is never executed.
  std::optional<Duration> upkeep_order_time = std::chrono::milliseconds(3);
  int upkeep_orders = 0;                // sent
  std::map<int64_t, bool> wave_status;  // true: completed
  int down_now = 0;                     // VMs in upkeep
  int max_down = 0;                     // maximum of down_now so far
  // Upkeeps that began while as many VMs of their wave were down for theirs as
  // it allows.
  std::vector<std::string> wave_violations;

 private:
  struct Host;
  class Peers;
  class Advice;
  class Vms;

  void StartNode(Host& host);
  VmOrderResult ExecuteUpkeepOrder(const std::string& vm);
  // Adds an executor of the same kind. Returns its ID.
  ExecutorId AddSuccessorOf(const ExecutorId& id);
  void ScheduleTick(const std::string& name, uint64_t life);
  void Deliver(const std::string& from,
               const std::string& address,
               const Message& message);

  FakeLoop::ProcessClock process_clock_{loop};
  std::map<std::string, std::unique_ptr<Host>> hosts_;
  std::shared_ptr<QueueTable> table_;
  std::set<std::string> side_;
  // Changes made by CutOff().
  std::set<std::pair<std::string, ExecutorId>> cut_executor_links_;
  std::set<std::string> cut_store_;
  std::set<std::pair<std::string, std::string>> cut_links_;  // from, to
  std::map<int64_t, UpkeepWave> waves_;
  std::set<JobId> accepted_;
  std::set<JobId> refused_;
  std::set<JobId> submitted_;
  std::set<JobId> cancelled_;
  std::set<JobId> gone_;
  int next_executor_ = 1;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_FAKE_CELL_H_
