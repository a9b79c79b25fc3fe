// Measures Membership of all members in one process, with messages that take 10
// ms, and the summaries of owners. Figures are per member.
#include <memory>

#include "chivedale/membership.h"
#include "chivedale/owner_agent.h"
#include "chivedale/peer_codec.h"
#include "chivedale/routing.h"
#include "chivedale/tools/capacity_bench.h"

namespace chivedale::testing {
namespace {

constexpr Millis kStep{10};
constexpr int kStepsPerTick = 2;

struct CellShape {
  int regions = 2;
  int centres = 3;
};

// Two regions as currently deployed, and seven as the design target.
CellShape ShapeOf(int members) {
  return members < 17 ? CellShape() : CellShape{7, 17};
}

class MemberBench {
 public:
  MemberBench(int count, int rows_with_work, uint64_t seed)
      : infos_(BenchMembers(count,
                            ShapeOf(count).regions,
                            ShapeOf(count).centres)) {
    for (int i = 0; i < rows_with_work; ++i) {
      demand_["kind-" + std::to_string(i)] = {100 + i, i, 12.345678 + i};
    }
    for (const MemberInfo& info : infos_) {
      by_address_[info.address] = info.id;
    }
    for (const MemberInfo& info : infos_) {
      nodes_[info.id] = std::make_unique<Node>(*this, info, ++seed);
    }
    for (const MemberInfo& info : infos_) {
      nodes_[info.id]->membership.AddSeed(infos_[0].address);
      nodes_[info.id]->membership.SetSelfState(MemberState::kLive);
    }
  }

  void Step() {
    clock_.Advance(kStep);
    events_.RunUntil(clock_.Now());
    if (++steps_ % kStepsPerTick == 0) {
      for (auto& [id, node] : nodes_) {
        node->membership.Tick();
      }
    }
  }

  CapacityPoint Run(const CapacitySize& size) {
    // Runs 30 s, until updates about the start are no longer passed on.
    for (int i = 0; i < 3'000; ++i) {
      Step();
    }
    meter_.Reset();
    far_bytes_ = 0;
    const double start = ThreadSeconds();
    const int64_t steps = size.seconds * 1000 / kStep.count();
    for (int64_t i = 0; i < steps; ++i) {
      Step();
    }
    const auto seconds = static_cast<double>(size.seconds);
    const double per_member = seconds * static_cast<double>(nodes_.size());
    CapacityPoint point;
    point.size = size.value;
    point.values["cpu_ms_per_s"] =
        (ThreadSeconds() - start - meter_.codec_seconds()) * 1e3 / per_member;
    point.values["codec_ms_per_s"] = meter_.codec_seconds() * 1e3 / per_member;
    point.values["messages_per_s"] = meter_.messages() / per_member;
    point.values["bytes_per_s"] = meter_.bytes() / per_member;
    point.values["cell_far_bytes_per_s"] = far_bytes_ / seconds;
    point.values["known_members"] = static_cast<double>(
        nodes_.begin()->second->membership.Members().size());
    return point;
  }

 private:
  struct Node final : public PeerPort {
    Node(MemberBench& bench_in, const MemberInfo& info, uint64_t seed)
        : bench(bench_in),
          self(info),
          random(seed),
          membership(bench.clock_,
                     random,
                     *this,
                     info,
                     Membership::Options(),
                     Membership::Hooks{
                         [this] {
                           Membership::PingPayload payload;
                           payload.demand = bench.demand_;
                           return payload;
                         },
                         [](const MemberInfo&) {},
                         [](const MemberId&, const Membership::PingPayload&) {},
                         [] {}}) {}

    bool Send(const MemberId& to, const Message& message) override {
      bench.Deliver(*this, to, message);
      return true;
    }
    void SetAddress(const MemberId&, const std::string&) override {}
    void SendToAddress(const std::string& address,
                       const Message& message) override {
      bench.Deliver(*this, bench.by_address_.at(address), message);
    }
    void Handle(const MemberId& from, const Message& message) {
      if (const auto* ping = std::get_if<Ping>(&message)) {
        membership.OnPing(from, *ping);
      } else if (const auto* reply = std::get_if<PingReply>(&message)) {
        membership.OnPingReply(from, *reply);
      } else if (const auto* ask = std::get_if<PingRequest>(&message)) {
        membership.OnPingRequest(from, *ask);
      }
    }

    MemberBench& bench;
    const MemberInfo self;
    util::Random random;
    Membership membership;
  };

  void Deliver(const Node& from, const MemberId& to, const Message& message) {
    Node& target = *nodes_.at(to);
    const double before = meter_.bytes();
    meter_.Add(message);
    if (target.self.region != from.self.region) {
      far_bytes_ += meter_.bytes() - before;
    }
    events_.Post(clock_.Now() + kStep,
                 [&target, sender = from.self.id, message] {
                   target.Handle(sender, message);
                 });
  }

  FakeClock clock_;
  const std::vector<MemberInfo> infos_;
  std::map<std::string, DemandReport> demand_;
  std::map<std::string, MemberId> by_address_;
  std::map<MemberId, std::unique_ptr<Node>> nodes_;
  StepQueue events_;
  TrafficMeter meter_;
  double far_bytes_ = 0;
  int64_t steps_ = 0;
};

constexpr int kSummaryCalls = 20'000;

}  // namespace

CapacityPoint MeasureMembers(const CapacitySize& members) {
  MemberBench bench(static_cast<int>(members.value), 0, members.seed);
  CapacityPoint point = bench.Run(members);
  point.role = "members";
  point.unit = "members, no rows with work";
  return point;
}

CapacityPoint MeasureDemand(const CapacitySize& rows_with_work) {
  MemberBench bench(7, static_cast<int>(rows_with_work.value),
                    rows_with_work.seed);
  CapacityPoint point = bench.Run(rows_with_work);
  point.role = "demand";
  point.unit = "rows with work, 7 members";
  return point;
}

CapacityPoint MeasureSummaries(const CapacitySize& members) {
  FakeClock clock;
  util::Random random(members.seed);
  const auto infos = BenchMembers(static_cast<int>(members.value), 7, 17);
  Routing routing(clock, random, infos[0],
                  RoutingPolicyKind::kPowerOfTwoChoices);
  routing.SetMembers(infos);
  Summary summary;
  summary.plain.workers = 500;
  summary.plain.capacity = {32'000'000, 131'072'000, 0, 8'000};
  summary.plain.free = {3'200'000, 13'107'200, 0, 800};
  summary.plain.largest = {64'000, 262'144, 0, 16};
  summary.plain.largest_worker = summary.plain.largest;
  summary.accelerated = summary.plain;
  summary.accelerated.capacity.accelerators = 4'000;
  const double start = ThreadSeconds();
  for (int i = 0; i < kSummaryCalls; ++i) {
    summary.owner = infos[static_cast<size_t>(i) % infos.size()].id;
    summary.sequence = static_cast<uint64_t>(i) + 1;
    routing.OnSummary(summary);
  }
  const double heard = ThreadSeconds();
  for (int i = 0; i < kSummaryCalls; ++i) {
    routing.Pick({1'000, 512, 0, 1}, RegionRule::kPreferHome, Millis(0));
  }
  const double picked = ThreadSeconds();
  // Traffic of one member, which sends to its region five times a second and to
  // the others every 2 s. A busy member sends to its region each time capacity
  // becomes free, at most every 5 ms (kRoomSummaryDelay in scheduler.cc).
  const double near = members.value / 7 - 1;
  const double far = members.value - members.value / 7;
  const auto frame = static_cast<double>(EncodeMessage(summary).size());
  CapacityPoint point;
  point.role = "summaries";
  point.unit = "members in 7 regions";
  point.size = members.value;
  point.values["frame_bytes"] = frame;
  point.values["on_summary_us"] = (heard - start) * 1e6 / kSummaryCalls;
  point.values["pick_us"] = (picked - heard) * 1e6 / kSummaryCalls;
  point.values["sent_idle_bytes_per_s"] = frame * (5 * near + 0.5 * far);
  point.values["sent_busy_bytes_per_s"] = frame * (200 * near + 0.5 * far);
  point.values["cell_far_bytes_per_s"] = frame * 0.5 * far * members.value;
  return point;
}

}  // namespace chivedale::testing
