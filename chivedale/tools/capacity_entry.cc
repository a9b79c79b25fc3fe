// Measures the entry role with its queue, admission, ledger, registrar and
// dispatcher. Holders and owners answer after 5 ms; the other six members
// report ample free capacity, so that no request waits for long.
#include <memory>

#include "chivedale/entry_agent.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/testing/fake_worker.h"
#include "chivedale/tools/capacity_bench.h"

namespace chivedale::testing {
namespace {

constexpr Millis kStep{5};
constexpr int kStepsPerTick = 4;
constexpr Millis kSummaryInterval{200};
constexpr Millis kPingInterval{500};
constexpr int kRows = 460;
constexpr int kMembers = 7;

class NoOwnerEvents final : public OwnerListener {
 public:
  void SendToMember(const MemberId&, const Message&) override {}
  void OnCapacityFreed() override {}
  void OnRunTime(const std::string&, Millis) override {}
};

class EntryBench final : public MemberSender {
 public:
  explicit EntryBench(uint64_t seed)
      : random_(seed),
        fake_queue_(clock_, seed),
        store_(fake_queue_),
        workers_(fake_queue_),
        members_(BenchMembers(kMembers, 2, 3)),
        queue_(clock_, FairQueue::Options()),
        limits_(clock_, members_[0].id),
        routing_(clock_,
                 random_,
                 members_[0],
                 RoutingPolicyKind::kPowerOfTwoChoices),
        admission_(clock_, queue_, limits_, run_times_),
        retries_(clock_, random_, RetryPolicy::Options()),
        ledger_(clock_, RequestLedger::Options()),
        records_(clock_, random_, store_, RecordLog::Options()),
        directory_(clock_, members_[0], records_, RequestDirectory::Options()),
        registrar_(clock_,
                   directory_,
                   *this,
                   members_[0].id,
                   Registrar::Options()),
        owner_(clock_,
               random_,
               workers_,
               owner_events_,
               members_[0],
               OwnerAgent::Options()),
        burn_(clock_),
        dispatcher_({clock_, queue_, run_times_, limits_, routing_, owner_,
                     *this, metrics_},
                    members_[0].id,
                    Dispatcher::Options()),
        entry_({clock_, random_, ledger_, registrar_, admission_, dispatcher_,
                owner_, retries_, run_times_, limits_, routing_, burn_, *this,
                metrics_, log_},
               members_[0].id,
               EntryAgent::Options()) {
    std::vector<MemberId> ids;
    for (const MemberInfo& member : members_) {
      ids.push_back(member.id);
    }
    directory_.SetMembers(members_);
    routing_.SetMembers(members_);
    limits_.SetMembers(ids);
    const Table table = BenchTable(kRows, kRows);
    queue_.SetTable(table);
    limits_.SetTable(table);
    entry_.SetTable(table);
  }

  bool SendToMember(const MemberId& to, const Message& message) override {
    meter_.Add(message);
    if (const auto* ask = std::get_if<Register>(&message)) {
      RegisterReply reply;
      reply.request = ask->request;
      reply.entry = ask->entry;
      reply.registration = ask->registration;
      Reply(kStep, reply, [this, reply] { registrar_.OnReply(reply); });
    } else if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
      Start(to, *dispatch);
    }
    return true;
  }

  void Submit(Millis run_time) {
    run_time_ = run_time;
    const int64_t number = ++submitted_;
    CallerSubmission submission;
    submission.id = RequestId("request-" + std::to_string(number));
    submission.kind = "kind-" + std::to_string(number % kRows);
    submission.deadline = Millis(1'800'000);
    submission.payload = payload_;
    entry_.Submit(submission, nullptr,
                  [this](const RequestId&, const RequestResult& result) {
                    result.ok ? ++answered_ : ++refused_;
                  });
    dispatcher_.DispatchQueued();
  }

  void Step() {
    clock_.Advance(kStep);
    events_.RunUntil(clock_.Now());
    if (clock_.Now() >= next_summary_) {
      next_summary_ = clock_.Now() + kSummaryInterval;
      ReceiveSummaries();
    }
    if (clock_.Now() >= next_ping_) {
      next_ping_ = clock_.Now() + kPingInterval;
      ReceivePings();
    }
    if (++steps_ % kStepsPerTick == 0) {
      registrar_.Tick();
      dispatcher_.Tick();
      entry_.Tick();
    }
    dispatcher_.DispatchQueued();
  }

  CapacityPoint Run(const CapacitySize& size, double rate) {
    meter_.Reset();
    answered_ = 0;
    refused_ = 0;
    const double heap = HeapBytes();
    const double start = ThreadSeconds();
    const int64_t steps = size.seconds * 1000 / kStep.count();
    double due_count = 0;
    for (int64_t i = 0; i < steps; ++i) {
      for (due_count += rate * 0.001 * kStep.count(); due_count >= 1;
           --due_count) {
        Submit(Millis(100));
      }
      Step();
    }
    const auto seconds = static_cast<double>(size.seconds);
    CapacityPoint point;
    point.size = size.value;
    point.values["cpu_ms_per_s"] =
        (ThreadSeconds() - start - meter_.codec_seconds()) * 1e3 / seconds;
    point.values["codec_ms_per_s"] = meter_.codec_seconds() * 1e3 / seconds;
    point.values["messages_per_s"] = meter_.messages() / seconds;
    point.values["bytes_per_s"] = meter_.bytes() / seconds;
    point.values["answered_per_s"] = answered_ / seconds;
    point.values["refused_per_s"] = refused_ / seconds;
    if (rate > 0) {
      point.values["heap_bytes_per_request"] =
          (HeapBytes() - heap) / (rate * seconds);
    }
    point.values["resident_mb"] = ResidentBytes() / 1e6;
    return point;
  }

 private:
  template <typename Sent>
  void Reply(Millis delay, const Sent& message, std::function<void()> run) {
    meter_.Add(message);
    events_.Post(clock_.Now() + delay, std::move(run));
  }

  void Start(const MemberId& owner, const Dispatch& dispatch) {
    DispatchReply reply;
    reply.key = dispatch.key;
    reply.sequence = dispatch.sequence;
    reply.outcome = DispatchOutcome::kAccepted;
    reply.worker = WorkerId("worker-1");
    reply.token = 1;
    reply.boot_id = "boot-1";
    Reply(kStep, reply,
          [this, owner, reply] { dispatcher_.OnDispatchReply(owner, reply); });
    chivedale::Answer answer;
    answer.key = dispatch.key;
    answer.worker = reply.worker;
    answer.ok = true;
    answer.run_time = run_time_;
    answer.payload = payload_;
    Reply(run_time_ + kStep, answer,
          [this, owner, answer] { dispatcher_.OnAnswer(owner, answer); });
  }

  void ReceiveSummaries() {
    ++sequence_;
    for (size_t i = 1; i < members_.size(); ++i) {
      Summary summary;
      summary.owner = members_[i].id;
      summary.sequence = sequence_;
      summary.plain.workers = 3'000;
      summary.plain.largest = {64'000, 131'072, 0, 16};
      summary.plain.largest_worker = summary.plain.largest;
      summary.plain.capacity = {192'000'000, 393'216'000, 0, 48'000};
      summary.plain.free = summary.plain.capacity;
      routing_.OnSummary(summary);
    }
  }

  // Does what the Membership hooks in Scheduler do for each ping sent and
  // received.
  void ReceivePings() {
    for (size_t i = 1; i < members_.size(); ++i) {
      for (int row = 0; row < kRows; ++row) {
        const std::string kind = "kind-" + std::to_string(row);
        limits_.SetQueued(kind, queue_.QueuedOf(kind));
      }
      const auto demand = limits_.OwnDemand();
      limits_.OnDemand(members_[0].id, demand);
      limits_.OnDemand(members_[i].id, demand);
    }
  }

  FakeClock clock_;
  util::Random random_;
  FakeCallbackQueue fake_queue_;
  FakeStore store_;
  FakeWorker workers_;
  const std::vector<MemberInfo> members_;
  NullEventLog log_;
  NoOwnerEvents owner_events_;
  Metrics metrics_;
  FairQueue queue_;
  RunTimeModel run_times_;
  LimitShare limits_;
  Routing routing_;
  Admission admission_;
  RetryPolicy retries_;
  RequestLedger ledger_;
  RecordLog records_;
  RequestDirectory directory_;
  Registrar registrar_;
  OwnerAgent owner_;
  BurnTracker burn_;
  Dispatcher dispatcher_;
  EntryAgent entry_;
  StepQueue events_;
  TrafficMeter meter_;
  const Body payload_ = std::make_shared<const std::string>(200, 'x');
  Millis run_time_{100};
  util::TimePoint next_summary_{};
  util::TimePoint next_ping_{};
  uint64_t sequence_ = 0;
  int64_t steps_ = 0;
  int64_t submitted_ = 0;
  double answered_ = 0;
  double refused_ = 0;
};

}  // namespace

CapacityPoint MeasureEntryRate(const CapacitySize& requests_per_s) {
  EntryBench bench(requests_per_s.seed);
  bench.Step();
  CapacityPoint point = bench.Run(requests_per_s, requests_per_s.value);
  point.role = "entry_rate";
  point.unit = "requests/s, 460 rows";
  return point;
}

CapacityPoint MeasureEntryOpen(const CapacitySize& open_requests) {
  EntryBench bench(open_requests.seed);
  bench.Step();
  const double before = HeapBytes();
  const auto count = static_cast<int64_t>(open_requests.value);
  for (int64_t i = 0; i < count; ++i) {
    bench.Submit(Millis(3'000'000));
    if (i % 20 == 0) {
      bench.Step();
    }
  }
  for (int i = 0; i < 40; ++i) {
    bench.Step();
  }
  const double per_request = (HeapBytes() - before) / open_requests.value;
  CapacityPoint point = bench.Run(open_requests, 0);
  point.role = "entry_open";
  point.unit = "running requests";
  point.values["heap_bytes_per_request"] = per_request;
  return point;
}

}  // namespace chivedale::testing
