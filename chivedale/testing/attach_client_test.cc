// Guards against questions that are never answered: a caller that attaches to
// an entry waits as long as its question is open.
#include "chivedale/attach_client.h"

#include <boost/test/unit_test.hpp>

#include "chivedale/testing/fake_clock.h"

namespace chivedale::testing {
namespace {

constexpr Millis kAskAgain{300};

class SentQuestions : public MemberSender {
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
  void Ask(const std::string& entry) {
    client.Ask(RequestId("r"), MemberId(entry), AttachMode::kWait,
               clock.Now() + Millis(60'000),
               [this](const std::optional<AttachAnswer>& answer) {
                 ++ended;
                 found = answer && answer->found;
               });
  }
  void Pass(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(20)) {
      clock.Advance(Millis(20));
      client.Tick();
    }
  }

  FakeClock clock;
  SentQuestions sender;
  AttachClient client{clock, sender, MemberId("self"), kAskAgain};
  int ended = 0;
  bool found = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(AttachClientTest, Fixture)

BOOST_AUTO_TEST_CASE(AQuestionEndsWithTheDeathOfItsEntry) {
  Ask("a");
  Pass(Millis(10'000));
  BOOST_TEST(ended == 0);
  client.OnMemberDead(MemberId("a"));
  BOOST_TEST(ended == 1);
}

// A holder names the dead entry again when the news reaches it later.
BOOST_AUTO_TEST_CASE(AQuestionAfterTheDeathOfItsEntryEndsSoon) {
  client.OnMemberDead(MemberId("a"));
  Ask("a");
  Pass(kAskAgain * 2);
  BOOST_TEST(ended == 1);
  BOOST_TEST(!found);
}

BOOST_AUTO_TEST_CASE(AMemberCalledDeadWronglyStillAnswers) {
  client.OnMemberDead(MemberId("a"));
  Ask("a");
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
