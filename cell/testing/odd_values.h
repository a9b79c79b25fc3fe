// Values that a decoder does not expect, for tests that replace parts of valid
// documents.
#ifndef CELL_TESTING_ODD_VALUES_H_
#define CELL_TESTING_ODD_VALUES_H_

#include <cmath>
#include <cstdint>
#include <iterator>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "util/random.h"

namespace chivedale::cell::testing {

inline nlohmann::json OddValues() {
  using nlohmann::json;
  json nested = json::array();
  for (int depth = 0; depth < 100; ++depth) {
    nested = json::array({nested});
  }
  return json::array(
      {nullptr, true, -1, INT64_MIN, INT64_MAX, UINT64_MAX, 1e300, -1e300,
       std::nan(""), std::numeric_limits<double>::infinity(), "",
       std::string(5'000, 'x'), "\xff\xfe", "a:65536", "127.0.0.1:0",
       json::array(), json::object(), json::binary({0xc1}), std::move(nested)});
}

// Replaces one value of the document.
inline nlohmann::json WithOddValue(const nlohmann::json& document,
                                   util::Random& random) {
  const nlohmann::json fields = document.flatten();
  const auto field = std::next(
      fields.begin(), static_cast<long>(random.UniformInt(fields.size())));
  nlohmann::json::json_pointer place(field.key());
  // Sometimes a container instead of a value in it.
  while (!place.empty() && random.UniformInt(4) == 0) {
    place.pop_back();
  }
  const nlohmann::json values = OddValues();
  nlohmann::json odd = document;
  odd[place] = values[random.UniformInt(values.size())];
  return odd;
}

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_ODD_VALUES_H_
