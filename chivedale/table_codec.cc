// Rows and teams are arrays of objects, so that duplicate kinds are detected
// and reported; with an object, the parser would silently keep the last of two
// equal keys.
#include "chivedale/table_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

#include "chivedale/error.h"
#include "chivedale/table_columns.h"

namespace chivedale {
namespace {

using nlohmann::json;
using Faults = std::vector<std::string>;

// The store accepts values of up to 1 MB; the rest is left for the envelope in
// which it stores the table.
constexpr size_t kMaxTableBytes = 900'000;
constexpr size_t kMaxChangeIdSize = 128;
constexpr size_t kMaxAuthorSize = 128;
constexpr size_t kMaxRows = 5'000;
constexpr size_t kMaxTeams = 5'000;
// Tolerance for the sum of shares given as decimal fractions.
constexpr double kShareRounding = 1e-9;
// Further faults of a table are counted but not listed.
constexpr size_t kMaxFaults = 200;

const std::vector<Column<WorkRow>>& ColumnsOf(const WorkRow&) {
  return RowColumns();
}
const std::vector<Column<Team>>& ColumnsOf(const Team&) {
  return TeamColumns();
}
const std::string& NameOf(const WorkRow& row) {
  return row.kind;
}
const std::string& NameOf(const Team& team) {
  return team.name;
}
std::string Label(const WorkRow& row) {
  return "row " + row.kind;
}
std::string Label(const Team& team) {
  return "team " + team.name;
}

template <typename T>
json ToObject(const T& row) {
  json object = json::object();
  for (const Column<T>& column : ColumnsOf(row)) {
    object[column.name] = column.get(row);
  }
  return object;
}

std::string ColumnFault(std::string where,
                        const std::string& column,
                        const std::string& fault) {
  where += ", column " + column;
  where += ": " + fault;
  return where;
}

template <typename T>
T FromObject(const json& object, const std::string& place, Faults& faults) {
  T row;
  if (!object.is_object()) {
    faults.push_back(place + ": value " + Shortened(object) +
                     " is not an object");
    return row;
  }
  const std::vector<Column<T>>& columns = ColumnsOf(row);
  const json& name = object.contains(columns.front().name)
                         ? object.at(columns.front().name)
                         : json();
  const std::string where =
      name.is_string() ? place + " " + Shortened(name) : place;
  if (name.is_null()) {
    faults.push_back(where + ", column " + columns.front().name +
                     ": value is missing");
  }
  for (const auto& [key, value] : object.items()) {
    const auto column =
        std::find_if(columns.begin(), columns.end(),
                     [&key = key](const auto& c) { return c.name == key; });
    if (column == columns.end()) {
      faults.push_back(
          ColumnFault(where, Shortened(json(key)), "unknown column"));
      continue;
    }
    const std::string fault = column->set(row, value);
    if (!fault.empty()) {
      faults.push_back(ColumnFault(where, key, fault));
    }
  }
  return row;
}

template <typename T>
std::map<std::string, T> FromArray(const json& object,
                                   const char* key,
                                   const std::string& place,
                                   Faults& faults) {
  std::map<std::string, T> result;
  if (!object.contains(key)) {
    faults.push_back(std::string(key) + ": value is missing");
    return result;
  }
  if (!object.at(key).is_array()) {
    faults.push_back(std::string(key) + ": value is not an array");
    return result;
  }
  int number = 0;
  for (const json& element : object.at(key)) {
    ++number;
    std::string where = place;
    where += " " + std::to_string(number);
    T row = FromObject<T>(element, where, faults);
    const std::string name = NameOf(row);
    if (!result.emplace(name, std::move(row)).second) {
      where += ": " + place;
      where += " " + Shortened(json(name)) + " occurs twice";
      faults.push_back(where);
    }
  }
  return result;
}

// Parses an object and rejects duplicate keys.
json ParseStrict(const std::string& text) {
  if (text.size() > kMaxTableBytes) {
    throw Error(ErrorKind::kBadTable,
                "table: size " + std::to_string(text.size()) + " is above " +
                    std::to_string(kMaxTableBytes) + " bytes");
  }
  std::vector<std::set<std::string>> keys;
  std::string twice;
  const json::parser_callback_t callback = [&](int, json::parse_event_t event,
                                               json& parsed) {
    if (event == json::parse_event_t::object_start) {
      keys.emplace_back();
    } else if (event == json::parse_event_t::object_end) {
      keys.pop_back();
    } else if (event == json::parse_event_t::key &&
               !keys.back().insert(parsed.get<std::string>()).second) {
      twice = parsed.get<std::string>();
    }
    return true;
  };
  json value;
  try {
    value = json::parse(text, callback);
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kBadTable, std::string("table: ") + error.what());
  }
  if (!twice.empty()) {
    throw Error(ErrorKind::kBadTable,
                "table: column " + Shortened(json(twice)) + " occurs twice");
  }
  if (!value.is_object()) {
    throw Error(ErrorKind::kBadTable, "table: value is not an object");
  }
  return value;
}

void ReadUnsigned(const json& object,
                  const char* key,
                  uint64_t& out,
                  Faults& faults) {
  if (!object.contains(key)) {
    return;
  }
  const json& value = object.at(key);
  if (!value.is_number_unsigned() ||
      value.get<uint64_t>() > static_cast<uint64_t>(kMaxInteger)) {
    faults.push_back(std::string(key) + ": value " + Shortened(value) +
                     " is outside 0 to " + std::to_string(kMaxInteger));
    return;
  }
  out = value.get<uint64_t>();
}

void ReadString(const json& object,
                const char* key,
                std::string& out,
                Faults& faults) {
  if (!object.contains(key)) {
    return;
  }
  if (!object.at(key).is_string()) {
    faults.push_back(std::string(key) + ": value " + Shortened(object.at(key)) +
                     " is not a string");
    return;
  }
  out = object.at(key).get<std::string>();
}

// Reads the revision, change id, author and time.
void ReadHead(const json& object,
              const std::set<std::string>& others,
              Table& table,
              Faults& faults) {
  ReadUnsigned(object, "revision", table.revision, faults);
  ReadString(object, "change_id", table.change_id, faults);
  ReadString(object, "author", table.author, faults);
  uint64_t changed_at = 0;
  ReadUnsigned(object, "changed_at_ms", changed_at, faults);
  table.changed_at = util::WallTime(Millis(changed_at));
  for (const auto& [key, value] : object.items()) {
    const bool known = key == "revision" || key == "change_id" ||
                       key == "author" || key == "changed_at_ms" ||
                       others.count(key) != 0;
    if (!known) {
      faults.push_back("table, column " + Shortened(json(key)) +
                       ": unknown column");
    }
  }
}

json HeadToJson(const Table& table) {
  return json{{"revision", table.revision},
              {"change_id", table.change_id},
              {"author", table.author},
              {"changed_at_ms", table.changed_at.time_since_epoch().count()}};
}

void ThrowFaults(const Faults& faults) {
  if (faults.empty()) {
    return;
  }
  std::string text;
  for (const std::string& fault : faults) {
    text += (text.empty() ? "" : "\n") + fault;
  }
  throw Error(ErrorKind::kBadTable, text);
}

template <typename T>
json ToArray(const std::map<std::string, T>& rows) {
  json array = json::array();
  for (const auto& [name, row] : rows) {
    array.push_back(ToObject(row));
  }
  return array;
}

std::string Dump(const json& value) {
  try {
    return value.dump();
  } catch (const json::exception& error) {
    throw Error(ErrorKind::kBadTable, std::string("table: ") + error.what());
  }
}

template <typename T>
void CheckColumns(const std::string& key, const T& row, Faults& faults) {
  if (key != NameOf(row)) {
    faults.push_back(Label(row) + ": is stored under the name " +
                     Shortened(json(key)));
  }
  for (const Column<T>& column : ColumnsOf(row)) {
    const std::string fault = column.check(row);
    if (!fault.empty()) {
      faults.push_back(Label(row) + ", column " + column.name + ": " + fault);
    }
  }
}

void CheckRow(const Table& table, const WorkRow& row, Faults& faults) {
  if (!row.team.empty() && table.teams.count(row.team) == 0) {
    faults.push_back(Label(row) + ", column team: value " +
                     Shortened(json(row.team)) + " is not a team of the table");
  }
  if (row.longest_run < row.expected_run) {
    faults.push_back(Label(row) + ", column longest_run_ms: value " +
                     std::to_string(row.longest_run.count()) +
                     " ms is below expected_run_ms, " +
                     std::to_string(row.expected_run.count()) + " ms");
  }
  if (row.urgency == Urgency::kUrgent && row.objective.wait.count() <= 0) {
    faults.push_back(Label(row) +
                     ", column objective_wait_ms: value 0 ms is below 1 ms, "
                     "the minimum for urgent rows");
  }
  if (row.size.IsZero()) {
    faults.push_back(Label(row) +
                     ", column cpu_milli: all components of the size are 0");
  }
}

bool HasControlCharacter(const std::string& text) {
  return std::any_of(text.begin(), text.end(), [](char c) {
    return static_cast<unsigned char>(c) < 0x20 || c == 0x7f;
  });
}

void CheckHead(const Table& table, Faults& faults) {
  if (table.revision > static_cast<uint64_t>(kMaxInteger)) {
    faults.push_back("table, column revision: " +
                     OutOfBounds(std::to_string(table.revision), "0",
                                 std::to_string(kMaxInteger)));
  }
  if (table.change_id.size() > kMaxChangeIdSize ||
      HasControlCharacter(table.change_id)) {
    faults.push_back("table, column change_id: value " +
                     Shortened(json(table.change_id)) + " is not at most " +
                     std::to_string(kMaxChangeIdSize) +
                     " bytes without control characters");
  }
  if (table.author.size() > kMaxAuthorSize ||
      HasControlCharacter(table.author)) {
    faults.push_back("table, column author: value " +
                     Shortened(json(table.author)) + " is not at most " +
                     std::to_string(kMaxAuthorSize) +
                     " bytes without control characters");
  }
  if (table.rows.size() > kMaxRows) {
    faults.push_back("table: " + std::to_string(table.rows.size()) +
                     " rows, at most " + std::to_string(kMaxRows));
  }
  if (table.teams.size() > kMaxTeams) {
    faults.push_back("table: " + std::to_string(table.teams.size()) +
                     " teams, at most " + std::to_string(kMaxTeams));
  }
}

void CheckShares(const Table& table, Faults& faults) {
  double sum = 0;
  for (const auto& [kind, row] : table.rows) {
    sum += row.guaranteed_share;
  }
  if (sum > 1 + kShareRounding) {
    faults.push_back("table, column guaranteed_share: sum " + NumberText(sum) +
                     " is above 1");
  }
}

void CheckSize(const Table& table, Faults& faults) {
  try {
    const size_t bytes = TableToJson(table).size();
    if (bytes > kMaxTableBytes) {
      faults.push_back("table: size " + std::to_string(bytes) + " is above " +
                       std::to_string(kMaxTableBytes) + " bytes");
    }
  } catch (const Error& error) {
    faults.emplace_back(error.what());
  }
}

// Checks everything except the size of the JSON text, which ParseStrict()
// checks for parsed tables and CheckSize() for tables to be written. The size
// of a table made from a delta is not checked.
Faults CheckTable(const Table& table) {
  Faults faults;
  CheckHead(table, faults);
  for (const auto& [name, team] : table.teams) {
    CheckColumns(name, team, faults);
  }
  for (const auto& [kind, row] : table.rows) {
    CheckColumns(kind, row, faults);
    CheckRow(table, row, faults);
  }
  CheckShares(table, faults);
  return faults;
}

void Shorten(Faults& faults) {
  if (faults.size() <= kMaxFaults) {
    return;
  }
  const size_t more = faults.size() - kMaxFaults;
  faults.resize(kMaxFaults);
  faults.push_back("and " + std::to_string(more) + " further faults");
}

template <typename T>
void Diff(const std::map<std::string, T>& before,
          const std::map<std::string, T>& after,
          const std::string& prefix,
          std::vector<TableChange>& changes) {
  for (const auto& [name, row] : before) {
    auto it = after.find(name);
    if (it == after.end()) {
      changes.push_back({TableChange::Kind::kRemoved, prefix + name, "",
                         Dump(ToObject(row)), ""});
      continue;
    }
    for (const Column<T>& column : ColumnsOf(row)) {
      const json old_value = column.get(row);
      const json new_value = column.get(it->second);
      if (old_value != new_value) {
        changes.push_back({TableChange::Kind::kChanged, prefix + name,
                           column.name, Dump(old_value), Dump(new_value)});
      }
    }
  }
  for (const auto& [name, row] : after) {
    if (before.count(name) == 0) {
      changes.push_back({TableChange::Kind::kAdded, prefix + name, "", "",
                         Dump(ToObject(row))});
    }
  }
}

template <typename T>
bool Same(const T& a, const T& b) {
  for (const Column<T>& column : ColumnsOf(a)) {
    if (column.get(a) != column.get(b)) {
      return false;
    }
  }
  return true;
}

template <typename T>
void AddDelta(const std::map<std::string, T>& before,
              const std::map<std::string, T>& after,
              const std::string& key,
              json& delta) {
  json changed = json::array();
  json removed = json::array();
  for (const auto& [name, row] : after) {
    auto it = before.find(name);
    if (it == before.end() || !Same(it->second, row)) {
      changed.push_back(ToObject(row));
    }
  }
  for (const auto& [name, row] : before) {
    if (after.count(name) == 0) {
      removed.push_back(name);
    }
  }
  delta[key] = std::move(changed);
  delta["removed_" + key] = std::move(removed);
}

template <typename T>
void ApplyDelta(const json& delta,
                const std::string& key,
                const std::string& place,
                std::map<std::string, T>& rows,
                Faults& faults) {
  const std::string removed = "removed_" + key;
  if (!delta.contains(removed) || !delta.at(removed).is_array()) {
    faults.push_back(removed + ": value is not an array");
    return;
  }
  for (const json& name : delta.at(removed)) {
    if (!name.is_string() || rows.erase(name.get<std::string>()) == 0) {
      faults.push_back(removed + ": value " + Shortened(name) +
                       " is not in the base");
    }
  }
  std::map<std::string, T> changed =
      FromArray<T>(delta, key.c_str(), place, faults);
  for (auto& [name, row] : changed) {
    rows[name] = std::move(row);
  }
}

}  // namespace

Table ParseTable(const std::string& text) {
  const json object = ParseStrict(text);
  Faults faults;
  Table table;
  ReadHead(object, {"rows", "teams"}, table, faults);
  table.teams = FromArray<Team>(object, "teams", "team", faults);
  table.rows = FromArray<WorkRow>(object, "rows", "row", faults);
  // Checks across columns are meaningful only if each column is valid.
  if (faults.empty()) {
    faults = CheckTable(table);
  }
  Shorten(faults);
  ThrowFaults(faults);
  return table;
}

std::string TableToJson(const Table& table) {
  json object = HeadToJson(table);
  object["teams"] = ToArray(table.teams);
  object["rows"] = ToArray(table.rows);
  return Dump(object);
}

std::vector<std::string> ValidateTable(const Table& table) {
  Faults faults = CheckTable(table);
  CheckSize(table, faults);
  Shorten(faults);
  return faults;
}

std::vector<TableChange> DiffTables(const Table& before, const Table& after) {
  std::vector<TableChange> changes;
  Diff(before.rows, after.rows, "", changes);
  Diff(before.teams, after.teams, "team ", changes);
  return changes;
}

std::string TableDeltaToJson(const Table& base, const Table& table) {
  json delta = HeadToJson(table);
  delta["base_revision"] = base.revision;
  AddDelta(base.rows, table.rows, "rows", delta);
  AddDelta(base.teams, table.teams, "teams", delta);
  return Dump(delta);
}

Table ApplyTableDelta(const Table& base, const std::string& text) {
  const json delta = ParseStrict(text);
  Faults faults;
  uint64_t base_revision = 0;
  ReadUnsigned(delta, "base_revision", base_revision, faults);
  if (base_revision != base.revision) {
    faults.push_back("base_revision: value " + std::to_string(base_revision) +
                     " is not that of the base, " +
                     std::to_string(base.revision));
  }
  Table table = base;
  ReadHead(delta,
           {"base_revision", "rows", "teams", "removed_rows", "removed_teams"},
           table, faults);
  ApplyDelta(delta, "teams", "team", table.teams, faults);
  ApplyDelta(delta, "rows", "row", table.rows, faults);
  if (faults.empty()) {
    faults = CheckTable(table);
  }
  Shorten(faults);
  ThrowFaults(faults);
  return table;
}

}  // namespace chivedale
