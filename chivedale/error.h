// The list of error kinds and the response for each kind.
//
//   throw Error(ErrorKind::kNoRow, "kind 'transcribe' is not in the table");
//   const ErrorInfo& info = InfoForErrorKind(error.kind());
#ifndef CHIVEDALE_ERROR_H_
#define CHIVEDALE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

namespace chivedale {

enum class ErrorKind {
  kBadRequest,        // malformed input
  kBodyTooLarge,      // body over the size limit
  kBadSettings,       // settings file rejected
  kBadTable,          // whole table rejected
  kTableConflict,     // concurrent edit of the table
  kNoRow,             // kind of work has no row in the table
  kNotFound,          // unknown request, job or path
  kNeverFits,         // task larger than every worker
  kQueueFull,         // queue of the row is full
  kRateLimited,       // rate of the row or quota of the team exhausted
  kDeadlineUnmet,     // refused before the start: deadline cannot be met
  kDeadlinePassed,    // deadline passed before the start
  kOverloaded,        // this process is shedding load
  kDraining,          // this process is stopping
  kNotReady,          // no table yet, or still starting
  kStoreDown,         // the store is required and does not respond
  kDuplicateRunning,  // the same id is already running
  kCancelled,         // cancelled before the start
  kCancelledRunning,  // cancelled after the start
  kTaskFailed,        // the endpoint ran it and reported a failure
  kTimedOut,          // ran longer than the limit of the row
  kOutcomeUnknown,    // may or may not have run
  kInternal,          // bug in the scheduler
};
inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// Whether the work that an error refers to was executed.
enum class Ran { kNo, kYes, kUnknown };

struct ErrorInfo {
  ErrorKind kind;
  std::string_view name;  // stable, as in docs/errors.md
  int http_status;
  Ran ran;
  bool retry;  // the same request may succeed if sent again
  std::string_view title;
};

const ErrorInfo& InfoForErrorKind(ErrorKind kind);
// Throws std::invalid_argument if `name` is unknown.
ErrorKind ErrorKindFromName(std::string_view name);
std::string_view RanName(Ran ran);

class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& detail)
      : std::runtime_error(detail), kind_(kind) {}
  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ERROR_H_
