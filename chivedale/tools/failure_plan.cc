// Kinds are dealt from a shuffled deck, so that a run of some minutes contains
// each of them, and no run only those that a random draw happens to favour.
#include "chivedale/tools/failure_plan.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/random.h"

namespace chivedale::testing {
namespace {

using Json = nlohmann::json;

// The cell serves without faults for this long at the begin of a run.
constexpr Millis kQuietStart{4'000};
constexpr Millis kLeastGap{1'000};
constexpr Millis kMostGap{5'000};
// A second fault begins together with this part of the faults.
constexpr double kTwoAtOnce = 0.4;
// A killed daemon is replaced after this at most.
constexpr Millis kMostReplacementDelay{6'000};
// How long a drain counts as out; its replacement waits for the exit itself.
constexpr Millis kDrainTime{15'000};
constexpr Millis kMostPause{20'000};
constexpr Millis kMostStoreDown{60'000};
constexpr size_t kMostWorkers = 6;

constexpr const char* kDaemonKilled = "daemon_killed";
constexpr const char* kDaemonPaused = "daemon_paused";
constexpr const char* kDaemonStopped = "daemon_stopped";
constexpr const char* kVmListWrong = "vm_list_wrong";

// A fault of the stand-ins: what is posted at its begin and its end.
struct StandinFault {
  const char* kind;
  const char* target;
  Json begin;
  Json end;  // null: the fault ends by itself
  Millis least;
  Millis most;
};

const std::vector<StandinFault>& StandinFaults() {
  static const std::vector<StandinFault> faults = {
      {"store_down",
       "store",
       {{"down", true}},
       {{"down", false}},
       Millis(3'000),
       kMostStoreDown},
      {"store_slow",
       "store",
       {{"slow_ms", 400}},
       {{"slow_ms", 0}},
       Millis(3'000),
       Millis(20'000)},
      {"store_answers_lost",
       "store",
       {{"lose_writes", 5}},
       nullptr,
       Millis(2'000),
       Millis(3'000)},
      {"worker_dead",
       "worker",
       {{"dead", true}},
       {{"dead", false}},
       Millis(1'000),
       Millis(15'000)},
      {"worker_paused",
       "worker",
       {{"paused", true}},
       {{"paused", false}},
       Millis(1'000),
       Millis(15'000)},
      {"worker_failing",
       "worker",
       {{"fail_all", true}},
       {{"fail_all", false}},
       Millis(3'000),
       Millis(15'000)},
      {"worker_rebooted",
       "worker",
       {{"reboot", true}},
       nullptr,
       Millis(1'000),
       Millis(2'000)},
      {"completions_late",
       "worker",
       {{"late_ms", 1'500}},
       {{"late_ms", 0}},
       Millis(3'000),
       Millis(10'000)},
      {"completions_repeated",
       "worker",
       {{"duplicate", true}},
       {{"duplicate", false}},
       Millis(3'000),
       Millis(10'000)},
      {"completions_reordered",
       "worker",
       {{"reorder", true}, {"late_ms", 500}},
       {{"reorder", false}, {"late_ms", 0}},
       Millis(3'000),
       Millis(10'000)},
      {"completions_lost",
       "worker",
       {{"lose_completions", 3}},
       nullptr,
       Millis(2'000),
       Millis(3'000)},
      {"start_responses_lost",
       "worker",
       {{"lose_starts", 3}},
       nullptr,
       Millis(2'000),
       Millis(3'000)},
      // A VM that left comes back as a new one, that is, rebooted.
      {"worker_leaving",
       "worker",
       {{"leaving", "accepting"}},
       {{"reboot", true}, {"leaving", "staying"}},
       Millis(6'000),
       Millis(15'000)}};
  return faults;
}

class Planner {
 public:
  explicit Planner(const FailurePlanOptions& options)
      : options_(options),
        random_(options.seed),
        daemon_busy_(static_cast<size_t>(options.daemons)) {}

  std::vector<FailureStep> Make() {
    for (Millis at = kQuietStart; at < options_.duration - kLeastGap;
         at += Between(kLeastGap, kMostGap)) {
      Begin(at);
      if (random_.Unit() < kTwoAtOnce) {
        Begin(at);
      }
    }
    std::stable_sort(
        steps_.begin(), steps_.end(),
        [](const auto& one, const auto& other) { return one.at < other.at; });
    return std::move(steps_);
  }

 private:
  Millis Between(Millis least, Millis most) {
    const auto span = static_cast<uint64_t>((most - least).count()) + 1;
    return least + Millis(static_cast<int64_t>(random_.Below(span)));
  }

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (size_t i = values.size(); i > 1; --i) {
      std::swap(values[i - 1], values[random_.Below(i)]);
    }
  }

  std::string NextKind() {
    if (deck_.empty()) {
      deck_ = {kDaemonKilled, kDaemonPaused, kDaemonStopped, kVmListWrong};
      for (const StandinFault& fault : StandinFaults()) {
        deck_.emplace_back(fault.kind);
      }
      Shuffle(deck_);
    }
    std::string kind = deck_.back();
    deck_.pop_back();
    return kind;
  }

  // A fault whose targets are all taken is left out.
  void Begin(Millis at) {
    const std::string kind = NextKind();
    if (kind == kDaemonKilled) {
      OnDaemon(at, kind, FailureVerb::kKill, FailureVerb::kReplace,
               Between(Millis(0), kMostReplacementDelay));
    } else if (kind == kDaemonPaused) {
      OnDaemon(at, kind, FailureVerb::kPause, FailureVerb::kResume,
               Between(Millis(500), kMostPause));
    } else if (kind == kDaemonStopped) {
      OnDaemon(at, kind, FailureVerb::kTerm, FailureVerb::kReplace, kDrainTime);
    } else if (kind == kVmListWrong) {
      OnVmList(at);
    } else {
      const auto& faults = StandinFaults();
      OnStandin(at, *std::find_if(faults.begin(), faults.end(),
                                  [&](const StandinFault& fault) {
                                    return fault.kind == kind;
                                  }));
    }
  }

  Millis EndOf(Millis at, Millis length) const {
    return std::min(at + length, options_.duration);
  }

  void OnDaemon(Millis at,
                const std::string& kind,
                FailureVerb begin,
                FailureVerb end,
                Millis length) {
    std::vector<int> free;
    for (int n = 1; n <= options_.daemons; ++n) {
      if (daemon_busy_[static_cast<size_t>(n - 1)] <= at) {
        free.push_back(n);
      }
    }
    const int out = options_.daemons - static_cast<int>(free.size());
    if (out >= options_.most_daemons_out) {
      return;
    }
    const int daemon = free[random_.Below(free.size())];
    const Millis until = EndOf(at, length);
    // A replacement counts as out until it has had time to become ready.
    daemon_busy_[static_cast<size_t>(daemon - 1)] = until + Millis(3'000);
    steps_.push_back({at, begin, kind, true, daemon, ""});
    steps_.push_back({until, end, kind, false, daemon, ""});
  }

  void Post(Millis at, const std::string& kind, bool begins, const Json& body) {
    steps_.push_back({at, FailureVerb::kFault, kind, begins, 0, body.dump()});
  }

  std::vector<std::string> FreeWorkers(Millis at, size_t most) {
    std::vector<std::string> free;
    for (const std::string& worker : options_.workers) {
      if (worker_busy_[worker] <= at) {
        free.push_back(worker);
      }
    }
    Shuffle(free);
    free.resize(std::min(free.size(), most));
    return free;
  }

  void OnStandin(Millis at, const StandinFault& fault) {
    const Millis until = EndOf(at, Between(fault.least, fault.most));
    Json begin = fault.begin;
    Json end = fault.end;
    if (fault.target == std::string("worker")) {
      const std::vector<std::string> ids =
          FreeWorkers(at, 1 + random_.Below(kMostWorkers));
      if (ids.empty()) {
        return;
      }
      for (const std::string& id : ids) {
        worker_busy_[id] = until;
      }
      begin["ids"] = ids;
      if (!end.is_null()) {
        end["ids"] = ids;
      }
    } else if (std::exchange(store_busy_[fault.kind], until) > at) {
      return;
    }
    begin["target"] = fault.target;
    Post(at, fault.kind, true, begin);
    if (!end.is_null()) {
      end["target"] = fault.target;
      Post(until, fault.kind, false, end);
    }
  }

  // A third of the workers is missing though alive.
  void OnVmList(Millis at) {
    if (list_busy_ > at) {
      return;
    }
    list_busy_ = EndOf(at, Between(Millis(2'000), Millis(20'000)));
    std::vector<std::string> hidden = options_.workers;
    Shuffle(hidden);
    hidden.resize(hidden.size() / 3);
    Post(at, kVmListWrong, true, {{"target", "vm_list"}, {"hidden", hidden}});
    Post(list_busy_, kVmListWrong, false,
         {{"target", "vm_list"}, {"hidden", Json::array()}});
  }

  const FailurePlanOptions options_;
  util::Random random_;
  std::vector<Millis> daemon_busy_;
  std::map<std::string, Millis> worker_busy_;
  std::map<std::string, Millis> store_busy_;
  Millis list_busy_{0};
  std::vector<std::string> deck_;
  std::vector<FailureStep> steps_;
};

}  // namespace

std::string FailureStep::Line() const {
  static const char* const verbs[] = {"kill",  "term",   "replace",
                                      "pause", "resume", "fault"};
  return std::to_string(at.count()) + (begins ? " begin " : " end ") + kind +
         " " + verbs[static_cast<int>(verb)] + " " +
         (verb == FailureVerb::kFault ? body : std::to_string(daemon));
}

std::vector<FailureStep> MakeFailurePlan(const FailurePlanOptions& options) {
  return Planner(options).Make();
}

}  // namespace chivedale::testing
