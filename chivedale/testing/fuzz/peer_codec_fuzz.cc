// libFuzzer target of the peer codec: encoding a decoded message must be
// stable, that is, decoding and encoding the result again gives the same bytes.
// Built with clang and -DCHIVEDALE_FUZZ=ON.
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>

#include "chivedale/peer_codec.h"

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size) {
  const std::string_view frame(reinterpret_cast<const char*>(data), size);
  try {
    const std::string encoded =
        chivedale::EncodeMessage(chivedale::DecodeMessage(frame));
    if (chivedale::EncodeMessage(chivedale::DecodeMessage(encoded)) !=
        encoded) {
      std::abort();
    }
  } catch (const chivedale::PeerCodecError&) {
  }
  return 0;
}
