#include "chivedale/usage_model.h"

#include <algorithm>
#include <cmath>

// One sample above the present factor raises it at once: accounting too little
// overloads a worker, accounting too much only wastes room.
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
  const double seen = used / static_cast<double>(declared);
  if (used > *recent_peak) {
    *recent_peak = used;
  } else if (may_lower) {
    *recent_peak += (used - *recent_peak) * options_.step_down;
  }
  if (seen > factor->value) {
    factor->value = seen;
    ++factor->samples;
    return;
  }
  if (!may_lower) {
    return;
  }
  ++factor->samples;
  if (factor->samples > options_.samples_before_down) {
    factor->value += (seen - factor->value) * options_.step_down;
  }
}

int64_t UsageModel::Apply(const Factor& factor,
                          double recent_peak,
                          int64_t declared) const {
  const auto base = static_cast<double>(declared);
  const double corrected =
      std::clamp(base * factor.value, base / options_.largest_factor,
                 base * options_.largest_factor);
  // Sizes of one kind may differ: below its declared size, an attempt is never
  // accounted with less than the kind was seen to use.
  const double floor = std::min(recent_peak, base);
  return static_cast<int64_t>(std::ceil(std::max(corrected, floor)));
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
