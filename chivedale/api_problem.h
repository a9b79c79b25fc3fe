// Answers of the HTTP APIs: JSON documents and problems (RFC 7807).
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
  // Empty: as the kind says.
  std::optional<Ran> ran;
  std::string detail;
  // 0 with a kind that may be retried: one second.
  Millis retry_after{0};
  // Empty: not about a request.
  std::string request_id;
  std::optional<uint32_t> attempts;
  // With kTableConflict: the present revision.
  std::optional<uint64_t> revision;
};

Problem ProblemOf(const Error& error);
// The JSON object; bytes that are not UTF-8 are replaced.
std::string ProblemToJson(const Problem& problem);
// application/problem+json, with Retry-After when a retry may succeed.
ApiResponse ProblemResponse(const Problem& problem);
ApiResponse JsonResponse(int status, std::string json);
// `allow` lists methods, as in the Allow header.
ApiResponse MethodNotAllowed(const std::string& allow);

}  // namespace chivedale

#endif  // CHIVEDALE_API_PROBLEM_H_
