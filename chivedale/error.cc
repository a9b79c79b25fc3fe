// The caller API, the command-line tool and docs/errors.md share this table, so
// that a kind means the same everywhere. `ran` is kNo only if no start was sent
// or the start is known to have been refused.
#include "chivedale/error.h"

#include <array>

namespace chivedale {
namespace {

constexpr std::array<ErrorInfo, kErrorKindCount> kErrorInfo = {{
    {ErrorKind::kBadRequest, "bad_request", 400, Ran::kNo, false,
     "The request is malformed"},
    {ErrorKind::kBodyTooLarge, "body_too_large", 413, Ran::kNo, false,
     "The body exceeds the size limit"},
    {ErrorKind::kBadSettings, "bad_settings", 400, Ran::kNo, false,
     "The settings are invalid"},
    {ErrorKind::kBadTable, "bad_table", 422, Ran::kNo, false,
     "The table is invalid"},
    {ErrorKind::kTableConflict, "table_conflict", 409, Ran::kNo, false,
     "Another edit of the table came first"},
    {ErrorKind::kNoRow, "no_row", 422, Ran::kNo, false,
     "The kind of work is not in the table"},
    {ErrorKind::kNotFound, "not_found", 404, Ran::kNo, false, "Not found"},
    {ErrorKind::kNeverFits, "never_fits", 422, Ran::kNo, false,
     "No worker is large enough"},
    {ErrorKind::kQueueFull, "queue_full", 503, Ran::kNo, true,
     "The queue of this kind of work is full"},
    {ErrorKind::kRateLimited, "rate_limited", 429, Ran::kNo, true,
     "A limit of the row or team is reached"},
    {ErrorKind::kDeadlineUnmet, "deadline_unmet", 503, Ran::kNo, true,
     "The deadline cannot be met"},
    {ErrorKind::kDeadlinePassed, "deadline_passed", 504, Ran::kNo, false,
     "The deadline passed before the start"},
    {ErrorKind::kOverloaded, "overloaded", 503, Ran::kNo, true,
     "The scheduler is overloaded"},
    {ErrorKind::kDraining, "draining", 503, Ran::kNo, true,
     "This scheduler process is stopping"},
    {ErrorKind::kNotReady, "not_ready", 503, Ran::kNo, true,
     "This scheduler process is not ready"},
    {ErrorKind::kStoreDown, "store_down", 503, Ran::kNo, true,
     "The configuration store does not answer"},
    {ErrorKind::kDuplicateRunning, "already_running", 409, Ran::kUnknown, true,
     "The request is already being run"},
    {ErrorKind::kCancelled, "cancelled", 409, Ran::kNo, false,
     "Cancelled before the start"},
    {ErrorKind::kCancelledRunning, "cancelled_running", 409, Ran::kUnknown,
     false, "Cancelled after the start"},
    {ErrorKind::kTaskFailed, "task_failed", 502, Ran::kYes, false,
     "The endpoint reported a failure"},
    {ErrorKind::kTimedOut, "timed_out", 504, Ran::kYes, false,
     "The work ran longer than allowed and was stopped"},
    {ErrorKind::kOutcomeUnknown, "outcome_unknown", 504, Ran::kUnknown, false,
     "It is not known whether the work ran"},
    {ErrorKind::kInternal, "internal", 500, Ran::kUnknown, false,
     "Internal error"},
}};

constexpr bool ErrorInfoFollowsEnumOrder() {
  for (size_t i = 0; i < kErrorInfo.size(); ++i) {
    if (static_cast<size_t>(kErrorInfo[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(ErrorInfoFollowsEnumOrder(),
              "kErrorInfo must follow the order of ErrorKind");

}  // namespace

const ErrorInfo& InfoForErrorKind(ErrorKind kind) {
  return kErrorInfo[static_cast<size_t>(kind)];
}

ErrorKind ErrorKindFromName(std::string_view name) {
  for (const ErrorInfo& info : kErrorInfo) {
    if (info.name == name) {
      return info.kind;
    }
  }
  throw std::invalid_argument("unknown error kind '" + std::string(name) + "'");
}

std::string_view RanName(Ran ran) {
  static constexpr std::string_view kNames[] = {"no", "yes", "unknown"};
  return kNames[static_cast<size_t>(ran)];
}

}  // namespace chivedale
