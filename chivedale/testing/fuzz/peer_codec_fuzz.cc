// libFuzzer target of the peer codec: a frame that reads must be one that the
// writer produces again. Built with clang and -DCHIVEDALE_FUZZ=ON.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "chivedale/peer_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view frame(reinterpret_cast<const char*>(data), size);
  try {
    const std::string written =
        chivedale::EncodeMessage(chivedale::DecodeMessage(frame));
    if (chivedale::EncodeMessage(chivedale::DecodeMessage(written)) !=
        written) {
      std::abort();
    }
  } catch (const chivedale::PeerCodecError&) {
  }
  return 0;
}
