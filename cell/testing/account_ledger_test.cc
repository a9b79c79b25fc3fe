// Guards against accounts that run more than their limit, and against an
// account that sends many times its usual and crowds out the others.
#include "cell/account_ledger.h"

#include <boost/test/unit_test.hpp>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
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
  // What the executors run, whatever the leader believes.
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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
