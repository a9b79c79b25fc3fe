#include "cell/leader_load.h"

#include <algorithm>

namespace chivedale::cell {
namespace {

constexpr Millis kReportInterval{1'000};

std::string MillisText(Duration time) {
  return std::to_string(std::chrono::duration_cast<Millis>(time).count());
}

// Gap since the last occurrence; 0 for the first one.
Duration GapSince(TimePoint last, TimePoint now) {
  return last == TimePoint() ? Duration(0) : now - last;
}

}  // namespace

void LeaderLoad::OnTick(TimePoint now) {
  max_tick_gap_ = std::max(max_tick_gap_, GapSince(last_tick_, now));
  last_tick_ = now;
}

void LeaderLoad::OnPass(TimePoint begin,
                        TimePoint end,
                        const PassSteps& steps) {
  ++passes_;
  max_pass_gap_ = std::max(max_pass_gap_, GapSince(last_pass_, begin));
  last_pass_ = begin;
  pass_time_ += end - begin;
  max_pass_ = std::max(max_pass_, end - begin);
  last_steps_ = steps;
}

void LeaderLoad::OnFirstConsidered(int priority, Duration waited) {
  Duration& longest = priority == 0 ? max_urgent_wait_ : max_other_wait_;
  longest = std::max(longest, waited);
}

void LeaderLoad::Report(TimePoint now, const Counts& counts) {
  LogFields fields = {
      {"tick_gap_ms", MillisText(max_tick_gap_)},
      {"passes", std::to_string(passes_)},
      {"pass_ms", MillisText(pass_time_)},
      {"longest_pass_ms", MillisText(max_pass_)},
      {"pass_gap_ms", MillisText(max_pass_gap_)},
      {"steps", std::to_string(last_steps_.waiting)},
      {"late_steps", std::to_string(last_steps_.late)},
      {"urgent_wait_ms", MillisText(max_urgent_wait_)},
      {"other_wait_ms", MillisText(max_other_wait_)},
  };
  for (size_t i = 0; i < counts.size(); ++i) {
    const int64_t before =
        i < last_counts_.size() ? last_counts_[i].second : int64_t{0};
    fields.emplace_back(counts[i].first,
                        std::to_string(counts[i].second - before));
  }
  log_.Write(Event::kLeaderLoad, fields);
  last_counts_ = counts;
  next_report_ = now + kReportInterval;
  max_tick_gap_ = max_pass_gap_ = pass_time_ = max_pass_ = Duration(0);
  max_urgent_wait_ = max_other_wait_ = Duration(0);
  passes_ = 0;
}

}  // namespace chivedale::cell
