// A tenth of each limit is split evenly, so that a member with sudden work can
// start some of it immediately; the rest is split by reported demand. Whole
// units that remain after rounding down go to the largest remainders, so that a
// limit smaller than the number of members can still be used.
//
// A start must fit both the own share and the part of the limit that is unused
// according to the reports of all members. After shares move between members,
// the second check limits the overshoot to what is started before the next
// reports arrive, since the running work of the member that lost its share
// still counts.
#include "chivedale/limit_share.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <set>
#include <unordered_map>

#include "util/random.h"

namespace chivedale {
namespace {

constexpr double kEvenlySplitFraction = 0.1;
// Decay time of the arrival rate.
constexpr double kArrivalDecaySeconds = 2;
// The bucket holds the tokens of this time, but at least one.
constexpr double kBurstSeconds = 1;

constexpr std::array<int64_t Resources::*, 4> kComponents = {
    &Resources::cpu_milli, &Resources::memory_mb, &Resources::accelerators,
    &Resources::slots};

struct OwnRow {
  int64_t running = 0;
  int64_t queued = 0;
  double arrivals = 0;  // decayed count
  util::TimePoint arrivals_at{};
  double tokens = 0;
  util::TimePoint tokens_at{};
  bool tokens_started = false;
};

// Share of this member in the limits of a row, in the current view.
struct RowView {
  uint64_t version = 0;
  int64_t running_share = 0;
  int64_t others_running = 0;
  double demand_fraction = 0;
  double rate_fraction = 0;
};

struct TeamView {
  uint64_t version = 0;
  Resources share;
  Resources others_running;
  // Whether this member has the largest share, by component.
  std::array<bool, kComponents.size()> largest{};
};

double SecondsBetween(util::TimePoint from, util::TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

Resources Times(const Resources& size, int64_t count) {
  Resources product;
  for (auto component : kComponents) {
    product.*component = size.*component * count;
  }
  return product;
}

}  // namespace

struct LimitShare::Impl {
  using Demand = std::map<std::string, DemandReport>;

  Impl(const util::Clock& clock_in, MemberId self_in)
      : clock(clock_in), self(std::move(self_in)), members{self} {}

  DemandReport OwnReport(const std::string& kind) const {
    DemandReport report;
    auto it = own_rows.find(kind);
    if (it != own_rows.end()) {
      report.running = it->second.running;
      report.queued = it->second.queued;
      report.arrivals_per_s = ArrivalRate(it->second);
    }
    return report;
  }

  double ArrivalRate(const OwnRow& row) const {
    const double age = SecondsBetween(row.arrivals_at, clock.Now());
    return row.arrivals * std::exp(-age / kArrivalDecaySeconds) /
           kArrivalDecaySeconds;
  }

  // Demand of one member in the current view; for this member, as last
  // reported.
  DemandReport DemandOf(const MemberId& member, const std::string& kind) const {
    auto it = demand.find(member);
    if (it == demand.end()) {
      return member == self ? OwnReport(kind) : DemandReport();
    }
    auto row = it->second.find(kind);
    return row == it->second.end() ? DemandReport() : row->second;
  }

  // Fractions of a limit per member, in the order of `members`; they add up to
  // one. `weigh` returns the demand of a member.
  template <typename Weigh>
  std::vector<double> Fractions(const Weigh& weigh) const {
    std::vector<double> fractions;
    fractions.reserve(members.size());
    double total = 0;
    for (const MemberId& member : members) {
      fractions.push_back(std::max(0.0, weigh(member)));
      total += fractions.back();
    }
    const double even = 1.0 / static_cast<double>(members.size());
    for (double& fraction : fractions) {
      fraction = total > 0 ? kEvenlySplitFraction * even +
                                 (1 - kEvenlySplitFraction) * fraction / total
                           : even;
    }
    return fractions;
  }

  // Returns the whole units of `limit` for this member.
  int64_t Units(const std::string& name,
                int64_t limit,
                const std::vector<double>& fractions) const {
    struct Candidate {
      double remainder;
      uint64_t order;
      const MemberId* member;
    };
    std::vector<Candidate> candidates;
    candidates.reserve(fractions.size());
    int64_t own_units = 0;
    int64_t remaining = limit;
    size_t i = 0;
    for (const MemberId& member : members) {
      const double exact = static_cast<double>(limit) * fractions[i++];
      const int64_t whole =
          std::min(remaining, static_cast<int64_t>(std::floor(exact)));
      remaining -= whole;
      if (member == self) {
        own_units = whole;
      }
      candidates.push_back({exact - static_cast<double>(whole),
                            util::RendezvousWeight(name, member.str()),
                            &member});
    }
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                return a.remainder != b.remainder ? a.remainder > b.remainder
                                                  : a.order > b.order;
              });
    for (size_t j = 0;
         j < candidates.size() && static_cast<int64_t>(j) < remaining; ++j) {
      own_units += *candidates[j].member == self ? 1 : 0;
    }
    return own_units;
  }

  std::vector<double> RowFractions(const std::string& kind) const {
    return Fractions([&](const MemberId& member) {
      const DemandReport report = DemandOf(member, kind);
      return static_cast<double>(report.running + report.queued);
    });
  }

  double OwnFraction(const std::vector<double>& fractions) const {
    size_t i = 0;
    for (const MemberId& member : members) {
      if (member == self) {
        return fractions[i];
      }
      ++i;
    }
    return 0;
  }

  const RowView& ViewOf(const std::string& kind) const {
    RowView& view = row_views[kind];
    if (view.version == version) {
      return view;
    }
    view.version = version;
    const std::vector<double> fractions = RowFractions(kind);
    view.demand_fraction = OwnFraction(fractions);
    view.rate_fraction = OwnFraction(Fractions([&](const MemberId& member) {
      return DemandOf(member, kind).arrivals_per_s;
    }));
    const WorkRow* row = table.FindRow(kind);
    view.running_share =
        row == nullptr ? 0 : Units(kind, row->limits.max_running, fractions);
    view.others_running = 0;
    for (const MemberId& member : members) {
      view.others_running +=
          member == self ? 0 : DemandOf(member, kind).running;
    }
    return view;
  }

  bool RowAllows(const WorkRow& row) const {
    if (row.limits.max_running <= 0) {
      return true;
    }
    const RowView& view = ViewOf(row.kind);
    auto it = own_rows.find(row.kind);
    const int64_t running = it == own_rows.end() ? 0 : it->second.running;
    return running < view.running_share &&
           running + view.others_running < row.limits.max_running;
  }

  // Resources that the rows of this team use and request at a member.
  Resources TeamDemand(const MemberId& member,
                       const std::string& team,
                       bool running_only) const {
    Resources sum;
    for (const WorkRow* row : TeamRows(team)) {
      const DemandReport report = DemandOf(member, row->kind);
      sum +=
          Times(row->size, report.running + (running_only ? 0 : report.queued));
    }
    return sum;
  }

  const std::vector<const WorkRow*>& TeamRows(const std::string& team) const {
    static const std::vector<const WorkRow*> none;
    auto it = team_rows.find(team);
    return it == team_rows.end() ? none : it->second;
  }

  const TeamView& ViewOf(const Team& team) const {
    TeamView& view = team_views[team.name];
    if (view.version == version) {
      return view;
    }
    view = TeamView();
    view.version = version;
    std::map<MemberId, Resources> demands;
    for (const MemberId& member : members) {
      demands[member] = TeamDemand(member, team.name, false);
      if (member != self) {
        view.others_running += TeamDemand(member, team.name, true);
      }
    }
    for (size_t i = 0; i < kComponents.size(); ++i) {
      const auto component = kComponents[i];
      const std::vector<double> fractions =
          Fractions([&](const MemberId& member) {
            return static_cast<double>(demands[member].*component);
          });
      view.share.*component =
          Units(team.name, team.quota.*component, fractions);
      view.largest[i] = OwnFraction(fractions) >=
                        *std::max_element(fractions.begin(), fractions.end());
    }
    return view;
  }

  bool TeamAllows(const std::string& name, const Resources& size) const {
    auto it = table.teams.find(name);
    if (it == table.teams.end() || it->second.quota.IsZero()) {
      return true;
    }
    const Resources& quota = it->second.quota;
    const TeamView& view = ViewOf(it->second);
    auto used = team_running.find(name);
    const Resources own_usage =
        used == team_running.end() ? Resources() : used->second;
    for (size_t i = 0; i < kComponents.size(); ++i) {
      const auto component = kComponents[i];
      if (quota.*component <= 0 || size.*component <= 0) {
        continue;
      }
      const int64_t usage_after = own_usage.*component + size.*component;
      if (usage_after + view.others_running.*component > quota.*component) {
        return false;
      }
      // An item larger than every share would never start: the member with the
      // largest share may start one while it runs nothing else.
      const bool may_exceed_share =
          own_usage.*component == 0 && view.largest[i];
      if (usage_after > view.share.*component && !may_exceed_share) {
        return false;
      }
    }
    return true;
  }

  void OnViewChange() { ++version; }
  // Own demand is part of the view only until an own report has been received.
  void OnOwnDemandChange() {
    if (demand.count(self) == 0) {
      ++version;
    }
  }

  double Burst(double rate) const {
    return std::max(1.0, rate * kBurstSeconds);
  }

  double TokensNow(const OwnRow& row, double rate) const {
    if (!row.tokens_started) {
      return Burst(rate);
    }
    return std::min(
        Burst(rate),
        row.tokens + rate * SecondsBetween(row.tokens_at, clock.Now()));
  }

  const util::Clock& clock;
  const MemberId self;
  Table table;
  std::map<std::string, std::vector<const WorkRow*>> team_rows;
  std::set<MemberId> members;
  std::map<MemberId, Demand> demand;
  std::unordered_map<std::string, OwnRow> own_rows;
  std::map<std::string, Resources> team_running;
  // Cached views of an earlier version are recomputed on access.
  uint64_t version = 1;
  mutable std::unordered_map<std::string, RowView> row_views;
  mutable std::unordered_map<std::string, TeamView> team_views;
};

LimitShare::LimitShare(const util::Clock& clock, MemberId self)
    : impl_(std::make_unique<Impl>(clock, std::move(self))) {}
LimitShare::~LimitShare() = default;

void LimitShare::SetTable(const Table& table) {
  impl_->table = table;
  impl_->OnViewChange();
  impl_->row_views.clear();
  impl_->team_views.clear();
  impl_->team_rows.clear();
  for (const auto& [kind, row] : impl_->table.rows) {
    if (!row.team.empty()) {
      impl_->team_rows[row.team].push_back(&row);
    }
  }
}

void LimitShare::SetMembers(const std::vector<MemberId>& live) {
  impl_->members = std::set<MemberId>(live.begin(), live.end());
  impl_->members.insert(impl_->self);
  impl_->OnViewChange();
  for (auto it = impl_->demand.begin(); it != impl_->demand.end();) {
    it = impl_->members.count(it->first) > 0 ? std::next(it)
                                             : impl_->demand.erase(it);
  }
}

void LimitShare::OnDemand(const MemberId& member,
                          const std::map<std::string, DemandReport>& demand) {
  if (impl_->members.count(member) > 0) {
    impl_->demand[member] = demand;
    impl_->OnViewChange();
  }
}

void LimitShare::OnArrival(const std::string& kind) {
  OwnRow& row = impl_->own_rows[kind];
  const util::TimePoint now = impl_->clock.Now();
  const double age = SecondsBetween(row.arrivals_at, now);
  row.arrivals = row.arrivals * std::exp(-age / kArrivalDecaySeconds) + 1;
  row.arrivals_at = now;
  impl_->OnOwnDemandChange();
}

void LimitShare::OnStart(const std::string& kind, const Resources& size) {
  ++impl_->own_rows[kind].running;
  impl_->OnOwnDemandChange();
  const WorkRow* row = impl_->table.FindRow(kind);
  if (row != nullptr && !row->team.empty()) {
    impl_->team_running[row->team] += size;
  }
}

void LimitShare::OnEnd(const std::string& kind, const Resources& size) {
  OwnRow& own_row = impl_->own_rows[kind];
  own_row.running = std::max<int64_t>(0, own_row.running - 1);
  impl_->OnOwnDemandChange();
  const WorkRow* row = impl_->table.FindRow(kind);
  if (row == nullptr || row->team.empty()) {
    return;
  }
  Resources& running = impl_->team_running[row->team];
  running -= size;
  for (auto component : kComponents) {
    running.*component = std::max<int64_t>(0, running.*component);
  }
}

void LimitShare::SetQueued(const std::string& kind, int64_t queued) {
  impl_->own_rows[kind].queued = queued;
  impl_->OnOwnDemandChange();
}

bool LimitShare::TakeRate(const std::string& kind) {
  const WorkRow* row = impl_->table.FindRow(kind);
  if (row == nullptr || row->limits.max_rate_per_s <= 0) {
    return true;
  }
  const double rate =
      row->limits.max_rate_per_s * impl_->ViewOf(kind).rate_fraction;
  OwnRow& own_row = impl_->own_rows[kind];
  own_row.tokens = impl_->TokensNow(own_row, rate);
  own_row.tokens_at = impl_->clock.Now();
  own_row.tokens_started = true;
  if (own_row.tokens < 1) {
    return false;
  }
  own_row.tokens -= 1;
  return true;
}

bool LimitShare::MayStart(const std::string& kind,
                          const Resources& size) const {
  const WorkRow* row = impl_->table.FindRow(kind);
  if (row == nullptr) {
    return true;
  }
  return impl_->RowAllows(*row) &&
         (row->team.empty() || impl_->TeamAllows(row->team, size));
}

int64_t LimitShare::RunningShare(const std::string& kind) const {
  const WorkRow* row = impl_->table.FindRow(kind);
  return row == nullptr || row->limits.max_running <= 0
             ? std::numeric_limits<int64_t>::max()
             : impl_->ViewOf(kind).running_share;
}

double LimitShare::DemandFraction(const std::string& kind) const {
  return impl_->ViewOf(kind).demand_fraction;
}

Millis LimitShare::RetryAfter(const std::string& kind) const {
  const WorkRow* row = impl_->table.FindRow(kind);
  if (row == nullptr || row->limits.max_rate_per_s <= 0) {
    return Millis(0);
  }
  const double rate =
      row->limits.max_rate_per_s * impl_->ViewOf(kind).rate_fraction;
  auto it = impl_->own_rows.find(kind);
  const double tokens = impl_->TokensNow(
      it == impl_->own_rows.end() ? OwnRow() : it->second, rate);
  const double wait = tokens >= 1 || rate <= 0 ? 0 : (1 - tokens) / rate;
  return Millis(static_cast<int64_t>(std::ceil(wait * 1e3)));
}

std::map<std::string, DemandReport> LimitShare::OwnDemand() const {
  std::map<std::string, DemandReport> reports;
  for (const auto& [kind, own_row] : impl_->own_rows) {
    const DemandReport report = impl_->OwnReport(kind);
    if (report.running > 0 || report.queued > 0 ||
        report.arrivals_per_s > 0.01) {
      reports[kind] = report;
    }
  }
  return reports;
}

}  // namespace chivedale
