// Measures JobManager in a cell with one member. The store answers after 5 ms;
// owners accept each start after 5 ms and answer after the run time.
#include <deque>
#include <memory>
#include <set>

#include "chivedale/job_manager.h"
#include "chivedale/platform_codec.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/tools/capacity_bench.h"

namespace chivedale::testing {
namespace {

constexpr Millis kStep{5};
constexpr int kStepsPerTick = 4;
constexpr int kSettleSteps = 2'000;
constexpr int kTasksPerJob = 10;
// Maximum number of simulated steps for starting the services.
constexpr int kStartSteps = 400'000;

// Counts the bytes of values written and read, and of the last listing.
class MeteredStore final : public StorePort {
 public:
  explicit MeteredStore(FakeStore& store) : store_(store) {}

  void Get(const std::string& key, Done done) override {
    store_.Get(key, Metered(std::move(done)));
  }
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override {
    bytes += static_cast<double>(value.size());
    store_.Put(key, value, expected, std::move(done));
  }
  void Delete(const std::string& key, uint64_t expected, Done done) override {
    store_.Delete(key, expected, std::move(done));
  }
  void List(const std::string& prefix, Done done) override {
    store_.List(prefix, [this, done = std::move(done)](StoreResult result) {
      const double start = ThreadSeconds();
      list_bytes = static_cast<double>(protocol::EncodeEntries(result).size());
      spent_s += ThreadSeconds() - start;
      done(std::move(result));
    });
  }
  void Watch(const std::string& prefix,
             uint64_t after,
             Millis wait,
             Done done) override {
    store_.Watch(prefix, after, wait, Metered(std::move(done)));
  }

  double bytes = 0;
  double list_bytes = 0;  // bytes of the last listing
  double spent_s = 0;     // processor time spent in this meter

 private:
  Done Metered(Done done) {
    return [this, done = std::move(done)](StoreResult result) {
      for (const StoreEntry& entry : result.entries) {
        bytes += static_cast<double>(entry.value.size());
      }
      done(std::move(result));
    };
  }
  FakeStore& store_;
};

class JobBench final : public JobListener {
 public:
  JobBench(WorkShape shape, Millis run_time, uint64_t seed)
      : random_(seed),
        queue_(clock_, seed),
        fake_store_(queue_),
        store_(fake_store_),
        members_(BenchMembers(1, 1, 1)),
        run_time_(run_time) {
    // Applied twice per call; the 5 ms steps round the 4 ms up to 5.
    fake_store_.faults().delay = Millis(2);
    row_.kind = "kind-1";
    row_.shape = shape;
    row_.longest_run = Millis(86'400'000);
    manager_ = std::make_unique<JobManager>(
        clock_, random_, store_, *this, members_[0].id, JobManager::Options());
    manager_->SetMembers(members_);
  }

  void Enqueue(const Dispatch& dispatch, util::TimePoint) override {
    DispatchReply reply;
    reply.key = dispatch.key;
    reply.sequence = dispatch.sequence;
    reply.outcome = DispatchOutcome::kAccepted;
    reply.worker = WorkerId("worker-1");
    reply.token = 1;
    reply.boot_id = "boot-1";
    reply.rack = "rack-1";
    reply.data_centre = "centre-0";
    meter_.Add(dispatch);
    meter_.Add(reply);
    queue_.Post(
        [this, reply] {
          running_.insert(reply.key);
          manager_->OnDispatchReply(members_[0].id, reply);
        },
        kStep);
    if (run_time_ == Millis(0)) {
      return;
    }
    chivedale::Answer answer;
    answer.key = dispatch.key;
    answer.worker = reply.worker;
    answer.ok = true;
    answer.run_time = run_time_;
    meter_.Add(answer);
    queue_.Post(
        [this, answer] {
          running_.erase(answer.key);
          manager_->OnAnswer(members_[0].id, answer);
        },
        run_time_);
  }
  void CancelAttempt(const TaskKey&, const MemberId&) override {}
  void SendToMember(const MemberId&, const Message& message) override {
    meter_.Add(message);
  }
  const WorkRow* FindRow(const std::string&) const override { return &row_; }
  std::vector<Summary> Summaries() const override {
    Summary summary;
    summary.owner = members_[0].id;
    summary.plain.workers = 1'000;
    summary.plain.capacity = {64'000'000, 131'072'000, 0, 32'000};
    summary.plain.free = summary.plain.capacity;
    summary.plain.largest = {64'000, 131'072, 0, 32};
    summary.plain.largest_worker = summary.plain.largest;
    return {summary};
  }

  void Submit(int64_t tasks) {
    JobSpec spec;
    spec.id = JobId("job-" + std::to_string(++jobs_));
    spec.kind = row_.kind;
    spec.tasks = tasks;
    spec.payload = std::string(200, 'x');
    spec.submitter = "team-1";
    manager_->Submit(spec, [this](const JobResult& result) {
      result.ok ? ++accepted_ : ++refused_;
    });
  }

  void Step() {
    queue_.Advance(kStep);
    if (++steps_ % kStepsPerTick == 0) {
      manager_->Tick();
    }
  }

  size_t running() const { return running_.size(); }

  CapacityPoint Run(const CapacitySize& size, double jobs_per_s) {
    meter_.Reset();
    store_.bytes = 0;
    store_.spent_s = 0;
    accepted_ = 0;
    refused_ = 0;
    const FakeStore::Counts before = fake_store_.counts();
    const double start = ThreadSeconds();
    double due_count = 0;
    const int64_t steps = size.seconds * 1000 / kStep.count();
    for (int64_t i = 0; i < steps; ++i) {
      for (due_count += jobs_per_s * 0.001 * kStep.count(); due_count >= 1;
           --due_count) {
        Submit(kTasksPerJob);
      }
      Step();
    }
    const auto seconds = static_cast<double>(size.seconds);
    const double codec = meter_.codec_seconds() + store_.spent_s;
    CapacityPoint point;
    point.size = size.value;
    point.values["cpu_ms_per_s"] =
        (ThreadSeconds() - start - codec) * 1e3 / seconds;
    point.values["messages_per_s"] = meter_.messages() / seconds;
    point.values["bytes_per_s"] = meter_.bytes() / seconds;
    point.values["store_writes_per_s"] =
        static_cast<double>(fake_store_.counts().writes - before.writes) /
        seconds;
    point.values["store_reads_per_s"] =
        static_cast<double>(fake_store_.counts().reads - before.reads) /
        seconds;
    point.values["store_value_bytes_per_s"] = store_.bytes / seconds;
    point.values["index_listing_bytes"] = store_.list_bytes;
    point.values["accepted_per_s"] = accepted_ / seconds;
    point.values["refused_per_s"] = refused_ / seconds;
    return point;
  }

 private:
  FakeClock clock_;
  util::Random random_;
  FakeCallbackQueue queue_;
  FakeStore fake_store_;
  MeteredStore store_;
  const std::vector<MemberInfo> members_;
  const Millis run_time_;
  WorkRow row_;
  std::unique_ptr<JobManager> manager_;
  TrafficMeter meter_;
  std::set<TaskKey> running_;
  int64_t steps_ = 0;
  int64_t jobs_ = 0;
  double accepted_ = 0;
  double refused_ = 0;
};

}  // namespace

CapacityPoint MeasureJobRate(const CapacitySize& jobs_per_s) {
  JobBench bench(WorkShape::kTask, Millis(2'000), jobs_per_s.seed);
  // Warm-up, until about as many tasks end as start.
  bench.Run(jobs_per_s, jobs_per_s.value);
  CapacityPoint point = bench.Run(jobs_per_s, jobs_per_s.value);
  point.role = "job_rate";
  point.unit = "jobs/s of 10 tasks";
  return point;
}

CapacityPoint MeasureServices(const CapacitySize& services) {
  const double heap = HeapBytes();
  JobBench bench(WorkShape::kService, Millis(0), services.seed);
  const auto count = static_cast<size_t>(services.value);
  for (size_t i = 0; i < count; ++i) {
    bench.Submit(1);
  }
  for (int i = 0; i < kStartSteps && bench.running() < count; ++i) {
    bench.Step();
  }
  // Includes the copy of the record and its index key in FakeStore.
  const double per_service = (HeapBytes() - heap) / services.value;
  // Runs 10 s, until the last assignments are written.
  for (int i = 0; i < kSettleSteps; ++i) {
    bench.Step();
  }
  CapacityPoint point = bench.Run(services, 0);
  point.role = "services";
  point.unit = "services of 1 task";
  point.values["heap_bytes_per_service"] = per_service;
  point.values["running"] = static_cast<double>(bench.running());
  return point;
}

}  // namespace chivedale::testing
