// JSON responses and problem documents (RFC 7807) of the HTTP APIs.
#ifndef CHIVEDALE_API_PROBLEM_H_
#define CHIVEDALE_API_PROBLEM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "chivedale/api_types.h"
#include "chivedale/error.h"
#include "chivedale/work.h"

namespace chivedale {

struct Problem {
  ErrorKind kind = ErrorKind::kInternal;
  // If unset, the default of `kind` applies.
  std::optional<Ran> ran;
  std::string detail;
  // If 0 and `kind` may be retried, one second is reported.
  Millis retry_after{0};
  // Empty if the problem does not concern a request.
  std::string request_id;
  std::optional<uint32_t> attempts;
  // The current revision; set with kTableConflict.
  std::optional<uint64_t> revision;
};

Problem ProblemOf(const Error& error);
// Returns the problem as a JSON object; invalid UTF-8 is replaced.
std::string ProblemToJson(const Problem& problem);
// application/problem+json, with Retry-After when a retry may succeed.
ApiResponse ProblemResponse(const Problem& problem);
ApiResponse JsonResponse(int status, std::string json);
// `allow` lists methods, as in the Allow header.
ApiResponse MethodNotAllowed(const std::string& allow);

}  // namespace chivedale

#endif  // CHIVEDALE_API_PROBLEM_H_
