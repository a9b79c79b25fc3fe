// Guards against fields lost or swapped by the encoding, invalid frames that
// crash the decoder, and corrupted frames that decode as another valid message.
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

using testing::EqualMessages;
using testing::GenerateMessage;

constexpr size_t kTypes = std::variant_size_v<Message>;

std::optional<CodecFault> DecodeFault(const std::string& frame) {
  try {
    DecodeMessage(frame);
  } catch (const PeerCodecError& error) {
    return error.fault();
  }
  return std::nullopt;
}

// Encodes the values as a frame, for frames that EncodeMessage cannot produce.
template <typename... Values>
std::string EncodeFrame(const Values&... values) {
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
    const Message message = GenerateMessage(type);
    const std::string frame = EncodeMessage(message);
    RC_ASSERT(EqualMessages(DecodeMessage(frame), message));
    // The send queue is bounded by this estimate, so the estimate must not be
    // much less than half of the real size.
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

BOOST_AUTO_TEST_SUITE(InvalidFrames)

RC_BOOST_PROP(EachTruncationIsMalformed, ()) {
  const Message message = GenerateMessage(*rc::gen::inRange<size_t>(0, kTypes));
  const std::string frame = EncodeMessage(message);
  for (size_t size = 0; size < frame.size(); ++size) {
    RC_ASSERT(DecodeFault(frame.substr(0, size)) == CodecFault::kMalformed);
  }
  RC_ASSERT(DecodeFault(frame + '\0') == CodecFault::kMalformed);
}

RC_BOOST_PROP(MutationsNeverCrash, ()) {
  const Message message = GenerateMessage(*rc::gen::inRange<size_t>(0, kTypes));
  std::string frame = EncodeMessage(message);
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes; ++i) {
    frame[*rc::gen::inRange<size_t>(0, frame.size())] =
        *rc::gen::arbitrary<char>();
  }
  try {
    // A decoded message must be one that can be encoded.
    const Message read = DecodeMessage(frame);
    RC_ASSERT(EqualMessages(DecodeMessage(EncodeMessage(read)), read));
  } catch (const PeerCodecError&) {
  }
}

RC_BOOST_PROP(ArbitraryBytesNeverCrash, (const std::string& bytes)) {
  DecodeFault(bytes);
}

RC_BOOST_PROP(WrongFieldTypeIsAnError, ()) {
  // An AnswerAck frame is [type, protocol version, [task, attempt]].
  const std::string text = *rc::gen::arbitrary<std::string>();
  const auto number = *rc::gen::arbitrary<uint32_t>();
  const size_t type = TypeOf(AnswerAck());
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(text, number))) ==
            std::nullopt);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(number, text))) ==
            CodecFault::kWrongType);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(text, text))) ==
            CodecFault::kWrongType);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(text, -1))) ==
            CodecFault::kWrongType);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(text, 1.5))) ==
            CodecFault::kWrongType);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, std::make_tuple(text))) ==
            CodecFault::kMissingField);
  RC_ASSERT(DecodeFault(EncodeFrame(type, 1, text)) == CodecFault::kWrongType);
}

BOOST_AUTO_TEST_CASE(HeadersAreChecked) {
  BOOST_TEST((DecodeFault("") == CodecFault::kMalformed));
  BOOST_TEST((DecodeFault("\xc0") == CodecFault::kWrongType));
  BOOST_TEST((DecodeFault(EncodeFrame(1)) == CodecFault::kMissingField));
  BOOST_TEST((DecodeFault(EncodeFrame(0, 1)) == CodecFault::kUnknownType));
  BOOST_TEST(
      (DecodeFault(EncodeFrame(kTypes + 1, 1)) == CodecFault::kUnknownType));
  BOOST_TEST((DecodeFault(EncodeFrame(1, 2)) == CodecFault::kWrongVersion));
  BOOST_TEST((DecodeFault(EncodeFrame("1", 1)) == CodecFault::kWrongType));
  BOOST_TEST((DecodeFault(EncodeFrame(1, 1)) == CodecFault::kMissingField));
}

BOOST_AUTO_TEST_CASE(LengthsAreCheckedBeforeAllocation) {
  const std::string type(1, static_cast<char>(TypeOf(Handover())));
  // An array of 2^32 - 1 elements.
  BOOST_TEST((DecodeFault("\x93" + type + "\x01\xdd\xff\xff\xff\xff") ==
              CodecFault::kTooLong));
  // A string of 2^32 - 1 bytes without data.
  BOOST_TEST((DecodeFault("\x93" + type + "\x01\xdb\xff\xff\xff\xff") ==
              CodecFault::kMalformed));
  BOOST_TEST((DecodeFault(std::string(kMaxFrameBytes + 1, '\xc0')) ==
              CodecFault::kTooLong));
  // Deeply nested arrays.
  BOOST_TEST(
      (DecodeFault(std::string(100'000, '\x91')) == CodecFault::kTooLong));
}

BOOST_AUTO_TEST_CASE(OversizedFieldsAreNotEncoded) {
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
  BOOST_TEST((DecodeFault(EncodeFrame(type, 1, "r", 6, "m", 0, 0, false)) ==
              std::nullopt));
  BOOST_TEST((DecodeFault(EncodeFrame(type, 1, "r", 7, "m", 0, 0, false)) ==
              CodecFault::kWrongType));
  // A JobNotice is [type, protocol version, job, record, revision].
  const auto notice_fault = [](int64_t revision) {
    return DecodeFault(EncodeFrame(TypeOf(JobNotice()), 1, "j",
                                   msgpack::type::nil_t(), revision));
  };
  const auto retry_fault = [type](int64_t retry_after) {
    return DecodeFault(
        EncodeFrame(type, 1, "r", 6, "m", retry_after, 0, false));
  };
  BOOST_TEST((notice_fault(int64_t{1} << 53) == std::nullopt));
  BOOST_TEST((retry_fault(int64_t{1} << 42) == std::nullopt));
  BOOST_TEST((retry_fault(-5) == std::nullopt));
  for (const int64_t odd : {INT64_MAX, INT64_MIN, (int64_t{1} << 53) + 1,
                            -(int64_t{1} << 53) - 1}) {
    BOOST_TEST((notice_fault(odd) == CodecFault::kWrongType), odd);
    BOOST_TEST((retry_fault(odd) == CodecFault::kWrongType), odd);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EarlierVersions)

// Guards against a field added to the heartbeat: members of the version before
// would be taken for silent during an upgrade.
BOOST_AUTO_TEST_CASE(HeartbeatsOfMembersAreAccepted) {
  BOOST_TEST((DecodeFault(EncodeFrame(
                  TypeOf(CellBeat()), 1, "vm-1", "boot", "10.0.0.1:80", true,
                  false, true, 1, std::vector<int>(), 0.5)) == std::nullopt));
}

BOOST_AUTO_TEST_CASE(MessagesKeepTheirTypeNumbers) {
  BOOST_TEST(TypeOf(LeaderQuery()) == TypeOf(JobNotice()) + 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LaterVersions)

BOOST_AUTO_TEST_CASE(FieldsAddedAtTheEndAreSkipped) {
  const Message message = DecodeMessage(EncodeFrame(
      TypeOf(AnswerAck()), 1, std::make_tuple("r/1", 2, "later"), 42));
  BOOST_TEST((std::get<AnswerAck>(message).key == TaskKey{TaskId("r/1"), 2}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
