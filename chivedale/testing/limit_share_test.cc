// Guards against members that together start more than a limit allows, and
// against a part of a limit that can never be used.
#include "chivedale/limit_share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/policy_support.h"
#include "rapidcheck/boost_test.h"

namespace chivedale {
namespace {

using testing::Chance;
using testing::EventCounts;
using testing::FakeClock;
using testing::MakeRow;
using testing::MakeTable;
using testing::PropertyRandom;

constexpr Resources kSize{1000, 512, 0, 1};

struct Cell {
  Cell(util::Random& random_in, const Table& table)
      : random(random_in), members(2 + random.UniformInt(6)) {
    for (size_t i = 0; i < members; ++i) {
      ids.emplace_back("m" + std::to_string(i));
      shares.push_back(std::make_unique<LimitShare>(clock, ids.back()));
      shares.back()->SetTable(table);
    }
    for (auto& share : shares) {
      share->SetMembers(ids);
    }
  }

  // Sends the same reports to every member.
  void ShareReports() {
    for (size_t from = 0; from < members; ++from) {
      const auto demand = shares[from]->OwnDemand();
      for (auto& to : shares) {
        to->OnDemand(ids[from], demand);
      }
    }
  }

  util::Random& random;
  FakeClock clock;
  size_t members;
  std::vector<MemberId> ids;
  std::vector<std::unique_ptr<LimitShare>> shares;
};

Table LimitedTable(int64_t max_running, double rate) {
  WorkRow row = MakeRow("k");
  row.size = kSize;
  row.limits.max_running = max_running;
  row.limits.max_rate_per_s = rate;
  return MakeTable({row});
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LimitShareTest)

RC_BOOST_PROP(SharesOfOneViewAddUpToTheLimit, ()) {
  static EventCounts counts("limit shares, one view");
  util::Random random = PropertyRandom();
  const auto limit = int64_t(1 + random.UniformInt(200));
  Cell cell(random, LimitedTable(limit, 0));
  for (int round = 0; round < 10; ++round) {
    for (auto& share : cell.shares) {
      share->SetQueued(
          "k", Chance(random, 40) ? 0 : int64_t(random.UniformInt(500)));
      if (Chance(random, 50) && share->MayStart("k", kSize)) {
        share->OnStart("k", kSize);
        counts.Add("starts");
      }
    }
    cell.ShareReports();
    if (Chance(random, 20)) {
      counts.Add("members_lost");
      cell.shares.pop_back();
      cell.ids.pop_back();
      if (--cell.members == 0) {
        return;
      }
      for (auto& share : cell.shares) {
        share->SetMembers(cell.ids);
      }
    }
    int64_t sum = 0;
    for (const auto& share : cell.shares) {
      sum += share->RunningShare("k");
    }
    RC_ASSERT(sum <= limit);
    RC_ASSERT(sum == limit);  // no part of the limit is unused
  }
}

RC_BOOST_PROP(RatesOfOneViewAddUpToTheLimit, ()) {
  static EventCounts counts("limit shares, rates");
  util::Random random = PropertyRandom();
  const auto rate = double(5 + random.UniformInt(100));
  Cell cell(random, LimitedTable(0, rate));
  constexpr int kSeconds = 20;
  int64_t taken = 0;
  for (int step = 0; step < kSeconds * 20; ++step) {
    if (step % 10 == 0) {
      cell.ShareReports();
    }
    for (auto& share : cell.shares) {
      for (uint64_t i = random.UniformInt(10); i > 0; --i) {
        share->OnArrival("k");
        const bool ok = share->TakeRate("k");
        taken += ok ? 1 : 0;
        counts.Add(ok ? "taken" : "refused");
        RC_ASSERT(ok || share->RetryAfter("k") > Millis(0));
      }
    }
    cell.clock.Advance(std::chrono::milliseconds(50));
  }
  // Each member may start with a full bucket of one second of its share, or one
  // token. When shares move, a bucket keeps its tokens: one more second of the
  // limit.
  RC_ASSERT(double(taken) <= rate * (kSeconds + 2) + double(cell.members));
}

// While views differ, the overshoot is at most what the other members started
// since the reports that the starting member has received.
RC_BOOST_PROP(OvershootIsBoundedByUnreportedStarts, ()) {
  static EventCounts counts("limit shares, overshoot");
  static double worst = 0;
  util::Random random = PropertyRandom();
  const auto limit = int64_t(5 + random.UniformInt(100));
  Cell cell(random, LimitedTable(limit, 0));
  constexpr int kStepMs = 50;
  constexpr int kHeartbeatMs = 500;
  constexpr int kDelayMs = 500;
  struct Report {
    int at_ms;
    size_t from;
    size_t to;
    std::map<std::string, DemandReport> demand;
  };
  std::deque<Report> reports;
  std::vector<int64_t> running(cell.members, 0);
  std::vector<std::deque<int>> starts(cell.members);  // times
  for (int now = 0; now < 10'000; now += kStepMs) {
    for (size_t i = 0; i < cell.members; ++i) {
      if (now % kHeartbeatMs == int(i) * kStepMs) {
        const auto demand = cell.shares[i]->OwnDemand();
        cell.shares[i]->OnDemand(cell.ids[i], demand);
        for (size_t to = 0; to < cell.members; ++to) {
          if (to != i) {
            const int delay =
                int(random.UniformInt(kDelayMs / kStepMs)) * kStepMs;
            counts.Add("delayed_reports", delay > 0 ? 1 : 0);
            reports.push_back({now + delay, i, to, demand});
          }
        }
      }
    }
    for (size_t n = reports.size(); n > 0; --n) {
      const Report report = reports.front();
      reports.pop_front();
      if (report.at_ms <= now) {
        cell.shares[report.to]->OnDemand(cell.ids[report.from], report.demand);
      } else {
        reports.push_back(report);
      }
    }
    for (size_t i = 0; i < cell.members; ++i) {
      LimitShare& share = *cell.shares[i];
      // Demand rotates among the members.
      const bool wanted = (size_t(now / 2000) + i) % cell.members < 2;
      share.SetQueued("k", wanted ? 200 : 0);
      while (running[i] > 0 && Chance(random, 20)) {
        --running[i];
        share.OnEnd("k", kSize);
      }
      while (wanted && share.MayStart("k", kSize) && Chance(random, 95)) {
        ++running[i];
        starts[i].push_back(now);
        share.OnStart("k", kSize);
        int64_t total = 0;
        int64_t unreported = 0;
        for (size_t j = 0; j < cell.members; ++j) {
          total += running[j];
          while (!starts[j].empty() &&
                 starts[j].front() < now - kHeartbeatMs - kDelayMs) {
            starts[j].pop_front();
          }
          unreported += j == i ? 0 : int64_t(starts[j].size());
        }
        RC_ASSERT(total <= limit + unreported);
        // No member exceeds its own share, regardless of the others.
        RC_ASSERT(running[i] <= limit);
        if (total > limit) {
          counts.Add("starts_over_limit");
          worst = std::max(worst, double(total - limit) / double(limit));
        }
      }
    }
  }
  static struct PrintWorst {
    ~PrintWorst() {
      std::cout << "limit shares, worst overshoot: " << worst * 100 << "%"
                << std::endl;
    }
  } print_worst;
}

// Guards against a team that exceeds its quota, and against work that never
// starts because it is larger than the share of every member.
RC_BOOST_PROP(TeamQuotaIsKeptAndLargeItemsStart, ()) {
  static EventCounts counts("limit shares, team quota");
  util::Random random = PropertyRandom();
  WorkRow row = MakeRow("k");
  row.size = {int64_t(100 * (1 + random.UniformInt(30))), 0, 0, 1};
  row.team = "t";
  Table table = MakeTable({row});
  table.teams["t"] = {"t",
                      {int64_t(3000 + random.UniformInt(30'000)), 0, 0, 0}};
  const int64_t quota = table.teams["t"].quota.cpu_milli;
  Cell cell(random, table);
  for (auto& share : cell.shares) {
    share->SetQueued("k", 1 + int64_t(random.UniformInt(50)));
  }
  cell.ShareReports();
  int64_t used = 0;
  for (auto& share : cell.shares) {
    while (share->MayStart("k", row.size)) {
      share->OnStart("k", row.size);
      used += row.size.cpu_milli;
    }
  }
  counts.Add("quotas_used_up", used + row.size.cpu_milli > quota ? 1 : 0);
  RC_ASSERT(used > 0);
  RC_ASSERT(used <= quota + row.size.cpu_milli);
  cell.ShareReports();
  for (auto& share : cell.shares) {
    RC_ASSERT(used <= quota - row.size.cpu_milli ||
              !share->MayStart("k", row.size));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
