// Guards against partially read settings: a wrong key, type or address must
// give an error that names the key.
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "cell/settings.h"
#include "chivedale/error.h"

namespace chivedale::cell {
namespace {

constexpr char kValid[] =
    R"({"vm_id":"v","caller_address":"10.0.0.1:80","ready_address":)"
    R"("10.0.0.1:81","peer_address":"10.0.0.1:82","store_address":)"
    R"("10.0.0.9:80","advice_address":"","stop_time_ms":200,)"
    R"("cpu_share":0.25,"seeds":["10.0.0.2:82"]})";

BOOST_AUTO_TEST_SUITE(TheSettings)

BOOST_AUTO_TEST_CASE(AreReadWithDefaultsForTheRest) {
  const CellSettings settings = ParseCellSettings(kValid);
  BOOST_TEST(settings.vm_id == "v");
  BOOST_TEST(settings.stop_time.count() == 200);
  BOOST_TEST(settings.cpu_share == 0.25);
  BOOST_TEST(settings.seeds.size() == 1u);
  BOOST_TEST(settings.remote_rack_factor == 3.0);
}

BOOST_AUTO_TEST_CASE(NameTheInvalidKey) {
  const std::pair<const char*, const char*> cases[] = {
      {"", "JSON"},
      {"{}", "vm_id"},
      {R"({"vm_idd":"x"})", "vm_idd"},
      {R"({"vm_id":7})", "vm_id"},
      {R"({"vm_id":"x","caller_address":"nowhere"})", "caller_address"},
      {R"({"stop_time_ms":-1})", "stop_time_ms"},
      {R"({"cpu_share":0})", "cpu_share"},
      {R"({"far_factor":0.5})", "far_factor"},
      {R"({"store_value_bytes":100})", "store_value_bytes"},
      {R"({"store_value_bytes":"1 MB"})", "store_value_bytes"},
      {R"({"seeds":"x"})", "seeds"},
  };
  for (const auto& [text, key] : cases) {
    try {
      ParseCellSettings(text);
      BOOST_ERROR(std::string("accepted: ") + text);
    } catch (const Error& error) {
      BOOST_TEST((error.kind() == ErrorKind::kBadSettings));
      BOOST_TEST(std::string(error.what()).find(key) != std::string::npos,
                 error.what());
    }
  }
}

BOOST_AUTO_TEST_CASE(OfTheDeploymentUseOnlyKnownKeys) {
  std::ifstream file(CHIVEDALE_SOURCE_DIR "/deploy/settings.json");
  std::ostringstream text;
  text << file.rdbuf();
  BOOST_REQUIRE(!text.str().empty());
  // Parse each key of the template on its own. An object has the wrong type for
  // every known key, so only unknown keys give "unknown setting".
  const std::string body = text.str();
  size_t keys = 0;
  for (size_t at = body.find("\n  \""); at != std::string::npos;
       at = body.find("\n  \"", at + 1)) {
    const size_t begin = at + 4;
    const std::string key = body.substr(begin, body.find('"', begin) - begin);
    try {
      ParseCellSettings("{\"" + key + "\": {}}");
    } catch (const Error& error) {
      BOOST_TEST(std::string(error.what()).find("unknown setting") ==
                     std::string::npos,
                 key);
    }
    ++keys;
  }
  BOOST_TEST(keys > 10u);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
