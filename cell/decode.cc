#include "cell/decode.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Builds a value from parser events. Stops the parser at the first error or
// when a value is nested too deeply.
class ValueBuilder final : public nlohmann::json_sax<json> {
 public:
  bool null() override { return Add(nullptr); }
  bool boolean(bool value) override { return Add(value); }
  bool number_integer(number_integer_t value) override { return Add(value); }
  bool number_unsigned(number_unsigned_t value) override { return Add(value); }
  bool number_float(number_float_t value, const string_t&) override {
    return Add(value);
  }
  bool string(string_t& value) override { return Add(std::move(value)); }
  bool binary(binary_t& value) override {
    return Add(json::binary(std::move(value)));
  }
  bool start_object(size_t) override { return Open(json::object()); }
  bool start_array(size_t) override { return Open(json::array()); }
  bool key(string_t& value) override {
    key_ = std::move(value);
    return true;
  }
  bool end_object() override { return Close(); }
  bool end_array() override { return Close(); }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception&) override {
    return false;
  }

  json TakeValue() { return std::move(root_); }

 private:
  bool Add(json value) {
    Place(std::move(value));
    return true;
  }
  bool Open(json value) {
    if (open_.size() >= kMaxNesting) {
      return false;
    }
    open_.push_back(Place(std::move(value)));
    return true;
  }
  bool Close() {
    open_.pop_back();
    return true;
  }
  // The place is valid until the container that holds it is closed: no value is
  // added to that container while a nested one is open.
  json* Place(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    json& container = *open_.back();
    if (container.is_array()) {
      return &container.emplace_back(std::move(value));
    }
    json& member = container[key_];
    member = std::move(value);
    return &member;
  }

  json root_{json::value_t::discarded};
  std::vector<json*> open_;
  std::string key_;
};

json Parse(std::string_view bytes, json::input_format_t format) {
  ValueBuilder builder;
  if (!json::sax_parse(bytes, &builder, format)) {
    return json(json::value_t::discarded);
  }
  return builder.TakeValue();
}

}  // namespace

json ParseJson(std::string_view text) {
  return Parse(text, json::input_format_t::json);
}

json ParseMsgpack(std::string_view bytes) {
  return Parse(bytes, json::input_format_t::msgpack);
}

std::optional<int64_t> IntegerIn(const json& value, int64_t min, int64_t max) {
  if (value.is_number_float()) {
    // 2^63 is exact as a double, INT64_MAX is not. NaN fails both comparisons.
    constexpr double kLimit = 9223372036854775808.0;
    const double number = value.get<double>();
    if (!(number >= -kLimit && number < kLimit)) {
      return std::nullopt;
    }
    const auto whole = static_cast<int64_t>(number);
    return whole < min || whole > max ? std::nullopt : std::optional(whole);
  }
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) {
    return std::nullopt;
  }
  if (!value.is_number()) {
    return std::nullopt;
  }
  const auto number = value.get<int64_t>();
  return number < min || number > max ? std::nullopt : std::optional(number);
}

int64_t ClampedInteger(const json& value, int64_t min, int64_t max) {
  if (const auto number = IntegerIn(value, INT64_MIN, INT64_MAX)) {
    return std::clamp(*number, min, max);
  }
  return value.is_number() && value.get<double>() > 0 ? max : min;
}

double ClampedNumber(const json& value, double min, double max) {
  if (!value.is_number() || std::isnan(value.get<double>())) {
    return min;
  }
  return std::clamp(value.get<double>(), min, max);
}

std::optional<std::string> TextIn(const json& value, size_t max_bytes) {
  if (!value.is_string() ||
      value.get_ref<const std::string&>().size() > max_bytes) {
    return std::nullopt;
  }
  return value.get<std::string>();
}

}  // namespace chivedale::cell
