#include "chivedale/ctl_render.h"

#include <algorithm>
#include <cctype>
#include <cstdio>
#include <ctime>
#include <functional>
#include <nlohmann/json.hpp>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

std::string Printable(std::string text) {
  for (char& c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte < 0x20 || byte == 0x7f) {
      c = '?';
    }
  }
  return text;
}

// Returns the number of characters, not bytes, in UTF-8 text.
size_t Width(const std::string& text) {
  return static_cast<size_t>(std::count_if(
      text.begin(), text.end(),
      [](char c) { return (static_cast<unsigned char>(c) & 0xc0) != 0x80; }));
}

bool IsNumber(const std::string& text) {
  return !text.empty() &&
         std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) != 0 || c == '.' || c == '-' || c == '%' ||
                  c == '+' || c == 'e';
         });
}

std::string Decimal(double value, const char* format = "%.2f") {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), format, value);
  return text.data();
}

std::string YesNo(bool value) {
  return value ? "yes" : "no";
}

// Returns a JSON value as the text of a cell; strings are not quoted.
std::string Cell(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string UtcTime(int64_t millis) {
  const auto seconds = static_cast<std::time_t>(millis / 1'000);
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

std::string Amount(const Json& part, const Json& whole, const char* key) {
  return Cell(part.at(key)) + "/" + Cell(whole.at(key));
}

std::string Duration(Millis span) {
  const double hours = static_cast<double>(span.count()) / 3'600'000;
  return hours < 1 ? Decimal(hours * 60, "%.0f min") : Decimal(hours, "%.1f h");
}

std::string Rendered(const std::string& json,
                     const std::function<std::string(const Json&)>& render) {
  try {
    return render(Json::parse(json));
  } catch (const Json::exception& error) {
    throw Error(
        ErrorKind::kBadRequest,
        std::string("the server's answer is malformed: ") + error.what());
  }
}

}  // namespace

TextTable::TextTable(std::vector<std::string> heading) {
  lines_.push_back(std::move(heading));
}

void TextTable::Add(std::vector<std::string> cells) {
  for (std::string& cell : cells) {
    cell = Printable(std::move(cell));
  }
  cells.resize(lines_.front().size());
  lines_.push_back(std::move(cells));
}

std::string TextTable::Render() const {
  const size_t columns = lines_.front().size();
  std::vector<size_t> widths(columns);
  std::vector<bool> right(columns, lines_.size() > 1);
  for (size_t i = 0; i < lines_.size(); ++i) {
    for (size_t c = 0; c < columns; ++c) {
      widths[c] = std::max(widths[c], Width(lines_[i][c]));
      right[c] = right[c] && (i == 0 || IsNumber(lines_[i][c]));
    }
  }
  std::string out;
  for (const auto& line : lines_) {
    std::string text;
    for (size_t c = 0; c < columns; ++c) {
      const std::string pad(widths[c] - Width(line[c]), ' ');
      text += (c == 0 ? "" : "  ") + (right[c] ? pad + line[c] : line[c] + pad);
    }
    text.erase(text.find_last_not_of(' ') + 1);
    out += text + "\n";
  }
  return out;
}

std::string RenderTable(const Table& table) {
  std::string out = "revision " + std::to_string(table.revision) + " by " +
                    Printable(table.author) + "\n\n";
  TextTable rows({"KIND", "SHAPE", "URGENCY", "WEIGHT", "CPU_MILLI",
                  "MEMORY_MB", "ACC", "SLOTS", "MAX_RUNNING", "MAX_QUEUED",
                  "RUN_MS", "LONGEST_MS", "RETRIES", "REPEATABLE", "REGION",
                  "TEAM", "WAIT_MS", "SHARE"});
  for (const auto& [kind, row] : table.rows) {
    rows.Add({kind, ShapeName(row.shape), UrgencyName(row.urgency),
              Decimal(row.weight, "%g"), std::to_string(row.size.cpu_milli),
              std::to_string(row.size.memory_mb),
              std::to_string(row.size.accelerators),
              std::to_string(row.size.slots),
              std::to_string(row.limits.max_running),
              std::to_string(row.limits.max_queued),
              std::to_string(row.expected_run.count()),
              std::to_string(row.longest_run.count()),
              std::to_string(row.max_retries), YesNo(row.repeatable),
              RegionRuleName(row.region), row.team.empty() ? "-" : row.team,
              std::to_string(row.objective.wait.count()),
              Decimal(row.objective.share, "%g")});
  }
  out += rows.Render();
  if (!table.teams.empty()) {
    TextTable teams({"TEAM", "CPU_MILLI", "MEMORY_MB", "ACC", "SLOTS"});
    for (const auto& [name, team] : table.teams) {
      teams.Add({name, std::to_string(team.quota.cpu_milli),
                 std::to_string(team.quota.memory_mb),
                 std::to_string(team.quota.accelerators),
                 std::to_string(team.quota.slots)});
    }
    out += "\n" + teams.Render();
  }
  return out;
}

std::string RenderChanges(const std::vector<TableChange>& changes) {
  if (changes.empty()) {
    return "no differences\n";
  }
  static constexpr const char* kKinds[] = {"added", "removed", "changed"};
  TextTable out({"CHANGE", "ROW", "COLUMN", "BEFORE", "AFTER"});
  for (const TableChange& change : changes) {
    out.Add({kKinds[static_cast<size_t>(change.kind)], change.row,
             change.column, change.before, change.after});
  }
  return out.Render();
}

std::string RenderBurn(const BurnReport& report) {
  TextTable rows({"KIND", "SHARE", "WAIT_MS", "ALARM", "5MIN", "1H", "6H", "3D",
                  "BUDGET_LASTS", "P50_MS", "P99_MS", "CAUSE"});
  for (const BurnRow& row : report.rows) {
    const bool lost = row.windows.back().bad > 0;
    const bool spending = row.time_to_exhaustion.count() > 0;
    rows.Add(
        {row.kind, Decimal(row.objective.share, "%g"),
         std::to_string(row.objective.wait.count()),
         row.page ? "page" : (row.ticket ? "ticket" : "-"),
         Decimal(row.burn_rate[0]), Decimal(row.burn_rate[1]),
         Decimal(row.burn_rate[2]), Decimal(row.burn_rate[3]),
         row.exhausted ? "used up"
                       : (spending ? Duration(row.time_to_exhaustion) : "-"),
         Decimal(row.wait_p50_ms, "%.0f"), Decimal(row.wait_p99_ms, "%.0f"),
         lost ? std::string(BurnCauseName(row.largest_cause)) : "-"});
  }
  std::string out = rows.Render();
  for (const std::string& gap : report.gaps) {
    out += "note: " + Printable(gap) + "\n";
  }
  return out;
}

std::string RenderHistoryText(const std::string& json) {
  return Rendered(json, [](const Json& root) {
    std::string out;
    for (const Json& entry : root.at("history")) {
      out += "revision " + Cell(entry.at("revision")) + "  " +
             UtcTime(entry.at("changed_at_ms").get<int64_t>()) + "  " +
             Printable(Cell(entry.at("author"))) + "  " +
             Printable(Cell(entry.at("change_id"))) + "\n";
      if (entry.at("changes").is_null()) {
        out += "  (oldest known)\n";
        continue;
      }
      for (const Json& change : entry.at("changes")) {
        const std::string column = Cell(change.at("column"));
        out += Printable("  " + Cell(change.at("kind")) + " " +
                         Cell(change.at("row")) +
                         (column.empty() ? "" : "." + column) + ": " +
                         Cell(change.at("before")) + " -> " +
                         Cell(change.at("after"))) +
               "\n";
      }
    }
    return out.empty() ? std::string("no revisions\n") : out;
  });
}

std::string RenderStatusText(const std::string& json) {
  return Rendered(json, [](const Json& root) {
    TextTable facts({"FACT", "VALUE"});
    facts.Add({"member", Cell(root.at("self").at("id"))});
    for (const char* key :
         {"lifecycle", "ready", "not_ready_reason", "table_revision",
          "rejected_table_revision", "rejected_table_reason", "store_up",
          "vm_list_doubted", "owned_workers", "queued", "open_requests"}) {
      facts.Add({key, Cell(root.at(key))});
    }
    TextTable members({"MEMBER", "ADDRESS", "DATA_CENTRE", "REGION", "STATE"});
    for (const Json& member : root.at("members")) {
      members.Add({Cell(member.at("id")), Cell(member.at("address")),
                   Cell(member.at("data_centre")), Cell(member.at("region")),
                   Cell(member.at("state"))});
    }
    return facts.Render() + "\n" + members.Render();
  });
}

std::string RenderWorkersText(const std::string& json) {
  return Rendered(json, [](const Json& root) {
    TextTable out({"WORKER", "LEASE", "DATA_CENTRE", "RACK", "CPU_MILLI",
                   "MEMORY_MB", "ACC", "SLOTS", "RUNNING", "LEAVING",
                   "FAILURES"});
    for (const Json& worker : root.at("workers")) {
      const Json& used = worker.at("committed");
      const Json& all = worker.at("capacity");
      out.Add({Cell(worker.at("id")), Cell(worker.at("lease")),
               Cell(worker.at("data_centre")), Cell(worker.at("rack")),
               Amount(used, all, "cpu_milli"), Amount(used, all, "memory_mb"),
               Amount(used, all, "accelerators"), Amount(used, all, "slots"),
               Cell(worker.at("running")),
               YesNo(worker.at("leaving").get<bool>()),
               Decimal(worker.at("failure_rate").get<double>())});
    }
    return out.Render();
  });
}

std::string RenderQueueText(const std::string& json) {
  return Rendered(json, [](const Json& root) {
    TextTable out({"KIND", "QUEUED", "OLDEST_WAIT_MS"});
    for (const Json& row : root.at("rows")) {
      out.Add({Cell(row.at("kind")), Cell(row.at("queued")),
               Cell(row.at("oldest_wait_ms"))});
    }
    return out.Render();
  });
}

std::string RenderJobText(const std::string& json) {
  return Rendered(json, [](const Json& root) {
    const std::string reason = Cell(root.at("reason"));
    std::string out =
        Printable("job " + Cell(root.at("id")) + "  kind " +
                  Cell(root.at("kind")) + "  " + Cell(root.at("phase")) +
                  (reason.empty() ? "" : ": " + reason)) +
        "\n\n";
    TextTable tasks(
        {"TASK", "PHASE", "ATTEMPT", "WORKER", "RACK", "DATA_CENTRE"});
    for (const Json& task : root.at("tasks")) {
      tasks.Add({Cell(task.at("index")), Cell(task.at("phase")),
                 Cell(task.at("attempt")), Cell(task.at("worker")),
                 Cell(task.at("rack")), Cell(task.at("data_centre"))});
    }
    return out + tasks.Render();
  });
}

}  // namespace chivedale
