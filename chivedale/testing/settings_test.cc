// Guards against a daemon that starts with a misspelt, mistyped or out-of-range
// setting, and against errors that do not name the invalid setting.
#include "chivedale/settings.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "chivedale/error.h"

namespace chivedale {
namespace {

nlohmann::json ValidSettings() {
  return {{"vm_id", "e-1"},
          {"data_centre", "fukuoka-1"},
          {"region", "fukuoka"},
          {"caller_address", "127.0.0.1:0"},
          {"peer_address", "[::1]:7001"},
          {"store_address", "127.0.0.1:7100"},
          {"vm_list_address", "127.0.0.1:7101"}};
}

std::string ParseErrors(const std::string& text) {
  try {
    ParseSettings(text);
  } catch (const Error& error) {
    BOOST_TEST((error.kind() == ErrorKind::kBadSettings));
    return error.what();
  }
  return "";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SettingsFile)

BOOST_AUTO_TEST_CASE(ParsesSettingsAndKeepsDefaults) {
  nlohmann::json json = ValidSettings();
  json["lease_ttl_ms"] = 500;
  json["seeds"] = {"127.0.0.1:1", "[::1]:65535"};
  json["routing"] = "least_loaded";
  json["placement"] = "spread";
  json["queue_policy"] = "fifo";
  json["seed"] = 18446744073709551615u;
  const Settings settings = ParseSettings(json.dump());
  BOOST_TEST(settings.vm_id == "e-1");
  BOOST_TEST((settings.lease_ttl == Millis(500)));
  BOOST_TEST(settings.seeds.size() == 2u);
  BOOST_TEST((settings.routing == RoutingPolicyKind::kLeastLoaded));
  BOOST_TEST((settings.placement == PlacementPolicyKind::kSpread));
  BOOST_TEST((settings.queue_policy == QueuePolicyKind::kFifo));
  BOOST_TEST(settings.seed == 18446744073709551615u);
  BOOST_TEST(settings.record_groups == 8);
}

BOOST_AUTO_TEST_CASE(ErrorNamesKeyValueAndBound) {
  struct Case {
    const char* key;
    nlohmann::json value;
    const char* message;
  };
  const std::vector<Case> cases = {
      {"lease_tll_ms", 500, "lease_tll_ms: unknown key, its value is 500"},
      {"vm_id", "", "vm_id: \"\" is not a string of 1 to 256 bytes"},
      {"vm_id", 7, "vm_id: 7 is not a string"},
      {"region", nullptr, "region: null is not a string"},
      {"traffic_threads", 0,
       "traffic_threads: 0 is not an integer from 1 to 64"},
      {"traffic_threads", 65, "traffic_threads: 65 is not"},
      {"traffic_threads", 2.5, "traffic_threads: 2.5 is not an integer"},
      {"traffic_threads", "2", "traffic_threads: \"2\" is not an integer"},
      {"record_groups", 18446744073709551615u, "record_groups: 1844"},
      {"max_deadline_ms", 1'800'001, "from 1000 to 1800000"},
      {"caller_address", "localhost:80",
       "caller_address: \"localhost:80\" is not IP:port"},
      {"caller_address", "127.0.0.1", "is not IP:port"},
      {"caller_address", "127.0.0.1:65536", "is not IP:port"},
      {"caller_address", "127.0.0.1:-1", "is not IP:port"},
      {"caller_address", "127.0.0.1:80x", "is not IP:port"},
      {"caller_address", "::1:80", "is not IP:port"},
      {"caller_address", "300.0.0.1:80", "is not IP:port"},
      {"store_address", "127.0.0.1:0", "a port from 1 to 65535"},
      {"seeds", "127.0.0.1:1", "is not a list of IP:port"},
      {"seeds", {"127.0.0.1:1", 4}, "seeds: 4 is not IP:port"},
      {"routing", "best",
       "one of two_choices, random, least_loaded, round_robin"},
      {"queue_policy", "lifo", "one of ours, fifo"},
      {"log_level", "loud", "one of debug, info, warning, error"},
      {"seed", -1, "seed: -1 is not an integer"},
      {"orphan_ttl_ms", 2'000, "orphan_ttl_ms: 2000 is not above lease_ttl_ms"},
  };
  for (const Case& c : cases) {
    nlohmann::json json = ValidSettings();
    json[c.key] = c.value;
    const std::string errors = ParseErrors(json.dump());
    BOOST_TEST_CONTEXT(c.key << " = " << c.value) {
      BOOST_TEST(errors.find(c.message) != std::string::npos, errors);
    }
  }
}

BOOST_AUTO_TEST_CASE(ReportsAllErrors) {
  nlohmann::json json = ValidSettings();
  json.erase("region");
  json["traffic_threads"] = 0;
  json["colour"] = "blue";
  const std::string errors = ParseErrors(json.dump());
  BOOST_TEST(errors.find("region: missing") != std::string::npos);
  BOOST_TEST(errors.find("traffic_threads") != std::string::npos);
  BOOST_TEST(errors.find("colour") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidJson) {
  BOOST_TEST(ParseErrors("").find("not JSON") != std::string::npos);
  BOOST_TEST(ParseErrors("{\"vm_id\":").find("not JSON") != std::string::npos);
  BOOST_TEST(ParseErrors("[]").find("not a JSON object") != std::string::npos);
  BOOST_TEST(
      ParseErrors(R"({"seed": 1, "seed": 2})").find("seed: given twice") !=
      std::string::npos);
  BOOST_CHECK_THROW(LoadSettings("/nonexistent/settings.json"), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
