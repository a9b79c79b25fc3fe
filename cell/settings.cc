#include "cell/settings.h"

#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "cell/decode.h"
#include "chivedale/error.h"
#include "util/ip_port.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Above the value of any site; catches values in the wrong unit.
constexpr double kMaxMillis = 3'600'000;
// Bounds of the store's limit of a value.
constexpr int64_t kMinValueBytes = 16'384;
constexpr int64_t kMaxValueBytes = int64_t{1} << 30;

[[noreturn]] void ThrowBadSetting(const std::string& key,
                                  const std::string& what) {
  throw Error(ErrorKind::kBadSettings, key + ": " + what);
}

std::string ParseString(const std::string& key, const json& value) {
  if (!value.is_string()) {
    ThrowBadSetting(key, "must be a string, got " + value.dump());
  }
  return value.get<std::string>();
}

std::string ParseAddress(const std::string& key, const json& value) {
  std::string text = ParseString(key, value);
  if (!util::ParseIpPort(text)) {
    ThrowBadSetting(key, "'" + text + "' is not IP:port");
  }
  return text;
}

Millis ParseMillis(const std::string& key, const json& value) {
  if (!value.is_number() || value.get<double>() < 0 ||
      value.get<double>() > kMaxMillis) {
    ThrowBadSetting(
        key, "must be milliseconds from 0 to 3600000, got " + value.dump());
  }
  return Millis(std::llround(value.get<double>()));
}

using Setter =
    std::function<void(CellSettings&, const std::string&, const json&)>;

Setter StringSetter(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = ParseString(key, value);
  };
}
Setter AddressSetter(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = ParseAddress(key, value);
  };
}
Setter OptionalAddressSetter(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = value == "" ? "" : ParseAddress(key, value);
  };
}
Setter MillisSetter(Millis CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = ParseMillis(key, value);
  };
}

Setter PositiveNumberSetter(double CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    if (!value.is_number() || value.get<double>() <= 0) {
      ThrowBadSetting(key,
                      "must be a number greater than 0, got " + value.dump());
    }
    s.*member = value.get<double>();
  };
}

template <typename T>
Setter ChoiceSetter(T CellSettings::*member, std::map<std::string, T> choices) {
  return [member, choices = std::move(choices)](
             CellSettings& s, const std::string& key, const json& value) {
    const auto found =
        choices.find(value.is_string() ? value.get<std::string>() : "");
    if (found == choices.end()) {
      std::string names;
      for (const auto& [name, choice] : choices) {
        names += (names.empty() ? "" : ", ") + name;
      }
      ThrowBadSetting(key, "must be one of " + names + ", got " + value.dump());
    }
    s.*member = found->second;
  };
}

const std::map<std::string, Setter>& Setters() {
  static const auto& setters = *new std::map<std::string, Setter>{
      {"vm_id", StringSetter(&CellSettings::vm_id)},
      {"data_centre", StringSetter(&CellSettings::data_centre)},
      {"region", StringSetter(&CellSettings::region)},
      {"caller_address", AddressSetter(&CellSettings::caller_address)},
      {"ready_address", AddressSetter(&CellSettings::ready_address)},
      {"peer_address", AddressSetter(&CellSettings::peer_address)},
      {"metrics_address",
       OptionalAddressSetter(&CellSettings::metrics_address)},
      {"store_address", AddressSetter(&CellSettings::store_address)},
      {"advice_address", OptionalAddressSetter(&CellSettings::advice_address)},
      {"vm_address", OptionalAddressSetter(&CellSettings::vm_address)},
      {"log_level", StringSetter(&CellSettings::log_level)},
      {"longest_lease_ms", MillisSetter(&CellSettings::longest_lease)},
      {"stop_time_ms", MillisSetter(&CellSettings::stop_time)},
      {"gang_timeout_ms", MillisSetter(&CellSettings::gang_timeout)},
      {"restore_ms", MillisSetter(&CellSettings::restore_time)},
      {"status_retention_ms", MillisSetter(&CellSettings::status_retention)},
      {"store_value_bytes",
       [](CellSettings& s, const std::string& key, const json& value) {
         const auto bytes = IntegerIn(value, kMinValueBytes, kMaxValueBytes);
         if (!bytes) {
           ThrowBadSetting(key, "must be a number from " +
                                    std::to_string(kMinValueBytes) + " to " +
                                    std::to_string(kMaxValueBytes) + ", got " +
                                    value.dump());
         }
         s.store_value_bytes = static_cast<size_t>(*bytes);
       }},
      {"upkeep_time_ms", MillisSetter(&CellSettings::upkeep_time)},
      {"stop_grace_ms", MillisSetter(&CellSettings::stop_grace_period)},
      {"cpu_share", PositiveNumberSetter(&CellSettings::cpu_share)},
      {"link_mbps", PositiveNumberSetter(&CellSettings::link_mbps)},
      {"far_factor",
       [](CellSettings& s, const std::string& key, const json& value) {
         if (!value.is_number() || value.get<double>() < 1) {
           ThrowBadSetting(
               key, "must be a number of at least 1, got " + value.dump());
         }
         s.remote_rack_factor = value.get<double>();
       }},
      {"revocation_bound_ms", MillisSetter(&CellSettings::revocation_bound)},
      {"account_overshoot",
       [](CellSettings& s, const std::string& key, const json& value) {
         if (!value.is_number() || value.get<double>() < 0 ||
             value.get<double>() > 1) {
           ThrowBadSetting(key, "must be from 0 to 1, got " + value.dump());
         }
         s.account_overshoot = value.get<double>();
       }},
      {"shortage_order", ChoiceSetter(&CellSettings::shortage_order,
                                      {{"objective", ShortageOrder::kObjective},
                                       {"cost", ShortageOrder::kCost}})},
      {"outage_admission",
       ChoiceSetter(&CellSettings::outage_admission,
                    {{"hold", OutageAdmission::kHold},
                     {"refuse", OutageAdmission::kRefuse}})},
      {"seeds",
       [](CellSettings& s, const std::string& key, const json& value) {
         if (!value.is_array()) {
           ThrowBadSetting(key, "must be an array, got " + value.dump());
         }
         for (const json& seed : value) {
           s.seeds.push_back(ParseAddress(key, seed));
         }
       }},
  };
  return setters;
}

void Require(const std::string& key, const std::string& value) {
  if (value.empty()) {
    ThrowBadSetting(key, "is required");
  }
}

}  // namespace

CellSettings ParseCellSettings(const std::string& text) {
  const json value = ParseJson(text);
  if (!value.is_object()) {
    throw Error(ErrorKind::kBadSettings, "settings must be a JSON object");
  }
  CellSettings settings;
  for (const auto& [key, member] : value.items()) {
    const auto setter = Setters().find(key);
    if (setter == Setters().end()) {
      ThrowBadSetting(key, "unknown setting");
    }
    setter->second(settings, key, member);
  }
  Require("vm_id", settings.vm_id);
  Require("caller_address", settings.caller_address);
  Require("ready_address", settings.ready_address);
  Require("peer_address", settings.peer_address);
  Require("store_address", settings.store_address);
  return settings;
}

CellSettings LoadCellSettings(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw Error(ErrorKind::kBadSettings, "cannot read '" + path + "'");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseCellSettings(text.str());
}

}  // namespace chivedale::cell
