#include "chivedale/api_problem.h"

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace chivedale {
namespace {

using Json = nlohmann::ordered_json;

constexpr Millis kDefaultRetryAfter{1'000};

Millis RetryAfter(const Problem& problem) {
  const bool unset = problem.retry_after <= Millis(0);
  return unset && InfoForErrorKind(problem.kind).retry ? kDefaultRetryAfter
                                                       : problem.retry_after;
}

Json ToJson(const Problem& problem, int status) {
  const ErrorInfo& info = InfoForErrorKind(problem.kind);
  Json json;
  json["type"] = "about:blank";
  json["title"] = info.title;
  json["status"] = status;
  json["kind"] = info.name;
  json["ran"] = RanName(problem.ran.value_or(info.ran));
  json["retry"] = info.retry;
  json["retry_after_ms"] = RetryAfter(problem).count();
  json["detail"] = problem.detail;
  if (!problem.request_id.empty()) {
    json["request_id"] = problem.request_id;
  }
  if (problem.attempts) {
    json["attempts"] = *problem.attempts;
  }
  if (problem.revision) {
    json["revision"] = *problem.revision;
  }
  return json;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ApiResponse ProblemWithStatus(const Problem& problem, int status) {
  ApiResponse response = JsonResponse(status, Dump(ToJson(problem, status)));
  response.content_type = "application/problem+json";
  if (InfoForErrorKind(problem.kind).retry) {
    // Retry-After has whole seconds; rounded up, so that a caller does not
    // retry too early.
    const int64_t seconds = (RetryAfter(problem).count() + 999) / 1'000;
    response.headers.Add("Retry-After", std::to_string(seconds));
  }
  return response;
}

}  // namespace

Problem ProblemOf(const Error& error) {
  Problem problem;
  problem.kind = error.kind();
  problem.detail = error.what();
  return problem;
}

std::string ProblemToJson(const Problem& problem) {
  return Dump(ToJson(problem, InfoForErrorKind(problem.kind).http_status));
}

ApiResponse ProblemResponse(const Problem& problem) {
  return ProblemWithStatus(problem, InfoForErrorKind(problem.kind).http_status);
}

ApiResponse JsonResponse(int status, std::string json) {
  ApiResponse response;
  response.status = status;
  response.body = std::make_shared<const std::string>(std::move(json));
  return response;
}

ApiResponse MethodNotAllowed(const std::string& allow) {
  constexpr int kMethodNotAllowed = 405;
  Problem problem;
  problem.kind = ErrorKind::kBadRequest;
  problem.detail = "method not allowed; allowed: " + allow;
  ApiResponse response = ProblemWithStatus(problem, kMethodNotAllowed);
  response.headers.Add("Allow", allow);
  return response;
}

}  // namespace chivedale
