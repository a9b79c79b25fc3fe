// Counters are plain atomics. A timer series is a histogram on a logarithmic
// axis behind a lock of its own: one relative precision (12%) from a
// microsecond to hours, and a bounded size however long the process runs.
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
constexpr double kLowestSeconds = 1e-6;
constexpr double kHighestSeconds = 1e4;
constexpr int kBinsPerDecade = 20;
constexpr int kBins = 10 * kBinsPerDecade;
// Five buckets per decade are exported.
constexpr int kBinsPerBucket = 4;
// Kinds come from callers' work; further ones share the series "other".
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
    double below = 0;
    for (int i = -1; i <= kBins; ++i) {
      const double in_bin = histogram_.at(i);
      if (in_bin > 0 && below + in_bin >= rank) {
        return Within(i, (rank - below) / in_bin);
      }
      below += in_bin;
    }
    return kHighestSeconds;
  }

  void Write(const std::string& name,
             const std::string& labels,
             std::ostream& out) const {
    const std::lock_guard lock(mutex_);
    auto below = static_cast<int64_t>(histogram_.at(-1));
    for (int i = 0; i < kBins; ++i) {
      below += static_cast<int64_t>(histogram_.at(i));
      if ((i + 1) % kBinsPerBucket == 0) {
        out << name << "_bucket{" << labels << ",le=\""
            << histogram_.axis().bin(i).upper() << "\"} " << below << '\n';
      }
    }
    out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << count_ << '\n'
        << name << "_sum{" << labels << "} " << sum_ << '\n'
        << name << "_count{" << labels << "} " << count_ << '\n';
  }

 private:
  using Axis = bh::axis::regular<double, bh::axis::transform::log>;

  double Within(int bin, double part) const {
    if (bin < 0) {
      return kLowestSeconds;
    }
    if (bin >= kBins) {
      return kHighestSeconds;
    }
    const auto edges = histogram_.axis().bin(bin);
    return edges.lower() * std::pow(edges.upper() / edges.lower(), part);
  }

  mutable std::mutex mutex_;
  decltype(bh::make_histogram_with(std::vector<double>(),
                                   std::declval<Axis>())) histogram_ =
      bh::make_histogram_with(std::vector<double>(),
                              Axis(kBins, kLowestSeconds, kHighestSeconds));
  double sum_ = 0;
  int64_t count_ = 0;
};

std::string LabelValue(const std::string& text) {
  std::string escaped;
  for (char c : text) {
    if (c == '\\' || c == '"') {
      escaped += '\\';
    }
    escaped += c == '\n' ? std::string("\\n") : std::string(1, c);
  }
  return escaped;
}

void WriteHead(const std::string& name,
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
    const bool full = series.size() >= kMaxSeries;
    return series[{timer, full ? "other" : kind}];
  }

  std::array<std::atomic<int64_t>, kCounters.size()> counters{};
  std::array<std::atomic<int64_t>, kGauges.size()> gauges{};
  mutable std::shared_mutex mutex;
  // Entries are never removed, so a reference stays valid without the lock.
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
  // A negative time has no place on a logarithmic axis.
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
    WriteHead(name, kCounters[i].help, "counter", out);
    out << name << ' ' << impl_->counters[i].load(std::memory_order_relaxed)
        << '\n';
  }
  for (size_t i = 0; i < kGauges.size(); ++i) {
    const std::string name = "chivedale_" + std::string(kGauges[i].name);
    WriteHead(name, kGauges[i].help, "gauge", out);
    out << name << ' ' << impl_->gauges[i].load(std::memory_order_relaxed)
        << '\n';
  }
  const std::shared_lock lock(impl_->mutex);
  for (size_t i = 0; i < kTimers.size(); ++i) {
    const std::string name = "chivedale_" + std::string(kTimers[i].name);
    WriteHead(name, kTimers[i].help, "histogram", out);
    for (const auto& [key, series] : impl_->series) {
      if (key.first == static_cast<Timer>(i)) {
        series.Write(name, "kind=\"" + LabelValue(key.second) + "\"", out);
      }
    }
  }
  return out.str();
}

}  // namespace chivedale
