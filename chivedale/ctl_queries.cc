#include "chivedale/ctl_queries.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/burn_html.h"
#include "chivedale/burn_json.h"
#include "chivedale/ctl_render.h"
#include "chivedale/error.h"
#include "chivedale/table_codec.h"

namespace chivedale {
namespace {

using Json = nlohmann::ordered_json;
using Render = std::function<std::string(const std::string&)>;

// A query changes nothing, so a lost answer counts as unreachable.
CallResult ReadFrom(CtlContext& context, const std::string& target) {
  CallResult result = context.client.Read({"GET", target, "", ""});
  if (result.outcome == CallOutcome::kLost) {
    result.outcome = CallOutcome::kNotSent;
  }
  return result;
}

ExitCode Show(CtlContext& context,
              const std::string& target,
              const std::string& what,
              const Render& render) {
  return FinishCall(context, ReadFrom(context, target), what, render);
}

std::string ChangesToJson(const std::vector<TableChange>& changes) {
  static constexpr const char* kKinds[] = {"added", "removed", "changed"};
  Json list = Json::array();
  for (const TableChange& change : changes) {
    list.push_back({{"kind", kKinds[static_cast<size_t>(change.kind)]},
                    {"row", change.row},
                    {"column", change.column},
                    {"before", change.before},
                    {"after", change.after}});
  }
  return Json{{"changes", std::move(list)}}.dump() + "\n";
}

// Two addresses may lead to the same daemon, whose work must be counted once.
void AddOnce(BurnSnapshot snapshot, std::vector<BurnSnapshot>& parts) {
  const bool known = std::any_of(
      parts.begin(), parts.end(),
      [&](const BurnSnapshot& part) { return part.member == snapshot.member; });
  if (!known) {
    parts.push_back(std::move(snapshot));
  }
}

void WriteFile(const std::string& path, const std::string& text) {
  std::ofstream file(path, std::ios::binary | std::ios::trunc);
  file << text;
  file.close();
  if (!file) {
    throw UsageError("cannot write '" + path + "'");
  }
}

}  // namespace

ExitCode ShowTable(CtlContext& context) {
  return Show(context, "/v1/table", "table show", [](const std::string& json) {
    return RenderTable(ParseTable(json));
  });
}

ExitCode DiffTable(CtlContext& context) {
  Table proposed;
  try {
    proposed = ParseTable(ReadTextFile(context.arguments.at(0)));
  } catch (const Error& error) {
    throw UsageError(error.what());
  }
  const CallResult result = ReadFrom(context, "/v1/table");
  if (result.outcome != CallOutcome::kAnswered || result.status != 200) {
    return FinishCall(context, result, "table diff", {});
  }
  const std::vector<TableChange> changes =
      DiffTables(ParseTable(result.body), proposed);
  context.out << (context.options.json ? ChangesToJson(changes)
                                       : RenderChanges(changes));
  return ExitCode::kDone;
}

ExitCode ShowHistory(CtlContext& context) {
  std::string target = "/v1/table/history";
  if (context.options.limit) {
    target += "?limit=" + std::to_string(*context.options.limit);
  }
  return Show(context, target, "table history", RenderHistoryText);
}

ExitCode ShowStatus(CtlContext& context) {
  return Show(context, "/v1/status", "status", RenderStatusText);
}

ExitCode ShowWorkers(CtlContext& context) {
  return Show(context, "/v1/workers", "workers", RenderWorkersText);
}

ExitCode ShowQueue(CtlContext& context) {
  return Show(context, "/v1/queue", "queue", RenderQueueText);
}

ExitCode ShowJob(CtlContext& context) {
  return Show(context, "/v1/jobs/" + EncodeSegment(context.arguments.at(0)),
              "job show", RenderJobText);
}

ExitCode ReportBurn(CtlContext& context) {
  std::vector<BurnSnapshot> parts;
  std::vector<std::string> missing;
  CallResult last;
  for (size_t i = 0; i < context.client.servers().size(); ++i) {
    last = context.client.CallOne(i, {"GET", "/v1/burn", "", ""});
    if (last.outcome == CallOutcome::kAnswered && last.status == 200) {
      AddOnce(ParseBurnSnapshot(last.body), parts);
      continue;
    }
    const util::IpPort& server = context.client.servers()[i];
    missing.push_back("server " + server.ip + ":" +
                      std::to_string(server.port) +
                      " returned no snapshot; its work is missing");
  }
  if (parts.empty()) {
    if (last.outcome == CallOutcome::kLost) {
      last.outcome = CallOutcome::kNotSent;
    }
    return FinishCall(context, last, "report burn", {});
  }
  BurnReport report = EvaluateBurn(parts);
  report.gaps.insert(report.gaps.end(), missing.begin(), missing.end());
  if (!context.options.html.empty()) {
    WriteFile(context.options.html, BurnReportToHtml(parts, missing));
  }
  context.out << (context.options.json ? BurnReportToJson(report) + "\n"
                                       : RenderBurn(report));
  return ExitCode::kDone;
}

}  // namespace chivedale
