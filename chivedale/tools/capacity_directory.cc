// Measures RequestDirectory and RecordLog of a single member that holds all
// groups of request ids. The store answers after 5 ms.
#include "chivedale/peer_codec.h"
#include "chivedale/record_log.h"
#include "chivedale/request_directory.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/tools/capacity_bench.h"

namespace chivedale::testing {
namespace {

constexpr Millis kStep{5};
constexpr int kStepsPerTick = 4;

class DirectoryBench {
 public:
  explicit DirectoryBench(uint64_t seed)
      : random_(seed),
        queue_(clock_, seed),
        store_(queue_),
        members_(BenchMembers(1, 1, 1)),
        records_(clock_, random_, store_, RecordLog::Options()),
        directory_(clock_, members_[0], records_, LargeOptions()) {
    // Applied twice per call; the 5 ms steps round the 4 ms up to 5.
    store_.faults().delay = Millis(2);
    directory_.SetMembers(members_);
    // Runs 2 s, until the member has taken its groups and the directory's
    // settle time of 1 s is over.
    for (int i = 0; i < 400; ++i) {
      Step();
    }
  }

  void Step() {
    queue_.Advance(kStep);
    records_.Tick();
    if (++steps_ % kStepsPerTick == 0) {
      directory_.Tick();
    }
  }

  void Send(bool repeatable) {
    Register message;
    // As long as a UUID.
    message.request = RequestId(random_.HexString(36));
    message.entry = members_[0].id;
    message.repeatable = repeatable;
    message.digest = 1;
    message.registration = ++registrations_;
    meter_.Add(message);
    directory_.OnRegister(message, [this](const RegisterReply& reply) {
      meter_.Add(reply);
      reply.outcome == RegisterOutcome::kNew ? ++granted_ : ++refused_;
    });
  }

  CapacityPoint Run(const CapacitySize& size, double rate, bool repeatable) {
    meter_.Reset();
    granted_ = 0;
    refused_ = 0;
    const FakeStore::Counts before = store_.counts();
    const double heap = HeapBytes();
    const double start = ThreadSeconds();
    double due_count = 0;
    const int64_t steps = size.seconds * 1000 / kStep.count();
    for (int64_t i = 0; i < steps; ++i) {
      for (due_count += rate * 0.001 * kStep.count(); due_count >= 1;
           --due_count) {
        Send(repeatable);
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
    point.values["granted_per_s"] = granted_ / seconds;
    point.values["refused_per_s"] = refused_ / seconds;
    point.values["store_writes_per_s"] =
        static_cast<double>(store_.counts().writes - before.writes) / seconds;
    point.values["store_reads_per_s"] =
        static_cast<double>(store_.counts().reads - before.reads) / seconds;
    point.values["heap_bytes_per_id"] = (HeapBytes() - heap) / (rate * seconds);
    return point;
  }

  int64_t known_ids() const { return directory_.known_ids(); }

 private:
  // A limit that is not reached, so that it does not affect the cost per id.
  static RequestDirectory::Options LargeOptions() {
    RequestDirectory::Options options;
    options.max_ids = 100'000'000;
    return options;
  }

  FakeClock clock_;
  util::Random random_;
  FakeCallbackQueue queue_;
  FakeStore store_;
  const std::vector<MemberInfo> members_;
  RecordLog records_;
  RequestDirectory directory_;
  TrafficMeter meter_;
  uint64_t registrations_ = 0;
  int64_t steps_ = 0;
  double granted_ = 0;
  double refused_ = 0;
};

}  // namespace

CapacityPoint MeasureDirectoryRate(const CapacitySize& registrations_per_s) {
  DirectoryBench bench(registrations_per_s.seed);
  CapacityPoint point =
      bench.Run(registrations_per_s, registrations_per_s.value, true);
  point.role = "directory_rate";
  point.unit = "idempotent registrations/s";
  return point;
}

CapacityPoint MeasureDirectoryIds(const CapacitySize& ids) {
  DirectoryBench bench(ids.seed);
  const double heap = HeapBytes();
  const double resident = ResidentBytes();
  for (double i = 0; i < ids.value; ++i) {
    bench.Send(true);
  }
  const auto known = static_cast<double>(bench.known_ids());
  CapacityPoint point;
  point.role = "directory_ids";
  point.unit = "ids known";
  point.size = ids.value;
  point.values["heap_bytes_per_id"] = (HeapBytes() - heap) / known;
  point.values["resident_bytes_per_id"] = (ResidentBytes() - resident) / known;
  point.values["resident_mb"] = ResidentBytes() / 1e6;
  const double start = ThreadSeconds();
  // 200 steps of 5 ms: one simulated second.
  for (int i = 0; i < 200; ++i) {
    bench.Step();
  }
  point.values["cpu_ms_per_s"] = (ThreadSeconds() - start) * 1e3;
  return point;
}

CapacityPoint MeasureRecordRate(const CapacitySize& registrations_per_s) {
  DirectoryBench bench(registrations_per_s.seed);
  CapacityPoint point =
      bench.Run(registrations_per_s, registrations_per_s.value, false);
  point.role = "record_rate";
  point.unit = "unrepeatable registrations/s";
  return point;
}

}  // namespace chivedale::testing
