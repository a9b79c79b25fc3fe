#include "chivedale/ctl_commands.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

#include "chivedale/ctl_render.h"
#include "chivedale/ctl_table_edit.h"
#include "chivedale/error.h"
#include "chivedale/json_members.h"
#include "chivedale/table_codec.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

constexpr int kIdDigits = 32;
constexpr int64_t kDefaultDeadlineMillis = 60'000;
constexpr int64_t kMaxTasks = 1'000'000;

std::string FreshId(CtlContext& context) {
  return context.random.HexString(kIdDigits);
}

std::string Author(const CtlContext& context) {
  if (!context.options.author.empty()) {
    return context.options.author;
  }
  // NOLINTNEXTLINE(concurrency-mt-unsafe): one thread
  const char* user = std::getenv("USER");
  return user != nullptr && *user != '\0' ? user : "chivedalectl";
}

std::string ChangeId(CtlContext& context) {
  return context.options.change_id.empty() ? FreshId(context)
                                           : context.options.change_id;
}

// Returns the payload as JSON text; "null" without a payload option.
std::string Payload(const CtlContext& context) {
  const CtlOptions& options = context.options;
  if (options.payload && !options.payload_file.empty()) {
    throw UsageError("--payload and --payload-file are mutually exclusive");
  }
  std::string payload = options.payload.value_or("null");
  if (!options.payload_file.empty()) {
    payload = ReadTextFile(options.payload_file);
  }
  if (!IsJson(payload)) {
    throw UsageError("the payload is not valid JSON");
  }
  return payload;
}

std::string Quoted(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

ExitCode PutTable(CtlContext& context,
                  const std::string& body,
                  const std::string& change_id) {
  const CallResult result =
      context.client.Change({"PUT", "/v1/table", body, ""});
  const ExitCode code =
      FinishCall(context, result, "table edit", [](const std::string& answer) {
        const Json json = Json::parse(answer, nullptr, false);
        return "revision " + json.value("revision", Json()).dump() + "\n";
      });
  if (code == ExitCode::kUnknown) {
    context.err << "to learn the outcome, repeat the command with --change-id "
                << change_id << '\n';
  }
  return code;
}

ExitCode JobChange(CtlContext& context,
                   const CtlRequest& request,
                   const std::string& what) {
  return FinishCall(context, context.client.Change(request), what,
                    RenderJobText);
}

std::string JobTarget(const CtlContext& context) {
  return "/v1/jobs/" + EncodeSegment(context.arguments.at(0));
}

}  // namespace

ExitCode EditTable(CtlContext& context) {
  const CtlOptions& options = context.options;
  CtlTableEdits edits{options.add_rows,
                      options.remove_rows,
                      options.add_teams,
                      options.remove_teams,
                      {}};
  for (const std::string& argument : context.arguments) {
    edits.cells.push_back(ParseCellEdit(argument));
  }
  const bool empty = edits.cells.empty() && edits.add_rows.empty() &&
                     edits.remove_rows.empty() && edits.add_teams.empty() &&
                     edits.remove_teams.empty();
  if (empty) {
    throw UsageError("table edit: nothing to change");
  }
  const CallResult current = context.client.Read({"GET", "/v1/table", "", ""});
  if (current.outcome != CallOutcome::kAnswered || current.status != 200) {
    // No change has been sent, so a lost answer counts as unreachable.
    const ExitCode code = FinishCall(context, current, "table edit", {});
    return code == ExitCode::kUnknown ? ExitCode::kUnreachable : code;
  }
  const std::string id = ChangeId(context);
  return PutTable(context,
                  EditTableBody(current.body, edits, id, Author(context)), id);
}

ExitCode ApplyTable(CtlContext& context) {
  const std::string text = ReadTextFile(context.arguments.at(0));
  Table table;
  try {
    table = ParseTable(text);
  } catch (const Error& error) {
    throw UsageError(error.what());
  }
  // The file names the revision it is based on, so a concurrent edit causes a
  // conflict and is not overwritten.
  const std::string id = ChangeId(context);
  return PutTable(
      context, ReplaceTableBody(text, table.revision, id, Author(context)), id);
}

ExitCode SubmitRequest(CtlContext& context) {
  const CtlOptions& options = context.options;
  const int64_t deadline = options.deadline_ms.value_or(kDefaultDeadlineMillis);
  const std::string id = options.id.empty() ? FreshId(context) : options.id;
  const std::string body = "{\"kind\":" + Quoted(context.arguments.at(0)) +
                           ",\"deadline_ms\":" + std::to_string(deadline) +
                           ",\"payload\":" + Payload(context) + "}";
  if (!options.no_wait) {
    context.client.set_timeout(options.timeout + Millis(deadline));
  }
  const CallResult result = context.client.Change(
      {"POST",
       std::string("/v1/requests") + (options.no_wait ? "?wait=false" : ""),
       body, id});
  const ExitCode code =
      FinishCall(context, result, "submit",
                 [](const std::string& answer) { return answer + "\n"; });
  if (code == ExitCode::kUnknown) {
    context.err << "to learn the outcome, repeat the command with --id " << id
                << '\n';
  }
  return code;
}

ExitCode CancelRequest(CtlContext& context) {
  const CallResult result = context.client.Change(
      {"DELETE", "/v1/requests/" + EncodeSegment(context.arguments.at(0)), "",
       ""});
  return FinishCall(context, result, "cancel",
                    [](const std::string& answer) { return answer + "\n"; });
}

ExitCode SubmitJob(CtlContext& context) {
  const std::string body =
      "{\"id\":" + Quoted(context.arguments.at(0)) +
      ",\"kind\":" + Quoted(context.arguments.at(1)) +
      ",\"tasks\":" + std::to_string(context.options.tasks.value_or(1)) +
      ",\"submitter\":" + Quoted(Author(context)) +
      ",\"payload\":" + Payload(context) + "}";
  return JobChange(context, {"POST", "/v1/jobs", body, ""}, "job submit");
}

ExitCode CancelJob(CtlContext& context) {
  return JobChange(context, {"DELETE", JobTarget(context), "", ""},
                   "job cancel");
}

ExitCode ScaleJob(CtlContext& context) {
  const int64_t count =
      ParseCtlInteger("COUNT", context.arguments.at(1), 0, kMaxTasks);
  return JobChange(context,
                   {"PUT", JobTarget(context) + "/count",
                    "{\"count\":" + std::to_string(count) + "}", ""},
                   "job scale");
}

ExitCode DrainServer(CtlContext& context) {
  // With several servers, the next one would be drained if the first did not
  // answer.
  if (context.client.servers().size() != 1) {
    throw UsageError("drain: --server must name exactly one daemon");
  }
  const CallResult result =
      context.client.Change({"POST", "/v1/drain", "", ""});
  return FinishCall(context, result, "drain", [](const std::string&) {
    return std::string("draining\n");
  });
}

}  // namespace chivedale
