// Guards against a table that changes when it is encoded and decoded, and
// against an invalid table that is accepted or is refused without naming the
// row, column, value and bound.
#include "chivedale/table_codec.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <limits>

#include "chivedale/error.h"

namespace chivedale::testing {
namespace {

std::string Name(const char* prefix, int number) {
  return prefix + std::to_string(number);
}

rc::Gen<WorkRow> GenRow() {
  return rc::gen::exec([] {
    WorkRow row;
    row.kind = Name("kind-", *rc::gen::inRange(0, 8));
    row.shape = static_cast<WorkShape>(*rc::gen::inRange(0, 4));
    row.urgency = static_cast<Urgency>(*rc::gen::inRange(0, 3));
    row.weight = *rc::gen::inRange(1, 100'000) / 100.0;
    row.guaranteed_share = *rc::gen::inRange(0, 12'500) / 100'000.0;
    row.limits.max_running = *rc::gen::inRange(0, 10'000'001);
    row.limits.max_queued = *rc::gen::inRange(0, 10'000'001);
    row.limits.max_rate_per_s = *rc::gen::inRange(0, 1'000'001) / 3.0;
    row.size = {*rc::gen::inRange(1, 1'000'001), *rc::gen::inRange(0, 99'999),
                *rc::gen::inRange(0, 65), *rc::gen::inRange(0, 1025)};
    row.expected_run = Millis(*rc::gen::inRange(1, 10'000));
    row.longest_run = row.expected_run + Millis(*rc::gen::inRange(0, 10'000));
    row.max_retries = *rc::gen::inRange(0, 21);
    row.repeatable = *rc::gen::arbitrary<bool>();
    row.checkpoint = *rc::gen::arbitrary<bool>();
    row.region = static_cast<RegionRule>(*rc::gen::inRange(0, 3));
    row.team = Name("team-", *rc::gen::inRange(0, 4));
    row.objective.wait = Millis(*rc::gen::inRange(1, 100'000));
    row.objective.share = *rc::gen::inRange(0, 100) / 100.0;
    return row;
  });
}

rc::Gen<Table> GenTable() {
  return rc::gen::exec([] {
    Table table;
    table.revision = *rc::gen::inRange<uint64_t>(1, 1'000'000);
    table.change_id = Name("change-", *rc::gen::inRange(0, 1'000));
    table.author = *rc::gen::element<std::string>("", "ana", "森田", "\"x\\");
    table.changed_at = util::WallTime(Millis(*rc::gen::inRange(0, 99'999)));
    for (int i = 0; i < 4; ++i) {
      Team team;
      team.name = Name("team-", i);
      team.quota.cpu_milli = *rc::gen::inRange(0, 1'000'000);
      table.teams[team.name] = team;
    }
    for (const WorkRow& row : *rc::gen::container<std::vector<WorkRow>>(
             *rc::gen::inRange(0, 8), GenRow())) {
      table.rows[row.kind] = row;
    }
    return table;
  });
}

std::string FaultsOf(const std::string& json) {
  try {
    ParseTable(json);
  } catch (const Error& error) {
    BOOST_TEST((error.kind() == ErrorKind::kBadTable));
    return error.what();
  }
  return "";
}

std::string TableText(const std::string& row_columns) {
  return R"({"revision":1,"change_id":"c","teams":[{"name":"t"}],"rows":[{)" +
         row_columns + "}]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TableForm)

RC_BOOST_PROP(ATableSurvivesWritingAndReading, ()) {
  const Table table = *GenTable();
  RC_ASSERT(ValidateTable(table).empty());
  const std::string text = TableToJson(table);
  const Table read = ParseTable(text);
  RC_ASSERT(TableToJson(read) == text);
  RC_ASSERT(DiffTables(table, read).empty());
}

RC_BOOST_PROP(ADeltaGivesTheNewTableFromTheOldOne, ()) {
  const Table before = *GenTable();
  const Table after = *GenTable();
  const std::string delta = TableDeltaToJson(before, after);
  const Table applied = ApplyTableDelta(before, delta);
  RC_ASSERT(TableToJson(applied) == TableToJson(after));
  if (before.revision != after.revision) {
    RC_ASSERT_THROWS_AS(ApplyTableDelta(after, delta), Error);
  }
}

RC_BOOST_PROP(NoTextCrashesTheParser, ()) {
  std::string text = TableToJson(*GenTable());
  const auto edits = *rc::gen::container<std::vector<std::pair<int, char>>>(
      rc::gen::pair(rc::gen::inRange(0, 1 << 20), rc::gen::arbitrary<char>()));
  for (const auto& [place, c] : edits) {
    text[static_cast<size_t>(place) % text.size()] = c;
  }
  try {
    RC_ASSERT(ValidateTable(ParseTable(text)).empty());
  } catch (const Error& error) {
    RC_ASSERT(error.kind() == ErrorKind::kBadTable);
  }
}

BOOST_AUTO_TEST_CASE(EachFaultNamesRowColumnValueAndBound) {
  const struct {
    const char* columns;
    const char* fault;
  } cases[] = {
      {R"("kind":"a","weight":0)",
       "row 1 \"a\", column weight: value 0 is outside 0.001 to 1000"},
      {R"("kind":"a","max_retries":21)",
       "row 1 \"a\", column max_retries: value 21 is outside 0 to 20"},
      {R"("kind":"a","cpu_milli":1.5)",
       "row 1 \"a\", column cpu_milli: value 1.5 is not an integer"},
      {R"("kind":"a","repeatable":"yes")",
       "row 1 \"a\", column repeatable: value \"yes\" is neither"},
      {R"("kind":"a","colour":1)",
       "row 1 \"a\", column \"colour\": unknown column"},
      {R"("kind":"a","urgency":"soon")",
       "column urgency: value \"soon\" is not one of urgent, normal, batch"},
      {R"("kind":"A b")", "column kind: value \"A b\" is not 1 to 64"},
      {R"("weight":1)", "row 1, column kind: value is missing"},
      {R"("kind":"a","team":"x")",
       "row a, column team: value \"x\" is not a team of the table"},
      {R"("kind":"a","urgency":"urgent","objective_wait_ms":0)",
       "row a, column objective_wait_ms: value 0 ms is below 1 ms"},
      {R"("kind":"a","expected_run_ms":10,"longest_run_ms":9)",
       "row a, column longest_run_ms: value 9 ms is below"},
      {R"("kind":"a","guaranteed_share":0.6},{"kind":"b",)"
       R"("guaranteed_share":0.6)",
       "column guaranteed_share: sum 1.2 is above 1"},
      {R"("kind":"a"},{"kind":"a")", "row \"a\" occurs twice"},
      {R"("kind":"a","weight":1,"weight":2)", "\"weight\" occurs twice"},
      {R"("kind":"a","max_running":99999999999999999999)", "max_running"},
  };
  for (const auto& test : cases) {
    const std::string faults = FaultsOf(TableText(test.columns));
    BOOST_TEST(faults.find(test.fault) != std::string::npos,
               test.columns << " gave: " << faults);
  }
  BOOST_TEST(FaultsOf(TableText(R"("kind":"a","team":"t")")) == "");
}

BOOST_AUTO_TEST_CASE(AllFaultsAreFoundAtOnce) {
  const std::string faults =
      FaultsOf(TableText(R"("kind":"a","weight":-1,"slots":-1,"x":1)"));
  BOOST_TEST(std::count(faults.begin(), faults.end(), '\n') == 2);
}

BOOST_AUTO_TEST_CASE(ATableOverTheSizeOfAStoreValueIsRefused) {
  Table table;
  for (int i = 0; i < 4'000; ++i) {
    WorkRow row;
    row.kind = Name("kind-", i);
    table.rows[row.kind] = row;
  }
  const std::vector<std::string> faults = ValidateTable(table);
  BOOST_REQUIRE(faults.size() == 1U);
  BOOST_TEST(faults[0].find("above 900000 bytes") != std::string::npos);
  BOOST_TEST(FaultsOf(TableToJson(table)).find("above 900000 bytes") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(NotANumberIsOutOfBounds) {
  Table table;
  table.rows["a"].kind = "a";
  table.rows["a"].weight = std::numeric_limits<double>::quiet_NaN();
  BOOST_TEST(ValidateTable(table).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
