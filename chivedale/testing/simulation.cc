#include "chivedale/testing/simulation.h"

#include <algorithm>

namespace chivedale::testing {
namespace {

constexpr Millis kStoreTimeout{1'000};
constexpr Millis kStoreDelay{2};
// Maximum delay of a late effect after the call.
constexpr uint64_t kMaxEffectDelayMs = 6'000;

class Port final : public StorePort {
 public:
  Port(SimStore& store, int process) : store_(store), process_(process) {}

  void Get(const std::string& key, Done done) override {
    store_.Call(
        process_, false, [this, key] { return store_.Get(key); }, done);
  }
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override {
    store_.Call(
        process_, true,
        [this, key, value, expected] {
          return store_.Put(key, value, expected);
        },
        done);
  }
  void Delete(const std::string& key, uint64_t expected, Done done) override {
    store_.Call(
        process_, true,
        [this, key, expected] { return store_.Delete(key, expected); }, done);
  }
  void List(const std::string& prefix, Done done) override {
    store_.Call(
        process_, false, [this, prefix] { return store_.List(prefix, 0); },
        done);
  }
  void Watch(const std::string& prefix,
             uint64_t after,
             Millis wait,
             Done done) override {
    store_.Watch(process_, prefix, after, wait, done);
  }

 private:
  SimStore& store_;
  const int process_;
};

class SimPeerPort final : public PeerPort {
 public:
  SimPeerPort(SimNetwork& network, int process)
      : network_(network), process_(process) {}

  bool Send(const MemberId& to, const Message& message) override {
    network_.Send(process_, to, message);
    return true;
  }
  void SetAddress(const MemberId&, const std::string&) override {}
  void SendToAddress(const std::string& address,
                     const Message& message) override {
    network_.SendToAddress(process_, address, message);
  }

 private:
  SimNetwork& network_;
  const int process_;
};

}  // namespace

int Simulation::AddProcess(std::function<void()> tick) {
  const int process = static_cast<int>(processes_.size());
  processes_.push_back({std::move(tick), util::TimePoint(), false});
  ScheduleTick(process);
  return process;
}

void Simulation::ScheduleTick(int process) {
  After(kTickInterval, process, [this, process] {
    processes_[static_cast<size_t>(process)].tick();
    ScheduleTick(process);
  });
}

void Simulation::After(util::Duration delay,
                       int process,
                       std::function<void()> run) {
  events_.emplace(clock_.Now() + delay, Event{process, std::move(run)});
}

void Simulation::Pause(int process, Millis length) {
  Process& state = processes_[static_cast<size_t>(process)];
  state.paused_until = std::max(state.paused_until, clock_.Now() + length);
}

void Simulation::Kill(int process) {
  processes_[static_cast<size_t>(process)].dead = true;
}

void Simulation::RunFor(util::Duration length) {
  const util::TimePoint end = clock_.Now() + length;
  while (!events_.empty() && events_.begin()->first <= end) {
    auto node = events_.extract(events_.begin());
    const Event& event = node.mapped();
    if (node.key() > clock_.Now()) {
      clock_.Advance(node.key() - clock_.Now());
    }
    if (event.process != kEnvironment) {
      const Process& process = processes_[static_cast<size_t>(event.process)];
      if (process.dead) {
        continue;
      }
      if (process.paused_until > clock_.Now()) {
        node.key() = process.paused_until;
        events_.insert(std::move(node));
        continue;
      }
    }
    event.run();
  }
  clock_.Advance(end - clock_.Now());
}

bool Simulation::paused(int process) const {
  return processes_[static_cast<size_t>(process)].paused_until > clock_.Now();
}

bool Simulation::dead(int process) const {
  return processes_[static_cast<size_t>(process)].dead;
}

std::unique_ptr<StorePort> SimStore::PortOf(int process) {
  return std::make_unique<Port>(*this, process);
}

void SimStore::Call(int process,
                    bool write,
                    const std::function<StoreResult()>& effect,
                    const StorePort::Done& done) {
  ++calls_;
  writes_ += write ? 1 : 0;
  const auto fail = [this, process, done](util::Duration delay) {
    sim_.After(delay, process, [done] { done(StoreResult()); });
  };
  if (faults_.down || unreachable_.count(process) != 0) {
    sim_.Count(faults_.down ? "call while the store is down"
                            : "call while cut off from the store");
    fail(kStoreTimeout);
    return;
  }
  Millis delay = kStoreDelay;
  if (faults_.slow.count() > 0) {
    const auto bound = static_cast<uint64_t>(faults_.slow.count());
    delay += Millis(static_cast<int64_t>(sim_.random().UniformInt(bound)));
    sim_.Count("slow store call");
  }
  const bool late = write && sim_.Chance(faults_.late_effect);
  if (late) {
    delay = kStoreTimeout + Millis(static_cast<int64_t>(
                                sim_.random().UniformInt(kMaxEffectDelayMs)));
    sim_.Count("write effective after its timeout");
  }
  const bool lost = !late && sim_.Chance(faults_.lose_answer);
  if (lost) {
    sim_.Count("answer lost after the effect");
  }
  const bool timely = !late && !lost && delay < kStoreTimeout;
  if (!timely) {
    fail(kStoreTimeout);
  }
  sim_.After(
      delay, Simulation::kEnvironment, [this, process, timely, effect, done] {
        if (faults_.down) {
          if (timely) {
            sim_.After(kStoreTimeout, process, [done] { done(StoreResult()); });
          }
          return;
        }
        const StoreResult result = effect();
        if (timely) {
          sim_.After(kStoreDelay, process, [done, result] { done(result); });
        }
      });
}

void SimStore::Watch(int process,
                     const std::string& prefix,
                     uint64_t after,
                     Millis wait,
                     const StorePort::Done& done) {
  ++calls_;
  if (faults_.down || unreachable_.count(process) != 0) {
    sim_.After(kStoreTimeout, process, [done] { done(StoreResult()); });
    return;
  }
  auto over = std::make_shared<bool>(false);
  watchers_.push_back({process, prefix, after, over, done});
  sim_.After(wait, Simulation::kEnvironment, [this, process, over, done] {
    if (*over) {
      return;
    }
    *over = true;
    StoreResult result;
    const bool cut_off = faults_.down || unreachable_.count(process) != 0;
    result.status = cut_off ? StoreStatus::kUnavailable : StoreStatus::kOk;
    sim_.After(kStoreDelay, process, [done, result] { done(result); });
  });
  Notify();
}

void SimStore::Notify() {
  for (Watcher& watcher : watchers_) {
    const bool cut_off =
        faults_.down || unreachable_.count(watcher.process) != 0;
    if (*watcher.over || cut_off) {
      continue;
    }
    const StoreResult result = List(watcher.prefix, watcher.after);
    if (result.entries.empty()) {
      continue;
    }
    *watcher.over = true;
    sim_.After(kStoreDelay, watcher.process,
               [done = watcher.done, result] { done(result); });
  }
  watchers_.erase(
      std::remove_if(watchers_.begin(), watchers_.end(),
                     [](const Watcher& watcher) { return *watcher.over; }),
      watchers_.end());
}

StoreResult SimStore::Put(const std::string& key,
                          const std::string& value,
                          uint64_t expected) {
  auto it = entries_.find(key);
  const uint64_t present = it == entries_.end() ? 0 : it->second.revision;
  StoreResult result;
  if (present != expected) {
    result.status = StoreStatus::kConflict;
    result.revision = present;
    return result;
  }
  entries_[key] = {key, value, ++revision_};
  result.status = StoreStatus::kOk;
  result.revision = revision_;
  Notify();
  return result;
}

StoreResult SimStore::Delete(const std::string& key, uint64_t expected) {
  StoreResult result = Get(key);
  if (result.status != StoreStatus::kOk) {
    return result;
  }
  if (result.revision != expected) {
    result.status = StoreStatus::kConflict;
    return result;
  }
  entries_.erase(key);
  ++revision_;
  return result;
}

StoreResult SimStore::Get(const std::string& key) const {
  StoreResult result;
  auto it = entries_.find(key);
  if (it == entries_.end()) {
    result.status = StoreStatus::kNotFound;
    return result;
  }
  result.status = StoreStatus::kOk;
  result.entries.push_back(it->second);
  result.revision = it->second.revision;
  return result;
}

StoreResult SimStore::List(const std::string& prefix, uint64_t after) const {
  StoreResult result;
  result.status = StoreStatus::kOk;
  result.revision = revision_;
  for (const auto& [key, entry] : entries_) {
    if (key.compare(0, prefix.size(), prefix) == 0 && entry.revision > after) {
      result.entries.push_back(entry);
    }
  }
  return result;
}

void SimNetwork::Add(int process, const MemberInfo& info, Handler handler) {
  endpoints_[process] = {info, std::move(handler)};
  by_id_[info.id] = process;
}

std::unique_ptr<PeerPort> SimNetwork::PortOf(int process) {
  return std::make_unique<SimPeerPort>(*this, process);
}

void SimNetwork::Send(int from, const MemberId& to, const Message& message) {
  ++sent_[from];
  auto it = by_id_.find(to);
  if (it != by_id_.end()) {
    Deliver(from, it->second, message);
  }
}

void SimNetwork::SendToAddress(int from,
                               const std::string& to,
                               const Message& message) {
  ++sent_[from];
  for (const auto& [process, endpoint] : endpoints_) {
    if (endpoint.info.address == to && !sim_.dead(process)) {
      Deliver(from, process, message);
      return;
    }
  }
}

void SimNetwork::Deliver(int from, int to, const Message& message) {
  if (partitions_[from] != partitions_[to]) {
    sim_.Count("message across a partition");
    return;
  }
  if (sim_.Chance(loss_probability_)) {
    sim_.Count("message lost");
    return;
  }
  const auto sender = endpoints_.find(from);
  if (sender == endpoints_.end()) {
    return;
  }
  const MemberId id = sender->second.info.id;
  const Millis delay(1 + static_cast<int64_t>(sim_.random().UniformInt(8)));
  sim_.After(delay, to, [this, to, id, message] {
    auto endpoint = endpoints_.find(to);
    if (endpoint != endpoints_.end()) {
      endpoint->second.handler(id, message);
    }
  });
}

}  // namespace chivedale::testing
