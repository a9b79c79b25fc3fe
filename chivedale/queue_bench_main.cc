// Benchmark of FairQueue: pushes and pops per second and, with a simple service
// model (identical slots, one item each, simulated time), the waits of short
// work next to stragglers and of urgent work at a demand peak. Compares the
// policies `ours` and `fifo` in one run. Prints a table and one JSON line per
// figure.
//
//   queue_bench [SEEDS]
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iomanip>
#include <iostream>
#include <queue>
#include <string>
#include <vector>

#include "chivedale/fair_queue.h"
#include "chivedale/run_time_model.h"
#include "chivedale/testing/fake_clock.h"
#include "util/random.h"

namespace chivedale {
namespace {

constexpr int kRows = 460;
constexpr int kSlots = 64;
constexpr int64_t kOperations = 200'000;
constexpr double kSimulatedSeconds = 120;

const char* NameOf(QueuePolicyKind policy) {
  return policy == QueuePolicyKind::kFairQueue ? "ours" : "fifo";
}

bool AnyFits(const QueuedItem&) {
  return true;
}

struct Figure {
  std::string name;
  std::string policy;
  std::string unit;
  std::vector<double> values;
};

void Print(Figure figure) {
  std::sort(figure.values.begin(), figure.values.end());
  const double median = figure.values[figure.values.size() / 2];
  const double minimum = figure.values.front();
  const double maximum = figure.values.back();
  std::cout << std::left << std::setw(44) << figure.name << std::setw(6)
            << figure.policy << std::right << std::fixed << std::setprecision(3)
            << std::setw(16) << median << " [" << minimum << ", " << maximum
            << "] " << figure.unit << '\n'
            << "{\"name\":\"" << figure.name << "\",\"policy\":\""
            << figure.policy << "\",\"unit\":\"" << figure.unit
            << "\",\"median\":" << median << ",\"min\":" << minimum
            << ",\"max\":" << maximum << ",\"runs\":" << figure.values.size()
            << "}\n";
}

double OperationsPerSecond(QueuePolicyKind policy,
                           int64_t queued,
                           uint64_t seed) {
  util::SteadyClock clock;
  util::Random random(seed);
  FairQueue::Options options;
  options.max_items = 2 * queued;
  options.policy = policy;
  FairQueue queue(clock, options);
  Table table;
  for (int i = 0; i < kRows; ++i) {
    WorkRow row;
    row.kind = "kind" + std::to_string(i);
    row.urgency = Urgency(i % 3);
    row.weight = 1.0 + i % 7;
    row.limits.max_queued = 0;
    table.rows[row.kind] = row;
  }
  queue.SetTable(table);
  int64_t next = 0;
  const auto push = [&] {
    QueuedItem item;
    item.task = TaskId("r/" + std::to_string(next++));
    item.kind = "kind" + std::to_string(random.UniformInt(kRows));
    item.cost = random.UniformReal();
    item.enqueued = clock.Now();
    item.deadline =
        item.enqueued + std::chrono::seconds(600 + random.UniformInt(600));
    queue.Push(std::move(item));
  };
  while (next < queued) {
    push();
  }
  const util::TimePoint begin = clock.Now();
  for (int64_t i = 0; i < kOperations / 2; ++i) {
    queue.PopFirst(AnyFits);
    push();
  }
  const std::chrono::duration<double> elapsed = clock.Now() - begin;
  return static_cast<double>(kOperations) / elapsed.count();
}

// One kind of work of the service model.
struct Load {
  std::string kind;
  Urgency urgency = Urgency::kNormal;
  double run_s = 0.05;
  // Average fraction of the slots that its work occupies.
  double load = 0.3;
  double straggler_fraction = 0;
};

// Serves `loads` on kSlots slots; demand is `peak` times as high from 40 s to
// 60 s.
class ServiceModel {
 public:
  ServiceModel(QueuePolicyKind policy,
               std::vector<Load> loads,
               double peak,
               uint64_t seed)
      : loads_(std::move(loads)),
        peak_(peak),
        random_(seed),
        queue_(clock_, OptionsFor(policy)),
        waits_(loads_.size()),
        arrivals_(loads_.size()) {
    Table table;
    for (const Load& load : loads_) {
      WorkRow row;
      row.kind = load.kind;
      row.urgency = load.urgency;
      row.longest_run = Millis(3'600'000);
      row.expected_run = Millis(static_cast<int64_t>(load.run_s * 1e3));
      table.rows[load.kind] = row;
    }
    table_ = table;
    queue_.SetTable(table_);
  }

  void Run() {
    const util::TimePoint begin = clock_.Now();
    for (size_t i = 0; i < loads_.size(); ++i) {
      ScheduleArrival(i);
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      clock_.Advance(event.at - clock_.Now());
      if (clock_.Now() - begin >
          std::chrono::duration<double>(kSimulatedSeconds)) {
        return;
      }
      event.is_completion ? Finish(event) : Arrive(event.load);
      StartQueued();
    }
  }

  // Wait quantile of the work that started.
  double WaitQuantile(size_t load, double quantile) {
    std::vector<double>& waits = waits_[load];
    std::sort(waits.begin(), waits.end());
    const auto last = static_cast<double>(waits.size() - 1);
    return waits[static_cast<size_t>(quantile * last)];
  }
  // Fraction of all arrivals that started within `limit_s`.
  double ServiceLevel(size_t load, double limit_s) const {
    const auto good =
        std::count_if(waits_[load].begin(), waits_[load].end(),
                      [limit_s](double wait) { return wait <= limit_s; });
    return static_cast<double>(good) / static_cast<double>(arrivals_[load]);
  }

 private:
  struct Event {
    util::TimePoint at;
    bool is_completion = false;
    size_t load = 0;
    double run_s = 0;
    double cost = 0;
    bool operator<(const Event& other) const { return at > other.at; }
  };

  static FairQueue::Options OptionsFor(QueuePolicyKind policy) {
    FairQueue::Options options;
    options.policy = policy;
    return options;
  }

  static util::Duration Seconds(double seconds) {
    return std::chrono::duration_cast<util::Duration>(
        std::chrono::duration<double>(seconds));
  }

  double Exponential(double mean) {
    return -mean * std::log(1.0 - random_.UniformReal());
  }

  bool IsPeak() const {
    const auto since_start = clock_.Now() - start_;
    return since_start >= std::chrono::seconds(40) &&
           since_start < std::chrono::seconds(60);
  }

  void ScheduleArrival(size_t i) {
    const Load& load = loads_[i];
    const double rate =
        load.load * kSlots / load.run_s * (IsPeak() ? peak_ : 1);
    Event event;
    event.at = clock_.Now() + Seconds(Exponential(1 / rate));
    event.load = i;
    events_.push(event);
  }

  void Arrive(size_t i) {
    ScheduleArrival(i);
    const Load& load = loads_[i];
    ++arrivals_[i];
    QueuedItem item;
    item.task = TaskId(std::to_string(i) + "/" + std::to_string(++last_id_));
    item.kind = load.kind;
    item.size = {1000, 0, 0, 1};
    item.cost = run_times_.Cost(table_.rows[load.kind], item.size);
    item.enqueued = clock_.Now();
    item.deadline = clock_.Now() + std::chrono::seconds(30);
    try {
      queue_.Push(std::move(item));
    } catch (const std::exception&) {
      // Refused as by the daemon; counts against the service level.
    }
  }

  void StartQueued() {
    queue_.TakeExpired();
    while (busy_ < kSlots) {
      const auto item = queue_.PopFirst(AnyFits);
      if (!item) {
        return;
      }
      ++busy_;
      const auto i = static_cast<size_t>(item->task.str()[0] - '0');
      const std::chrono::duration<double> wait = clock_.Now() - item->enqueued;
      waits_[i].push_back(wait.count());
      Event event;
      event.is_completion = true;
      event.load = i;
      event.cost = item->cost;
      event.run_s = loads_[i].run_s * (0.5 + random_.UniformReal());
      if (random_.UniformReal() < loads_[i].straggler_fraction) {
        event.run_s *= 50;
      }
      event.at = clock_.Now() + Seconds(event.run_s);
      events_.push(event);
    }
  }

  void Finish(const Event& event) {
    --busy_;
    const Load& load = loads_[event.load];
    run_times_.Learn(load.kind,
                     Millis(static_cast<int64_t>(event.run_s * 1e3)));
    queue_.SettleCost(load.kind, event.cost,
                      event.cost * event.run_s / load.run_s);
  }

  const std::vector<Load> loads_;
  const double peak_;
  util::Random random_;
  testing::FakeClock clock_;
  const util::TimePoint start_ = clock_.Now();
  FairQueue queue_;
  RunTimeModel run_times_;
  Table table_;
  std::priority_queue<Event> events_;
  std::vector<std::vector<double>> waits_;
  std::vector<int64_t> arrivals_;
  int busy_ = 0;
  int64_t last_id_ = 0;
};

std::vector<Load> ShortAndLong(double straggler_fraction) {
  return {{"short", Urgency::kNormal, 0.05, 0.3, 0},
          {"long", Urgency::kNormal, 1.0, 0.3, straggler_fraction}};
}

std::vector<Load> ThreeClasses() {
  return {{"urgent", Urgency::kUrgent, 0.05, 0.05, 0},
          {"normal", Urgency::kNormal, 0.2, 0.3, 0},
          {"batch", Urgency::kBatch, 1.0, 0.3, 0}};
}

void Measure(QueuePolicyKind policy, uint64_t seeds) {
  const std::string name = NameOf(policy);
  for (const int64_t queued : {1'000, 10'000, 100'000}) {
    Figure figure{"pushes and pops at " + std::to_string(queued) + " queued",
                  name,
                  "1/s",
                  {}};
    for (uint64_t seed = 1; seed <= seeds; ++seed) {
      figure.values.push_back(OperationsPerSecond(policy, queued, seed));
    }
    Print(figure);
  }
  Figure without{"short p99 wait without stragglers", name, "s", {}};
  Figure with{"short p99 wait, 2% of long 50x longer", name, "s", {}};
  Figure urgent{"urgent p99 wait, demand x10 for 20 s", name, "s", {}};
  Figure level{"urgent started within 2 s, demand x10", name, "part", {}};
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    ServiceModel plain(policy, ShortAndLong(0), 1, seed);
    plain.Run();
    without.values.push_back(plain.WaitQuantile(0, 0.99));
    ServiceModel stragglers(policy, ShortAndLong(0.02), 1, seed);
    stragglers.Run();
    with.values.push_back(stragglers.WaitQuantile(0, 0.99));
    ServiceModel peak(policy, ThreeClasses(), 10, seed);
    peak.Run();
    urgent.values.push_back(peak.WaitQuantile(0, 0.99));
    level.values.push_back(peak.ServiceLevel(0, 2));
  }
  Print(without);
  Print(with);
  Print(urgent);
  Print(level);
}

}  // namespace
}  // namespace chivedale

int main(int argc, char** argv) {
  const long seeds = argc > 1 ? std::strtol(argv[1], nullptr, 10) : 5;
  if (seeds < 1) {
    std::cerr << "usage: queue_bench [SEEDS]\n";
    return 2;
  }
  for (const auto policy : {chivedale::QueuePolicyKind::kFairQueue,
                            chivedale::QueuePolicyKind::kFifo}) {
    chivedale::Measure(policy, static_cast<uint64_t>(seeds));
  }
  return 0;
}
