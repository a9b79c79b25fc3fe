#include "chivedale/usage_model.h"

#include <algorithm>
#include <cmath>

// A single sample above the current factor raises it immediately: accounting
// too little overloads a worker, accounting too much only wastes room.
namespace chivedale {

UsageModel::UsageModel(Options options) : options_(options) {}

void UsageModel::Observe(const std::string& kind,
                         const Resources& declared,
                         const Resources& peak,
                         Millis run_time,
                         Millis lag) {
  const bool may_lower = run_time > lag;
  Kind& model = kinds_[kind];
  Learn(&model.cpu, &model.cpu_peak, declared.cpu_milli, peak.cpu_milli,
        may_lower);
  Learn(&model.memory, &model.memory_peak, declared.memory_mb, peak.memory_mb,
        may_lower);
}

void UsageModel::Learn(Factor* factor,
                       double* recent_peak,
                       int64_t declared,
                       int64_t peak,
                       bool may_lower) const {
  // A worker without measurements reports zero.
  if (declared <= 0 || peak <= 0) {
    return;
  }
  const auto used = static_cast<double>(peak);
  const double observed_ratio = used / static_cast<double>(declared);
  if (used > *recent_peak) {
    *recent_peak = used;
  } else if (may_lower) {
    *recent_peak += (used - *recent_peak) * options_.decrease_rate;
  }
  if (observed_ratio > factor->value) {
    factor->value = observed_ratio;
    ++factor->samples;
    return;
  }
  if (!may_lower) {
    return;
  }
  ++factor->samples;
  if (factor->samples > options_.min_samples_to_decrease) {
    factor->value += (observed_ratio - factor->value) * options_.decrease_rate;
  }
}

int64_t UsageModel::Apply(const Factor& factor,
                          double recent_peak,
                          int64_t declared) const {
  const auto base = static_cast<double>(declared);
  const double corrected =
      std::clamp(base * factor.value, base / options_.max_factor,
                 base * options_.max_factor);
  // Sizes of one kind may differ. Below its declared size, an attempt is never
  // accounted with less than the observed usage of its kind.
  const double min_size = std::min(recent_peak, base);
  return static_cast<int64_t>(std::ceil(std::max(corrected, min_size)));
}

Resources UsageModel::Corrected(const std::string& kind,
                                const Resources& declared) const {
  auto it = kinds_.find(kind);
  if (it == kinds_.end()) {
    return declared;
  }
  Resources size = declared;
  size.cpu_milli =
      Apply(it->second.cpu, it->second.cpu_peak, declared.cpu_milli);
  size.memory_mb =
      Apply(it->second.memory, it->second.memory_peak, declared.memory_mb);
  return size;
}

}  // namespace chivedale
