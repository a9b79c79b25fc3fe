// Guards against accounts that run more than their limit, and against an
// account that sends many times its usual and crowds out the others.
#include "cell/account_ledger.h"

#include <boost/test/unit_test.hpp>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::LinkFaults;
using testing::MakeJobSpec;

constexpr Resources kTask{4'000, 1'000, 1, 0};

AccountUse MakeAccount(const Resources& limit, double weight = 0) {
  AccountUse account;
  account.policy = {limit, weight};
  return account;
}

struct Ledger {
  int MaxStarts(const AccountUse& account, int wanted = 100) const {
    return ledger.MaxStarts(account, kTask, wanted);
  }
  NullEventLog log;
  AccountLedger ledger{0.1, log};
};

BOOST_AUTO_TEST_SUITE(AnAccount)

BOOST_AUTO_TEST_SUITE(WithALimit)

BOOST_FIXTURE_TEST_CASE(StartsWhatFitsInEachResource, Ledger) {
  BOOST_TEST(MaxStarts(MakeAccount({40'000, 0, 0, 0})) == 10);
  BOOST_TEST(MaxStarts(MakeAccount({40'000, 7'000, 0, 0})) == 7);
  BOOST_TEST(MaxStarts(MakeAccount({40'000, 7'000, 3, 0})) == 3);
  BOOST_TEST(MaxStarts(MakeAccount({40'000, 7'000, 3, 0}), 2) == 2);
  BOOST_TEST(MaxStarts(MakeAccount({})) == 100);
}

BOOST_FIXTURE_TEST_CASE(StartsNothingAboveIt, Ledger) {
  AccountUse account = MakeAccount({40'000, 0, 0, 0});
  account.use = {37'000, 9'000, 9, 0};
  BOOST_TEST(MaxStarts(account) == 0);
  account.use = {60'000, 9'000, 9, 0};  // the limit was lowered
  BOOST_TEST(MaxStarts(account) == 0);
}

// Guards against tasks that could never run.
BOOST_FIXTURE_TEST_CASE(StartsATaskLargerThanItAlone, Ledger) {
  AccountUse account = MakeAccount({3'000, 0, 0, 0});
  BOOST_TEST(MaxStarts(account) == 1);
  account.use = {1'000, 1'000, 0, 0};
  BOOST_TEST(MaxStarts(account) == 0);
}

BOOST_FIXTURE_TEST_CASE(LeavesRoomForWhatMayRunOnUnreadExecutors, Ledger) {
  AccountUse account = MakeAccount({40'000, 0, 0, 0});
  account.possible_use = {36'000, 0, 0, 0};
  BOOST_TEST(MaxStarts(account) == 2);  // up to 44'000
  account.possible_use = {44'000, 0, 0, 0};
  BOOST_TEST(MaxStarts(account) == 0);
}

BOOST_FIXTURE_TEST_CASE(StartsAGangWholeOrNotAtAll, Ledger) {
  const AccountUse account = MakeAccount({40'000, 0, 0, 0});
  BOOST_TEST(ledger.MaxGangStarts(account, kTask, 10) == 10);
  BOOST_TEST(ledger.MaxGangStarts(account, kTask, 11) == 11);  // alone
  BOOST_TEST(ledger.MaxGangStarts(account, kTask, 12) == 0);
  AccountUse busy = account;
  busy.use = {4'000, 0, 0, 0};
  BOOST_TEST(ledger.MaxGangStarts(busy, kTask, 9) == 9);
  BOOST_TEST(ledger.MaxGangStarts(busy, kTask, 10) == 0);
}

BOOST_FIXTURE_TEST_CASE(KeepsItWhenItIsRemovedFromTheTable, Ledger) {
  Account row;
  row.name = "one";
  row.policy.limit = {40'000, 0, 0, 0};
  ledger.SetTable(AccountTable({row}));
  ledger.SetTable(AccountTable());
  BOOST_TEST(MaxStarts(*ledger.AccountOf({"one", {}, ""})) == 10);
  // A leader that never knew the account takes the job's copy.
  const Caller unknown{"two", {{20'000, 0, 0, 0}, 0}, ""};
  BOOST_TEST(MaxStarts(*ledger.AccountOf(unknown)) == 5);
  BOOST_TEST(ledger.AccountOf({}) == nullptr);
}

// Guards against a second row of a name that replaces the limit of the account
// which has the keys.
BOOST_FIXTURE_TEST_CASE(HasThatOfItsFirstRow, Ledger) {
  Account first;
  first.name = "one";
  first.policy.limit = {20'000, 0, 0, 0};
  Account second = first;
  second.policy.limit = {};
  ledger.SetTable(AccountTable({first, second}));
  BOOST_TEST(MaxStarts(*ledger.AccountOf({"one", {}, ""})) == 5);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithAShare)

BOOST_AUTO_TEST_CASE(IsWithinItAtItsRate) {
  AccountUse account = MakeAccount({}, 5);
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 100; ++i) {
    BOOST_TEST(!AccountLedger::CountJob(account, now));
    now += Millis(200);
  }
}

// The load of an account that sends 6.8 times its usual.
BOOST_AUTO_TEST_CASE(KeepsItUnderAnyLoad) {
  AccountUse account = MakeAccount({}, 5);
  TimePoint now{std::chrono::hours(1)};
  for (int i = 0; i < 340; ++i) {
    AccountLedger::CountJob(account, now);
    now += Millis(200) * 10 / 68;
  }
  // 10 s at 5 jobs a second, and those of the tolerance.
  BOOST_TEST(account.jobs_within_share >= 50);
  BOOST_TEST(account.jobs_within_share <= 50 + 7);
  BOOST_TEST(account.jobs_over_share == 340 - account.jobs_within_share);
}

BOOST_AUTO_TEST_CASE(MayBeLessThanAJobASecond) {
  AccountUse account = MakeAccount({}, 0.5);
  const TimePoint now{std::chrono::hours(1)};
  BOOST_TEST(!AccountLedger::CountJob(account, now));
  BOOST_TEST(AccountLedger::CountJob(account, now + Millis(500)));
  BOOST_TEST(!AccountLedger::CountJob(account, now + Millis(2'000)));
}

// Guards against an interval between jobs that no duration can hold, after
// which each job would be within the share.
BOOST_AUTO_TEST_CASE(MayBeVerySmall) {
  AccountUse account = MakeAccount({}, 1e-300);
  const TimePoint now{std::chrono::hours(1)};
  BOOST_TEST(!AccountLedger::CountJob(account, now));
  BOOST_TEST(AccountLedger::CountJob(account, now + Millis(2'000)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

Account MakeRow(const std::string& name, int64_t cpu, double weight = 0) {
  Account row;
  row.name = name;
  row.policy = {{cpu, 0, 0, 0}, weight};
  return row;
}

// Four executors of 32 cores, and tasks of four cores.
struct LimitedCell : CellFixture {
  LimitedCell() {
    leader_options.account_overshoot = 0.1;
    for (const char* name : {"a", "b", "c"}) {
      Kill(name);
    }
    RunFor(Millis(1'000));
    for (const char* name : {"a", "b", "c"}) {
      Restart(name);
    }
    SetAccounts({MakeRow("one", 40'000), MakeRow("two", 80'000)});
    RunFor(Millis(6'000));
  }
  static Caller CallerOf(const std::string& account) {
    return {account, {}, "digest"};
  }
  void SubmitFor(const std::string& account,
                 const JobId& id,
                 const JobSpec& spec,
                 const std::string& queue = "q0") {
    Submit(NonLeaderName(), id, spec, queue, CallerOf(account));
  }
  Resources UseOf(const std::string& account) {
    const auto& accounts = leader()->leader()->account_ledger().accounts();
    const auto found = accounts.find(account);
    return found == accounts.end() ? Resources() : found->second->use;
  }
  // CPU that the job's tasks use on the executors.
  int64_t RunningCpu(const JobId& id, int tasks) const {
    int64_t cpu = 0;
    for (int i = 0; i < tasks; ++i) {
      for (const ExecutorEntry& executor : executors.Entries()) {
        cpu += executors.RunsOn({id, 0, 0, i}, executor.id) ? 4'000 : 0;
      }
    }
    return cpu;
  }
};

BOOST_AUTO_TEST_SUITE(ACellWithLimitedAccounts)

BOOST_FIXTURE_TEST_CASE(RunsTheTasksOfAnAccountInTurn, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(24, Millis(1'000)));
  for (int i = 0; i < 20; ++i) {
    RunFor(Millis(100));
    BOOST_TEST(RunningCpu(kJobId, 24) <= 40'000);
  }
  BOOST_TEST(RunningCpu(kJobId, 24) == 40'000);
  RunFor(Millis(4'000));
  BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(UseOf("one").IsZero());
}

BOOST_FIXTURE_TEST_CASE(ServesOtherAccountsMeanwhile, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(24, Millis(20'000)));
  SubmitFor("two", "00000000000000bb", MakeJobSpec(10, Millis(500)), "q2");
  RunFor(Millis(2'000));
  BOOST_TEST((StateOf("00000000000000bb") == JobState::kCompleted));
}

BOOST_FIXTURE_TEST_CASE(StopsNothingWhenALimitIsLowered, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(20, Millis(2'000)));
  RunFor(Millis(500));
  BOOST_TEST(RunningCpu(kJobId, 20) == 40'000);
  SetAccounts({MakeRow("one", 12'000)});
  RunFor(Millis(500));
  BOOST_TEST(RunningCpu(kJobId, 20) == 40'000);
  RunFor(Millis(2'000));
  BOOST_TEST(RunningCpu(kJobId, 20) == 12'000);
}

// Guards against a new leader that starts an account's tasks beside those which
// run on executors that it has not read.
BOOST_FIXTURE_TEST_CASE(CountsWhatMayRunOnUnreadExecutors, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(10, Millis(30'000)));
  RunFor(Millis(1'000));
  BOOST_REQUIRE(RunningCpu(kJobId, 10) == 40'000);
  const std::string before = LeaderName();
  CutOff({before}, {"e1", "e2"});
  const JobId second = "00000000000000bb";
  for (int i = 0; i < 60; ++i) {
    RunFor(Millis(100));
    if (i == 25) {
      SubmitFor("one", second, MakeJobSpec(10, Millis(30'000)));
    }
    BOOST_TEST(RunningCpu(kJobId, 10) + RunningCpu(second, 10) <=
               44'000 + 4'000);
  }
}

// Guards against a new leader that starts tasks which may be copied a second
// time, all at once, while the first runs are on executors that it has not
// read.
BOOST_FIXTURE_TEST_CASE(CountsUnreadRunsOfTasksThatMayBeCopied, LimitedCell) {
  JobSpec spec = MakeJobSpec(10, Millis(30'000));
  spec.steps[0].copies_allowed = true;
  SubmitFor("one", kJobId, spec);
  RunFor(Millis(1'000));
  BOOST_REQUIRE(RunningCpu(kJobId, 10) == 40'000);
  CutOff({LeaderName()}, {"e1", "e2"});
  for (int i = 0; i < 60; ++i) {
    RunFor(Millis(100));
    BOOST_TEST(RunningCpu(kJobId, 10) <= 44'000 + 4'000);
  }
}

// Guards against a cancelled job whose runs on unread executors no longer
// count although nobody has stopped them.
BOOST_FIXTURE_TEST_CASE(CountsUnreadRunsOfACancelledJob, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(10, Millis(30'000)));
  RunFor(Millis(1'000));
  BOOST_REQUIRE(RunningCpu(kJobId, 10) == 40'000);
  const std::string before = LeaderName();
  const std::string other = NonLeaderName();
  CutOff({before}, {"e1", "e2"});
  const JobId second = "00000000000000bb";
  for (int i = 0; i < 60; ++i) {
    RunFor(Millis(100));
    if (i == 35) {
      Cancel(other, kJobId, CallerOf("one"));
      Submit(other, second, MakeJobSpec(10, Millis(30'000)), "q0",
             CallerOf("one"));
    }
    BOOST_TEST(RunningCpu(kJobId, 10) + RunningCpu(second, 10) <=
               44'000 + 4'000);
  }
}

// Guards against a start that counts no longer once its call has timed out,
// although the executor may still execute it.
BOOST_FIXTURE_TEST_CASE(CountsStartsThatAreExecutedLate, LimitedCell) {
  for (const char* name : {"a", "b", "c"}) {
    executors.member_links[name].late_orders = 0.5;
    executors.member_links[name].lost_answers = 0.3;
  }
  SubmitFor("one", kJobId, MakeJobSpec(24, Millis(1'000)));
  for (int i = 0; i < 80; ++i) {
    RunFor(Millis(100));
    BOOST_TEST(RunningCpu(kJobId, 24) <= 40'000);
    BOOST_TEST(UseOf("one").cpu_milli <= 40'000);
  }
  for (const char* name : {"a", "b", "c"}) {
    executors.member_links[name] = {};
  }
  RunFor(Millis(15'000));
  BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(UseOf("one").IsZero());
}

// Guards against a predecessor that starts the next step of a job out of the
// new leader's reach, which sees only the small step before it.
BOOST_FIXTURE_TEST_CASE(CountsStepsThatThePredecessorMayHaveReached,
                        LimitedCell) {
  JobSpec spec = MakeJobSpec(2, Millis(1'000));
  spec.steps.push_back(MakeJobSpec(8, Millis(30'000)).steps[0]);
  spec.steps[1].depends_on = {0};
  SubmitFor("one", kJobId, spec);
  RunFor(Millis(500));
  const std::string other = NonLeaderName();
  CutOff({LeaderName()}, {"e1", "e2", "e3"});
  const JobId second = "00000000000000bb";
  int64_t most = 0;
  for (int i = 0; i < 100; ++i) {
    RunFor(Millis(100));
    if (i == 35) {
      Submit(other, second, MakeJobSpec(8, Millis(30'000)), "q0",
             CallerOf("one"));
    }
    int64_t cpu = RunningCpu(kJobId, 2) + RunningCpu(second, 8);
    for (int task = 0; task < 8; ++task) {
      for (const ExecutorEntry& executor : executors.Entries()) {
        cpu += executors.RunsOn({kJobId, 0, 1, task}, executor.id) ? 4'000 : 0;
      }
    }
    most = std::max(most, cpu);
  }
  BOOST_TEST(most <= 44'000 + 4'000);
}

// Load: starts that two executors execute seconds after their calls have timed
// out, because they have restarted meanwhile and their clocks began again.
// Guards against tasks that take the room of such starts.
BOOST_FIXTURE_TEST_CASE(CountsStartsThatARestartedExecutorMayExecute,
                        LimitedCell) {
  for (const char* id : {"e1", "e2"}) {
    LinkFaults& link = executors.links[{LeaderName(), id}];
    link.late_orders = 1;
    link.late_holds = 1;
  }
  SubmitFor("one", kJobId, MakeJobSpec(24, Millis(20'000)));
  RunFor(Millis(200));
  for (const char* id : {"e1", "e2"}) {
    executors.Crash(id);
    executors.Restart(id);
  }
  int64_t late = 0;
  for (int i = 0; i < 120; ++i) {
    RunFor(Millis(100));
    BOOST_TEST(RunningCpu(kJobId, 24) <= 40'000);
    for (int task = 0; task < 24; ++task) {
      for (const char* id : {"e1", "e2"}) {
        late += executors.RunsOn({kJobId, 0, 0, task}, id) ? 1 : 0;
      }
    }
  }
  BOOST_TEST(late > 0);
}

// Guards against a gang of which a part is started below the limit.
BOOST_FIXTURE_TEST_CASE(StartsAGangOnceItFitsBelowTheLimit, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(4, Millis(2'000)));
  RunFor(Millis(300));
  const JobId second = "00000000000000bb";
  JobSpec gang = MakeJobSpec(8, Millis(500));
  gang.steps[0].gang = true;
  SubmitFor("one", second, gang);
  RunFor(Millis(1'000));
  BOOST_TEST(RunningCpu(kJobId, 4) == 16'000);
  BOOST_TEST(RunningCpu(second, 8) == 0);
  RunFor(Millis(4'000));
  BOOST_TEST((StateOf(second) == JobState::kCompleted));
  BOOST_TEST(UseOf("one").IsZero());
}

// Guards against a restart beside the job that took the room meanwhile, and
// against use that grows with each restart.
BOOST_FIXTURE_TEST_CASE(CountsRestartsOfLongRunningTasks, LimitedCell) {
  JobSpec spec = MakeJobSpec(10, Millis(300));
  spec.steps[0].long_running = true;
  SubmitFor("one", kJobId, spec);
  const JobId second = "00000000000000bb";
  SubmitFor("one", second, MakeJobSpec(10, Millis(500)));
  RunFor(Millis(2'000));
  for (int i = 0; i < 20; ++i) {
    executors.EndRun({kJobId, 0, 0, i % 10}, RunEnd::kFailed);
    for (int j = 0; j < 5; ++j) {
      RunFor(Millis(100));
      BOOST_TEST(RunningCpu(kJobId, 10) + RunningCpu(second, 10) <= 40'000);
    }
  }
  BOOST_TEST(UseOf("one").cpu_milli <= 40'000);
  Cancel(NonLeaderName(), kJobId, CallerOf("one"));
  RunFor(Millis(8'000));
  BOOST_TEST((StateOf(second) == JobState::kCompleted));
  BOOST_TEST(UseOf("one").IsZero());
}

// Guards against copies of overdue tasks that are not counted.
BOOST_FIXTURE_TEST_CASE(StartsNoCopiesAboveTheLimit, LimitedCell) {
  executors.run_time = [](const TaskName&, const StepSpec&) {
    return Millis(12'000);
  };
  JobSpec spec = MakeJobSpec(8, Millis(300));
  spec.steps[0].copies_allowed = true;
  SubmitFor("one", kJobId, spec);
  int64_t most = 0;
  for (int i = 0; i < 80; ++i) {
    RunFor(Millis(100));
    most = std::max(most, RunningCpu(kJobId, 8));
  }
  BOOST_TEST(most == 40'000);  // 8 tasks and 2 copies
  BOOST_TEST(UseOf("one").cpu_milli == 40'000);
}

// Guards against an accepted job that is dropped, or runs without a limit,
// once its account has left the table.
BOOST_FIXTURE_TEST_CASE(CompletesAJobOfARemovedAccount, LimitedCell) {
  SubmitFor("one", kJobId, MakeJobSpec(24, Millis(1'000)));
  RunFor(Millis(300));
  SetAccounts({MakeRow("two", 80'000)});
  for (int i = 0; i < 50; ++i) {
    RunFor(Millis(100));
    BOOST_TEST(RunningCpu(kJobId, 24) <= 40'000);
  }
  BOOST_TEST((StateOf(kJobId) == JobState::kCompleted));
  BOOST_TEST(UseOf("one").IsZero());
}

// Load: an account with a share of 2 jobs/s sends 10 jobs/s for 4 s to a pool
// that has room for 32 tasks; another one sends a job a second. Guards against
// jobs of the other that wait behind those of the first.
BOOST_FIXTURE_TEST_CASE(ServesASmallAccountBesideAHotOne, LimitedCell) {
  SetAccounts({MakeRow("hot", 0, 2), MakeRow("small", 0, 5)});
  RunFor(Millis(500));
  const auto id_of = [](const std::string& kind, int number) {
    const std::string text = std::to_string(100 + number);
    return std::string(16 - text.size() - 2, '0') + kind + text;
  };
  const Millis objective = Millis(1'000) * 3 / 2 + Millis(300);
  std::vector<std::pair<JobId, Millis>> due;
  for (Millis now{0}; now < Millis(8'000); now += Millis(100)) {
    const int i = static_cast<int>(now / Millis(100));
    if (i < 40) {
      SubmitFor("hot", id_of("aa", i), MakeJobSpec(8, Millis(1'000)));
    }
    if (i < 40 && i % 10 == 5) {
      SubmitFor("small", id_of("bb", i), MakeJobSpec(2, Millis(1'000)));
      due.emplace_back(id_of("bb", i), now + objective);
    }
    RunFor(Millis(100));
    for (const auto& [id, by] : due) {
      if (now + Millis(100) >= by) {
        BOOST_TEST((StateOf(id) == JobState::kCompleted), id);
      }
    }
  }
  BOOST_TEST(refused().empty());
  RunFor(Millis(10'000));
  for (int i = 0; i < 40; ++i) {
    BOOST_TEST((StateOf(id_of("aa", i)) == JobState::kCompleted));
  }
}

// Guards against use that stays counted after its runs were stopped.
BOOST_FIXTURE_TEST_CASE(UsesNothingAfterAWaveOfCancellations, LimitedCell) {
  const auto id_of = [](int i) {
    return "00000000000000a" + std::to_string(i);
  };
  for (int i = 0; i < 8; ++i) {
    SubmitFor("two", id_of(i), MakeJobSpec(4, Millis(20'000)));
  }
  RunFor(Millis(1'000));
  BOOST_TEST(UseOf("two").cpu_milli == 80'000);
  for (int i = 0; i < 8; ++i) {
    Cancel(NonLeaderName(), id_of(i), CallerOf("two"));
  }
  RunFor(Millis(3'000));
  BOOST_TEST(executors.running() == 0);
  BOOST_TEST(UseOf("two").IsZero());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
