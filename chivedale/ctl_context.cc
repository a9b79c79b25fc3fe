#include "chivedale/ctl_context.h"

#include <cctype>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chivedale {
namespace {

using Json = nlohmann::json;

std::string Member(const Json& json, const char* key) {
  return json.is_object() && json.contains(key) && json.at(key).is_string()
             ? json.at(key).get<std::string>()
             : std::string();
}

ExitCode CodeOfProblem(const Json& problem) {
  if (Member(problem, "kind") == "table_conflict") {
    return ExitCode::kConflict;
  }
  return Member(problem, "ran") == "unknown" ? ExitCode::kUnknown
                                             : ExitCode::kRefused;
}

std::string ServerList(const CtlClient& client) {
  std::string list;
  for (const util::IpPort& server : client.servers()) {
    list += (list.empty() ? "" : ", ") + server.ip + ":" +
            std::to_string(server.port);
  }
  return list;
}

ExitCode ReportProblem(CtlContext& context,
                       const CallResult& result,
                       const std::string& what) {
  const Json problem = Json::parse(result.body, nullptr, false);
  if (context.options.json) {
    context.out << result.body << '\n';
  }
  const std::string kind = Member(problem, "kind");
  context.err << what << ": "
              << (kind.empty() ? "HTTP status " + std::to_string(result.status)
                               : kind)
              << ": " << Member(problem, "detail");
  if (!Member(problem, "ran").empty()) {
    context.err << " (ran: " << Member(problem, "ran") << ")";
  }
  context.err << '\n';
  return CodeOfProblem(problem);
}

}  // namespace

ExitCode FinishCall(
    CtlContext& context,
    const CallResult& result,
    const std::string& what,
    const std::function<std::string(const std::string&)>& render) {
  switch (result.outcome) {
    case CallOutcome::kNotSent:
      context.err << what << ": no server reachable ("
                  << ServerList(context.client) << "): " << result.error
                  << '\n';
      return ExitCode::kUnreachable;
    case CallOutcome::kLost:
      context.err << what << ": no answer; it is not known whether it was done"
                  << " (" << result.error << ")\n";
      return ExitCode::kUnknown;
    case CallOutcome::kAnswered:
      break;
  }
  if (result.status < 200 || result.status > 299) {
    return ReportProblem(context, result, what);
  }
  if (context.options.json) {
    context.out << result.body << '\n';
  } else {
    context.out << render(result.body);
  }
  return ExitCode::kDone;
}

std::string EncodeSegment(const std::string& text) {
  static constexpr char kHex[] = "0123456789ABCDEF";
  std::string out;
  for (unsigned char c : text) {
    if (std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      out += static_cast<char>(c);
    } else {
      out += '%';
      out += kHex[c >> 4];
      out += kHex[c & 15];
    }
  }
  return out;
}

std::string ReadTextFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) {
    throw UsageError("cannot read '" + path + "'");
  }
  return text.str();
}

}  // namespace chivedale
