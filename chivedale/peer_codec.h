// Encodes messages between daemons as frames. A frame is one msgpack array:
// type number, protocol version, then the fields in the order of peer_fields.h.
//
//   std::string frame = EncodeMessage(Ping{...});
//   Message message = DecodeMessage(frame);  // throws PeerCodecError
//
// New fields are only added at the end of a struct; readers skip unknown
// trailing fields. Durations are integer milliseconds.
#ifndef CHIVEDALE_PEER_CODEC_H_
#define CHIVEDALE_PEER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "chivedale/error.h"
#include "chivedale/messages.h"

namespace chivedale {

inline constexpr uint32_t kPeerProtocol = 1;
inline constexpr size_t kMaxFrameBytes = 8 << 20;
inline constexpr size_t kMaxIdBytes = 1'024;
// Limit of kinds, addresses and details.
inline constexpr size_t kMaxTextBytes = size_t{64} * 1024;
// Limit of bodies and tables; leaves room in the frame for the other fields.
inline constexpr size_t kMaxBodyBytes = kMaxFrameBytes - size_t{64} * 1024;
inline constexpr size_t kMaxListLength = 200'000;
// Limits of the absolute values of durations and of signed numbers, so that
// receivers can add them to clocks and counters.
inline constexpr Millis kMaxMessageDuration{int64_t{1} << 42};
inline constexpr int64_t kMaxMessageNumber = int64_t{1} << 53;

enum class CodecFault {
  kMalformed,    // invalid msgpack, truncated, or trailing bytes
  kUnknownType,  // from a later version; to be skipped
  kWrongVersion,
  kMissingField,
  kWrongType,  // or a value outside the field's range
  kTooLong,
};
std::string_view CodecFaultName(CodecFault fault);

// Thrown for a message or frame that violates the protocol.
class PeerCodecError : public Error {
 public:
  PeerCodecError(CodecFault fault, const std::string& detail)
      : Error(ErrorKind::kBadRequest, detail), fault_(fault) {}
  CodecFault fault() const { return fault_; }

 private:
  CodecFault fault_;
};

// Throws PeerCodecError(kTooLong) if a limit is exceeded.
std::string EncodeMessage(const Message& message);
// Throws PeerCodecError for any invalid frame.
Message DecodeMessage(std::string_view frame);

// Approximate size of the frame, without encoding it.
size_t EstimateFrameBytes(const Message& message);
std::string_view MessageName(const Message& message);

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_CODEC_H_
