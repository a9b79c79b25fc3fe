#include "cell/testing/fake_cell.h"

#include <algorithm>
#include <utility>

#include "chivedale/log4cxx_event_log.h"

namespace chivedale::cell::testing {
namespace {

constexpr Duration kPeerLatency = std::chrono::microseconds(800);
constexpr Millis kVmCallTimeout{1'000};
constexpr size_t kMaxLines = 200'000;

}  // namespace

void RecordingLog::Write(Event event, const LogFields& fields) {
  if (lines_.size() < kMaxLines) {
    const auto ms = std::chrono::duration_cast<Millis>(
        clock_.Now().time_since_epoch() - std::chrono::hours(1));
    std::string line = std::to_string(ms.count());
    line += ' ';
    line += FormatEvent(event, fields);
    lines_.push_back(std::move(line));
  }
}

std::string RecordingLog::Lines(const std::string& text) const {
  std::string found;
  for (const std::string& line : lines_) {
    if (line.find(text) != std::string::npos) {
      found += line;
      found += '\n';
    }
  }
  return found;
}

class FakeCell::Peers final : public PeerPort {
 public:
  Peers(FakeCell& cell, std::string self)
      : cell_(cell), self_(std::move(self)) {}
  bool Send(const MemberId&, const Message&) override { return false; }
  void SetAddress(const MemberId&, const std::string&) override {}
  void SendToAddress(const std::string& address,
                     const Message& message) override {
    cell_.Deliver(self_, address, message);
  }

 private:
  FakeCell& cell_;
  const std::string self_;
};

class FakeCell::Advice final : public AdvicePort {
 public:
  explicit Advice(FakeCell& cell) : cell_(cell) {}
  void Ask(const std::string& step,
           const std::vector<ExecutorId>& executors,
           Millis,
           OnAdvice done) override {
    AdviceReply reply;
    reply.answered = true;
    reply.validity = cell_.ticket_validity;
    for (const ExecutorId& id : executors) {
      if (cell_.AdviceAllows(step, id)) {
        reply.allowed.emplace_back(
            id, cell_.executors.TicketFor(id, cell_.ticket_validity));
      }
    }
    cell_.loop.After(cell_.advice_time, [done, reply] { done(reply); });
  }

 private:
  FakeCell& cell_;
};

// The executors' VMs. An upkeep ends all runs on the VM and is followed by a
// new executor.
class FakeCell::Vms final : public VmPort {
 public:
  explicit Vms(FakeCell& cell) : cell_(cell) {}
  void List(OnList done) override {
    std::vector<VmInfo> list;
    for (const auto& [vm, info] : cell_.vms) {
      list.push_back(info);
    }
    cell_.loop.After(Millis(3), [done, list] { done(list); });
  }
  void StartUpkeep(const std::string& vm,
                   int64_t,
                   int64_t,
                   OnOrder done) override {
    ++cell_.upkeep_orders;
    const std::optional<Duration> time = cell_.upkeep_order_time;
    const bool answered = time && *time < kVmCallTimeout;
    if (!answered) {
      cell_.loop.After(kVmCallTimeout,
                       [done] { done(VmOrderResult::kUnknown); });
    }
    if (!time) {
      return;
    }
    // The VM service outlives the member that sent the order.
    cell_.loop.After(*time, [&cell = cell_, vm, done, answered] {
      const VmOrderResult result = cell.ExecuteUpkeepOrder(vm);
      if (answered) {
        done(result);
      }
    });
  }

 private:
  FakeCell& cell_;
};

struct FakeCell::Host {
  std::string name;
  std::string address;
  double strength = 1;
  uint64_t life = 0;
  bool powered = true;
  bool peers_cut = false;
  TimePoint frozen_until{};
  std::unique_ptr<StorePort> store;
  std::unique_ptr<ExecutorPort> executors;
  std::unique_ptr<Peers> peers;
  std::unique_ptr<Advice> advice;
  std::unique_ptr<Vms> vms;
  std::unique_ptr<CellNode> node;
};

FakeCell::FakeCell(uint64_t seed)
    : random(seed),
      store(loop, random),
      executors(loop, random),
      log(loop.clock()),
      table_(std::make_shared<QueueTable>()) {}

FakeCell::~FakeCell() = default;

void FakeCell::AddNode(const std::string& name, double strength) {
  auto host = std::make_unique<Host>();
  host->name = name;
  host->address = name + ":1";
  host->strength = strength;
  host->store = store.ViewOf(name);
  host->executors = executors.ViewOf(name);
  host->peers = std::make_unique<Peers>(*this, name);
  host->advice = std::make_unique<Advice>(*this);
  host->vms = std::make_unique<Vms>(*this);
  Host& added = *host;
  hosts_[name] = std::move(host);
  StartNode(added);
}

void FakeCell::StartNode(Host& host) {
  const uint64_t life = ++host.life;
  const std::string name = host.name;
  NodeContext context{
      process_clock_,
      log,
      metrics,
      random,
      *host.store,
      *host.executors,
      *host.advice,
      *host.vms,
      *host.peers,
      [this, name](auto done) {
        if (entries_down || cut_store_.count(name) > 0) {
          loop.After(entries_time, [done] { done(StoreStatus::kUnknown, {}); });
          return;
        }
        std::vector<ExecutorEntry> entries = executors.Entries();
        entries.erase(std::remove_if(entries.begin(), entries.end(),
                                     [this](const ExecutorEntry& entry) {
                                       return lost_entries.count(entry.id) > 0;
                                     }),
                      entries.end());
        loop.After(entries_time,
                   [done, entries] { done(StoreStatus::kOk, entries); });
      },
      [this](int64_t wave, bool completed,
             const std::function<void(bool)>& done) {
        wave_status[wave] = completed;
        loop.After(Millis(2), [done] { done(true); });
      },
      [this, name, life](Millis after, std::function<void()> run) {
        loop.After(after, [this, name, life, run = std::move(run)]() mutable {
          Host& at = *hosts_.at(name);
          if (at.life != life) {
            return;
          }
          // A paused process runs the callback when it resumes.
          if (loop.clock().Now() < at.frozen_until) {
            loop.After(at.frozen_until - loop.clock().Now(), std::move(run));
            return;
          }
          run();
        });
      },
      [this, name](Millis timeout, const std::function<void(int64_t)>& done) {
        if (cut_store_.count(name) > 0) {
          loop.After(timeout, [done] { done(0); });
          return;
        }
        loop.After(Millis(2), [this, done] { done(table_->version); });
      }};
  NodeOptions options;
  options.node = name;
  options.boot_id = name + "-" + std::to_string(life);
  options.address = host.address;
  options.strength = host.strength;
  options.revocation_bound = revocation_bound;
  options.leader = leader_options;
  options.outage_admission = outage_admission;
  options.leader.longest_lease = executors.longest_lease;
  host.node = std::make_unique<CellNode>(context, options);
  if (table_->version > 0) {
    host.node->OnTable(table_);
  }
  for (const auto& [number, wave] : waves_) {
    host.node->OnWave(wave);
  }
  host.node->Start();
  ScheduleTick(name, life);
}

void FakeCell::ScheduleTick(const std::string& name, uint64_t life) {
  loop.After(kNodeTick, [this, name, life] {
    Host& host = *hosts_.at(name);
    if (host.life != life || host.node == nullptr) {
      return;
    }
    if (loop.clock().Now() >= host.frozen_until) {
      host.node->Tick();
    }
    ScheduleTick(name, life);
  });
}

void FakeCell::CutLink(const std::string& from,
                       const std::string& to,
                       bool cut) {
  if (cut) {
    cut_links_.emplace(from, to);
  } else {
    cut_links_.erase({from, to});
  }
}

void FakeCell::CutOff(const std::set<std::string>& members,
                      const std::set<ExecutorId>& cut_executors,
                      bool with_store) {
  Partition(members);
  LinkFaults cut;
  cut.cut = true;
  for (const auto& [name, host] : hosts_) {
    const bool inside = members.count(name) > 0;
    for (const ExecutorEntry& entry : executors.Entries()) {
      if (inside != (cut_executors.count(entry.id) > 0)) {
        executors.links[{name, entry.id}] = cut;
        cut_executor_links_.emplace(name, entry.id);
      }
    }
    if (inside != with_store) {
      CutStore(name);
    }
  }
}

void FakeCell::CutStore(const std::string& name) {
  store.faults_of[name].unresponsive = true;
  cut_store_.insert(name);
}

void FakeCell::Reconnect() {
  Partition({});
  for (const auto& link : cut_executor_links_) {
    executors.links.erase(link);
  }
  for (const std::string& name : cut_store_) {
    store.faults_of.erase(name);
  }
  cut_executor_links_.clear();
  cut_store_.clear();
}

void FakeCell::Deliver(const std::string& from,
                       const std::string& address,
                       const Message& message) {
  Host& sender = *hosts_.at(from);
  Duration latency = kPeerLatency;
  for (const auto& [name, host] : hosts_) {
    const auto delay = peer_delays.find({from, name});
    if (host->address == address && delay != peer_delays.end()) {
      latency += delay->second;
    }
  }
  loop.After(latency, [this, &sender, address, message] {
    for (auto& [name, host] : hosts_) {
      if (host->address != address) {
        continue;
      }
      const bool cut = host->peers_cut || sender.peers_cut ||
                       side_.count(name) != side_.count(sender.name) ||
                       cut_links_.count({sender.name, name}) > 0;
      const bool refused =
          cut ? cuts_refuse : host->node == nullptr && host->powered;
      if (refused && sender.node != nullptr) {
        sender.node->OnPeerDisconnected(address, true);
      } else if (!cut && host->node != nullptr &&
                 loop.clock().Now() >= host->frozen_until) {
        host->node->OnMessage(MemberId(sender.name), message);
      }
    }
  });
}

void FakeCell::AddExecutors(const std::string& pool,
                            int count,
                            const Resources& size) {
  for (int i = 0; i < count; ++i) {
    ExecutorEntry entry;
    entry.id = "e" + std::to_string(next_executor_++);
    entry.address = entry.id + ":80";
    entry.pool = pool;
    entry.incarnation = 1'000;
    entry.capacity = size;
    entry.rack = "r" + std::to_string(i / 4);
    entry.labels = {i % 3 == 0 ? "b" : "a", entry.rack};
    executors.Add(entry);
    vms["vm-" + entry.id] = {"vm-" + entry.id, pool, VmState::kUp, entry.id};
  }
}

VmOrderResult FakeCell::ExecuteUpkeepOrder(const std::string& vm) {
  if (vms.count(vm) == 0) {
    return VmOrderResult::kRejected;
  }
  if (vms.at(vm).state != VmState::kUp && upkeep_done.count(vm) == 0) {
    return VmOrderResult::kBusy;
  }
  BeginUpkeep(vm);
  return VmOrderResult::kOk;
}

void FakeCell::BeginUpkeep(const std::string& vm) {
  VmInfo& info = vms.at(vm);
  if (!upkeep_done.insert(vm).second) {
    return;  // already done
  }
  for (const auto& [number, wave] : waves_) {
    const auto of_wave = std::count_if(
        wave.vms.begin(), wave.vms.end(), [&](const std::string& other) {
          const auto found = vms.find(other);
          return found != vms.end() && found->second.state == VmState::kUpkeep;
        });
    if (of_wave >= wave.max_concurrent &&
        std::count(wave.vms.begin(), wave.vms.end(), vm) > 0) {
      std::string what = "upkeep of " + vm + " begins while ";
      what += std::to_string(of_wave) + " VMs of wave ";
      what += std::to_string(number) + " are down";
      wave_violations.push_back(what);
    }
  }
  max_down = std::max(max_down, ++down_now);
  info.state = VmState::kUpkeep;
  executors.Remove(info.executor);
  loop.After(Millis(2'000), [this, vm, old = info.executor] {
    --down_now;
    vms.at(vm).executor = AddSuccessorOf(old);
    vms.at(vm).state = VmState::kUp;
  });
}

void FakeCell::RestartAndCut(const ExecutorId& id,
                             Duration down,
                             Duration until_cut,
                             Duration cut) {
  if (!executors.IsUp(id)) {
    return;
  }
  executors.Crash(id);
  loop.After(down, [this, id] {
    if (!executors.IsUp(id)) {
      executors.Restart(id);
    }
  });
  const auto set_links = [this, id](bool is_cut) {
    for (const auto& [name, host] : hosts_) {
      if (is_cut) {
        executors.links[{name, id}].cut = true;
      } else {
        executors.links.erase({name, id});
      }
    }
  };
  loop.After(down + until_cut, [set_links] { set_links(true); });
  loop.After(down + until_cut + cut, [set_links] { set_links(false); });
}

void FakeCell::ReplaceExecutor(const ExecutorId& id, Duration delay) {
  if (!executors.IsUp(id)) {
    return;
  }
  const auto vm = std::find_if(vms.begin(), vms.end(), [&](const auto& entry) {
    return entry.second.executor == id;
  });
  vm->second.state = VmState::kDown;
  executors.Remove(id);
  loop.After(delay, [this, id, &info = vm->second] {
    info.executor = AddSuccessorOf(id);
    info.state = VmState::kUp;
  });
}

ExecutorId FakeCell::AddSuccessorOf(const ExecutorId& id) {
  ExecutorEntry entry = executors.EntryOf(id);
  entry.id = "e" + std::to_string(next_executor_++);
  entry.address = entry.id + ":80";
  entry.draining = false;
  entry.min_time_to_leave.reset();
  executors.Add(entry);
  return entry.id;
}

void FakeCell::Announce(const UpkeepWave& wave) {
  waves_[wave.number] = wave;
  for (auto& [name, host] : hosts_) {
    if (host->node != nullptr) {
      host->node->OnWave(wave);
    }
  }
}

void FakeCell::SetQueue(const QueuePolicy& policy) {
  auto table = std::make_shared<QueueTable>(*table_);
  ++table->version;
  table->queues.erase(std::remove_if(table->queues.begin(), table->queues.end(),
                                     [&](const QueuePolicy& q) {
                                       return q.name == policy.name;
                                     }),
                      table->queues.end());
  table->queues.push_back(policy);
  table_ = table;
  for (auto& [name, host] : hosts_) {
    if (host->node != nullptr) {
      host->node->OnTable(table_);
    }
  }
}

void FakeCell::SetAccounts(std::vector<Account> accounts) {
  auto table = std::make_shared<QueueTable>(*table_);
  ++table->version;
  table->accounts = AccountTable(std::move(accounts));
  table_ = table;
  for (auto& [name, host] : hosts_) {
    if (host->node != nullptr) {
      host->node->OnTable(table_);
    }
  }
}

void FakeCell::RunFor(Duration time) {
  loop.RunFor(time);
}

void FakeCell::Kill(const std::string& name) {
  Host& host = *hosts_.at(name);
  ++host.life;
  host.node.reset();
}

void FakeCell::PowerOff(const std::string& name) {
  Kill(name);
  hosts_.at(name)->powered = false;
}

void FakeCell::Restart(const std::string& name) {
  Host& host = *hosts_.at(name);
  host.powered = true;
  if (host.node == nullptr) {
    StartNode(host);
  }
}

void FakeCell::Freeze(const std::string& name, Duration time) {
  hosts_.at(name)->frozen_until = loop.clock().Now() + time;
}

void FakeCell::CutPeers(const std::string& name, bool cut) {
  hosts_.at(name)->peers_cut = cut;
}

CellNode* FakeCell::node(const std::string& name) {
  return hosts_.at(name)->node.get();
}

CellNode* FakeCell::leader() {
  for (auto& [name, host] : hosts_) {
    if (host->node != nullptr && host->node->leading()) {
      return host->node.get();
    }
  }
  return nullptr;
}

void FakeCell::Submit(const std::string& name,
                      const JobId& id,
                      const JobSpec& spec,
                      const std::string& queue_name,
                      const Caller& caller) {
  CellNode* at = node(name);
  const QueuePolicy* policy = table_->FindQueue(queue_name);
  if (at == nullptr || policy == nullptr) {
    return;
  }
  executors.Expect(id, spec, policy->max_attempts);
  const bool first = submitted_.insert(id).second;
  at->Submit(*policy, caller, id, spec, loop.clock().Now() + Millis(1'500),
             [this, id, first](SubmitResult result, int64_t) {
               if (result == SubmitResult::kAccepted) {
                 accepted_.insert(id);
               } else if (result == SubmitResult::kNotStored && first) {
                 refused_.insert(id);
               }
             });
}

void FakeCell::Cancel(const std::string& name,
                      const JobId& id,
                      const Caller& caller) {
  if (CellNode* at = node(name)) {
    at->CancelJob(id, caller, loop.clock().Now() + Millis(1'500),
                  [this, id](CancelResult result) {
                    if (result == CancelResult::kCancelled) {
                      cancelled_.insert(id);
                      executors.Cancelled(id);
                    } else if (result == CancelResult::kNoSuchJob) {
                      gone_.insert(id);
                    }
                  });
  }
}

bool FakeCell::AdviceAllows(const std::string& step,
                            const ExecutorId& id) const {
  // Always the same answer for the same step and executor.
  std::string pair = step;
  pair += '/';
  pair += id;
  return static_cast<double>(util::Hash64(pair) % 1'000) <
         advised_share * 1'000;
}

std::optional<JobState> FakeCell::StateOf(const JobId& id) const {
  for (const auto& [name, host] : hosts_) {
    if (host->node != nullptr && host->node->leading()) {
      return host->node->leader()->Find(id);
    }
  }
  return std::nullopt;
}

}  // namespace chivedale::cell::testing
