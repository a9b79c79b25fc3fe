// Fake executors that implement the contract of cell/ports.h (leases, fencing,
// gangs, ends kept until they are stored) and check the orders they get.
//
//   FakeExecutors executors(loop, random);
//   executors.Add({"e1", "10.0.0.1:80", "pool", ...});
//   std::unique_ptr<ExecutorPort> port = executors.ViewOf("member");
//   BOOST_TEST(executors.violations().empty());
#ifndef CELL_TESTING_FAKE_EXECUTORS_H_
#define CELL_TESTING_FAKE_EXECUTORS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/job.h"
#include "cell/ports.h"
#include "cell/testing/fake_loop.h"
#include "util/random.h"

namespace chivedale::cell::testing {

struct LinkFaults {
  bool cut = false;         // orders are lost
  bool refused = false;     // orders fail with kNotSent
  double lost_answers = 0;  // share executed whose answer is lost
  double late_orders = 0;   // share executed after 2 to 12 s without an answer
  double late_holds = 0;    // likewise, of the hold calls
  // Added to the time in each direction; orders that take longer than the limit
  // of a call are executed without an answer.
  Duration delay{0};
};

class FakeExecutors {
 public:
  FakeExecutors(FakeLoop& loop, util::Random& random)
      : loop_(loop), random_(random) {}

  std::unique_ptr<ExecutorPort> ViewOf(const std::string& member);

  // Commands.
  void Add(const ExecutorEntry& entry);
  // Ends all runs immediately without reporting them; the executor does not
  // answer until it is restarted.
  void Crash(const ExecutorId& id);
  // Starts a crashed executor again, with the same ID and without any state.
  // It executes the orders and hold calls of LinkFaults that come late, also
  // those that were sent before the crash. No effect if the executor was
  // removed.
  void Restart(const ExecutorId& id);
  // Its entry names this pool from now on.
  void SetPool(const ExecutorId& id, const std::string& pool) {
    states_.at(id).entry.pool = pool;
  }
  // Ends the executor like Crash(), but for good.
  void Remove(const ExecutorId& id);
  void Drain(const ExecutorId& id);
  // Ends the task's run, wherever it is. No effect if it does not run.
  void EndRun(const TaskName& name, RunEnd end);
  const ExecutorEntry& EntryOf(const ExecutorId& id) const {
    return states_.at(id).entry;
  }
  bool IsUp(const ExecutorId& id) const { return states_.at(id).up; }
  // Registers a job whose tasks may be started.
  void Expect(const JobId& id, const JobSpec& spec, int max_attempts);
  void Cancelled(const JobId& id) { cancelled_.insert(id); }

  // Queries.
  std::vector<ExecutorEntry> Entries() const;
  // Violations of the contract seen so far.
  const std::vector<std::string>& violations() const { return violations_; }
  int running() const;
  int64_t starts() const { return starts_; }
  int64_t holds() const { return holds_; }
  // Time on its clock until the leases there expire.
  Millis LeaseLeft(const ExecutorId& id) const;
  // A ticket of the executor as it runs now. Valid for this time.
  std::string TicketFor(const ExecutorId& id, Millis validity) const;
  // Whether the task was ever started.
  bool EverStarted(const std::string& task) const {
    return started_.count(task) > 0;
  }

  bool RunsOn(const TaskName& name, const ExecutorId& id) const {
    const auto found = states_.find(id);
    return found != states_.end() && found->second.runs.count(name.Text()) > 0;
  }

  // Executors that are up, with the resources in use there.
  std::vector<std::pair<const ExecutorEntry*, Resources>> Use() const;
  // Size of the runs of the jobs that `matches`, on executors that are up.
  Resources UseOf(const std::function<bool(const JobId&)>& matches) const;
  // Ends that executors still list: they were not acknowledged.
  size_t listed_ends() const;
  size_t ListedEndsOn(const ExecutorId& id) const {
    return states_.at(id).ended.size();
  }
  // Whether a run of the job is on an executor that is up.
  bool RunsAnyOf(const JobId& id) const;
  // Whether the end `done` of the task, or of any member of its gang, was
  // acknowledged or is still listed by an executor that is up.
  bool IsDone(const TaskName& name) const;
  // Whether the runs of a task that have failed exhaust the job's attempts.
  bool HasFailed(const JobId& id) const { return failed_jobs_.count(id) > 0; }
  // Null if the job was not registered.
  const JobSpec* JobSpecOf(const JobId& id) const;

  // Reported load figures and ordered pace percentages, by task.
  std::map<std::string, int64_t> figures;
  std::map<std::string, int> percents;
  int paces = 0;  // number of pace orders executed

  // Faults by member and executor; they take precedence over `member_links`.
  std::map<std::pair<std::string, ExecutorId>, LinkFaults> links;
  std::map<std::string, LinkFaults> member_links;
  std::function<Duration(const TaskName&, const StepSpec&)> run_time;
  std::function<bool(const TaskName&, const ExecutorId&)> fails;
  // Changes each answer to a hold call.
  std::function<void(HoldReply&)> change_hold;
  // Result of each start; a start is not executed unless this is kOk.
  std::function<OrderResult(const StartOrder&)> start_result;
  // Called after each start that is executed, with the size of the task.
  std::function<void(const JobId&, const Resources& size)> on_start;
  Duration start_cost{0};  // processor time of the member for each start
  // Clock of an executor that is started again, at its start.
  std::function<Millis()> restart_clock;
  Millis longest_lease{10'000};
  Millis stop_time{100};
  Millis gang_timeout{3'000};
  double clock_speed = 1.0;  // 0.98: 2% slow

 private:
  friend class FakeExecutorView;
  struct Run {
    TaskName name;
    int64_t number = 0;
    int64_t fence = 0;  // of the leader that started it
    std::string checkpoint;
    TimePoint began{};
    bool working = false;  // false while a gang waits for its members
    bool stopping = false;
    Resources size;
    uint64_t serial = 0;
  };
  struct State {
    ExecutorEntry entry;
    bool up = true;
    bool removed = false;
    TimePoint clock_origin{};
    Millis clock_start{0};  // clock at clock_origin
    int64_t fence = 0;
    Millis until{0};
    std::map<std::string, Run> runs;
    std::vector<EndedTask> ended;
    int64_t next_end = 1;
    int64_t stored = 0;
    // Run numbers up to this are rejected, by task.
    std::map<std::string, int64_t> highest_rejected_run;
    std::map<uint64_t, std::function<void()>> waiting;  // pending holds
    uint64_t next_wait = 1;
    uint64_t incarnation = 1;
  };

  State* At(const std::string& address, const ExecutorId& id);
  Millis LateAfter();
  // Whether the ticket, of FakeCell's advice service, is for this incarnation
  // and still valid.
  bool IsValidTicket(const State& state, const std::string& ticket) const;
  Millis ClockOf(const State& state) const;
  LinkFaults LinkOf(const std::string& member, const ExecutorId& id) const;
  void Extend(State& state, Millis until);
  void ScheduleLeaseExpiry(State& state);
  OrderReply DoStart(State& state, const StartOrder& order);
  OrderReply DoStop(State& state,
                    const std::string& task,
                    int64_t run,
                    int64_t fence);
  HoldReply DoHold(State& state, const HoldRequest& request);
  HoldReply MakeHoldReply(const State& state) const;
  void End(State& state, const std::string& task, RunEnd end);
  void Begin(State& state, const std::string& task);
  void BeginGang(const Run& member);
  void Wake(State& state);
  void CheckStart(const State& state, const Run& run, const StartOrder& order);
  void AddViolation(const std::string& what) { violations_.push_back(what); }
  const StepSpec* SpecOf(const TaskName& name) const;

  FakeLoop& loop_;
  util::Random& random_;
  std::map<ExecutorId, State> states_;
  struct Expected {
    JobSpec spec;
    int max_attempts = 1;
  };
  std::map<JobId, Expected> jobs_;
  std::set<JobId> cancelled_;
  std::set<std::string> done_;         // tasks with the end `done`
  std::set<std::string> done_stored_;  // those whose end was acknowledged
  std::map<std::string, int> failed_stored_;
  // Runs that failed, by task or gang, whether or not that was acknowledged.
  std::map<std::string, std::set<int64_t>> failed_runs_;
  std::set<JobId> failed_jobs_;
  std::set<std::string> started_;
  std::vector<std::string> violations_;
  int64_t starts_ = 0;
  int64_t holds_ = 0;
  uint64_t next_serial_ = 1;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_FAKE_EXECUTORS_H_
