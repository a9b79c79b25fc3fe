// Guards against members that end, or elect no leader, because of odd values in
// the messages of another member.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"
#include "cell/testing/odd_values.h"
#include "chivedale/peer_codec.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;
using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;
using testing::OddValues;

constexpr Millis kElection{6'000};
constexpr Millis kRun{2'000};
constexpr char kOtherJob[] = "00000000000000bb";

// A job that no executor can run.
Body JobBytes() {
  JobRecord record;
  record.queue = MakeQueue(0);
  record.spec = MakeJobSpec(1, Millis(300));
  record.spec.steps[0].label = "none";
  return std::make_shared<const std::string>(EncodeJobRecord(record));
}

// One message of each kind that a member of the cell handles.
std::vector<Message> CellMessages() {
  CellBeat beat;
  beat.node = "a";
  beat.boot_id = "boot";
  beat.address = "a:1";
  beat.is_leader = true;
  beat.term = 2;
  beat.max_strength = 1;
  beat.pending = {{"q0", 3}};
  JobStoreCall store;
  store.call = 1;
  store.address = "a:1";
  store.job = kOtherJob;
  store.record = JobBytes();
  store.timeout = Millis(500);
  JobStoreCall cancel = store;
  cancel.record = nullptr;
  AdviceCall advice;
  advice.call = 1;
  advice.address = "a:1";
  advice.step = "00000000000000bb.0.0";
  advice.executors = {"e1"};
  advice.timeout = Millis(500);
  AdviceAnswer advised;
  advised.call = 1;
  advised.answered = true;
  advised.validity = Millis(2'000);
  advised.good = {{"e1", "t"}};
  return {beat,
          JobStateCall{1, "a:1", kOtherJob},
          JobStateAnswer{1, true, true, "running"},
          store,
          cancel,
          JobStoreAnswer{1, JobStoreResult::kStored},
          advice,
          advised,
          JobNotice{kOtherJob, JobBytes(), 200},
          FollowCall{"a:1", 1, Millis(500)},
          FollowAnswer{"b:1", "b-1", 1, Millis(500)}};
}

// Delivers the frame to all members, as a link would.
void Deliver(CellFixture& cell, const json& frame) {
  std::string bytes;
  json::to_msgpack(frame, bytes);
  try {
    const Message message = DecodeMessage(bytes);
    for (const char* name : {"a", "b", "c"}) {
      cell.node(name)->OnMessage(MemberId("z"), message);
    }
  } catch (const PeerCodecError&) {
    return;  // rejected
  }
  cell.RunFor(Millis(20));
}

BOOST_AUTO_TEST_SUITE(ACellWithMessagesOfAnotherWriter)

// Regression: terms and durations at the limits of 64 bits overflowed, after
// which no leader was elected.
BOOST_AUTO_TEST_CASE(RunsJobsAfterEachOddValue) {
  const json odd_values = OddValues();
  for (const Message& message : CellMessages()) {
    CellFixture cell;
    const json frame = json::from_msgpack(EncodeMessage(message));
    const json fields = frame.flatten();
    for (const auto& field : fields.items()) {
      for (const json& value : odd_values) {
        json odd = frame;
        odd[json::json_pointer(field.key())] = value;
        Deliver(cell, odd);
      }
    }
    cell.RunFor(kElection);
    BOOST_TEST_CONTEXT(MessageName(message)) {
      BOOST_REQUIRE(cell.leader() != nullptr);
      cell.Submit("a", kJobId, MakeJobSpec(4, Millis(300)), "q0");
      cell.RunFor(kRun);
      BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
