// A table of keys and bounds drives the parsing. All errors are collected
// before the exception is thrown, so that an operator sees them at once.
#include "chivedale/settings.h"

#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string_view>
#include <variant>

#include "chivedale/error.h"
#include "util/ip_port.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;
using Errors = std::vector<std::string>;

constexpr size_t kMaxTextBytes = 256;

enum class TextRule {
  kName,           // required, not empty
  kListenAddress,  // required IP:port, port 0 picks a free one
  kRemoteAddress,  // required IP:port
  kAny,
};

struct Text {
  std::string Settings::*member;
  TextRule rule;
};
struct AddressList {
  std::vector<std::string> Settings::*member;
};
template <typename T>
struct Number {
  T Settings::*member;
  int64_t min;
  int64_t max;
};
struct Seed {
  uint64_t Settings::*member;
};
template <typename T>
struct Choice {
  T Settings::*member;
  std::vector<std::pair<std::string_view, T>> values;
};

using Rule = std::variant<Text,
                          AddressList,
                          Number<int>,
                          Number<int64_t>,
                          Number<Millis>,
                          Seed,
                          Choice<std::string>,
                          Choice<RoutingPolicyKind>,
                          Choice<PlacementPolicyKind>,
                          Choice<QueuePolicyKind>>;

struct Key {
  std::string_view name;
  Rule rule;
};

const std::vector<Key>& Keys() {
  using Routing = RoutingPolicyKind;
  using Placing = PlacementPolicyKind;
  static const auto& keys = *new std::vector<Key>{
      {"vm_id", Text{&Settings::vm_id, TextRule::kName}},
      {"data_centre", Text{&Settings::data_centre, TextRule::kName}},
      {"region", Text{&Settings::region, TextRule::kName}},
      {"caller_address",
       Text{&Settings::caller_address, TextRule::kListenAddress}},
      {"peer_address", Text{&Settings::peer_address, TextRule::kListenAddress}},
      {"store_address",
       Text{&Settings::store_address, TextRule::kRemoteAddress}},
      {"vm_list_address",
       Text{&Settings::vm_list_address, TextRule::kRemoteAddress}},
      {"seeds", AddressList{&Settings::seeds}},
      {"traffic_threads", Number<int>{&Settings::traffic_threads, 1, 64}},
      {"max_body_bytes",
       // A body is sent in one peer frame, which is limited to 8 MB.
       Number<int64_t>{&Settings::max_body_bytes, 1, 7 << 20}},
      {"max_connections",
       Number<int64_t>{&Settings::max_connections, 1, 1'000'000}},
      {"caller_idle_timeout_ms",
       Number<Millis>{&Settings::caller_idle_timeout, 100, 3'600'000}},
      {"stop_deadline_ms",
       Number<Millis>{&Settings::stop_deadline, 0, 3'600'000}},
      {"lease_ttl_ms", Number<Millis>{&Settings::lease_ttl, 100, 60'000}},
      {"orphan_ttl_ms", Number<Millis>{&Settings::orphan_ttl, 200, 600'000}},
      {"answer_retention_ms",
       Number<Millis>{&Settings::answer_retention, 1'000, 3'600'000}},
      {"record_groups", Number<int>{&Settings::record_groups, 1, 256}},
      {"max_queued", Number<int64_t>{&Settings::max_queued, 1, 10'000'000}},
      {"max_deadline_ms",
       // Must be shorter than the retention of records (1 h), so that a record
       // outlives the retries of its request.
       Number<Millis>{&Settings::max_deadline, 1'000, 1'800'000}},
      {"routing", Choice<Routing>{&Settings::routing,
                                  {{"two_choices", Routing::kPowerOfTwoChoices},
                                   {"random", Routing::kRandom},
                                   {"least_loaded", Routing::kLeastLoaded},
                                   {"round_robin", Routing::kRoundRobin}}}},
      {"placement", Choice<Placing>{&Settings::placement,
                                    {{"pack", Placing::kPack},
                                     {"spread", Placing::kSpread},
                                     {"random", Placing::kRandom},
                                     {"round_robin", Placing::kRoundRobin}}}},
      {"queue_policy",
       Choice<QueuePolicyKind>{&Settings::queue_policy,
                               {{"ours", QueuePolicyKind::kFairQueue},
                                {"fifo", QueuePolicyKind::kFifo}}}},
      {"log_file", Text{&Settings::log_file, TextRule::kAny}},
      {"log_level", Choice<std::string>{&Settings::log_level,
                                        {{"debug", "debug"},
                                         {"info", "info"},
                                         {"warning", "warning"},
                                         {"error", "error"}}}},
      {"seed", Seed{&Settings::seed}},
  };
  return keys;
}

std::string FormatError(std::string_view key,
                        const std::string& value,
                        const std::string& bound) {
  return std::string(key) + ": " + value + " is not " + bound;
}

std::string Truncated(const Json& value) {
  constexpr size_t kMaxShownBytes = 80;
  std::string text = value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (text.size() > kMaxShownBytes) {
    text.resize(kMaxShownBytes);
    text += "...";
  }
  return text;
}

// Parses one value into the settings, or adds an error if the value violates
// its rule.
struct Reader {
  std::string_view key;
  const Json& value;
  Settings& settings;
  Errors& errors;

  void Reject(const std::string& bound) const {
    errors.push_back(FormatError(key, Truncated(value), bound));
  }

  bool CheckAddress(const Json& item, int min_port) const {
    const bool text = item.is_string();
    const auto address =
        text ? util::ParseIpPort(item.get_ref<const std::string&>())
             : std::nullopt;
    if (address && address->port >= min_port) {
      return true;
    }
    errors.push_back(FormatError(
        key, Truncated(item),
        "IP:port with a port from " + std::to_string(min_port) + " to 65535"));
    return false;
  }

  void operator()(const Text& rule) const {
    const bool listens = rule.rule == TextRule::kListenAddress;
    if (listens || rule.rule == TextRule::kRemoteAddress) {
      if (CheckAddress(value, listens ? 0 : 1)) {
        settings.*rule.member = value.get<std::string>();
      }
      return;
    }
    const size_t min = rule.rule == TextRule::kName ? 1 : 0;
    if (!value.is_string() ||
        value.get_ref<const std::string&>().size() < min ||
        value.get_ref<const std::string&>().size() > kMaxTextBytes) {
      Reject("a string of " + std::to_string(min) + " to " +
             std::to_string(kMaxTextBytes) + " bytes");
      return;
    }
    settings.*rule.member = value.get<std::string>();
  }

  void operator()(const AddressList& rule) const {
    if (!value.is_array()) {
      Reject("a list of IP:port");
      return;
    }
    for (const Json& item : value) {
      if (CheckAddress(item, 1)) {
        (settings.*rule.member).push_back(item.get<std::string>());
      }
    }
  }

  template <typename T>
  void operator()(const Number<T>& rule) const {
    // An unsigned value above INT64_MAX exceeds every maximum.
    const bool fits =
        value.is_number_integer() &&
        (!value.is_number_unsigned() ||
         value.get<uint64_t>() <= std::numeric_limits<int64_t>::max());
    const int64_t number = fits ? value.get<int64_t>() : 0;
    if (!fits || number < rule.min || number > rule.max) {
      Reject("an integer from " + std::to_string(rule.min) + " to " +
             std::to_string(rule.max));
      return;
    }
    settings.*rule.member = T(number);
  }

  void operator()(const Seed& rule) const {
    if (!value.is_number_unsigned()) {
      Reject("an integer from 0 to 18446744073709551615");
      return;
    }
    settings.*rule.member = value.get<uint64_t>();
  }

  template <typename T>
  void operator()(const Choice<T>& rule) const {
    std::string names;
    for (const auto& [name, choice] : rule.values) {
      if (value.is_string() && value.get_ref<const std::string&>() == name) {
        settings.*rule.member = choice;
        return;
      }
      names += (names.empty() ? "" : ", ") + std::string(name);
    }
    Reject("one of " + names);
  }
};

bool IsRequired(const Key& key) {
  const Text* text = std::get_if<Text>(&key.rule);
  return text != nullptr && text->rule != TextRule::kAny;
}

// Adds an error for duplicate keys, of which the parser keeps only the last.
Json ParseJson(const std::string& text, Errors& errors) {
  std::set<std::string> seen;
  const auto check_duplicate = [&](int depth, Json::parse_event_t event,
                                   Json& item) {
    if (event == Json::parse_event_t::key && depth == 1 &&
        !seen.insert(item.get<std::string>()).second) {
      errors.push_back(item.get<std::string>() + ": given twice");
    }
    return true;
  };
  try {
    return Json::parse(text, check_duplicate);
  } catch (const Json::exception& error) {
    throw Error(ErrorKind::kBadSettings,
                std::string("settings are not JSON: ") + error.what());
  }
}

void CheckConsistency(const Settings& settings, Errors& errors) {
  if (settings.orphan_ttl <= settings.lease_ttl) {
    errors.push_back(FormatError(
        "orphan_ttl_ms", std::to_string(settings.orphan_ttl.count()),
        "above lease_ttl_ms, which is " +
            std::to_string(settings.lease_ttl.count())));
  }
}

}  // namespace

Settings ParseSettings(const std::string& json) {
  Errors errors;
  const Json root = ParseJson(json, errors);
  if (!root.is_object()) {
    throw Error(ErrorKind::kBadSettings, "settings are not a JSON object");
  }
  Settings settings;
  std::set<std::string_view> known;
  for (const Key& key : Keys()) {
    known.insert(key.name);
    const auto found = root.find(std::string(key.name));
    if (found != root.end()) {
      std::visit(Reader{key.name, *found, settings, errors}, key.rule);
    } else if (IsRequired(key)) {
      errors.push_back(std::string(key.name) + ": missing");
    }
  }
  for (const auto& [name, value] : root.items()) {
    if (known.count(name) == 0) {
      errors.push_back(name + ": unknown key, its value is " +
                       Truncated(value));
    }
  }
  CheckConsistency(settings, errors);
  if (!errors.empty()) {
    std::string text;
    for (const std::string& message : errors) {
      text += (text.empty() ? "" : "\n") + message;
    }
    throw Error(ErrorKind::kBadSettings, text);
  }
  return settings;
}

Settings LoadSettings(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    throw Error(ErrorKind::kBadSettings,
                "cannot read the settings file '" + path + "'");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseSettings(text.str());
}

}  // namespace chivedale
