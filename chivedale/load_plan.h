// The requests of a load run and their arrival times. Arrivals are open-loop,
// so a slow answer does not reduce the load. The same seed gives the same plan.
//
//   LoadPlan plan(ParseLoadProfile(json), seed);
//   while (std::optional<LoadArrival> arrival = plan.Next()) ...
#ifndef CHIVEDALE_LOAD_PLAN_H_
#define CHIVEDALE_LOAD_PLAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/work.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

// One kind of work in the mix.
struct LoadKind {
  std::string kind;
  // Weight of this kind among the arrivals, relative to the other kinds.
  double share = 1;
  // Run times are exponential with this mean.
  Millis run_mean{100};
  // This fraction of the work runs for `straggler_factor` times the mean.
  double straggler_share = 0;
  double straggler_factor = 50;
  int64_t payload_bytes = 200;
  int64_t answer_bytes = 200;
  Millis deadline{30'000};
  // Fraction that the caller cancels, all at `LoadProfile::cancel_at`.
  double cancel_share = 0;
  // Fraction that is sent twice at the same time, through two entries.
  double repeat_share = 0;
};

struct LoadProfile {
  double rate_per_s = 200;
  Millis duration{10'000};
  // From `crest_at` the rate rises to `crest_factor` times within `crest_rise`,
  // stays there for `crest_length` and drops back immediately.
  double crest_factor = 1;
  Millis crest_at{0};
  Millis crest_rise{2'000};
  Millis crest_length{0};
  // Time of the bulk cancellation; zero for none.
  Millis cancel_at{0};
  std::vector<LoadKind> kinds;
};

// Throws Error(kBadRequest) naming the invalid key.
LoadProfile ParseLoadProfile(const std::string& json);

struct LoadArrival {
  util::Duration at{0};
  std::string id;
  size_t kind = 0;
  Millis run{0};
  bool straggler = false;
  bool cancel = false;
  bool repeat = false;
  // JSON text of the request's `payload`.
  std::string payload;
};

class LoadPlan {
 public:
  LoadPlan(LoadProfile profile, uint64_t seed);

  // Command. Returns nullopt after the end of the duration.
  std::optional<LoadArrival> Next();

  // Queries.
  const LoadProfile& profile() const { return profile_; }
  double RateAt(util::Duration at) const;

 private:
  size_t DrawKind();

  const LoadProfile profile_;
  util::Random random_;
  const std::string prefix_;
  double total_share_ = 0;
  util::Duration at_{0};
  uint64_t number_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LOAD_PLAN_H_
