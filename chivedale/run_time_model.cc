// A decaying logarithmic histogram per kind, with 4 bins per factor of two from
// 1 ms: a quantile is accurate to 19% with a fixed size of 104 bins. The weight
// of a sample decays exponentially with a scale of kDecaySamples samples. The
// mean is winsorized at the 95% quantile, so that a straggler that runs 50
// times longer does not distort the estimate of its row.
#include "chivedale/run_time_model.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <unordered_map>

namespace chivedale {
namespace {

constexpr int kBins = 104;
constexpr double kBinsPerDoubling = 4;
constexpr double kDecaySamples = 256;
// With fewer samples the declared run time is used.
constexpr double kMinSamples = 8;
constexpr double kWinsorQuantile = 0.95;
// Instead of scaling down old samples at each new one, the weight of new
// samples grows; all are rescaled when it exceeds this bound.
constexpr double kMaxWeight = 1e9;
// Bounds memory in case kinds do not come from the table.
constexpr size_t kMaxKinds = 4'096;

// Minimum share, so that work that declares no size still has a cost.
constexpr double kMinShare = 1e-3;

class Histogram {
 public:
  void Add(double seconds) {
    weight_ /= 1 - 1 / kDecaySamples;
    bins_[BinOf(seconds)] += weight_;
    total_ += weight_;
    ++samples_;
    if (weight_ > kMaxWeight) {
      Rescale();
    }
  }

  bool HasEnoughSamples() const { return samples_ >= kMinSamples; }

  double Quantile(double quantile) const {
    const double target = total_ * quantile;
    double sum = 0;
    for (int bin = 0; bin < kBins; ++bin) {
      sum += bins_[bin];
      if (sum >= target) {
        return BinCentre(bin);
      }
    }
    return BinCentre(kBins - 1);
  }

  double Mean() const {
    const double upper_bound = Quantile(kWinsorQuantile);
    double sum = 0;
    for (int bin = 0; bin < kBins; ++bin) {
      sum += bins_[bin] * std::min(BinCentre(bin), upper_bound);
    }
    return sum / total_;
  }

 private:
  static size_t BinOf(double seconds) {
    const double millis = std::max(1.0, seconds * 1e3);
    const double bin = std::floor(std::log2(millis) * kBinsPerDoubling);
    return static_cast<size_t>(std::min(bin, kBins - 1.0));
  }
  static double BinCentre(int bin) {
    return std::exp2((bin + 0.5) / kBinsPerDoubling) / 1e3;
  }
  void Rescale() {
    for (double& bin : bins_) {
      bin /= weight_;
    }
    total_ /= weight_;
    weight_ = 1;
  }

  std::array<double, kBins> bins_{};
  double total_ = 0;
  double weight_ = 1;
  double samples_ = 0;
};

double Seconds(Millis time) {
  return std::chrono::duration<double>(time).count();
}

double Part(int64_t amount, int64_t whole) {
  return static_cast<double>(amount) / static_cast<double>(whole);
}

}  // namespace

struct RunTimeModel::Impl {
  // Returns null if there are too few samples.
  const Histogram* Find(const std::string& kind) const {
    auto it = kinds.find(kind);
    return it != kinds.end() && it->second.HasEnoughSamples() ? &it->second
                                                              : nullptr;
  }

  std::unordered_map<std::string, Histogram> kinds;
};

RunTimeModel::RunTimeModel() : impl_(std::make_unique<Impl>()) {}
RunTimeModel::~RunTimeModel() = default;

void RunTimeModel::Learn(const std::string& kind, Millis run_time) {
  auto it = impl_->kinds.find(kind);
  if (it == impl_->kinds.end()) {
    if (impl_->kinds.size() >= kMaxKinds) {
      return;
    }
    it = impl_->kinds.try_emplace(kind).first;
  }
  it->second.Add(Seconds(run_time));
}

double RunTimeModel::MeanSeconds(const WorkRow& row) const {
  const Histogram* learned = impl_->Find(row.kind);
  const double mean =
      learned == nullptr ? Seconds(row.expected_run) : learned->Mean();
  return std::min(mean, Seconds(row.longest_run));
}

double RunTimeModel::QuantileSeconds(const WorkRow& row,
                                     double quantile) const {
  const Histogram* learned = impl_->Find(row.kind);
  const double time = learned == nullptr ? Seconds(row.expected_run)
                                         : learned->Quantile(quantile);
  return std::min(time, Seconds(row.longest_run));
}

double RunTimeModel::Cost(const WorkRow& row, const Resources& size) const {
  const double share =
      std::max({Part(size.cpu_milli, kReferenceWorker.cpu_milli),
                Part(size.memory_mb, kReferenceWorker.memory_mb),
                Part(size.accelerators, kReferenceWorker.accelerators),
                Part(size.slots, kReferenceWorker.slots), kMinShare});
  return MeanSeconds(row) * share;
}

}  // namespace chivedale
