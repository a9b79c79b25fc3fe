// Guards against members that accept a key which a newer table has revoked. The
// load is one of calls that carry such a key, at any member, for ever.
#include "cell/table_freshness.h"

#include <boost/test/unit_test.hpp>

#include "cell/table_confirmer.h"
#include "cell/testing/cell_fixture.h"
#include "cell/testing/fake_loop.h"

namespace chivedale::cell {
namespace {

constexpr Millis kBound{5'000};

// A clock of a VM that is suspended at times, which the steady clock does not
// count.
class SuspendedClock final : public Clock {
 public:
  TimePoint Now() const override { return TimePoint(running_); }
  WallTime WallNow() const override { return WallTime(Millis(0)); }
  Duration SinceBoot() const override { return running_ + suspended_; }
  Duration ProcessorTime() const override { return Duration(0); }

  void Run(Duration time) { running_ += time; }
  void Suspend(Duration time) { suspended_ += time; }

 private:
  Duration running_{std::chrono::hours(1)};
  Duration suspended_{0};
};

struct Freshness {
  SuspendedClock clock;
  NullEventLog log;
  TableFreshness table{clock, log, kBound};
};

BOOST_AUTO_TEST_SUITE(ATable)

BOOST_FIXTURE_TEST_CASE(IsNotConfirmedBeforeARead, Freshness) {
  BOOST_TEST(!table.IsConfirmed());
  table.OnApplied(3);
  BOOST_TEST(!table.IsConfirmed());
  table.OnShown(3, clock.SinceBoot());
  BOOST_TEST(table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(IsConfirmedForLessThanTheBound, Freshness) {
  table.OnApplied(3);
  table.OnShown(3, clock.SinceBoot());
  clock.Run(kBound * 94 / 100);
  BOOST_TEST(table.IsConfirmed());
  clock.Run(kBound * 2 / 100);
  BOOST_TEST(!table.IsConfirmed());
}

// Guards against an answer that was on its way while the table changed.
BOOST_FIXTURE_TEST_CASE(IsConfirmedAsOfWhenTheReadWasSent, Freshness) {
  table.OnApplied(3);
  const Duration sent = clock.SinceBoot();
  clock.Run(kBound);
  table.OnShown(3, sent);
  BOOST_TEST(!table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(AgesWhileItsVmIsSuspended, Freshness) {
  table.OnApplied(3);
  table.OnShown(3, clock.SinceBoot());
  clock.Suspend(kBound);
  BOOST_TEST(!table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(IsNotConfirmedByAReadOfANewerOne, Freshness) {
  table.OnApplied(3);
  table.OnShown(4, clock.SinceBoot());
  BOOST_TEST(!table.IsConfirmed());
  BOOST_TEST(table.IsBehind());
  table.OnApplied(4);
  BOOST_TEST(!table.IsBehind());
}

BOOST_FIXTURE_TEST_CASE(IsConfirmedByAnotherMemberWithAnOlderOne, Freshness) {
  table.OnApplied(4);
  table.OnShown(3, clock.SinceBoot());
  BOOST_TEST(table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(IsNotConfirmedOnceANewerOneIsInvalid, Freshness) {
  table.OnApplied(3);
  table.OnShown(3, clock.SinceBoot());
  table.OnInvalid();
  BOOST_TEST(!table.IsConfirmed());
}

// Guards against another member that has not yet read the invalid table and
// confirms the earlier one, rightly as of an earlier time.
BOOST_FIXTURE_TEST_CASE(IsNotConfirmedAsOfBeforeAnInvalidOne, Freshness) {
  table.OnApplied(3);
  const Duration before = clock.SinceBoot();
  clock.Run(Millis(500));
  table.OnInvalid();
  table.OnShown(3, before);
  BOOST_TEST(!table.IsConfirmed());
  clock.Run(Millis(500));
  table.OnShown(3, clock.SinceBoot());  // the invalid one was replaced
  BOOST_TEST(table.IsConfirmed());
}

BOOST_AUTO_TEST_CASE(NeedsNoConfirmationWithoutABound) {
  SuspendedClock clock;
  NullEventLog log;
  const TableFreshness table(clock, log, Millis(0));
  BOOST_TEST(table.IsConfirmed());
}

BOOST_AUTO_TEST_SUITE_END()

// One member that asks another one, which asks the store.
struct Chain : Freshness {
  Chain() {
    table.OnApplied(3);
    leader_table.OnApplied(3);
  }
  TableConfirmer MakeConfirmer(TableFreshness& freshness) {
    return TableConfirmer(clock, random, freshness,
                          {[this](Millis, std::function<void(int64_t)> done) {
                             reads.push_back(std::move(done));
                           },
                           [this](uint64_t call) {
                             asked = call;
                             return true;
                           }});
  }

  util::Random random{1};
  TableFreshness leader_table{clock, log, kBound};
  std::vector<std::function<void(int64_t)>> reads;  // in flight
  uint64_t asked = 0;
  TableConfirmer member = MakeConfirmer(table);
  TableConfirmer leader = MakeConfirmer(leader_table);
};

BOOST_AUTO_TEST_SUITE(AConfirmationThroughTheLeader)

BOOST_FIXTURE_TEST_CASE(IsAsOldAsTheLeadersRead, Chain) {
  leader.Tick(true);
  BOOST_REQUIRE(reads.size() == 1u);
  clock.Run(Millis(400));  // the read takes time
  reads[0](3);
  clock.Run(Millis(2'000));
  member.Tick(false);
  const TableConfirmation answer = leader.Answer({asked, ""});
  clock.Run(Millis(1'000));  // so does the answer
  member.OnConfirmation(answer);
  BOOST_REQUIRE(table.Age().has_value());
  BOOST_TEST((*table.Age() >= Millis(3'400)));
  clock.Run(Millis(1'500));
  BOOST_TEST(!table.IsConfirmed());
}

// Guards against a member that takes the time of the answer for the time as of
// which it is true.
BOOST_FIXTURE_TEST_CASE(IsWorthNothingAfterALongPause, Chain) {
  leader.Tick(true);
  reads[0](3);
  member.Tick(false);
  const TableConfirmation answer = leader.Answer({asked, ""});
  clock.Suspend(kBound);
  member.OnConfirmation(answer);
  BOOST_TEST(!table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(CountsOnlyForTheLastCall, Chain) {
  leader.Tick(true);
  reads[0](3);
  member.Tick(false);
  const TableConfirmation late = leader.Answer({asked, ""});
  clock.Run(kBound);
  member.Tick(false);
  member.OnConfirmation(late);
  BOOST_TEST(!table.IsConfirmed());
}

// Guards against an answer to the member's process before a restart, which
// would count as of a call that was sent much later.
BOOST_FIXTURE_TEST_CASE(CountsOnlyForACallOfThisProcess, Chain) {
  leader.Tick(true);
  reads[0](3);
  member.Tick(false);
  const TableConfirmation late = leader.Answer({asked, ""});
  clock.Run(kBound);
  TableConfirmer restarted = MakeConfirmer(table);
  restarted.Tick(false);
  restarted.OnConfirmation(late);
  BOOST_TEST(!table.IsConfirmed());
  leader_table.OnShown(3, clock.SinceBoot());
  restarted.OnConfirmation(leader.Answer({asked, ""}));
  BOOST_TEST(table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(IsNoneWhileTheLeaderHasNone, Chain) {
  member.Tick(false);
  member.OnConfirmation(leader.Answer({asked, ""}));
  BOOST_TEST(!table.IsConfirmed());
}

// Regression (redeg-heredia-grown, a table that grows): members that were
// behind read the table beside their watch, and it reached all of them late.
BOOST_FIXTURE_TEST_CASE(LeavesATableThatTheMemberLacksToItsWatch, Chain) {
  leader_table.OnApplied(4);
  leader.Tick(true);
  reads[0](4);
  reads.clear();
  table.OnShown(3, clock.SinceBoot());
  member.Tick(false);
  member.OnConfirmation(leader.Answer({asked, ""}));
  BOOST_TEST(table.IsBehind());
  for (int i = 0; i < 50; ++i) {
    clock.Run(Millis(100));
    member.Tick(false);
  }
  BOOST_TEST(reads.empty());
  BOOST_TEST(!table.IsConfirmed());
  table.OnApplied(4);
  clock.Run(Millis(1'000));
  member.Tick(false);
  BOOST_REQUIRE(reads.size() == 1u);
  reads[0](4);
  BOOST_TEST(table.IsConfirmed());
}

// Guards against members that all read the store at the design size.
BOOST_FIXTURE_TEST_CASE(SparesTheMembersReads, Chain) {
  for (int i = 0; i < 600; ++i) {
    const size_t before = reads.size();
    leader.Tick(true);
    if (reads.size() > before) {
      reads.back()(3);
    }
    const uint64_t last = asked;
    member.Tick(false);
    if (asked != last) {
      member.OnConfirmation(leader.Answer({asked, ""}));
    }
    clock.Run(Millis(100));
  }
  // The member's first read, before the leader had confirmed.
  BOOST_TEST(reads.size() <= 60 * 10 / 9 + 2);
  BOOST_TEST(table.IsConfirmed());
}

BOOST_FIXTURE_TEST_CASE(IsReplacedByReadsWhileThereIsNone, Chain) {
  member.Tick(false);
  BOOST_REQUIRE(reads.size() == 1u);
  reads[0](3);
  BOOST_TEST(table.IsConfirmed());
}

BOOST_AUTO_TEST_SUITE_END()

// Three members, whose table has an account.
struct CellWithKeys : testing::FakeCell {
  CellWithKeys() : FakeCell(1) {
    revocation_bound = kBound;
    for (const char* name : kNames) {
      AddNode(name);
    }
    AddExecutors("pool", 4, {32'000, 64'000, 0, 0});
    SetQueue(testing::MakeQueue());
    Account account;
    account.name = "one";
    account.keys = {KeyDigest::Of("k1")};
    SetAccounts({account});
    RunFor(Millis(3'000));
  }
  std::string AFollower() { return node("a") == leader() ? "b" : "a"; }
  // Share of the time in which the member's table is confirmed.
  double ConfirmedShare(const std::string& name, Millis time) {
    const int checks = static_cast<int>(time / kCheckInterval);
    int confirmed = 0;
    for (int i = 0; i < checks; ++i) {
      RunFor(kCheckInterval);
      confirmed += node(name)->table_confirmed() ? 1 : 0;
    }
    return static_cast<double>(confirmed) / checks;
  }

  static constexpr const char* kNames[] = {"a", "b", "c"};
  static constexpr Millis kCheckInterval{100};
};

BOOST_AUTO_TEST_SUITE(AMember)

BOOST_AUTO_TEST_SUITE(CutOffFromTheStore)

// Guards against refusals of all keys by a third of the members while the store
// is out of reach for them alone.
BOOST_FIXTURE_TEST_CASE(StaysConfirmedThroughTheLeader, CellWithKeys) {
  const std::string member = AFollower();
  CutStore(member);
  BOOST_TEST(ConfirmedShare(member, 4 * kBound) == 1);
}

// Guards against a member that accepts revoked keys without a time limit,
// because the table that revokes them does not reach it.
BOOST_FIXTURE_TEST_CASE(IsUnconfirmedIfCutOffFromTheLeaderToo, CellWithKeys) {
  const std::string member = AFollower();
  CutStore(member);
  CutPeers(member, true);
  RunFor(kBound * 95 / 100);
  BOOST_TEST(ConfirmedShare(member, 2 * kBound) == 0);
  BOOST_TEST(!node(member)->ready());
  Reconnect();
  CutPeers(member, false);
  RunFor(Millis(3'000));
  BOOST_TEST(node(member)->table_confirmed());
}

// The members' own reads then replace the leader's.
BOOST_FIXTURE_TEST_CASE(LeavesTheOthersConfirmedIfItLeads, CellWithKeys) {
  const std::string old_leader = node("a") == leader()   ? "a"
                                 : node("b") == leader() ? "b"
                                                         : "c";
  CutStore(old_leader);
  const std::string other = old_leader == "a" ? "b" : "a";
  BOOST_TEST(ConfirmedShare(other, 4 * kBound) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
