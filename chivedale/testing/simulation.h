// Several processes, a network and a store in simulated time, for properties of
// whole histories. Events of a paused process are held back until it resumes.
//
//   Simulation sim(seed);
//   SimStore store(sim);
//   SimNetwork network(sim);
//   int p = sim.AddProcess([&] { membership->Tick(); });
//   sim.Pause(p, Millis(3'000));
//   sim.RunFor(Millis(10'000));
#ifndef CHIVEDALE_TESTING_SIMULATION_H_
#define CHIVEDALE_TESTING_SIMULATION_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/ports.h"
#include "chivedale/testing/fake_clock.h"
#include "util/random.h"

namespace chivedale::testing {

class Simulation {
 public:
  static constexpr int kEnvironment = -1;
  static constexpr Millis kTickInterval{20};

  explicit Simulation(uint64_t seed) : random_(seed) {}

  // Commands. `tick` runs every kTickInterval while the process is not paused.
  int AddProcess(std::function<void()> tick);
  // kEnvironment as `process` stands for the environment, which is never
  // paused.
  void After(util::Duration delay, int process, std::function<void()> run);
  void Pause(int process, Millis length);
  void Kill(int process);
  void RunFor(util::Duration length);
  void Count(const std::string& fault) { ++faults_[fault]; }

  // Queries.
  const util::Clock& clock() const { return clock_; }
  util::Random& random() { return random_; }
  bool Chance(double probability) {
    return random_.UniformReal() < probability;
  }
  bool paused(int process) const;
  bool dead(int process) const;
  const std::map<std::string, int64_t>& faults() const { return faults_; }

 private:
  struct Process {
    std::function<void()> tick;
    util::TimePoint paused_until{};
    bool dead = false;
  };
  struct Event {
    int process = kEnvironment;
    std::function<void()> run;
  };

  void ScheduleTick(int process);

  FakeClock clock_;
  util::Random random_;
  std::vector<Process> processes_;
  std::multimap<util::TimePoint, Event> events_;
  std::map<std::string, int64_t> faults_;
};

// A store whose calls can be slow, fail, take effect late or lose their answer.
class SimStore {
 public:
  struct Faults {
    bool down = false;
    double lose_answer = 0;  // takes effect, answered with kUnavailable
    double late_effect = 0;  // takes effect after a kUnavailable answer
    Millis slow{0};          // maximum extra delay
  };

  explicit SimStore(Simulation& sim) : sim_(sim) {}

  std::unique_ptr<StorePort> PortOf(int process);
  Faults& faults() { return faults_; }
  // Processes that cannot reach the store.
  std::set<int>& unreachable() { return unreachable_; }
  std::map<std::string, StoreEntry>& entries() { return entries_; }
  int64_t writes() const { return writes_; }
  int64_t calls() const { return calls_; }

  void Call(int process,
            bool write,
            const std::function<StoreResult()>& effect,
            const StorePort::Done& done);
  void Watch(int process,
             const std::string& prefix,
             uint64_t after,
             Millis wait,
             const StorePort::Done& done);
  StoreResult Put(const std::string& key,
                  const std::string& value,
                  uint64_t expected);
  StoreResult Delete(const std::string& key, uint64_t expected);
  StoreResult Get(const std::string& key) const;
  StoreResult List(const std::string& prefix, uint64_t after) const;

 private:
  struct Watcher {
    int process = 0;
    std::string prefix;
    uint64_t after = 0;
    std::shared_ptr<bool> over;
    StorePort::Done done;
  };

  void Notify();

  Simulation& sim_;
  Faults faults_;
  std::set<int> unreachable_;
  std::map<std::string, StoreEntry> entries_;
  std::vector<Watcher> watchers_;
  uint64_t revision_ = 0;
  int64_t writes_ = 0;
  int64_t calls_ = 0;
};

// Network between the processes, with delay, loss and partitions.
class SimNetwork {
 public:
  using Handler = std::function<void(const MemberId&, const Message&)>;

  explicit SimNetwork(Simulation& sim) : sim_(sim) {}

  void Add(int process, const MemberInfo& info, Handler handler);
  void Remove(int process) { endpoints_.erase(process); }
  std::unique_ptr<PeerPort> PortOf(int process);
  void Send(int from, const MemberId& to, const Message& message);
  void SendToAddress(int from, const std::string& to, const Message& message);

  double& loss_probability() { return loss_probability_; }
  // Partition of each process, 0 by default. Processes in different partitions
  // cannot reach each other.
  std::map<int, int>& partitions() { return partitions_; }
  // Number of messages sent, by sender.
  std::map<int, int64_t>& sent() { return sent_; }

 private:
  struct Endpoint {
    MemberInfo info;
    Handler handler;
  };

  void Deliver(int from, int to, const Message& message);

  Simulation& sim_;
  std::map<int, Endpoint> endpoints_;
  std::map<MemberId, int> by_id_;
  double loss_probability_ = 0;
  std::map<int, int> partitions_;
  std::map<int, int64_t> sent_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_SIMULATION_H_
