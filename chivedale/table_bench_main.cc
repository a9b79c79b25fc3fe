// Measures the cost of a table change: bytes sent per change as a whole table
// and as changed rows, and the time to parse, validate and compare.
//
//   table_bench [REPETITIONS]
#include <chrono>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>

#include "chivedale/table_codec.h"
#include "util/clock.h"

namespace chivedale {
namespace {

constexpr int kTeams = 460;
constexpr int kRows = 500;
constexpr double kChangesPerDay = 51'000;

Table MakeTable() {
  Table table;
  table.revision = 1;
  table.change_id = "change-1";
  table.author = "operator";
  for (int i = 0; i < kTeams; ++i) {
    Team team;
    team.name = "team-" + std::to_string(i);
    team.quota = {640'000, 1'280'000, 64, 400};
    table.teams[team.name] = team;
  }
  for (int i = 0; i < kRows; ++i) {
    WorkRow row;
    row.kind = "kind-of-work-" + std::to_string(i);
    row.team = "team-" + std::to_string(i % kTeams);
    table.rows[row.kind] = row;
  }
  return table;
}

double MeanMicros(int times, const std::function<void()>& run) {
  const util::SteadyClock clock;
  const util::TimePoint start = clock.Now();
  for (int i = 0; i < times; ++i) {
    run();
  }
  const std::chrono::duration<double, std::micro> spent = clock.Now() - start;
  return spent.count() / times;
}

void Print(const std::string& what, double value, const std::string& unit) {
  std::cout << what << ": " << value << " " << unit << "\n";
  std::cout << R"({"measure":")" << what << R"(","value":)" << value
            << R"(,"unit":")" << unit << "\"}\n";
}

void Run(int times) {
  const Table before = MakeTable();
  Table after = before;
  after.revision = 2;
  after.change_id = "change-2";
  after.rows.begin()->second.weight = 2;
  const std::string whole = TableToJson(after);
  const std::string delta = TableDeltaToJson(before, after);
  const auto daily = [](size_t bytes) {
    return static_cast<double>(bytes) * kChangesPerDay / 1e6;
  };
  Print("whole table", static_cast<double>(whole.size()), "bytes/change");
  Print("changed rows", static_cast<double>(delta.size()), "bytes/change");
  Print("whole table per daemon", daily(whole.size()), "MB/day");
  Print("changed rows per daemon", daily(delta.size()), "MB/day");
  Print("parse and validate whole table",
        MeanMicros(times, [&] { ParseTable(whole); }), "us");
  Print("apply and validate changed rows",
        MeanMicros(times, [&] { ApplyTableDelta(before, delta); }), "us");
  Print("validate", MeanMicros(times, [&] { ValidateTable(after); }), "us");
  Print("make changed rows",
        MeanMicros(times, [&] { TableDeltaToJson(before, after); }), "us");
}

}  // namespace
}  // namespace chivedale

int main(int argc, char** argv) {
  const int times = argc > 1 ? std::atoi(argv[1]) : 200;
  if (times < 1) {
    std::cerr << "usage: table_bench [REPETITIONS]\n";
    return 2;
  }
  chivedale::Run(times);
  return 0;
}
