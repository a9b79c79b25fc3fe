// Guards against a parser of foreign bytes that reads valid values differently
// from the library's own, and against numbers that do not fit where they go.
#include "cell/decode.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>
#include <string>

#include "util/random.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

json RandomValue(util::Random& random, int depth) {
  switch (random.UniformInt(depth > 0 ? 9 : 7)) {
    case 0:
      return nullptr;
    case 1:
      return random.UniformInt(2) == 0;
    case 2:
      return random.Next();
    case 3:
      return -static_cast<int64_t>(random.UniformInt(1'000'000));
    case 4:
      return random.UniformReal() * 1e30;
    case 5:
      return random.HexString(static_cast<int>(random.UniformInt(5)));
    case 6:
      return "\"\\\u00e9\n";
    case 7: {
      json list = json::array();
      for (uint64_t i = random.UniformInt(4); i > 0; --i) {
        list.push_back(RandomValue(random, depth - 1));
      }
      return list;
    }
    default: {
      json object = json::object();
      for (uint64_t i = random.UniformInt(4); i > 0; --i) {
        object[random.HexString(1)] = RandomValue(random, depth - 1);
      }
      return object;
    }
  }
}

std::string Corrupt(std::string bytes, util::Random& random) {
  for (int i = 0; i < 2; ++i) {
    bytes[random.UniformInt(bytes.size())] =
        static_cast<char>(random.UniformInt(256));
  }
  return bytes;
}

// Equal as values, or both discarded. Compares the bytes, as NaN is not equal
// to itself.
bool SameValue(const json& a, const json& b) {
  if (a.is_discarded() || b.is_discarded()) {
    return a.is_discarded() && b.is_discarded();
  }
  return json::to_msgpack(a) == json::to_msgpack(b);
}

BOOST_AUTO_TEST_SUITE(ForeignBytes)

RC_BOOST_PROP(AreParsedAsByTheLibrary, (uint64_t seed)) {
  util::Random random(seed);
  const json value = RandomValue(random, 6);
  const std::string text = value.dump();
  RC_ASSERT(ParseJson(text) == value);
  std::string bytes;
  json::to_msgpack(value, bytes);
  RC_ASSERT(ParseMsgpack(bytes) == value);

  const std::string bad_text = Corrupt(text, random);
  RC_ASSERT(
      SameValue(ParseJson(bad_text), json::parse(bad_text, nullptr, false)));
  const std::string bad_bytes = Corrupt(bytes, random);
  RC_ASSERT(SameValue(ParseMsgpack(bad_bytes),
                      json::from_msgpack(bad_bytes, true, false)));
}

BOOST_AUTO_TEST_CASE(KeepTheLastOfTwoEqualKeys) {
  BOOST_TEST(ParseJson(R"({"a":1,"a":[2],"b":3})") ==
             json::parse(R"({"a":[2],"b":3})"));
}

BOOST_AUTO_TEST_CASE(AreDiscardedIfNestedTooDeeply) {
  BOOST_TEST(!ParseJson(Nested(kMaxNesting)).is_discarded());
  BOOST_TEST(ParseJson(Nested(kMaxNesting + 1)).is_discarded());
  BOOST_TEST(ParseJson(Nested(1'000'000)).is_discarded());
  std::string objects;
  for (size_t i = 0; i <= kMaxNesting; ++i) {
    objects += R"({"a":)";
  }
  BOOST_TEST(ParseJson(objects + "1" + std::string(kMaxNesting + 1, '}'))
                 .is_discarded());
  const std::string deep(kMaxNesting - 1, '\x91');
  BOOST_TEST(!ParseMsgpack(deep + '\x90').is_discarded());
  BOOST_TEST(ParseMsgpack(deep + "\x91\x90").is_discarded());
  BOOST_TEST(ParseMsgpack(std::string(1'000'000, '\x91')).is_discarded());
}

// A header may announce more elements than the bytes contain.
BOOST_AUTO_TEST_CASE(AreDiscardedIfTheyAnnounceMoreThanTheyContain) {
  for (const char* bytes : {"\xdd\xff\xff\xff\xff", "\xdf\xff\xff\xff\xff",
                            "\xdb\xff\xff\xff\xff", "\xc6\xff\xff\xff\xff"}) {
    BOOST_TEST(ParseMsgpack(bytes).is_discarded());
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ANumber)

BOOST_AUTO_TEST_CASE(IsTakenOnlyInItsRange) {
  BOOST_TEST((IntegerIn(7, 0, 7) == 7));
  BOOST_TEST((IntegerIn(7.9, 0, 7) == 7));
  BOOST_TEST((IntegerIn(-0.5, 0, 7) == 0));
  BOOST_TEST((IntegerIn(INT64_MIN, INT64_MIN, INT64_MAX) == INT64_MIN));
  BOOST_TEST((IntegerIn(INT64_MAX, INT64_MIN, INT64_MAX) == INT64_MAX));
  const json outside[] = {
      8,      -1,         8.0,          1e300,
      -1e300, UINT64_MAX, std::nan(""), std::numeric_limits<double>::infinity(),
      "7",    nullptr,    true,         json::array()};
  for (const json& value : outside) {
    BOOST_TEST(!IntegerIn(value, 0, 7).has_value(), value.dump());
  }
  for (const json& value : {json(9223372036854775808.0), json(UINT64_MAX),
                            json(-9223372036854777856.0)}) {
    BOOST_TEST(!IntegerIn(value, INT64_MIN, INT64_MAX).has_value(),
               value.dump());
  }
}

BOOST_AUTO_TEST_CASE(IsClampedToItsRange) {
  BOOST_TEST(ClampedInteger(5, 1, 7) == 5);
  BOOST_TEST(ClampedInteger(8, 1, 7) == 7);
  BOOST_TEST(ClampedInteger(-8, 1, 7) == 1);
  BOOST_TEST(ClampedInteger(1e300, 1, 7) == 7);
  BOOST_TEST(ClampedInteger(-1e300, 1, 7) == 1);
  BOOST_TEST(ClampedInteger(UINT64_MAX, 1, 7) == 7);
  BOOST_TEST(ClampedInteger(std::nan(""), 1, 7) == 1);
  BOOST_TEST(ClampedInteger("5", 1, 7) == 1);
  BOOST_TEST(ClampedNumber(5.5, 1, 7) == 5.5);
  BOOST_TEST(ClampedNumber(1e300, 1, 7) == 7);
  BOOST_TEST(ClampedNumber(std::nan(""), 1, 7) == 1);
  BOOST_TEST(ClampedNumber("5", 1, 7) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
