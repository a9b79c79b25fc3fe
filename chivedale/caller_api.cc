// Payloads and answers are JSON text that is passed through unchanged: parsing
// and serializing it again would cost time and could change numbers.
#include "chivedale/caller_api.h"

#include <algorithm>
#include <cctype>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "chivedale/json_members.h"

namespace chivedale {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kAccepted = 202;
constexpr int kCreated = 201;
constexpr size_t kMaxNameSize = 128;
constexpr int64_t kMaxAmount = 1'000'000'000;

std::string Quoted(const std::string& text) {
  return Json(text).dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Returns the answer unchanged if it is JSON, and otherwise as a JSON string.
std::string AnswerText(const Body& payload) {
  if (payload == nullptr || payload->empty()) {
    return "null";
  }
  return IsJson(*payload) ? *payload : Quoted(*payload);
}

Problem ProblemOfResult(const RequestId& id, const RequestResult& result) {
  Problem problem;
  problem.kind = result.error;
  problem.ran = result.ran;
  problem.detail = result.detail;
  problem.retry_after = result.retry_after;
  problem.request_id = id.str();
  problem.attempts = result.attempts;
  return problem;
}

std::string KindOf(const JsonMembers& members) {
  std::string kind = members.RequiredString("kind", kMaxNameSize);
  CheckPrintable("'kind'", kind);
  return kind;
}

// A job id is part of store keys and task ids, in which slashes are separators.
void CheckJobId(const std::string& id) {
  const bool plain = std::all_of(id.begin(), id.end(), [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '.' || c == '_' || c == '-';
  });
  if (!plain) {
    throw Error(ErrorKind::kBadRequest,
                "'id': may only contain letters, digits, '.', '_' and '-'");
  }
}

std::string_view PhaseName(RequestPhase phase) {
  static constexpr std::string_view kNames[] = {
      "registering", "queued", "dispatched", "running", "attached", "finished"};
  return kNames[static_cast<size_t>(phase)];
}

std::string_view JobPhaseName(JobPhase phase) {
  static constexpr std::string_view kNames[] = {
      "active", "cancelling", "succeeded", "failed", "cancelled"};
  return kNames[static_cast<size_t>(phase)];
}

std::string_view TaskPhaseName(TaskPhase phase) {
  static constexpr std::string_view kNames[] = {
      "waiting", "starting", "running", "succeeded", "failed"};
  return kNames[static_cast<size_t>(phase)];
}

Json JobToJson(const JobStatus& status) {
  Json tasks = Json::array();
  for (const JobTaskStatus& task : status.tasks) {
    tasks.push_back({{"index", task.index},
                     {"phase", TaskPhaseName(task.phase)},
                     {"attempt", task.attempt},
                     {"owner", task.owner.str()},
                     {"worker", task.worker.str()},
                     {"rack", task.rack},
                     {"data_centre", task.data_centre}});
  }
  return {{"id", status.spec.id.str()},
          {"kind", status.spec.kind},
          {"count", status.spec.tasks},
          {"submitter", status.spec.submitter},
          {"phase", JobPhaseName(status.phase)},
          {"reason", status.reason},
          {"manager", status.manager.str()},
          {"tasks", std::move(tasks)}};
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Resources ParseSize(std::string_view text) {
  const JsonMembers members(text);
  members.RejectUnknown({"cpu_milli", "memory_mb", "accelerators", "slots"});
  const auto amount = [&](std::string_view key) {
    return members.Find(key) ? members.RequiredInteger(key, 0, kMaxAmount) : 0;
  };
  const Resources size{amount("cpu_milli"), amount("memory_mb"),
                       amount("accelerators"), amount("slots")};
  if (size.IsZero()) {
    throw Error(ErrorKind::kBadRequest, "'size': all components are 0");
  }
  return size;
}

}  // namespace

RequestId ParseIdempotencyKey(const ApiHeaders& headers) {
  const std::optional<std::string> key = headers.Find("Idempotency-Key");
  if (!key) {
    return RequestId();
  }
  CheckPrintable("Idempotency-Key", *key);
  return RequestId(*key);
}

CallerSubmission ParseSubmission(const std::string& body,
                                 const CallerLimits& limits) {
  const JsonMembers members(body);
  members.RejectUnknown({"kind", "deadline_ms", "payload", "size"});
  CallerSubmission submission;
  submission.kind = KindOf(members);
  submission.deadline = limits.default_deadline;
  if (members.Find("deadline_ms")) {
    submission.deadline = Millis(
        members.RequiredInteger("deadline_ms", 1, limits.max_deadline.count()));
  }
  if (const auto size = members.Find("size")) {
    submission.size = ParseSize(*size);
  }
  submission.payload = std::make_shared<const std::string>(
      members.Find("payload").value_or("null"));
  return submission;
}

JobSpec ParseJob(const std::string& body, const CallerLimits& limits) {
  const JsonMembers members(body);
  members.RejectUnknown({"id", "kind", "tasks", "payload", "submitter"});
  JobSpec spec;
  spec.id = JobId(members.RequiredString("id", kMaxNameSize));
  CheckJobId(spec.id.str());
  spec.kind = KindOf(members);
  if (members.Find("tasks")) {
    spec.tasks = members.RequiredInteger("tasks", 1, limits.max_tasks);
  }
  spec.payload = members.Find("payload").value_or("null");
  if (members.Find("submitter")) {
    spec.submitter = members.RequiredString("submitter", kMaxNameSize);
  }
  return spec;
}

int64_t ParseJobCount(const std::string& body, const CallerLimits& limits) {
  const JsonMembers members(body);
  members.RejectUnknown({"count"});
  return members.RequiredInteger("count", 0, limits.max_tasks);
}

ApiResponse RenderResult(const RequestId& id, const RequestResult& result) {
  if (!result.ok) {
    return ProblemResponse(ProblemOfResult(id, result));
  }
  return JsonResponse(200,
                      "{\"request_id\":" + Quoted(id.str()) +
                          ",\"attempts\":" + std::to_string(result.attempts) +
                          ",\"answer\":" + AnswerText(result.payload) + "}");
}

ApiResponse RenderAccepted(const RequestId& id, const RequestResult& result) {
  if (!result.ok) {
    return ProblemResponse(ProblemOfResult(id, result));
  }
  return JsonResponse(kAccepted,
                      Dump({{"request_id", id.str()}, {"phase", "queued"}}));
}

ApiResponse RenderCancelled(const RequestId& id, const RequestResult& result) {
  const bool cancelled =
      !result.ok && (result.error == ErrorKind::kCancelled ||
                     result.error == ErrorKind::kCancelledRunning);
  if (!cancelled) {
    return RenderResult(id, result);
  }
  return JsonResponse(200, Dump({{"request_id", id.str()},
                                 {"cancelled", true},
                                 {"ran", RanName(result.ran)},
                                 {"attempts", result.attempts}}));
}

ApiResponse RenderRequest(const RequestView& view) {
  std::string json = Dump({{"request_id", view.id.str()},
                           {"kind", view.kind},
                           {"phase", PhaseName(view.phase)},
                           {"attempts", view.attempt},
                           {"worker", view.worker.str()},
                           {"entry", view.entry.str()}});
  if (view.result) {
    json.pop_back();
    json += view.result->ok
                ? ",\"ok\":true,\"answer\":" + AnswerText(view.result->payload)
                : ",\"ok\":false,\"error\":" +
                      ProblemToJson(ProblemOfResult(view.id, *view.result));
    json += '}';
  }
  return JsonResponse(200, std::move(json));
}

ApiResponse RenderJob(const JobResult& result) {
  if (!result.ok) {
    Problem problem;
    problem.kind = result.error;
    problem.detail = result.detail;
    return ProblemResponse(problem);
  }
  return JsonResponse(200,
                      result.status ? Dump(JobToJson(*result.status)) : "{}");
}

CallerApi::CallerApi(SchedulerCommands& commands,
                     SchedulerQueries& queries,
                     ApiThreads threads,
                     EventLog& log,
                     Options options)
    : commands_(commands),
      queries_(queries),
      threads_(std::move(threads)),
      log_(log),
      options_(std::move(options)),
      random_(options_.seed) {}

const std::vector<ApiRoute<CallerApi>>& CallerApi::Routes() {
  static const auto& routes = *new std::vector<ApiRoute<CallerApi>>{
      {"POST", "/v1/requests", &CallerApi::Submit},
      {"GET", "/v1/requests/*", &CallerApi::GetRequest},
      {"DELETE", "/v1/requests/*", &CallerApi::CancelRequest},
      {"POST", "/v1/jobs", &CallerApi::SubmitJob},
      {"GET", "/v1/jobs/*", &CallerApi::GetJob},
      {"DELETE", "/v1/jobs/*", &CallerApi::CancelJob},
      {"PUT", "/v1/jobs/*/count", &CallerApi::SetJobCount},
  };
  return routes;
}

void CallerApi::Handle(ApiRequest request, ApiRespond respond) {
  const std::string remote = request.remote;
  const auto logged = [this, remote,
                       respond = std::move(respond)](ApiResponse response) {
    if (response.status >= 400 && response.status < 500) {
      log_.Write(Event::kBadCallerInput,
                 {{"remote", remote},
                  {"status", std::to_string(response.status)},
                  {"answer", response.body ? *response.body : ""}});
    }
    respond(std::move(response));
  };
  RouteCall(*this, Routes(), std::move(request), logged);
}

bool CallerApi::Handles(const std::string& path) const {
  try {
    return HasPath(Routes(), path);
  } catch (const Error&) {
    return true;  // Handle() responds with a bad request
  }
}

RequestId CallerApi::NewRequestId() {
  constexpr int kDigits = 16;
  const std::lock_guard lock(mutex_);
  util::Random process(util::Hash64(options_.member));
  return RequestId(process.HexString(kDigits) + random_.HexString(kDigits));
}

const std::string& CallerApi::BodyOf(const ApiRequest& request) const {
  static const auto& empty = *new std::string();
  const std::string& body = request.body ? *request.body : empty;
  if (body.size() > static_cast<size_t>(options_.max_body_bytes)) {
    throw Error(ErrorKind::kBodyTooLarge,
                "the body has " + std::to_string(body.size()) +
                    " bytes; the limit is " +
                    std::to_string(options_.max_body_bytes));
  }
  return body;
}

ResultCallback CallerApi::RenderWith(
    const ApiRespond& respond,
    ApiResponse (*render)(const RequestId&, const RequestResult&)) const {
  return [to_traffic = threads_.to_traffic, respond, render](
             const RequestId& id, const RequestResult& result) {
    to_traffic([respond, render, id, result] { respond(render(id, result)); });
  };
}

JobCallback CallerApi::RenderJobWith(const ApiRespond& respond) const {
  return [to_traffic = threads_.to_traffic, respond](const JobResult& result) {
    to_traffic([respond, result] { respond(RenderJob(result)); });
  };
}

void CallerApi::Submit(const ApiCall& call) {
  const std::string wait =
      FindOnlyQueryParameter(call.request.query, "wait").value_or("true");
  if (wait != "true" && wait != "false") {
    throw Error(ErrorKind::kBadRequest, "query: 'wait' must be true or false");
  }
  CallerSubmission submission =
      ParseSubmission(BodyOf(call.request), options_.limits);
  submission.id = ParseIdempotencyKey(call.request.headers);
  if (submission.id.empty()) {
    submission.id = NewRequestId();
  }
  const ApiRespond respond = [id = submission.id,
                              inner = call.respond](ApiResponse response) {
    response.headers.Add("Idempotency-Key", id.str());
    inner(std::move(response));
  };
  const bool waits = wait == "true";
  RunOnControlThread(threads_, respond, [this, submission, respond, waits] {
    commands_.Submit(
        submission,
        waits ? ResultCallback() : RenderWith(respond, &RenderAccepted),
        waits ? RenderWith(respond, &RenderResult) : ResultCallback());
  });
}

void CallerApi::GetRequest(const ApiCall& call) {
  RejectQuery(call.request);
  CheckPrintable("request id", call.id);
  const auto done = [to_traffic = threads_.to_traffic, respond = call.respond](
                        const std::optional<RequestView>& view) {
    to_traffic([respond, view] {
      respond(view ? RenderRequest(*view)
                   : ProblemResponse(ProblemOf(
                         Error(ErrorKind::kNotFound, "no such request"))));
    });
  };
  RunOnControlThread(threads_, call.respond,
                     [this, id = RequestId(call.id), done] {
                       queries_.FindRequest(id, done);
                     });
}

void CallerApi::CancelRequest(const ApiCall& call) {
  RejectQuery(call.request);
  CheckPrintable("request id", call.id);
  RunOnControlThread(threads_, call.respond,
                     [this, id = RequestId(call.id),
                      done = RenderWith(call.respond, &RenderCancelled)] {
                       commands_.Cancel(id, done);
                     });
}

void CallerApi::SubmitJob(const ApiCall& call) {
  RejectQuery(call.request);
  const JobSpec spec = ParseJob(BodyOf(call.request), options_.limits);
  const auto created = [inner = call.respond](ApiResponse response) {
    response.status = response.status == 200 ? kCreated : response.status;
    inner(std::move(response));
  };
  RunOnControlThread(threads_, call.respond,
                     [this, spec, done = RenderJobWith(created)] {
                       commands_.SubmitJob(spec, done);
                     });
}

void CallerApi::GetJob(const ApiCall& call) {
  RejectQuery(call.request);
  CheckPrintable("job id", call.id);
  RunOnControlThread(
      threads_, call.respond,
      [this, id = JobId(call.id), done = RenderJobWith(call.respond)] {
        queries_.FindJob(id, done);
      });
}

void CallerApi::CancelJob(const ApiCall& call) {
  RejectQuery(call.request);
  CheckPrintable("job id", call.id);
  RunOnControlThread(
      threads_, call.respond,
      [this, id = JobId(call.id), done = RenderJobWith(call.respond)] {
        commands_.CancelJob(id, done);
      });
}

void CallerApi::SetJobCount(const ApiCall& call) {
  RejectQuery(call.request);
  CheckPrintable("job id", call.id);
  const int64_t count = ParseJobCount(BodyOf(call.request), options_.limits);
  RunOnControlThread(
      threads_, call.respond,
      [this, id = JobId(call.id), count, done = RenderJobWith(call.respond)] {
        commands_.SetJobCount(id, count, done);
      });
}

}  // namespace chivedale
