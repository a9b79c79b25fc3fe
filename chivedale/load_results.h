// What the callers of a load run saw, and whether it agrees with what the
// workers ran.
#ifndef CHIVEDALE_LOAD_RESULTS_H_
#define CHIVEDALE_LOAD_RESULTS_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chivedale/load_plan.h"
#include "util/latency_histogram.h"

namespace chivedale {

enum class LoadOutcome {
  kOk,         // the request's own, whole answer
  kMixedUp,    // an answer that is not the request's own
  kRefused,    // reported as not run
  kFailed,     // reported as run and failed
  kUnknown,    // reported as unknown
  kCancelled,  // the caller cancelled it
  kLost,       // no final answer until the caller gave up
};
inline constexpr int kLoadOutcomeCount = 7;
std::string LoadOutcomeName(LoadOutcome outcome);

// One request at its end.
struct LoadRequest {
  std::string id;
  size_t kind = 0;
  Millis run{0};
  bool straggler = false;
  LoadOutcome outcome = LoadOutcome::kLost;
  // The last error kind that the caller got.
  std::string error;
  // From the planned send, so that a late sender hides nothing.
  util::Duration latency{0};
  util::Duration at{0};
  int sends = 0;
};

struct LoadKindResult {
  std::array<int64_t, kLoadOutcomeCount> outcomes{};
  std::map<std::string, int64_t> errors;
  util::LatencyHistogram latency;
  // Latency less the planned run time: waiting and overhead.
  util::LatencyHistogram wait;
  // The same of the work that was due within the crest.
  util::LatencyHistogram crest_wait;
  int64_t crest_total = 0;
  // The same of the work that was due 5 s or more after the crest.
  util::LatencyHistogram after_wait;
  int64_t after_total = 0;
};

// How often the workers ran each request, from their own books.
struct WorkerBookEntry {
  int64_t runs = 0;
  int64_t completed = 0;
};
using WorkerBook = std::map<std::string, WorkerBookEntry>;

// What callers and workers contradict each other in. All zero is right.
struct LoadContradictions {
  int64_t run_though_not_run = 0;  // reported as not run, but was run
  int64_t ok_without_run = 0;      // answered, but no worker ran it
  int64_t unrepeatable_twice = 0;  // an unrepeatable request ran twice
  std::vector<std::string> details;

  int64_t total() const {
    return run_though_not_run + ok_without_run + unrepeatable_twice;
  }
};

class LoadResults {
 public:
  explicit LoadResults(const LoadProfile& profile);

  // Command.
  void Add(LoadRequest request);

  // Queries.
  const std::vector<LoadRequest>& requests() const { return requests_; }
  const std::vector<LoadKindResult>& kinds() const { return kinds_; }
  int64_t Count(LoadOutcome outcome) const;
  // `unrepeatable` tells by kind name.
  LoadContradictions Compare(
      const WorkerBook& book,
      const std::map<std::string, bool>& unrepeatable) const;
  std::string TableText() const;
  // One line per kind.
  std::string JsonLines(const std::string& label) const;

 private:
  const LoadProfile profile_;
  std::vector<LoadRequest> requests_;
  std::vector<LoadKindResult> kinds_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LOAD_RESULTS_H_
