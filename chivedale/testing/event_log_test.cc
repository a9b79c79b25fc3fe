// Guards against an event missing in docs/events.md, a field value that breaks
// the line format, and events lost at process exit.
#include "chivedale/event_log.h"

#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <set>
#include <string>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/log4cxx_event_log.h"
#include "chivedale/testing/doc_table.h"

namespace chivedale {

BOOST_AUTO_TEST_SUITE(EventCatalogue)

BOOST_AUTO_TEST_CASE(DocumentationListsAllEvents) {
  static constexpr const char* kLevels[] = {"debug", "info", "warning",
                                            "error"};
  std::vector<std::vector<std::string>> rows =
      testing::ReadDocTable("docs/events.md");
  BOOST_REQUIRE_EQUAL(rows.size(), AllEvents().size());
  for (size_t i = 0; i < rows.size(); ++i) {
    const EventInfo& info = AllEvents()[i];
    BOOST_REQUIRE_EQUAL(rows[i].size(), 5u);
    BOOST_TEST(rows[i][0] == std::to_string(static_cast<int>(info.event)));
    BOOST_TEST(rows[i][1] == info.name);
    BOOST_TEST(rows[i][2] == kLevels[static_cast<int>(info.level)]);
    BOOST_TEST(!rows[i][3].empty());
    BOOST_TEST(!rows[i][4].empty());
  }
}

BOOST_AUTO_TEST_CASE(NumbersAndNamesAreUniqueAndInOrder) {
  std::set<std::string_view> names;
  int last = 0;
  for (const EventInfo& info : AllEvents()) {
    BOOST_TEST(static_cast<int>(info.event) > last);
    last = static_cast<int>(info.event);
    BOOST_TEST(names.insert(info.name).second);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(EventLines)

BOOST_AUTO_TEST_CASE(EscapesValues) {
  BOOST_TEST(FormatEvent(Event::kReady, {}) == "102 ready");
  BOOST_TEST(
      FormatEvent(Event::kWorkerClaimed, {{"worker", "w-1"}, {"token", "7"}}) ==
      "301 worker_claimed worker=w-1 token=7");
  BOOST_TEST(FormatEvent(Event::kReady, {{"a", ""}, {"b", "x y"}}) ==
             "102 ready a=\"\" b=\"x y\"");
  BOOST_TEST(FormatEvent(Event::kReady, {{"a", "1\n2\t\"\\=\x7f"}}) ==
             "102 ready a=\"1\\n2\\x09\\\"\\\\=\\x7f\"");
}

BOOST_AUTO_TEST_CASE(DestructorFlushesBuffer) {
  const std::string path =
      "event_log_test." + std::to_string(::getpid()) + ".log";
  {
    Log4cxxEventLog log({path, "info"});
    log.Write(Event::kBadCallerInput, {});  // below the log level
    for (int i = 0; i < 100; ++i) {
      log.Write(Event::kReady, {{"i", std::to_string(i)}});
    }
  }
  std::ifstream file(path);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) {
    lines.push_back(line);
  }
  std::remove(path.c_str());
  BOOST_REQUIRE_EQUAL(lines.size(), 100u);
  BOOST_TEST(lines[0].find(" INFO 102 ready i=0") != std::string::npos,
             lines[0]);
  BOOST_TEST(lines[99].find("i=99") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(RejectsInvalidOptions) {
  BOOST_CHECK_THROW(Log4cxxEventLog({"", "loud"}), Error);
  BOOST_CHECK_THROW(Log4cxxEventLog({"/nonexistent/x.log", "info"}), Error);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
