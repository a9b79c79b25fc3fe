// Guards against fields that are lost in encoding, and against malformed
// responses that end the process instead of being reported.
#include "chivedale/platform_codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace chivedale::protocol {
namespace {

// Runs a decoder that may throw only std::exception.
template <typename Decode>
void TryDecode(Decode decode, const std::string& body) {
  try {
    decode(body);
  } catch (const std::exception&) {
  }
}

std::vector<Completion> MakeCompletions(const std::string& payload) {
  Completion ok;
  ok.sequence = 7;
  ok.key = {TaskId("r/1"), 2};
  ok.entry = MemberId("e/1");
  ok.repeatable = false;
  ok.ok = true;
  ok.run_time = Millis(12);
  ok.peak_used = {1, 2, 3, 4};
  ok.payload = std::make_shared<const std::string>(payload);
  Completion failed;
  failed.sequence = 8;
  failed.key = {TaskId("j/1/0"), 1};
  failed.error = ErrorKind::kTimedOut;
  failed.ran = Ran::kUnknown;
  failed.checkpointed = true;
  return {ok, failed};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PlatformCodec)

RC_BOOST_PROP(CompletionsSurviveWithAnyPayload, (const std::string& payload)) {
  const auto back =
      DecodeCompletions(EncodeCompletions(MakeCompletions(payload)));
  RC_ASSERT(back.size() == 2U);
  RC_ASSERT(*back[0].payload == payload);
  RC_ASSERT(back[0].sequence == 7U);
  RC_ASSERT(!back[0].repeatable);
  RC_ASSERT(back[0].run_time == Millis(12));
  RC_ASSERT(back[0].peak_used == Resources({1, 2, 3, 4}));
  RC_ASSERT(back[1].error == ErrorKind::kTimedOut);
  RC_ASSERT(back[1].ran == Ran::kUnknown);
  RC_ASSERT(back[1].checkpointed);
}

RC_BOOST_PROP(DamagedBodiesOnlyThrow, (const std::string& junk)) {
  std::string body = EncodeCompletions(MakeCompletions("payload"));
  const auto at = *rc::gen::inRange<size_t>(0, body.size());
  body.replace(at, std::min(junk.size(), body.size() - at), junk);
  for (const std::string& each : {junk, body, body.substr(0, at)}) {
    TryDecode(DecodeCompletions, each);
    TryDecode(DecodeStart, each);
    TryDecode(DecodeTasks, each);
    TryDecode(DecodeEntries, each);
    TryDecode(DecodeEntry, each);
    TryDecode(DecodeVms, each);
    TryDecode(DecodeOutcome, each);
    TryDecode(DecodePoll, each);
    TryDecode(DecodeLeaseCall, each);
  }
}

BOOST_AUTO_TEST_CASE(TimesOutOfRangeAreBounded) {
  const LeaseCall call = DecodeLeaseCall(
      R"({"owner":"a","token":1,"ttl_ms":9223372036854775807})");
  BOOST_TEST((call.ttl < std::chrono::hours(24 * 366)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::protocol
