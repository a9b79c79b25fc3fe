// The results that the callers of a load run got, and a comparison with the
// runs that the workers recorded.
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
  kOk,         // the complete answer to this request
  kMixedUp,    // an answer to another request
  kRefused,    // reported as not run
  kFailed,     // reported as run and failed
  kUnknown,    // reported as unknown
  kCancelled,  // the caller cancelled it
  kLost,       // no final answer until the caller gave up
};
inline constexpr int kLoadOutcomeCount = 7;
std::string LoadOutcomeName(LoadOutcome outcome);

// The result of one request.
struct LoadRequest {
  std::string id;
  size_t kind = 0;
  Millis run{0};
  bool straggler = false;
  LoadOutcome outcome = LoadOutcome::kLost;
  // The last error kind that the caller received.
  std::string error;
  // Measured from the planned send time, so that a late sender does not hide
  // latency.
  util::Duration latency{0};
  util::Duration at{0};
  int sends = 0;
};

struct LoadKindResult {
  std::array<int64_t, kLoadOutcomeCount> outcomes{};
  std::map<std::string, int64_t> errors;
  util::LatencyHistogram latency;
  // Latency minus the planned run time: queueing and overhead.
  util::LatencyHistogram wait;
  // The wait of work that was due within the crest.
  util::LatencyHistogram crest_wait;
  int64_t crest_total = 0;
  // The wait of work that was due 5 s or more after the crest.
  util::LatencyHistogram after_wait;
  int64_t after_total = 0;
};

// How often the workers ran each request, according to their records.
struct WorkerRunRecord {
  int64_t runs = 0;
  int64_t completed = 0;
};
using WorkerRunRecords = std::map<std::string, WorkerRunRecord>;

// Contradictions between the results of callers and the records of workers. All
// counts are zero in a correct run.
struct LoadContradictions {
  int64_t run_but_reported_not_run = 0;  // reported as not run, but was run
  int64_t answered_without_run = 0;      // answered, but not run by any worker
  int64_t unrepeatable_run_twice = 0;    // an unrepeatable request ran twice
  std::vector<std::string> details;

  int64_t total() const {
    return run_but_reported_not_run + answered_without_run +
           unrepeatable_run_twice;
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
  // `unrepeatable` maps the kind name to whether its work must not be repeated.
  LoadContradictions Compare(
      const WorkerRunRecords& records,
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
