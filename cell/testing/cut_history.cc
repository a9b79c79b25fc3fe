#include "cell/testing/cut_history.h"

#include <rapidcheck.h>

#include <algorithm>
#include <utility>

#include "cell/testing/liveness_check.h"
#include "cell/testing/random_jobs.h"

namespace chivedale::cell::testing {
namespace {

constexpr Millis kLongestRound{500};
constexpr Millis kShortestFault{300};
constexpr Millis kLongestPause{6'000};
constexpr size_t kMaxMembers = 9;
// Some clocks of new boots are ahead of the earlier ones, some are behind.
constexpr size_t kMaxClock = 120'000;
const std::vector<std::string> member_names = {"a", "b", "c", "d", "e",
                                               "f", "g", "h", "i"};
// Share of each resource of the pool that may be in use while the users'
// contract holds that no job waits longer than kMaxIdleWait.
constexpr double kContractShare = 0.5;

// Whether the leader in the store was elected without being on the roster of
// the leader that stored it last, and has stored none itself.
bool LeaderIsUnlisted(const FakeStore& store) {
  const StoreItem* leader_item = store.Find(kLeaderKey);
  const StoreItem* roster_item = store.Find(kRosterKey);
  if (leader_item == nullptr || roster_item == nullptr) {
    return false;
  }
  const auto leader = DecodeLeaderRecord(leader_item->value);
  const auto roster = DecodeRoster(roster_item->value);
  return leader && roster && roster->address != leader->address &&
         roster->members.count(leader->address) == 0;
}

}  // namespace

void CutHistory::Run() {
  Build();
  for (int round = 0; round < options_.rounds; ++round) {
    Submit();
    if (OneIn(5)) {
      InjectFault();
    }
    RunFor(PickTime(Millis(50), kLongestRound));
  }
  EndFaults();
  AwaitJobs();
}

void CutHistory::Check() {
  waves_.Check();
  CheckHistory(cell_, true, seen_);
}

void CutHistory::Build() {
  narrow_ = OneIn(2);
  cell_.advised_share = narrow_ ? 0.6 : 1;
  cell_.executors.clock_speed = OneIn(2) ? 0.98 : 1.0;
  cell_.executors.restart_clock = [this] { return Millis(Pick(kMaxClock)); };
  cell_.executors.run_time = [this](const TaskName&, const StepSpec& spec) {
    return std::chrono::duration_cast<Duration>(spec.estimate *
                                                (0.5 + random_.UniformReal()));
  };
  cell_.executors.fails = [this](const TaskName&, const ExecutorId&) {
    return faulty_ && OneIn(40);
  };
  cell_.cuts_refuse = OneIn(2);
  data_centres_ = 2 + Pick(2);
  const size_t members = 5 + Pick(3);
  for (size_t i = 0; i < members; ++i) {
    members_.push_back(member_names[i]);
    cell_.AddNode(members_.back());
  }
  cell_.AddExecutors(kRandomPool, 9, {32'000, 64'000, 0, 0});
  cell_.AddExecutors(kRandomPool, 6, {48'000, 128'000, 4, 0});
  cell_.SetQueue(UrgentQueue());
  cell_.SetQueue(HeavyQueue());
  RunFor(Millis(2'000));
}

void CutHistory::Submit() {
  const JobId id = JobIdOf(++jobs_);
  const JobSpec spec =
      OneIn(2) ? RandomWideJob(random_, narrow_) : RandomJob(random_, narrow_);
  const std::string queue = OneIn(2) ? "heavy" : "urgent";
  cell_.Submit(PickMember(), id, spec, queue);
  if (OneIn(4)) {
    // The caller also submits the job to another member.
    cell_.Submit(PickMember(), id, spec, queue);
  }
  if (OneIn(12)) {
    cell_.Cancel(
        PickMember(),
        JobIdOf(1 + static_cast<int>(Pick(static_cast<size_t>(jobs_)))));
  } else if (OneIn(12)) {
    // The caller gives up before the submission is answered.
    cell_.Cancel(PickMember(), id);
  }
}

void CutHistory::RunFor(Millis time) {
  for (Millis passed{0}; passed < time; passed += kObserveInterval) {
    cell_.RunFor(std::min(kObserveInterval, time - passed));
    unlisted_elected_ = unlisted_elected_ || LeaderIsUnlisted(cell_.store);
  }
}

void CutHistory::EndFaults() {
  ++partitions_;
  cell_.Reconnect();
  cell_.executors.links.clear();
  cell_.executors.member_links.clear();
  cell_.store.faults = StoreFaults();
  cell_.store.faults_of.clear();
  cell_.entries_down = false;
  for (const std::string& name : members_) {
    cell_.CutPeers(name, false);
    cell_.Restart(name);
    for (const std::string& to : members_) {
      cell_.CutLink(name, to, false);
    }
  }
  faulty_ = false;
  // Pauses, late orders and writes, and executors that are down.
  RunFor(kLongestFault);
}

void CutHistory::AwaitJobs() {
  const auto wait = [this](Millis time) {
    for (Millis passed{0}; passed < time; passed += kObserveInterval) {
      if (OneIn(20)) {
        Submit();
      }
      RunFor(kObserveInterval);
    }
  };
  wait(SettleTime());
  if (unlisted_elected_ && executor_lost_) {
    // The status of jobs that have ended is not kept for as long.
    for (Millis passed{0}; passed < kUnlistedFencingDelay;
         passed += Millis(1'000)) {
      RunFor(Millis(1'000));
      NoteStates();
    }
  }
  LivenessCheck check(cell_);
  const Millis limit = WorkTime();
  Millis passed{0};
  for (; passed < limit && !check.all_over(); passed += kObserveInterval) {
    RunFor(kObserveInterval);
    check.Observe();
  }
  cell_.RunFor(Millis(2'000));  // the last ends are stored
  if (check.violation()) {
    RC_FAIL(*check.violation());
  }
}

void CutHistory::NoteStates() {
  for (const auto* jobs : {&cell_.accepted(), &cell_.refused()}) {
    for (const JobId& id : *jobs) {
      if (const auto state = cell_.StateOf(id)) {
        seen_[id] = {*state, cell_.store.Find(CancelKey(id)) != nullptr};
      }
    }
  }
}

Millis CutHistory::WorkTime() const {
  double busy = 0;
  Resources capacity;
  for (const auto& [entry, use] : cell_.executors.Use()) {
    capacity += entry->capacity;
  }
  for (const JobId& id : cell_.accepted()) {
    for (const StepSpec& step : cell_.executors.JobSpecOf(id)->steps) {
      const double share =
          std::max({static_cast<double>(step.size.cpu_milli) /
                        static_cast<double>(capacity.cpu_milli),
                    static_cast<double>(step.size.memory_mb) /
                        static_cast<double>(capacity.memory_mb),
                    static_cast<double>(step.size.accelerators) /
                        static_cast<double>(capacity.accelerators)});
      busy +=
          share * step.count * 1.5 * static_cast<double>(step.estimate.count());
    }
  }
  return kMaxSteps * (kMaxIdleWait + kLongestEstimate * 3 / 2) +
         Millis(static_cast<int64_t>(busy / kContractShare));
}

// ---- Faults.

void CutHistory::InjectFault() {
  if (options_.joins_executors && OneIn(3)) {
    JoinExecutors();
    return;
  }
  switch (Pick(11)) {
    case 0:
    case 1:
    case 2:
    case 3:
      CutDataCentres();
      return;
    case 4:
      CutLinks();
      return;
    case 5:
    case 6:
      InjectStoreFault();
      return;
    case 7:
    case 8:
      InjectMemberFault();
      return;
    case 9:
      InjectExecutorFault();
      return;
    default:
      if (OneIn(3)) {
        AddMember();
      } else if (OneIn(2)) {
        executor_lost_ = true;
        waves_.Announce();
      } else {
        cell_.SetQueue(ChangedQueue(random_));
      }
  }
}

void CutHistory::JoinExecutors() {
  std::vector<ExecutorId> ids;
  if (OneIn(2)) {
    std::set<ExecutorId> before;
    for (const ExecutorEntry& entry : cell_.executors.Entries()) {
      before.insert(entry.id);
    }
    cell_.AddExecutors(kRandomPool, 1 + static_cast<int>(Pick(3)),
                       {32'000, 64'000, 0, 0});
    for (const ExecutorEntry& entry : cell_.executors.Entries()) {
      if (before.count(entry.id) == 0) {
        ids.push_back(entry.id);
      }
    }
  } else {
    // Calls to the earlier boots may be executed by the new ones.
    LinkFaults late;
    late.late_orders = 0.5;
    late.late_holds = 0.5;
    for (int i = 0; i < 3; ++i) {
      const ExecutorId id = PickExecutor();
      for (const std::string& name : members_) {
        cell_.executors.links[{name, id}] = late;
      }
      Later(PickTime(Millis(50), Millis(500)), [this, id] {
        cell_.executors.Crash(id);
        for (const std::string& name : members_) {
          cell_.executors.links.erase({name, id});
        }
      });
      Later(PickTime(Millis(600), Millis(2'000)), [this, id] {
        if (!cell_.executors.IsUp(id)) {
          cell_.executors.Restart(id);
        }
      });
      ids.push_back(id);
    }
  }
  Later(PickTime(Millis(0), Millis(10'000)),
        [this, ids] { FailWithLeader(ids); });
}

void CutHistory::FailWithLeader(const std::vector<ExecutorId>& ids) {
  LinkFaults cut;
  cut.cut = true;
  const Millis time = PickTime(kShortestFault, 2 * kLongestFault);
  for (const ExecutorId& id : ids) {
    if (!cell_.executors.IsUp(id)) {
      continue;
    }
    if (OneIn(3)) {
      // Another one of its kind comes, so that all jobs can end.
      executor_lost_ = true;
      cell_.ReplaceExecutor(id, time);
      continue;
    }
    for (const std::string& name : members_) {
      cell_.executors.links[{name, id}] = cut;
      Later(time, [this, name, id] {
        cell_.executors.links.erase({name, id});
      });
    }
  }
  const std::string leader = PickLeader();
  Later(PickTime(Millis(0), Millis(300)), [this, leader] {
    if (OneIn(2)) {
      EndMembers({leader}, OneIn(2));
    } else if (cell_.node(leader) != nullptr) {
      cell_.node(leader)->StartShutdown();
      Later(Millis(500), [this, leader] { EndMembers({leader}, false); });
    }
  });
}

// A later cut replaces the sides of an earlier one, whose executors and members
// stay cut off as they were until the later one ends.
void CutHistory::CutDataCentres() {
  std::set<std::string> inside;
  std::set<ExecutorId> executors;
  if (OneIn(3)) {
    inside = PickMembers();
    const std::vector<ExecutorId> picked = PickExecutors();
    executors.insert(picked.begin(), picked.end());
  } else {
    const std::string leader = PickLeader();
    const auto at = std::find(members_.begin(), members_.end(),
                              OneIn(3) ? PickMember() : leader);
    const size_t centre =
        static_cast<size_t>(at - members_.begin()) % data_centres_;
    for (size_t i = centre; i < members_.size(); i += data_centres_) {
      inside.insert(members_[i]);
    }
    const std::vector<ExecutorEntry> up = cell_.executors.Entries();
    for (size_t i = centre; i < up.size(); i += data_centres_) {
      executors.insert(up[i].id);
    }
  }
  const bool with_store = OneIn(3);
  cell_.CutOff(inside, executors, with_store);
  const int number = ++partitions_;
  Later(PickTime(kShortestFault, kLongestFault), [this, number] {
    if (partitions_ == number) {
      cell_.Reconnect();
    }
  });
}

void CutHistory::CutLinks() {
  const Millis time = PickTime(kShortestFault, kLongestFault);
  if (OneIn(2)) {
    cell_.Partition(PickMembers());
    const int number = ++partitions_;
    Later(time, [this, number] {
      if (partitions_ == number) {
        cell_.Reconnect();
      }
    });
    return;
  }
  for (const std::string& from : PickMembers()) {
    const std::string to = PickMember();
    cell_.CutLink(from, to, true);
    Later(time, [this, from, to] { cell_.CutLink(from, to, false); });
  }
}

void CutHistory::InjectStoreFault() {
  StoreFaults faults;
  switch (Pick(6)) {
    case 0:
    case 5:
      faults.unresponsive = true;
      break;
    case 1:
      faults.refuses = true;
      break;
    case 2:
      faults.latency = PickTime(Millis(50), Millis(900));
      break;
    case 3:
      faults.lost_answers = 0.4;
      faults.late_writes = 0.2;
      break;
    default:
      cell_.store.CompactHistory();
      return;
  }
  const Millis time = PickTime(kShortestFault, kLongestFault);
  if (OneIn(2)) {
    cell_.store.faults = faults;
    cell_.entries_down = faults.unresponsive || faults.refuses;
    Later(time, [this] {
      cell_.store.faults = StoreFaults();
      cell_.entries_down = false;
    });
    return;
  }
  const std::set<std::string> members = PickMembers();
  for (const std::string& name : members) {
    cell_.store.faults_of[name] = faults;
  }
  Later(time, [this, members] {
    for (const std::string& name : members) {
      cell_.store.faults_of.erase(name);
    }
  });
}

void CutHistory::InjectMemberFault() {
  const std::string name = OneIn(2) ? PickLeader() : PickMember();
  switch (Pick(options_.replaces_members ? 8 : 6)) {
    case 0:
      cell_.Freeze(name, PickTime(kShortestFault, kLongestPause));
      return;
    case 1:
      for (const std::string& member : PickMembers()) {
        cell_.Freeze(member, PickTime(kShortestFault, kLongestPause));
      }
      return;
    case 2:
      EndMembers({name}, OneIn(2));
      return;
    case 3:
      EndMembers(PickMembers(), OneIn(2));
      return;
    case 4:
      EndMembers({members_.begin(), members_.end()}, OneIn(2));
      return;
    case 6:
    case 7:
      ReplaceMembers();
      return;
    default:
      cell_.CutPeers(name, true);
      Later(PickTime(kShortestFault, kLongestFault),
            [this, name] { cell_.CutPeers(name, false); });
  }
}

void CutHistory::EndMembers(const std::set<std::string>& members, bool power) {
  for (const std::string& name : members) {
    if (power) {
      cell_.PowerOff(name);
    } else {
      cell_.Kill(name);
    }
    Later(PickTime(kShortestFault, kLongestPause), [this, name] {
      if (std::count(members_.begin(), members_.end(), name) > 0) {
        cell_.Restart(name);
      }
    });
  }
}

void CutHistory::ReplaceMembers() {
  ++replacements_;
  for (std::string& name : members_) {
    cell_.PowerOff(name);
    name += std::to_string(replacements_);
    cell_.AddNode(name);
  }
}

void CutHistory::AddMember() {
  if (members_.size() < kMaxMembers) {
    std::string name = member_names[members_.size()];
    name += replacements_ == 0 ? "" : "-" + std::to_string(replacements_);
    members_.push_back(std::move(name));
    cell_.AddNode(members_.back());
  }
}

void CutHistory::InjectExecutorFault() {
  const ExecutorId id = PickExecutor();
  LinkFaults faults;
  switch (Pick(7)) {
    case 0:
      faults.cut = true;
      FailLinks(faults);
      return;
    case 1:
      faults.late_orders = 0.15 + 0.6 * random_.UniformReal();
      FailLinks(faults);
      return;
    case 2:
      faults.lost_answers = 0.15 + 0.6 * random_.UniformReal();
      faults.late_orders = 0.15;
      faults.late_holds = 0.05;
      FailLinks(faults);
      return;
    case 3:
      faults.refused = true;
      FailLinks(faults);
      return;
    case 4:
      cell_.executors.Crash(id);
      Later(PickTime(kShortestFault, kLongestPause), [this, id] {
        if (!cell_.executors.IsUp(id)) {
          cell_.executors.Restart(id);
        }
      });
      return;
    case 5:
      cell_.RestartAndCut(id, PickTime(Millis(100), kShortestFault * 3),
                          PickTime(Millis(0), Millis(2'500)),
                          PickTime(kShortestFault, kLongestFault));
      return;
    default:
      executor_lost_ = true;
      cell_.ReplaceExecutor(id, Millis(1'500));
  }
}

void CutHistory::FailLinks(const LinkFaults& faults) {
  const Millis time = PickTime(kShortestFault, kLongestFault);
  const std::set<std::string> members =
      OneIn(3) ? std::set<std::string>(members_.begin(), members_.end())
               : PickMembers();
  if (OneIn(2)) {
    for (const std::string& name : members) {
      cell_.executors.member_links[name] = faults;
      Later(time, [this, name] { cell_.executors.member_links.erase(name); });
    }
    return;
  }
  for (const ExecutorId& id : PickExecutors()) {
    for (const std::string& name : members) {
      cell_.executors.links[{name, id}] = faults;
      Later(time, [this, name, id] {
        cell_.executors.links.erase({name, id});
      });
    }
  }
}

// ---- Random choices.

Millis CutHistory::PickTime(Millis least, Millis most) {
  const auto range = static_cast<size_t>((most - least).count()) + 1;
  return least + Millis(static_cast<int64_t>(Pick(range)));
}

std::string CutHistory::PickMember() {
  return members_[Pick(members_.size())];
}

std::string CutHistory::PickLeader() {
  for (const std::string& name : members_) {
    const CellNode* node = cell_.node(name);
    if (node != nullptr && node->leading()) {
      return name;
    }
  }
  return PickMember();
}

// Half of them, and at least one.
std::set<std::string> CutHistory::PickMembers() {
  std::set<std::string> members = {PickMember()};
  for (const std::string& name : members_) {
    if (OneIn(2)) {
      members.insert(name);
    }
  }
  return members;
}

ExecutorId CutHistory::PickExecutor() {
  const std::vector<ExecutorEntry> up = cell_.executors.Entries();
  return up.empty() ? "e1" : up[Pick(up.size())].id;
}

std::vector<ExecutorId> CutHistory::PickExecutors() {
  std::vector<ExecutorId> picked;
  for (const ExecutorEntry& entry : cell_.executors.Entries()) {
    if (OneIn(2)) {
      picked.push_back(entry.id);
    }
  }
  return picked;
}

}  // namespace chivedale::cell::testing
