#include "util/random.h"

#include <xxhash.h>

namespace chivedale::util {

std::string Random::HexString(int digits) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(static_cast<size_t>(digits));
  for (int i = 0; i < digits; ++i) {
    text.push_back(kDigits[UniformInt(16)]);
  }
  return text;
}

uint64_t Hash64(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t RendezvousWeight(std::string_view key, std::string_view candidate) {
  return Hash64(candidate, Hash64(key));
}

}  // namespace chivedale::util
