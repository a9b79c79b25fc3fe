// Guards against a directory that keeps treating an entry as dead although it
// was only paused and is a member again.
#include "chivedale/request_directory.h"

#include <boost/test/unit_test.hpp>
#include <optional>

#include "chivedale/record_log.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/fake_store.h"

namespace chivedale::testing {
namespace {

MemberInfo MakeMember(const std::string& id) {
  MemberInfo member;
  member.id = MemberId(id);
  member.state = MemberState::kLive;
  return member;
}

// `self` is the only holder: the other entries are draining, so they hold no
// group.
struct Fixture {
  Fixture() {
    entry.state = MemberState::kDraining;
    other.state = MemberState::kDraining;
    directory.SetMembers({self, entry, other});
    AdvanceTime(Millis(2'000));
  }
  void AdvanceTime(Millis time) {
    for (Millis elapsed{0}; elapsed < time; elapsed += Millis(100)) {
      clock.Advance(Millis(100));
      queue.RunDue();
      directory.Tick();
    }
  }
  RegisterOutcome RegisterId(const MemberInfo& from, const std::string& id) {
    Register request;
    request.request = RequestId(id);
    request.entry = from.id;
    request.registration = ++number;
    std::optional<RegisterOutcome> outcome;
    directory.OnRegister(
        request, [&](const RegisterReply& reply) { outcome = reply.outcome; });
    return outcome.value_or(RegisterOutcome::kRetryLater);
  }
  void Report(const MemberInfo& gone, const MemberInfo& sender) {
    EntryGone report;
    report.entry = gone.id;
    report.sender = sender.id;
    report.complete = true;
    directory.OnEntryGone(report);
  }

  FakeClock clock;
  FakeCallbackQueue queue{clock, 1};
  FakeStore store{queue};
  util::Random random{1};
  MemberInfo self = MakeMember("self/1");
  MemberInfo entry = MakeMember("entry/1");
  MemberInfo other = MakeMember("other/1");
  RecordLog records{clock, random, store, RecordLog::Options()};
  RequestDirectory directory{clock, self, records, RequestDirectory::Options()};
  uint64_t number = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ReturningEntry, Fixture)

BOOST_AUTO_TEST_CASE(GetsItsIdsBack) {
  BOOST_TEST((RegisterId(entry, "r") == RegisterOutcome::kNew));
  directory.SetMembers({self, other});
  BOOST_TEST((RegisterId(other, "r") == RegisterOutcome::kRetryLater));
  directory.SetMembers({self, entry, other});
  // Not kAlreadyRecorded, which would end idempotent work with an unknown
  // outcome.
  BOOST_TEST((RegisterId(other, "r") == RegisterOutcome::kKnown));
  BOOST_TEST((RegisterId(entry, "r") == RegisterOutcome::kNew));
}

BOOST_AUTO_TEST_CASE(IsAwaitedAgainAfterASecondDeath) {
  BOOST_TEST((RegisterId(entry, "r") == RegisterOutcome::kNew));
  Report(entry, other);
  Report(entry, self);
  directory.SetMembers({self, other});
  directory.SetMembers({self, entry, other});
  BOOST_TEST((RegisterId(entry, "s") == RegisterOutcome::kNew));
  directory.SetMembers({self, other});
  // The reports about the first death do not tell what others run now.
  BOOST_TEST((RegisterId(other, "s") == RegisterOutcome::kRetryLater));
  Report(entry, other);
  Report(entry, self);
  BOOST_TEST((RegisterId(other, "s") == RegisterOutcome::kNew));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
