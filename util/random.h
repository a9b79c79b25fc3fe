// Random numbers and hashes. Classes that make random choices take a Random& in
// the constructor, so that a seed reproduces their choices.
#ifndef UTIL_RANDOM_H_
#define UTIL_RANDOM_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace chivedale::util {

class Random {
 public:
  explicit Random(uint64_t seed) : engine_(seed) {}

  uint64_t Next() { return engine_(); }
  // Uniform in [0, bound). `bound` must be positive.
  uint64_t UniformInt(uint64_t bound) {
    return std::uniform_int_distribution<uint64_t>(0, bound - 1)(engine_);
  }
  // Uniform in [0, 1).
  double UniformReal() {
    return std::uniform_real_distribution<double>(0.0, 1.0)(engine_);
  }
  // A string of `digits` random hexadecimal digits, for ids.
  std::string HexString(int digits);

 private:
  std::mt19937_64 engine_;
};

// The same in all processes and releases. Used for rendezvous hashing.
uint64_t Hash64(std::string_view text, uint64_t seed = 0);

// The rendezvous hash of `key` and `candidate`. The candidate with the highest
// weight owns the key; removing a candidate moves only the keys that it owned.
uint64_t RendezvousWeight(std::string_view key, std::string_view candidate);

}  // namespace chivedale::util

#endif  // UTIL_RANDOM_H_
