// Fault kinds are taken in turn from a shuffled list of all kinds rather than
// drawn independently, so that each kind occurs in a run of a few minutes.
#include "chivedale/tools/failure_plan.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "util/random.h"

namespace chivedale::testing {
namespace {

using Json = nlohmann::json;

// A run begins with this long without faults.
constexpr Millis kFaultFreeStart{4'000};
constexpr Millis kMinGap{1'000};
constexpr Millis kMaxGap{5'000};
// Probability that a second fault starts together with a fault.
constexpr double kSecondFaultProbability = 0.4;
// A killed daemon is replaced after at most this time.
constexpr Millis kMaxReplacementDelay{6'000};
// A draining daemon counts as out for this long; it is replaced only after it
// has exited.
constexpr Millis kDrainTime{15'000};
constexpr Millis kMaxPause{20'000};
constexpr Millis kMaxStoreDown{60'000};
constexpr size_t kMaxWorkers = 6;

constexpr const char* kDaemonKilled = "daemon_killed";
constexpr const char* kDaemonPaused = "daemon_paused";
constexpr const char* kDaemonStopped = "daemon_stopped";
constexpr const char* kVmListWrong = "vm_list_wrong";

// A fault of the stand-ins, with the bodies posted at its start and its end.
struct StandinFault {
  const char* kind;
  const char* target;
  Json begin;
  Json end;  // null: the fault ends by itself
  Millis min_length;
  Millis max_length;
};

const std::vector<StandinFault>& StandinFaults() {
  static const std::vector<StandinFault> faults = {
      {"store_down",
       "store",
       {{"down", true}},
       {{"down", false}},
       Millis(3'000),
       kMaxStoreDown},
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
      // A VM that has left returns as a new one, that is, rebooted.
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
    for (Millis at = kFaultFreeStart; at < options_.duration - kMinGap;
         at += Between(kMinGap, kMaxGap)) {
      Begin(at);
      if (random_.UniformReal() < kSecondFaultProbability) {
        Begin(at);
      }
    }
    std::stable_sort(
        steps_.begin(), steps_.end(),
        [](const auto& one, const auto& other) { return one.at < other.at; });
    return std::move(steps_);
  }

 private:
  Millis Between(Millis min_length, Millis max_length) {
    const auto span =
        static_cast<uint64_t>((max_length - min_length).count()) + 1;
    return min_length + Millis(static_cast<int64_t>(random_.UniformInt(span)));
  }

  template <typename T>
  void Shuffle(std::vector<T>& values) {
    for (size_t i = values.size(); i > 1; --i) {
      std::swap(values[i - 1], values[random_.UniformInt(i)]);
    }
  }

  std::string NextKind() {
    if (shuffled_kinds_.empty()) {
      shuffled_kinds_ = {kDaemonKilled, kDaemonPaused, kDaemonStopped,
                         kVmListWrong};
      for (const StandinFault& fault : StandinFaults()) {
        shuffled_kinds_.emplace_back(fault.kind);
      }
      Shuffle(shuffled_kinds_);
    }
    std::string kind = shuffled_kinds_.back();
    shuffled_kinds_.pop_back();
    return kind;
  }

  // Adds a fault of the next kind. Omits it if all its targets already have
  // faults or if too many daemons are out.
  void Begin(Millis at) {
    const std::string kind = NextKind();
    if (kind == kDaemonKilled) {
      OnDaemon(at, kind, FailureVerb::kKill, FailureVerb::kReplace,
               Between(Millis(0), kMaxReplacementDelay));
    } else if (kind == kDaemonPaused) {
      OnDaemon(at, kind, FailureVerb::kPause, FailureVerb::kResume,
               Between(Millis(500), kMaxPause));
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
    if (out >= options_.max_daemons_out) {
      return;
    }
    const int daemon = free[random_.UniformInt(free.size())];
    const Millis until = EndOf(at, length);
    // A replacement counts as out until it has had time to become ready.
    daemon_busy_[static_cast<size_t>(daemon - 1)] = until + Millis(3'000);
    steps_.push_back({at, begin, kind, true, daemon, ""});
    steps_.push_back({until, end, kind, false, daemon, ""});
  }

  void Post(Millis at, const std::string& kind, bool begins, const Json& body) {
    steps_.push_back({at, FailureVerb::kFault, kind, begins, 0, body.dump()});
  }

  std::vector<std::string> FreeWorkers(Millis at, size_t max_count) {
    std::vector<std::string> free;
    for (const std::string& worker : options_.workers) {
      if (worker_busy_[worker] <= at) {
        free.push_back(worker);
      }
    }
    Shuffle(free);
    free.resize(std::min(free.size(), max_count));
    return free;
  }

  void OnStandin(Millis at, const StandinFault& fault) {
    const Millis until = EndOf(at, Between(fault.min_length, fault.max_length));
    Json begin = fault.begin;
    Json end = fault.end;
    if (fault.target == std::string("worker")) {
      const std::vector<std::string> ids =
          FreeWorkers(at, 1 + random_.UniformInt(kMaxWorkers));
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

  // Hides a third of the workers from the list although they are alive.
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
  std::vector<std::string> shuffled_kinds_;
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
