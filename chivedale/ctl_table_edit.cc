#include "chivedale/ctl_table_edit.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "chivedale/ctl_options.h"
#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

// The key column of rows is "kind", that of teams is "name".
struct Section {
  const char* list;
  const char* key;
  const char* noun;
};
constexpr Section kRows{"rows", "kind", "row"};
constexpr Section kTeams{"teams", "name", "team"};

Json::iterator Find(Json& list,
                    const Section& section,
                    const std::string& name) {
  return std::find_if(list.begin(), list.end(), [&](const Json& item) {
    return item.at(section.key) == name;
  });
}

[[noreturn]] void Fail(const Section& section,
                       const std::string& name,
                       const char* what) {
  throw UsageError(std::string(section.noun) + " '" + name + "' " + what);
}

void Add(Json& list, const Section& section, const std::string& name) {
  if (Find(list, section, name) != list.end()) {
    Fail(section, name, "is already in the table");
  }
  list.push_back(Json{{section.key, name}});
}

void Remove(Json& list, const Section& section, const std::string& name) {
  const auto found = Find(list, section, name);
  if (found == list.end()) {
    Fail(section, name, "is not in the table");
  }
  list.erase(found);
}

void SetCell(Json& list, const Section& section, const CellEdit& cell) {
  const auto found = Find(list, section, cell.name);
  if (found == list.end()) {
    Fail(section, cell.name, "is not in the table");
  }
  (*found)[cell.column] = Json::parse(cell.value);
}

std::string Body(const Json& table,
                 uint64_t base_revision,
                 const std::string& change_id,
                 const std::string& author) {
  const Json body = {{"base_revision", base_revision},
                     {"change_id", change_id},
                     {"author", author},
                     {"rows", table.at("rows")},
                     {"teams", table.at("teams")}};
  return body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

CellEdit ParseCellEdit(const std::string& text) {
  constexpr char kTeamPrefix[] = "team:";
  const size_t equals = text.find('=');
  // Kinds may contain dots, columns do not.
  const size_t dot = equals == std::string::npos || equals == 0
                         ? std::string::npos
                         : text.rfind('.', equals);
  if (dot == std::string::npos || dot == 0 || dot + 1 == equals) {
    throw UsageError("'" + text + "' is not ROW.COLUMN=VALUE");
  }
  CellEdit cell;
  cell.name = text.substr(0, dot);
  cell.column = text.substr(dot + 1, equals - dot - 1);
  const std::string value = text.substr(equals + 1);
  cell.value =
      Json::accept(value)
          ? value
          : Json(value).dump(-1, ' ', false, Json::error_handler_t::replace);
  if (cell.name.rfind(kTeamPrefix, 0) == 0) {
    cell.team = true;
    cell.name = cell.name.substr(sizeof(kTeamPrefix) - 1);
  }
  return cell;
}

std::string EditTableBody(const std::string& table_json,
                          const CtlTableEdits& edits,
                          const std::string& change_id,
                          const std::string& author) {
  try {
    Json table = Json::parse(table_json);
    Json& rows = table.at("rows");
    Json& teams = table.at("teams");
    for (const std::string& name : edits.add_teams) {
      Add(teams, kTeams, name);
    }
    for (const std::string& name : edits.add_rows) {
      Add(rows, kRows, name);
    }
    for (const std::string& name : edits.remove_rows) {
      Remove(rows, kRows, name);
    }
    for (const std::string& name : edits.remove_teams) {
      Remove(teams, kTeams, name);
    }
    for (const CellEdit& cell : edits.cells) {
      SetCell(cell.team ? teams : rows, cell.team ? kTeams : kRows, cell);
    }
    return Body(table, table.at("revision").get<uint64_t>(), change_id, author);
  } catch (const Json::exception& error) {
    throw Error(
        ErrorKind::kBadRequest,
        std::string("the table that the server returned is malformed: ") +
            error.what());
  }
}

std::string ReplaceTableBody(const std::string& file_json,
                             uint64_t base_revision,
                             const std::string& change_id,
                             const std::string& author) {
  try {
    return Body(Json::parse(file_json), base_revision, change_id, author);
  } catch (const Json::exception& error) {
    throw UsageError(std::string("the table file is malformed: ") +
                     error.what());
  }
}

}  // namespace chivedale
