#include "chivedale/load_results.h"

#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/error.h"

namespace chivedale {
namespace {

constexpr size_t kMaxDetails = 10;
// A wait up to this counts as served in time in the crest columns.
constexpr Millis kCrestWaitLimit{2'000};
// Service has to be back to normal this long after a crest.
constexpr Millis kRecovery{5'000};

std::string Cell(double value, int width, int digits) {
  char text[48];
  std::snprintf(text, sizeof(text), "%*.*f", width, digits, value);
  return text;
}

std::string Cell(int64_t value, int width) {
  char text[48];
  std::snprintf(text, sizeof(text), "%*lld", width,
                static_cast<long long>(value));
  return text;
}

}  // namespace

std::string LoadOutcomeName(LoadOutcome outcome) {
  static const char* const names[] = {
      "ok", "mixed_up", "refused", "failed", "unknown", "cancelled", "lost"};
  return names[static_cast<int>(outcome)];
}

LoadResults::LoadResults(const LoadProfile& profile)
    : profile_(profile), kinds_(profile.kinds.size()) {}

void LoadResults::Add(LoadRequest request) {
  LoadKindResult& kind = kinds_[request.kind];
  ++kind.outcomes[static_cast<size_t>(request.outcome)];
  if (!request.error.empty()) {
    ++kind.errors[request.error];
  }
  const bool in_crest = profile_.crest_length.count() > 0 &&
                        request.at >= profile_.crest_at &&
                        request.at < profile_.crest_at + profile_.crest_rise +
                                         profile_.crest_length;
  const bool after = profile_.crest_length.count() > 0 &&
                     request.at >= profile_.crest_at + profile_.crest_rise +
                                       profile_.crest_length + kRecovery;
  if (request.outcome != LoadOutcome::kCancelled) {
    kind.crest_total += in_crest ? 1 : 0;
    kind.after_total += after ? 1 : 0;
  }
  if (request.outcome == LoadOutcome::kOk) {
    const util::Duration wait = request.latency - request.run;
    kind.latency.Add(request.latency);
    kind.wait.Add(wait);
    if (in_crest) {
      kind.crest_wait.Add(wait);
    }
    if (after) {
      kind.after_wait.Add(wait);
    }
  }
  requests_.push_back(std::move(request));
}

int64_t LoadResults::Count(LoadOutcome outcome) const {
  int64_t count = 0;
  for (const LoadKindResult& kind : kinds_) {
    count += kind.outcomes[static_cast<size_t>(outcome)];
  }
  return count;
}

LoadContradictions LoadResults::Compare(
    const WorkerRunRecords& records,
    const std::map<std::string, bool>& unrepeatable) const {
  LoadContradictions found;
  const auto note = [&found](const std::string& what,
                             const LoadRequest& request, int64_t runs) {
    if (found.details.size() < kMaxDetails) {
      found.details.push_back(request.id + ": " + what + ", outcome " +
                              LoadOutcomeName(request.outcome) + ", runs " +
                              std::to_string(runs));
    }
  };
  for (const LoadRequest& request : requests_) {
    auto entry = records.find(request.id);
    const int64_t runs = entry == records.end() ? 0 : entry->second.runs;
    if (request.outcome == LoadOutcome::kRefused && runs > 0) {
      ++found.run_but_reported_not_run;
      note("reported as not run, but was run", request, runs);
    }
    // `cancelled` states that the request was not run; `cancelled_running` does
    // not.
    if (request.outcome == LoadOutcome::kCancelled &&
        request.error == InfoForErrorKind(ErrorKind::kCancelled).name &&
        runs > 0) {
      ++found.run_but_reported_not_run;
      note("cancelled as not run, but was run", request, runs);
    }
    if (request.outcome == LoadOutcome::kOk && runs == 0) {
      ++found.answered_without_run;
      note("answered, but never run", request, runs);
    }
    auto once = unrepeatable.find(profile_.kinds[request.kind].kind);
    if (once != unrepeatable.end() && once->second && runs > 1) {
      ++found.unrepeatable_run_twice;
      note("unrepeatable and run more than once", request, runs);
    }
  }
  return found;
}

std::string LoadResults::TableText() const {
  std::string text =
      "kind                     sent     ok refused  failed unknown cancel"
      "   lost  mixed  wait p50  wait p99  wait max  crest<=2s\n";
  for (size_t i = 0; i < kinds_.size(); ++i) {
    const LoadKindResult& kind = kinds_[i];
    const auto count = [&kind](LoadOutcome outcome) {
      return kind.outcomes[static_cast<size_t>(outcome)];
    };
    int64_t sent = 0;
    for (const int64_t value : kind.outcomes) {
      sent += value;
    }
    std::string name = profile_.kinds[i].kind;
    name.resize(22, ' ');
    text += name + Cell(sent, 7) + Cell(count(LoadOutcome::kOk), 7) +
            Cell(count(LoadOutcome::kRefused), 8) +
            Cell(count(LoadOutcome::kFailed), 8) +
            Cell(count(LoadOutcome::kUnknown), 8) +
            Cell(count(LoadOutcome::kCancelled), 7) +
            Cell(count(LoadOutcome::kLost), 7) +
            Cell(count(LoadOutcome::kMixedUp), 7) +
            Cell(kind.wait.QuantileMs(0.5), 10, 2) +
            Cell(kind.wait.QuantileMs(0.99), 10, 2) +
            Cell(kind.wait.MaxMs(), 10, 1);
    if (kind.crest_total > 0) {
      const double within = kind.crest_wait.FractionAtMost(kCrestWaitLimit) *
                            static_cast<double>(kind.crest_wait.count()) /
                            static_cast<double>(kind.crest_total);
      text += Cell(within * 100, 10, 2) + "%";
    }
    text += "\n";
    for (const auto& [error, times] : kind.errors) {
      text += "    " + error + ": " + std::to_string(times) + "\n";
    }
  }
  return text;
}

std::string LoadResults::JsonLines(const std::string& label) const {
  std::string lines;
  for (size_t i = 0; i < kinds_.size(); ++i) {
    const LoadKindResult& kind = kinds_[i];
    nlohmann::json line = {
        {"label", label},
        {"kind", profile_.kinds[i].kind},
        {"wait_p50_ms", kind.wait.QuantileMs(0.5)},
        {"wait_p99_ms", kind.wait.QuantileMs(0.99)},
        {"wait_max_ms", kind.wait.MaxMs()},
        {"latency_p99_ms", kind.latency.QuantileMs(0.99)},
        {"crest_total", kind.crest_total},
        {"crest_wait_p99_ms", kind.crest_wait.QuantileMs(0.99)},
        {"after_total", kind.after_total},
        {"after_wait_p99_ms", kind.after_wait.QuantileMs(0.99)}};
    if (kind.crest_total > 0) {
      line["crest_service_level"] =
          kind.crest_wait.FractionAtMost(kCrestWaitLimit) *
          static_cast<double>(kind.crest_wait.count()) /
          static_cast<double>(kind.crest_total);
    }
    for (int outcome = 0; outcome < kLoadOutcomeCount; ++outcome) {
      line[LoadOutcomeName(static_cast<LoadOutcome>(outcome))] =
          kind.outcomes[static_cast<size_t>(outcome)];
    }
    lines += line.dump() + "\n";
  }
  return lines;
}

}  // namespace chivedale
