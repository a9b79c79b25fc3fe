#include "cell/settings.h"

#include <cmath>
#include <fstream>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "chivedale/error.h"
#include "util/ip_port.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Above any site's; catches a value in the wrong unit.
constexpr double kMaxMillis = 3'600'000;

[[noreturn]] void Bad(const std::string& key, const std::string& what) {
  throw Error(ErrorKind::kBadSettings, key + ": " + what);
}

std::string Text(const std::string& key, const json& value) {
  if (!value.is_string()) {
    Bad(key, "must be a text, is " + value.dump());
  }
  return value.get<std::string>();
}

std::string Address(const std::string& key, const json& value) {
  std::string text = Text(key, value);
  if (!util::ParseIpPort(text)) {
    Bad(key, "'" + text + "' is not IP:port");
  }
  return text;
}

Millis Time(const std::string& key, const json& value) {
  if (!value.is_number() || value.get<double>() < 0 ||
      value.get<double>() > kMaxMillis) {
    Bad(key, "must be milliseconds from 0 to 3600000, is " + value.dump());
  }
  return Millis(std::llround(value.get<double>()));
}

using Setter =
    std::function<void(CellSettings&, const std::string&, const json&)>;

Setter TextTo(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = Text(key, value);
  };
}
Setter AddressTo(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = Address(key, value);
  };
}
Setter OptionalAddressTo(std::string CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = value == "" ? "" : Address(key, value);
  };
}
Setter TimeTo(Millis CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    s.*member = Time(key, value);
  };
}

Setter AmountTo(double CellSettings::*member) {
  return [member](CellSettings& s, const std::string& key, const json& value) {
    if (!value.is_number() || value.get<double>() <= 0) {
      Bad(key, "must be a number above 0, is " + value.dump());
    }
    s.*member = value.get<double>();
  };
}

const std::map<std::string, Setter>& Setters() {
  static const auto& setters = *new std::map<std::string, Setter>{
      {"vm_id", TextTo(&CellSettings::vm_id)},
      {"data_centre", TextTo(&CellSettings::data_centre)},
      {"region", TextTo(&CellSettings::region)},
      {"caller_address", AddressTo(&CellSettings::caller_address)},
      {"ready_address", AddressTo(&CellSettings::ready_address)},
      {"peer_address", AddressTo(&CellSettings::peer_address)},
      {"metrics_address", OptionalAddressTo(&CellSettings::metrics_address)},
      {"store_address", AddressTo(&CellSettings::store_address)},
      {"advice_address", OptionalAddressTo(&CellSettings::advice_address)},
      {"vm_address", OptionalAddressTo(&CellSettings::vm_address)},
      {"log_level", TextTo(&CellSettings::log_level)},
      {"longest_lease_ms", TimeTo(&CellSettings::longest_lease)},
      {"stop_time_ms", TimeTo(&CellSettings::stop_time)},
      {"gang_timeout_ms", TimeTo(&CellSettings::gang_timeout)},
      {"restore_ms", TimeTo(&CellSettings::restore)},
      {"status_retention_ms", TimeTo(&CellSettings::status_retention)},
      {"upkeep_time_ms", TimeTo(&CellSettings::upkeep_time)},
      {"stop_grace_ms", TimeTo(&CellSettings::stop_grace)},
      {"cpu_share", AmountTo(&CellSettings::cpu_share)},
      {"link_mbps", AmountTo(&CellSettings::link_mbps)},
      {"far_factor",
       [](CellSettings& s, const std::string& key, const json& value) {
         if (!value.is_number() || value.get<double>() < 1) {
           Bad(key, "must be a number of 1 or more, is " + value.dump());
         }
         s.far_factor = value.get<double>();
       }},
      {"seeds",
       [](CellSettings& s, const std::string& key, const json& value) {
         if (!value.is_array()) {
           Bad(key, "must be a list, is " + value.dump());
         }
         for (const json& seed : value) {
           s.seeds.push_back(Address(key, seed));
         }
       }},
  };
  return setters;
}

void Require(const std::string& key, const std::string& value) {
  if (value.empty()) {
    Bad(key, "is required");
  }
}

}  // namespace

CellSettings ParseCellSettings(const std::string& text) {
  const json value = json::parse(text, nullptr, false);
  if (!value.is_object()) {
    throw Error(ErrorKind::kBadSettings, "the settings are no JSON object");
  }
  CellSettings settings;
  for (const auto& [key, member] : value.items()) {
    const auto setter = Setters().find(key);
    if (setter == Setters().end()) {
      Bad(key, "is no setting");
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
