// Counters are atomics. Each timer series is a histogram with a logarithmic
// axis and its own mutex: its relative precision is 12% from a microsecond to
// hours, and its size is fixed.
#include "chivedale/metrics.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <cmath>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <sstream>
#include <string_view>
#include <utility>

namespace chivedale {
namespace {

namespace bh = boost::histogram;

struct SeriesInfo {
  std::string_view name;
  std::string_view help;
};

constexpr std::array<SeriesInfo, 23> kCounters = {{
    {"requests_accepted", "Requests taken into the queue."},
    {"requests_refused", "Requests refused before a start."},
    {"requests_succeeded", "Requests answered by their endpoint."},
    {"requests_failed", "Requests that ended with an error after a start."},
    {"requests_unknown", "Requests whose outcome was reported as unknown."},
    {"requests_cancelled", "Requests cancelled by their caller."},
    {"requests_repeated", "Sends of a request id that was known already."},
    {"attempts", "Attempts dispatched, first ones and retries."},
    {"retries", "Attempts after the first."},
    {"late_answers", "Answers of an attempt that was no longer the present."},
    {"dispatches_remote", "Dispatches to another owner."},
    {"dispatches_cross_region", "Dispatches to an owner in another region."},
    {"dispatches_refused", "Dispatches that an owner refused."},
    {"starts_unknown", "Starts whose outcome was not known at once."},
    {"preemptions", "Tasks stopped after a checkpoint for other work."},
    {"peer_messages_sent", "Messages sent to other members."},
    {"peer_bytes_sent", "Bytes sent to other members, with framing."},
    {"peer_bytes_cross_region", "Bytes sent to members of other regions."},
    {"store_reads", "Read and watch calls to the store."},
    {"store_writes", "Write calls to the store."},
    {"store_failures", "Store calls without an answer."},
    {"worker_calls", "Calls to workers."},
    {"events_shed", "Events dropped because a queue was full."},
}};

constexpr std::array<SeriesInfo, 8> kGauges = {{
    {"queued", "Items waiting in the queue of this process."},
    {"running", "Tasks running on own workers."},
    {"owned_workers", "Workers whose lease this process holds."},
    {"members", "Live members, this one included."},
    {"table_revision", "Revision of the table in force."},
    {"open_requests", "Requests without an end result."},
    {"retained_bytes", "Bytes of answers kept for repeated sends."},
    {"control_queue", "Events waiting for the control thread."},
}};

constexpr std::array<SeriesInfo, 5> kTimers = {{
    {"wait_seconds", "Time from acceptance to the start of the work."},
    {"run_seconds", "Time from the start to the end of the work."},
    {"total_seconds", "Time from acceptance to the answer."},
    {"decision_seconds", "Time that one scheduling decision took."},
    {"control_delay_seconds", "Time an event waited for the control thread."},
}};

static_assert(kCounters.size() == static_cast<size_t>(Counter::kEventsShed) + 1,
              "kCounters must list every Counter");
static_assert(kGauges.size() == static_cast<size_t>(Gauge::kControlQueue) + 1,
              "kGauges must list every Gauge");
static_assert(kTimers.size() == static_cast<size_t>(Timer::kControlDelay) + 1,
              "kTimers must list every Timer");

// 1 us to 10,000 s, 20 bins per decade.
constexpr double kMinSeconds = 1e-6;
constexpr double kMaxSeconds = 1e4;
constexpr int kBinsPerDecade = 20;
constexpr int kBins = 10 * kBinsPerDecade;
// 4 of the 20 bins per decade form an exported bucket: 5 buckets per decade.
constexpr int kBinsPerBucket = 4;
// Kinds are chosen by callers, so their number is bounded: further kinds share
// the series "other".
constexpr size_t kMaxSeries = 4'096;

class Series {
 public:
  void Add(double seconds) {
    const std::lock_guard lock(mutex_);
    histogram_(seconds);
    sum_ += seconds;
    ++count_;
  }

  double Quantile(double quantile) const {
    const std::lock_guard lock(mutex_);
    if (count_ == 0) {
      return 0;
    }
    const double rank = quantile * static_cast<double>(count_);
    double cumulative = 0;
    for (int i = -1; i <= kBins; ++i) {
      const double in_bin = histogram_.at(i);
      if (in_bin > 0 && cumulative + in_bin >= rank) {
        return Interpolate(i, (rank - cumulative) / in_bin);
      }
      cumulative += in_bin;
    }
    return kMaxSeconds;
  }

  void Write(const std::string& name,
             const std::string& labels,
             std::ostream& out) const {
    const std::lock_guard lock(mutex_);
    auto cumulative = static_cast<int64_t>(histogram_.at(-1));
    for (int i = 0; i < kBins; ++i) {
      cumulative += static_cast<int64_t>(histogram_.at(i));
      if ((i + 1) % kBinsPerBucket == 0) {
        out << name << "_bucket{" << labels << ",le=\""
            << histogram_.axis().bin(i).upper() << "\"} " << cumulative << '\n';
      }
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << count_ << '\n'
        << name << "_sum{" << labels << "} " << sum_ << '\n'
        << name << "_count{" << labels << "} " << count_ << '\n';
  }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;

  double Interpolate(int bin, double fraction) const {
    if (bin < 0) {
      return kMinSeconds;
    }
    if (bin >= kBins) {
      return kMaxSeconds;
    }
    const auto edges = histogram_.axis().bin(bin);
    return edges.lower() * std::pow(edges.upper() / edges.lower(), fraction);
  }

  mutable std::mutex mutex_;
  decltype(bh::make_histogram_with(std::vector<double>(),
                                   std::declval<Axis>())) histogram_ =
      bh::make_histogram_with(std::vector<double>(),
                              Axis(kBins, kMinSeconds, kMaxSeconds));
  double sum_ = 0;
  int64_t count_ = 0;
};

std::string EscapeLabelValue(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

void WriteHeader(const std::string& name,
                 std::string_view help,
                 std::string_view type,
                 std::ostream& out) {
  out << "# HELP " << name << ' ' << help << "\n# TYPE " << name << ' ' << type
      << '\n';
}

}  // namespace

struct Metrics::Impl {
  using SeriesKey = std::pair<Timer, std::string>;

  Series& SeriesFor(Timer timer, const std::string& kind) {
    {
      const std::shared_lock lock(mutex);
      const auto it = series.find({timer, kind});
      if (it != series.end()) {
        return it->second;
      }
    }
    const std::unique_lock lock(mutex);
    const bool at_limit = series.size() >= kMaxSeries;
    return series[{timer, at_limit ? "other" : kind}];
  }

  std::array<std::atomic<int64_t>, kCounters.size()> counters{};
  std::array<std::atomic<int64_t>, kGauges.size()> gauges{};
  mutable std::shared_mutex mutex;
  // Entries are never removed, so references stay valid without the mutex.
  std::map<SeriesKey, Series> series;
};

Metrics::Metrics() : impl_(std::make_unique<Impl>()) {}
Metrics::~Metrics() = default;

void Metrics::Count(Counter counter, int64_t by) {
  impl_->counters[static_cast<size_t>(counter)].fetch_add(
      by, std::memory_order_relaxed);
}

void Metrics::Set(Gauge gauge, int64_t value) {
  impl_->gauges[static_cast<size_t>(gauge)].store(value,
                                                  std::memory_order_relaxed);
}

void Metrics::Observe(Timer timer,
                      const std::string& kind,
                      util::Duration value) {
  // A logarithmic axis has no negative values.
  const double seconds =
      std::max(0.0, std::chrono::duration<double>(value).count());
  impl_->SeriesFor(timer, kind).Add(seconds);
}

int64_t Metrics::Value(Counter counter) const {
  return impl_->counters[static_cast<size_t>(counter)].load(
      std::memory_order_relaxed);
}

double Metrics::QuantileSeconds(Timer timer,
                                const std::string& kind,
                                double quantile) const {
  const std::shared_lock lock(impl_->mutex);
  const auto it = impl_->series.find({timer, kind});
  return it == impl_->series.end() ? 0 : it->second.Quantile(quantile);
}

std::string Metrics::PrometheusText() const {
  std::ostringstream out;
  for (size_t i = 0; i < kCounters.size(); ++i) {
    const std::string name =
        "chivedale_" + std::string(kCounters[i].name) + "_total";
    WriteHeader(name, kCounters[i].help, "counter", out);
    out << name << ' ' << impl_->counters[i].load(std::memory_order_relaxed)
        << '\n';
  }
  for (size_t i = 0; i < kGauges.size(); ++i) {
    const std::string name = "chivedale_" + std::string(kGauges[i].name);
    WriteHeader(name, kGauges[i].help, "gauge", out);
    out << name << ' ' << impl_->gauges[i].load(std::memory_order_relaxed)
        << '\n';
  }
  const std::shared_lock lock(impl_->mutex);
  for (size_t i = 0; i < kTimers.size(); ++i) {
    const std::string name = "chivedale_" + std::string(kTimers[i].name);
    WriteHeader(name, kTimers[i].help, "histogram", out);
    for (const auto& [key, series] : impl_->series) {
      if (key.first == static_cast<Timer>(i)) {
        series.Write(name, "kind=\"" + EscapeLabelValue(key.second) + "\"",
                     out);
      }
    }
  }
  return out.str();
}

}  // namespace chivedale
