// Guards against a field that is lost or swapped on the wire, a frame that
// crashes the reader, and a broken frame that reads as another valid message.
#include "chivedale/peer_codec.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <msgpack.hpp>
#include <optional>
#include <sstream>
#include <string>

#include "chivedale/testing/message_gen.h"

namespace chivedale {
namespace {

using testing::GeneratedMessage;
using testing::SameMessage;

constexpr size_t kTypes = std::variant_size_v<Message>;

std::optional<CodecFault> FaultOf(const std::string& frame) {
  try {
    DecodeMessage(frame);
  } catch (const PeerCodecError& error) {
    return error.fault();
  }
  return std::nullopt;
}

// A frame of the given values, for shapes that EncodeMessage never writes.
template <typename... Values>
std::string Frame(const Values&... values) {
  std::ostringstream out;
  msgpack::packer<std::ostringstream> packer(out);
  packer.pack_array(sizeof...(values));
  (packer.pack(values), ...);
  return out.str();
}

size_t TypeOf(const Message& message) {
  return message.index() + 1;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RoundTrip)

RC_BOOST_PROP(EveryTypeKeepsEveryField, ()) {
  for (size_t type = 0; type < kTypes; ++type) {
    const Message message = GeneratedMessage(type);
    const std::string frame = EncodeMessage(message);
    RC_ASSERT(SameMessage(DecodeMessage(frame), message));
    // The send queue is bounded by this figure.
    RC_ASSERT(EstimateFrameBytes(message) + 64 > frame.size() / 2);
  }
}

BOOST_AUTO_TEST_CASE(TypeNumbersAreStable) {
  BOOST_TEST(TypeOf(Hello()) == 1u);
  BOOST_TEST(TypeOf(Ping()) == 2u);
  BOOST_TEST(static_cast<int>(EncodeMessage(Hello())[1]) == 1);
  BOOST_TEST(static_cast<int>(EncodeMessage(Hello())[2]) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(BrokenFrames)

RC_BOOST_PROP(EachTruncationIsMalformed, ()) {
  const Message message =
      GeneratedMessage(*rc::gen::inRange<size_t>(0, kTypes));
  const std::string frame = EncodeMessage(message);
  for (size_t size = 0; size < frame.size(); ++size) {
    RC_ASSERT(FaultOf(frame.substr(0, size)) == CodecFault::kMalformed);
  }
  RC_ASSERT(FaultOf(frame + '\0') == CodecFault::kMalformed);
}

RC_BOOST_PROP(MutationsNeverCrash, ()) {
  const Message message =
      GeneratedMessage(*rc::gen::inRange<size_t>(0, kTypes));
  std::string frame = EncodeMessage(message);
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    frame[*rc::gen::inRange<size_t>(0, frame.size())] =
        *rc::gen::arbitrary<char>();
  }
  try {
    // What reads must be a message that the writer can produce.
    const Message read = DecodeMessage(frame);
    RC_ASSERT(SameMessage(DecodeMessage(EncodeMessage(read)), read));
  } catch (const PeerCodecError&) {
  }
}

RC_BOOST_PROP(ArbitraryBytesNeverCrash, (const std::string& bytes)) {
  FaultOf(bytes);
}

RC_BOOST_PROP(AChangedTypeOfAFieldIsAnError, ()) {
  // The element after each array head of an AnswerAck: type, protocol, key.
  const std::string text = *rc::gen::arbitrary<std::string>();
  const auto number = *rc::gen::arbitrary<uint32_t>();
  const size_t type = TypeOf(AnswerAck());
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(text, number))) ==
            std::nullopt);
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(number, text))) ==
            CodecFault::kWrongType);
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(text, text))) ==
            CodecFault::kWrongType);
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(text, -1))) ==
            CodecFault::kWrongType);
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(text, 1.5))) ==
            CodecFault::kWrongType);
  RC_ASSERT(FaultOf(Frame(type, 1, std::make_tuple(text))) ==
            CodecFault::kMissingField);
  RC_ASSERT(FaultOf(Frame(type, 1, text)) == CodecFault::kWrongType);
}

BOOST_AUTO_TEST_CASE(HeadersAreChecked) {
  BOOST_TEST((FaultOf("") == CodecFault::kMalformed));
  BOOST_TEST((FaultOf("\xc0") == CodecFault::kWrongType));
  BOOST_TEST((FaultOf(Frame(1)) == CodecFault::kMissingField));
  BOOST_TEST((FaultOf(Frame(0, 1)) == CodecFault::kUnknownType));
  BOOST_TEST((FaultOf(Frame(kTypes + 1, 1)) == CodecFault::kUnknownType));
  BOOST_TEST((FaultOf(Frame(1, 2)) == CodecFault::kWrongVersion));
  BOOST_TEST((FaultOf(Frame("1", 1)) == CodecFault::kWrongType));
  BOOST_TEST((FaultOf(Frame(1, 1)) == CodecFault::kMissingField));
}

BOOST_AUTO_TEST_CASE(LengthsAreBoundedBeforeMemoryIsTaken) {
  const std::string type(1, static_cast<char>(TypeOf(Handover())));
  // An array of 2^32 - 1 elements.
  BOOST_TEST((FaultOf("\x93" + type + "\x01\xdd\xff\xff\xff\xff") ==
              CodecFault::kTooLong));
  // A string of 2^32 - 1 bytes that are not there.
  BOOST_TEST((FaultOf("\x93" + type + "\x01\xdb\xff\xff\xff\xff") ==
              CodecFault::kMalformed));
  BOOST_TEST((FaultOf(std::string(kMaxFrameBytes + 1, '\xc0')) ==
              CodecFault::kTooLong));
  // Arrays nested without end.
  BOOST_TEST((FaultOf(std::string(100'000, '\x91')) == CodecFault::kTooLong));
}

BOOST_AUTO_TEST_CASE(OversizedFieldsAreNotWritten) {
  const auto fault = [](const Message& message) {
    try {
      EncodeMessage(message);
    } catch (const PeerCodecError& error) {
      return error.fault() == CodecFault::kTooLong;
    }
    return false;
  };
  Answer answer;
  answer.payload = std::make_shared<const std::string>(kMaxBodyBytes, 'x');
  BOOST_TEST(!fault(answer));
  answer.payload = std::make_shared<const std::string>(kMaxBodyBytes + 1, 'x');
  BOOST_TEST(fault(answer));
  Attach attach;
  attach.request = RequestId(std::string(kMaxIdBytes + 1, 'x'));
  BOOST_TEST(fault(attach));
  EntryGone gone;
  gone.running.resize(kMaxListLength + 1);
  BOOST_TEST(fault(gone));
}

BOOST_AUTO_TEST_CASE(EnumerationsAndNumbersAreBounded) {
  const size_t type = TypeOf(RegisterReply());
  BOOST_TEST(
      (FaultOf(Frame(type, 1, "r", 6, "m", 0, 0, false)) == std::nullopt));
  BOOST_TEST((FaultOf(Frame(type, 1, "r", 7, "m", 0, 0, false)) ==
              CodecFault::kWrongType));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LaterVersions)

BOOST_AUTO_TEST_CASE(FieldsAddedAtTheEndAreSkipped) {
  const Message message = DecodeMessage(
      Frame(TypeOf(AnswerAck()), 1, std::make_tuple("r/1", 2, "later"), 42));
  BOOST_TEST((std::get<AnswerAck>(message).key == TaskKey{TaskId("r/1"), 2}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
