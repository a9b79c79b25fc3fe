// The closed list of error kinds and the table from kind to answer.
//
//   throw Error(ErrorKind::kNoRow, "kind 'transcribe' is not in the table");
//   const ErrorAnswer& answer = AnswerFor(error.kind());
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
  kBadTable,          // table rejected as a whole
  kTableConflict,     // another edit came first
  kNoRow,             // kind of work not in the table
  kNotFound,          // unknown request, job or path
  kNeverFits,         // larger than every worker
  kQueueFull,         // bounded queue of the row is full
  kRateLimited,       // row's rate or team's quota used up
  kDeadlineUnmet,     // deadline cannot be met, refused before start
  kDeadlinePassed,    // deadline passed before the start
  kOverloaded,        // this process sheds load
  kDraining,          // this process is stopping
  kNotReady,          // no table yet, or still starting
  kStoreDown,         // needs the store, which does not answer
  kDuplicateRunning,  // the same id is being run
  kCancelled,         // cancelled before the start
  kCancelledRunning,  // cancelled after the start
  kTaskFailed,        // the endpoint ran it and reported failure
  kTimedOut,          // ran longer than the row's longest run time
  kOutcomeUnknown,    // may or may not have run
  kInternal,          // a fault of the scheduler
};
inline constexpr int kErrorKindCount =
    static_cast<int>(ErrorKind::kInternal) + 1;

// Whether the work behind an error was run.
enum class Ran { kNo, kYes, kUnknown };

struct ErrorAnswer {
  ErrorKind kind;
  std::string_view name;  // stable, as in docs/errors.md
  int http_status;
  Ran ran;
  bool retry;  // a second send may succeed without a change
  std::string_view title;
};

const ErrorAnswer& AnswerFor(ErrorKind kind);
// Throws std::invalid_argument for a name outside the list.
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
