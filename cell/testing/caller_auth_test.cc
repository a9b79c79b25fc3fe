// Guards against calls that are served without a valid API key, and against
// callers that see or cancel the jobs of another account.
#include "cell/caller_auth.h"

#include <boost/test/unit_test.hpp>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

Account MakeAccount(const std::string& name,
                    const std::vector<std::string>& keys) {
  Account account;
  account.name = name;
  for (const std::string& key : keys) {
    account.keys.push_back(KeyDigest::Of(key));
  }
  return account;
}

struct Tables {
  Tables() {
    table.accounts = AccountTable(
        {MakeAccount("one", {"k1", "shared"}), MakeAccount("two", {"shared"})});
    open.is_public = true;
  }
  AuthResult ResultOf(const QueuePolicy& at,
                      std::optional<std::string_view> key,
                      const AuthOptions& options = {}) const {
    return Authenticate(table, at, key, options).result;
  }

  QueueTable table;
  QueuePolicy queue;
  QueuePolicy open;
};

BOOST_AUTO_TEST_SUITE(ACall)

BOOST_AUTO_TEST_SUITE(OnARouteThatIsNotPublic)

BOOST_FIXTURE_TEST_CASE(NeedsAKnownKey, Tables) {
  BOOST_TEST((ResultOf(queue, "k1") == AuthResult::kAllowed));
  BOOST_TEST((ResultOf(queue, std::nullopt) == AuthResult::kNoKey));
  BOOST_TEST((ResultOf(queue, "k2") == AuthResult::kUnknownKey));
  BOOST_TEST((ResultOf(queue, "") == AuthResult::kUnknownKey));
  BOOST_TEST((ResultOf(queue, "k1 ") == AuthResult::kUnknownKey));
}

BOOST_FIXTURE_TEST_CASE(BelongsToTheFirstAccountWithItsKey, Tables) {
  const Authentication auth = Authenticate(table, queue, "shared", {});
  BOOST_TEST(auth.caller.account == "one");
  BOOST_TEST(auth.caller.key_digest == KeyDigest::Of("shared").Bytes());
}

// An unconfirmed table may lack a key that is valid by now, so that 401 would
// be wrong as well.
BOOST_FIXTURE_TEST_CASE(IsRefusedWhileTheTableIsNotConfirmed, Tables) {
  const AuthOptions unconfirmed{true, false};
  BOOST_TEST(
      (ResultOf(queue, "k1", unconfirmed) == AuthResult::kTableUnconfirmed));
  BOOST_TEST(
      (ResultOf(queue, "k2", unconfirmed) == AuthResult::kTableUnconfirmed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(OnAPublicRoute)

BOOST_FIXTURE_TEST_CASE(NeedsNoKeyButChecksOneThatItCarries, Tables) {
  BOOST_TEST((ResultOf(open, std::nullopt) == AuthResult::kAllowed));
  BOOST_TEST((ResultOf(open, "k1") == AuthResult::kAllowed));
  BOOST_TEST((ResultOf(open, "k2") == AuthResult::kUnknownKey));
}

BOOST_FIXTURE_TEST_CASE(IsServedWhileTheTableIsNotConfirmed, Tables) {
  BOOST_TEST(
      (ResultOf(open, std::nullopt, {true, false}) == AuthResult::kAllowed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WithATableWithoutAccounts)

BOOST_AUTO_TEST_CASE(IsServedUnlessKeysAreRequired) {
  const QueueTable table;
  const QueuePolicy queue;
  BOOST_TEST((Authenticate(table, queue, std::nullopt, {}).result ==
              AuthResult::kAllowed));
  BOOST_TEST((Authenticate(table, queue, "any", {true, true}).result ==
              AuthResult::kUnknownKey));
  BOOST_TEST((Authenticate(table, queue, std::nullopt, {true, true}).result ==
              AuthResult::kNoKey));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

Caller CallerOf(const std::string& account, const std::string& key) {
  return {account, {}, KeyDigest::Of(key).Bytes()};
}

// Each member answers in another way: the leader from its memory, the others by
// a call to it, or from the store.
struct OwnedJob : CellFixture {
  OwnedJob() {
    Submit(NonLeaderName(), kJobId, MakeJobSpec(1, Millis(60'000)), "q0",
           owner);
    RunFor(Millis(500));
  }
  JobAnswer::Kind Ask(const std::string& member, const Caller& caller) {
    auto kind = JobAnswer::Kind::kUnavailable;
    node(member)->FindJob(
        kJobId, caller, loop.clock().Now() + Millis(1'000),
        [&kind](const JobAnswer& answer) { kind = answer.kind; });
    RunFor(Millis(1'000));
    return kind;
  }
  CancelResult TryCancel(const std::string& member, const Caller& caller) {
    auto result = CancelResult::kUnavailable;
    node(member)->CancelJob(kJobId, caller, loop.clock().Now() + Millis(1'000),
                            [&result](CancelResult r) { result = r; });
    RunFor(Millis(1'000));
    return result;
  }
  SubmitResult SubmitAgain(const std::string& member, const Caller& caller) {
    auto result = SubmitResult::kUnknown;
    node(member)->Submit(testing::MakeQueue(0), caller, kJobId,
                         MakeJobSpec(1, Millis(5'000)),
                         loop.clock().Now() + Millis(1'000),
                         [&result](SubmitResult r, int64_t) { result = r; });
    RunFor(Millis(1'000));
    return result;
  }

  // Has the member find out that the store refuses its calls, so that it goes
  // through the leader.
  void RefuseStoreTo(const std::string& member) {
    store.faults_of[member].refuses = true;
    TryCancel(member, nobody);
  }

  const Caller owner = CallerOf("one", "k1");
  const Caller other = CallerOf("two", "k2");
  const Caller nobody;
};

BOOST_AUTO_TEST_SUITE(AJobOfAnAccount)

BOOST_FIXTURE_TEST_CASE(IsShownToItsAccountOnly, OwnedJob) {
  for (const std::string member : {"a", "b", "c"}) {
    BOOST_TEST_CONTEXT(member) {
      BOOST_TEST((Ask(member, owner) == JobAnswer::Kind::kFound));
      BOOST_TEST(
          (Ask(member, CallerOf("one", "k3")) == JobAnswer::Kind::kFound));
      BOOST_TEST((Ask(member, other) == JobAnswer::Kind::kOtherAccount));
      BOOST_TEST((Ask(member, nobody) == JobAnswer::Kind::kOtherAccount));
    }
  }
}

BOOST_FIXTURE_TEST_CASE(IsShownFromTheStoreToItsAccountOnly, OwnedJob) {
  const std::string member = NonLeaderName();
  CutLink(member, LeaderName(), true);
  BOOST_TEST((Ask(member, owner) == JobAnswer::Kind::kFound));
  BOOST_TEST((Ask(member, other) == JobAnswer::Kind::kOtherAccount));
}

// Keys move between accounts while jobs run: without this the caller could not
// follow its job any more.
BOOST_FIXTURE_TEST_CASE(StaysWithTheKeyThatSubmittedIt, OwnedJob) {
  const Caller moved = CallerOf("two", "k1");
  BOOST_TEST((Ask(NonLeaderName(), moved) == JobAnswer::Kind::kFound));
  BOOST_TEST((TryCancel("a", moved) == CancelResult::kCancelled));
}

// Guards against a record without a digest, which would equal that of a caller
// without a key.
BOOST_AUTO_TEST_CASE(IsClosedToCallersWithoutAKeyIfItsDigestIsMissing) {
  const Caller stored{"one", {}, ""};
  BOOST_TEST(!MayAccess(Caller(), stored));
  BOOST_TEST(!MayAccess({"two", {}, ""}, stored));
  BOOST_TEST(MayAccess(CallerOf("one", "k1"), stored));
}

BOOST_FIXTURE_TEST_CASE(IsCancelledByItsAccountOnly, OwnedJob) {
  for (const std::string member : {"a", "b", "c"}) {
    BOOST_TEST((TryCancel(member, other) == CancelResult::kOtherAccount));
    BOOST_TEST((TryCancel(member, nobody) == CancelResult::kOtherAccount));
  }
  BOOST_TEST((StateOf(kJobId) == JobState::kRunning));
  BOOST_TEST((TryCancel(NonLeaderName(), owner) == CancelResult::kCancelled));
}

// Such a member has the leader cancel the job.
BOOST_FIXTURE_TEST_CASE(IsCancelledThroughTheLeaderByItsAccountOnly, OwnedJob) {
  const std::string member = NonLeaderName();
  RefuseStoreTo(member);
  BOOST_TEST((TryCancel(member, other) == CancelResult::kOtherAccount));
  BOOST_TEST((TryCancel(member, owner) == CancelResult::kCancelled));
}

BOOST_FIXTURE_TEST_CASE(KeepsItsIdFromOtherAccounts, OwnedJob) {
  BOOST_TEST((SubmitAgain("a", owner) == SubmitResult::kAccepted));
  BOOST_TEST((SubmitAgain("a", other) == SubmitResult::kOtherAccount));
  const std::string member = NonLeaderName();
  RefuseStoreTo(member);
  BOOST_TEST((SubmitAgain(member, other) == SubmitResult::kOtherAccount));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
