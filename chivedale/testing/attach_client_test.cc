// Guards against calls that are never answered: a caller that attaches to an
// entry waits as long as its call is open.
#include "chivedale/attach_client.h"

#include <boost/test/unit_test.hpp>

#include "chivedale/testing/fake_clock.h"

namespace chivedale::testing {
namespace {

constexpr Millis kResendInterval{300};

class RecordingSender : public MemberSender {
 public:
  bool SendToMember(const MemberId& to, const Message& /*message*/) override {
    sent.push_back(to);
    return true;
  }
  std::vector<MemberId> sent;
};

struct Fixture {
  Fixture() {
    MemberInfo member;
    member.id = MemberId("a");
    client.SetMembers({member});
  }
  void Call(const std::string& entry) {
    client.Call(RequestId("r"), MemberId(entry), AttachMode::kWait,
                clock.Now() + Millis(60'000),
                [this](const std::optional<AttachAnswer>& answer) {
                  ++ended;
                  found = answer && answer->found;
                });
  }
  void AdvanceTime(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(20)) {
      clock.Advance(Millis(20));
      client.Tick();
    }
  }

  FakeClock clock;
  RecordingSender sender;
  AttachClient client{clock, sender, MemberId("self"), kResendInterval};
  int ended = 0;
  bool found = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AttachClientTest, Fixture)

BOOST_AUTO_TEST_CASE(CallFailsWhenItsEntryDies) {
  Call("a");
  AdvanceTime(Millis(10'000));
  BOOST_TEST(ended == 0);
  client.OnMemberDead(MemberId("a"));
  BOOST_TEST(ended == 1);
}

// A holder that learns of the death later names the dead entry again.
BOOST_AUTO_TEST_CASE(CallToADeadEntryFailsSoon) {
  client.OnMemberDead(MemberId("a"));
  Call("a");
  AdvanceTime(kResendInterval * 2);
  BOOST_TEST(ended == 1);
  BOOST_TEST(!found);
}

BOOST_AUTO_TEST_CASE(WronglyDeclaredDeadMemberCanStillAnswer) {
  client.OnMemberDead(MemberId("a"));
  Call("a");
  AttachAnswer answer;
  answer.request = RequestId("r");
  answer.mode = AttachMode::kWait;
  answer.found = true;
  client.OnAnswer(MemberId("a"), answer);
  BOOST_TEST(ended == 1);
  BOOST_TEST(found);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
