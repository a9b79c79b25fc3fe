// Measures OwnerAgent with workers that always answer: lease calls and polls of
// completions after 5 ms, and the completion of a task after its run time.
#include <memory>
#include <unordered_map>
#include <utility>

#include "chivedale/owner_agent.h"
#include "chivedale/platform_codec.h"
#include "chivedale/tools/capacity_bench.h"
#include "chivedale/vm_list.h"

namespace chivedale::testing {
namespace {

constexpr Millis kStep{5};
constexpr int kStepsPerTick = 4;
constexpr Millis kSummaryInterval{200};
constexpr int kSettleSteps = 1'000;
constexpr Resources kCapacity{64'000, 262'144, 0, 16};
constexpr Resources kTaskSize{1'000, 512, 0, 1};

class BenchWorkers final : public WorkerPort {
 public:
  explicit BenchWorkers(const FakeClock& clock) : clock_(clock) {}

  void Lease(const WorkerId&,
             const MemberId& owner,
             const LeaseToken& token,
             Millis ttl,
             std::function<void(LeaseResult)> done) override {
    LeaseResult result;
    result.status = WorkerCallStatus::kOk;
    result.token = token.token == 0 ? LeaseToken{++tokens_, "boot-1"} : token;
    result.ttl = ttl;
    result.report.capacity = kCapacity;
    result.holder = owner;
    meter.Add([&] {
      return protocol::EncodeLeaseCall({owner, token, ttl}) +
             protocol::EncodeLeaseResult(result);
    });
    Answer([done = std::move(done), result] { done(result); });
  }
  void Release(const WorkerId&,
               const MemberId&,
               const LeaseToken&,
               std::function<void(WorkerCallStatus)> done) override {
    Answer([done = std::move(done)] { done(WorkerCallStatus::kOk); });
  }
  void List(const WorkerId&, std::function<void(TaskList)> done) override {
    Answer([done = std::move(done)] { done({WorkerCallStatus::kOk, {}}); });
  }
  void Start(const WorkerId& worker,
             const StartRequest& request,
             std::function<void(StartOutcome)> done) override {
    meter.Add([&] { return protocol::EncodeStart(request); });
    Answer([done = std::move(done)] { done(StartOutcome::kAccepted); });
    queue_.Post(clock_.Now() + run_time, [this, worker, request] {
      Worker& state = workers_[worker];
      Completion completion;
      completion.sequence = ++state.sequence;
      completion.key = request.key;
      completion.entry = request.entry;
      completion.ok = true;
      completion.run_time = run_time;
      completion.peak_used = request.size;
      completion.payload = request.payload;
      state.completions.push_back(std::move(completion));
      AnswerPoll(worker);
    });
  }
  void Completions(const WorkerId& worker,
                   const CompletionsRequest& request,
                   std::function<void(CompletionsResult)> done) override {
    meter.Add([&] { return protocol::EncodePoll(request); });
    Worker& state = workers_[worker];
    state.poll = std::move(done);
    const uint64_t number = ++state.polls;
    if (!state.completions.empty()) {
      return AnswerPoll(worker);
    }
    queue_.Post(clock_.Now() + request.wait, [this, worker, number] {
      if (workers_[worker].polls == number) {
        AnswerPoll(worker);
      }
    });
  }
  void Control(const WorkerId&,
               const LeaseToken&,
               const TaskKey&,
               TaskControl,
               std::function<void(WorkerCallStatus)> done) override {
    Answer([done = std::move(done)] { done(WorkerCallStatus::kOk); });
  }
  void SetAddress(const WorkerId&, const std::string&) override {}

  void RunDue() { queue_.RunUntil(clock_.Now()); }

  Millis run_time{500};
  TrafficMeter meter;

 private:
  struct Worker {
    std::vector<Completion> completions;
    std::function<void(CompletionsResult)> poll;
    uint64_t sequence = 0;
    uint64_t polls = 0;
  };

  void Answer(std::function<void()> run) {
    queue_.Post(clock_.Now() + kStep, std::move(run));
  }
  // Each completion is delivered once.
  void AnswerPoll(const WorkerId& worker) {
    Worker& state = workers_[worker];
    if (!state.poll) {
      return;
    }
    CompletionsResult result;
    result.status = WorkerCallStatus::kOk;
    result.completions = std::move(state.completions);
    state.completions.clear();
    meter.Add([&] { return protocol::EncodeCompletions(result.completions); });
    Answer([done = std::move(state.poll), result] { done(result); });
    state.poll = nullptr;
  }

  const FakeClock& clock_;
  StepQueue queue_;
  std::unordered_map<WorkerId, Worker> workers_;
  uint64_t tokens_ = 0;
};

class OwnerBench final : public OwnerListener {
 public:
  explicit OwnerBench(uint64_t seed)
      : random_(seed), workers_(clock_), members_(BenchMembers(1, 1, 1)) {
    agent_ = std::make_unique<OwnerAgent>(clock_, random_, workers_, *this,
                                          members_[0], OwnerAgent::Options());
    agent_->SetMembers(members_);
  }

  void SendToMember(const MemberId&, const Message& message) override {
    meter_.Add(message);
    if (const auto* answer = std::get_if<chivedale::Answer>(&message)) {
      const AnswerAck ack{answer->key};
      meter_.Add(ack);
      acks_.push_back(ack);
    }
    const auto* reply = std::get_if<DispatchReply>(&message);
    if (reply != nullptr && reply->outcome != DispatchOutcome::kAccepted) {
      ++refused_;
    }
  }
  void OnCapacityFreed() override { room_ = true; }
  void OnRunTime(const std::string&, Millis) override {}

  // Claims all workers; returns the heap bytes per worker.
  double Claim(int count) {
    const double before = HeapBytes();
    std::vector<Vm> vms;
    for (int i = 0; i < count; ++i) {
      Vm vm;
      vm.id = "worker-" + std::to_string(i);
      vm.address = "10.1.0.1:8000/" + vm.id;
      vm.data_centre = DataCentreId("centre-0");
      vm.region = RegionId("region-0");
      vm.rack = "rack-" + std::to_string(i / 40);
      vms.push_back(vm);
    }
    agent_->SetVms(vms);
    while (agent_->owned_workers() < count) {
      Step();
    }
    return (HeapBytes() - before) / count;
  }

  void StartTask(Millis run_time) {
    workers_.run_time = run_time;
    Dispatch dispatch;
    dispatch.key = {TaskId("r/request-" + std::to_string(++tasks_)), 1};
    dispatch.entry = MemberId("entry-9/0123456789abcdef");
    dispatch.kind = "kind-1";
    dispatch.size = kTaskSize;
    dispatch.longest_run = Millis(3'600'000);
    dispatch.sequence = static_cast<uint64_t>(tasks_);
    dispatch.payload = payload_;
    meter_.Add(dispatch);
    agent_->OnDispatch(dispatch);
  }

  void Step() {
    clock_.Advance(kStep);
    workers_.RunDue();
    for (const AnswerAck& ack : std::exchange(acks_, {})) {
      agent_->OnAnswerAck(ack);
    }
    if (++steps_ % kStepsPerTick == 0) {
      agent_->Tick();
    }
    if (room_ || clock_.Now() >= next_summary_) {
      ++summaries_;
      agent_->CachedSummary();
      room_ = false;
      next_summary_ = clock_.Now() + kSummaryInterval;
    }
  }

  // Runs 5 s, until messages about the claims are no longer resent.
  void Settle() {
    for (int i = 0; i < kSettleSteps; ++i) {
      Step();
    }
  }

  CapacityPoint Run(const CapacitySize& size, double starts_per_s) {
    meter_.Reset();
    workers_.meter.Reset();
    summaries_ = 0;
    refused_ = 0;
    const double start = ThreadSeconds();
    double due_count = 0;
    const int64_t steps = size.seconds * 1000 / kStep.count();
    for (int64_t i = 0; i < steps; ++i) {
      for (due_count += starts_per_s * 0.001 * kStep.count(); due_count >= 1;
           --due_count) {
        StartTask(Millis(500));
      }
      Step();
    }
    const auto seconds = static_cast<double>(size.seconds);
    const double codec =
        meter_.codec_seconds() + workers_.meter.codec_seconds();
    CapacityPoint point;
    point.size = size.value;
    point.values["cpu_ms_per_s"] =
        (ThreadSeconds() - start - codec) * 1e3 / seconds;
    point.values["codec_ms_per_s"] = codec * 1e3 / seconds;
    point.values["peer_messages_per_s"] = meter_.messages() / seconds;
    point.values["peer_bytes_per_s"] = meter_.bytes() / seconds;
    point.values["worker_calls_per_s"] = workers_.meter.messages() / seconds;
    point.values["worker_body_bytes_per_s"] = workers_.meter.bytes() / seconds;
    point.values["summaries_per_s"] = summaries_ / seconds;
    point.values["refused_per_s"] = refused_ / seconds;
    point.values["resident_mb"] = ResidentBytes() / 1e6;
    return point;
  }

 private:
  FakeClock clock_;
  util::Random random_;
  BenchWorkers workers_;
  const std::vector<MemberInfo> members_;
  const Body payload_ = std::make_shared<const std::string>(200, 'x');
  std::unique_ptr<OwnerAgent> agent_;
  TrafficMeter meter_;
  std::vector<AnswerAck> acks_;
  util::TimePoint next_summary_{};
  int64_t steps_ = 0;
  int64_t tasks_ = 0;
  double summaries_ = 0;
  double refused_ = 0;
  bool room_ = false;
};

}  // namespace

CapacityPoint MeasureOwnerIdle(const CapacitySize& workers) {
  OwnerBench bench(workers.seed);
  const double per_worker = bench.Claim(static_cast<int>(workers.value));
  bench.Settle();
  CapacityPoint point = bench.Run(workers, 0);
  point.role = "owner_idle";
  point.unit = "workers";
  point.values["heap_bytes_per_worker"] = per_worker;
  return point;
}

// The cost of the VM list for each member, with all VMs of the cell. One VM has
// just left the list and still answers, as replaced VMs do.
CapacityPoint MeasureVmList(const CapacitySize& vms) {
  FakeClock clock;
  VmList list(clock, VmList::Options());
  VmListResult result;
  result.ok = true;
  for (int64_t i = 0; i < static_cast<int64_t>(vms.value); ++i) {
    Vm vm;
    vm.id = "worker-" + std::to_string(i);
    result.vms.push_back(vm);
  }
  result.version = 1;
  list.OnList(result);
  list.OnContact(result.vms.back().id);
  result.vms.pop_back();
  result.version = 2;
  list.OnList(result);
  const double start = ThreadSeconds();
  const int64_t ticks = vms.seconds * 1000 / (kStep.count() * kStepsPerTick);
  for (int64_t i = 0; i < ticks; ++i) {
    list.Tick();
  }
  CapacityPoint point;
  point.role = "vm_list";
  point.unit = "VMs of the cell";
  point.size = vms.value;
  point.values["cpu_ms_per_s"] =
      (ThreadSeconds() - start) * 1e3 / static_cast<double>(vms.seconds);
  point.values["believed"] = static_cast<double>(list.Endpoints().size());
  return point;
}

// Eight tasks per worker, about as with 160,000 tasks on 21,000 workers.
CapacityPoint MeasureOwnerTasks(const CapacitySize& tasks) {
  OwnerBench bench(tasks.seed);
  const auto count = static_cast<int64_t>(tasks.value);
  bench.Claim(static_cast<int>(count / 8));
  const double before = HeapBytes();
  for (int64_t i = 0; i < count; ++i) {
    bench.StartTask(Millis(3'000'000));
    if (i % 200 == 0) {
      bench.Step();
    }
  }
  bench.Settle();
  // Includes the memory in the simulated workers, which keep each start until
  // its end.
  const double per_task = (HeapBytes() - before) / tasks.value;
  CapacityPoint point = bench.Run(tasks, 0);
  point.role = "owner_tasks";
  point.unit = "running tasks, 8 per worker";
  point.values["heap_bytes_per_task"] = per_task;
  return point;
}

CapacityPoint MeasureOwnerStarts(const CapacitySize& starts_per_s) {
  OwnerBench bench(starts_per_s.seed);
  bench.Claim(500);
  bench.Settle();
  CapacityPoint point = bench.Run(starts_per_s, starts_per_s.value);
  point.role = "owner_starts";
  point.unit = "starts/s on 500 workers";
  return point;
}

}  // namespace chivedale::testing
