#include "chivedale/testing/fake_cell.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "chivedale/table_codec.h"

namespace chivedale::testing {
namespace {

constexpr Millis kTick{20};
// Bounds of the time that callers wait for an answer before they resend.
constexpr Millis kMinResendDelay{300};
constexpr Millis kMaxResendDelay{5'000};
constexpr Millis kVmListPoll{500};

}  // namespace

// State of one process. Events are dropped after its death and held back during
// a pause.
struct FakeCell::Process {
  int number = 0;
  bool alive = true;
  bool paused = false;
  // Events that arrived during a pause.
  std::deque<std::function<void()>> held;
  std::unique_ptr<util::Random> random;
  std::unique_ptr<StorePort> store;
  std::unique_ptr<WorkerPort> workers;
  std::unique_ptr<PeerPort> peers;
  std::unique_ptr<VmListPort> vm_list;
  Metrics metrics;
  NullEventLog log;
  MemberId id;
  std::string address;
  std::unique_ptr<Scheduler> scheduler;

  void RunOrHold(std::function<void()> run) {
    if (!alive) {
      return;
    }
    if (paused) {
      held.push_back(std::move(run));
      return;
    }
    run();
  }
  // Wraps a callback so that it is dropped after death and held back during a
  // pause.
  template <typename Result>
  std::function<void(Result)> Guard(std::function<void(Result)> done) {
    return [this, done = std::move(done)](Result result) {
      RunOrHold([done, result = std::move(result)] { done(result); });
    };
  }
};

class FakeCell::GuardedStore final : public StorePort {
 public:
  GuardedStore(FakeStore& store, Process& process)
      : store_(store), process_(process) {}

  void Get(const std::string& key, Done done) override {
    store_.Get(key, process_.Guard<StoreResult>(std::move(done)));
  }
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override {
    store_.Put(key, value, expected,
               process_.Guard<StoreResult>(std::move(done)));
  }
  void Delete(const std::string& key, uint64_t expected, Done done) override {
    store_.Delete(key, expected, process_.Guard<StoreResult>(std::move(done)));
  }
  void List(const std::string& prefix, Done done) override {
    store_.List(prefix, process_.Guard<StoreResult>(std::move(done)));
  }
  void Watch(const std::string& prefix,
             uint64_t after,
             Millis wait,
             Done done) override {
    store_.Watch(prefix, after, wait,
                 process_.Guard<StoreResult>(std::move(done)));
  }

 private:
  FakeStore& store_;
  Process& process_;
};

class FakeCell::GuardedWorkers final : public WorkerPort {
 public:
  GuardedWorkers(FakeWorker& workers, Process& process)
      : workers_(workers), process_(process) {}

  void Lease(const WorkerId& worker,
             const MemberId& owner,
             const LeaseToken& token,
             Millis ttl,
             std::function<void(LeaseResult)> done) override {
    workers_.Lease(worker, owner, token, ttl,
                   process_.Guard<LeaseResult>(std::move(done)));
  }
  void Release(const WorkerId& worker,
               const MemberId& owner,
               const LeaseToken& token,
               std::function<void(WorkerCallStatus)> done) override {
    workers_.Release(worker, owner, token,
                     process_.Guard<WorkerCallStatus>(std::move(done)));
  }
  void List(const WorkerId& worker,
            std::function<void(TaskList)> done) override {
    workers_.List(worker, process_.Guard<TaskList>(std::move(done)));
  }
  void Start(const WorkerId& worker,
             const StartRequest& request,
             std::function<void(StartOutcome)> done) override {
    workers_.Start(worker, request,
                   process_.Guard<StartOutcome>(std::move(done)));
  }
  void Completions(const WorkerId& worker,
                   const CompletionsRequest& request,
                   std::function<void(CompletionsResult)> done) override {
    workers_.Completions(worker, request,
                         process_.Guard<CompletionsResult>(std::move(done)));
  }
  void Control(const WorkerId& worker,
               const LeaseToken& token,
               const TaskKey& key,
               TaskControl control,
               std::function<void(WorkerCallStatus)> done) override {
    workers_.Control(worker, token, key, control,
                     process_.Guard<WorkerCallStatus>(std::move(done)));
  }
  void SetAddress(const WorkerId& worker, const std::string& address) override {
    workers_.SetAddress(worker, address);
  }

 private:
  FakeWorker& workers_;
  Process& process_;
};

// Messages of one link arrive in order, 1 to 8 ms after they were sent. A link
// that is cut drops them.
class FakeCell::CellPeers final : public PeerPort {
 public:
  CellPeers(FakeCell& cell, Process& process)
      : cell_(cell), process_(process) {}

  bool Send(const MemberId& to, const Message& message) override {
    auto it = cell_.by_member_.find(to);
    if (it == cell_.by_member_.end()) {
      return false;
    }
    cell_.Deliver(process_.number, it->second, message);
    return true;
  }
  void SetAddress(const MemberId&, const std::string&) override {}
  void SendToAddress(const std::string& address,
                     const Message& message) override {
    auto it = cell_.by_address_.find(address);
    if (it != cell_.by_address_.end()) {
      cell_.Deliver(process_.number, it->second, message);
    }
  }

 private:
  FakeCell& cell_;
  Process& process_;
};

class FakeCell::CellVmList final : public VmListPort {
 public:
  CellVmList(FakeCell& cell, Process& process)
      : cell_(cell), process_(process) {}

  void Fetch(uint64_t after,
             Millis,
             std::function<void(VmListResult)> done) override {
    const Millis delay = after == 0 ? Millis(1) : kVmListPoll;
    cell_.queue_.Post(
        [this, done = std::move(done)] {
          VmListResult result;
          result.ok = true;
          result.version = cell_.vm_version_;
          result.vms = cell_.vms_;
          process_.RunOrHold([done, result] { done(result); });
        },
        delay);
  }

 private:
  FakeCell& cell_;
  Process& process_;
};

FakeCell::FakeCell(uint64_t seed)
    : queue_(clock_, seed), random_(seed), store_(queue_), workers_(queue_) {
  workers_.set_delay(Millis(1));
  store_.faults().delay = Millis(1);
}

FakeCell::~FakeCell() = default;

void FakeCell::AddWorkers(int count, const Resources& capacity) {
  for (int i = 0; i < count; ++i) {
    const std::string name = "w-" + std::to_string(worker_ids_.size() + 1);
    WorkerOptions options;
    options.id = WorkerId(name);
    options.capacity = capacity;
    workers_.Add(options);
    worker_ids_.push_back(options.id);
    Vm vm;
    vm.id = name;
    vm.address = name;
    vm.data_centre = DataCentreId("dc-1");
    vm.region = RegionId("r-1");
    vm.rack = "rack-" + std::to_string(worker_ids_.size() % 3);
    vms_.push_back(std::move(vm));
  }
}

void FakeCell::SetTable(const Table& table) {
  const StoreEntry* present = nullptr;
  StoreResult read = store_.model().Get("table");
  if (read.status == StoreStatus::kOk) {
    present = &read.entries.front();
  }
  store_.model().Put("table", TableToJson(table),
                     present == nullptr ? 0 : present->revision);
}

int FakeCell::StartProcess() {
  auto process = std::make_unique<Process>();
  Process& p = *process;
  p.number = static_cast<int>(processes_.size());
  p.random = std::make_unique<util::Random>(random_.Next());
  p.id =
      MemberId("vm-" + std::to_string(p.number) + "/" + p.random->HexString(6));
  p.address = "10.0.0." + std::to_string(p.number + 1) + ":7000";
  p.store = std::make_unique<GuardedStore>(store_, p);
  p.workers = std::make_unique<GuardedWorkers>(workers_, p);
  p.peers = std::make_unique<CellPeers>(*this, p);
  p.vm_list = std::make_unique<CellVmList>(*this, p);
  Settings settings;
  settings.vm_id = "vm-" + std::to_string(p.number);
  settings.data_centre = "dc-1";
  settings.region = "r-1";
  settings.peer_address = p.address;
  for (const auto& [address, number] : by_address_) {
    settings.seeds.push_back(address);
  }
  by_member_[p.id] = p.number;
  by_address_[p.address] = p.number;
  p.scheduler = std::make_unique<Scheduler>(
      Scheduler::Deps{clock_, *p.random, *p.store, *p.workers, *p.peers,
                      *p.vm_list, p.metrics, p.log},
      settings, p.id);
  processes_.push_back(std::move(process));
  p.scheduler->Start();
  return p.number;
}

void FakeCell::Kill(int process) {
  Process& p = *processes_[static_cast<size_t>(process)];
  p.alive = false;
  p.held.clear();
}

void FakeCell::Pause(int process) {
  processes_[static_cast<size_t>(process)]->paused = true;
}

void FakeCell::Resume(int process) {
  Process& p = *processes_[static_cast<size_t>(process)];
  p.paused = false;
  // Held events run before new ones, as with the buffer of a socket.
  while (p.alive && !p.held.empty()) {
    const std::function<void()> run = std::move(p.held.front());
    p.held.pop_front();
    run();
  }
}

void FakeCell::Drain(int process) {
  Process& p = *processes_[static_cast<size_t>(process)];
  p.RunOrHold([&p] { p.scheduler->Drain(); });
}

void FakeCell::SetLinkCut(int a, int b, bool cut) {
  const std::pair<int, int> link(std::min(a, b), std::max(a, b));
  if (cut) {
    cut_links_.insert(link);
  } else {
    cut_links_.erase(link);
  }
}

void FakeCell::Deliver(int from, int to, const Message& message) {
  const std::pair<int, int> link(std::min(from, to), std::max(from, to));
  if (cut_links_.count(link) > 0) {
    return;
  }
  // One fixed delay per link keeps its messages in order.
  const Millis delay(1 + (from * 7 + to * 3) % 8);
  queue_.Post(
      [this, from, to, message] {
        Process& p = *processes_[static_cast<size_t>(to)];
        const MemberId sender = processes_[static_cast<size_t>(from)]->id;
        p.RunOrHold(
            [&p, sender, message] { p.scheduler->OnMessage(sender, message); });
      },
      delay);
}

std::vector<int> FakeCell::Alive() const {
  std::vector<int> alive;
  for (const auto& process : processes_) {
    if (process->alive && !process->paused) {
      alive.push_back(process->number);
    }
  }
  return alive;
}

bool FakeCell::IsAlive(int process) const {
  return processes_[static_cast<size_t>(process)]->alive;
}

bool FakeCell::IsStopped(int process) const {
  return processes_[static_cast<size_t>(process)]->scheduler->stopped();
}

Scheduler& FakeCell::scheduler(int process) {
  return *processes_[static_cast<size_t>(process)]->scheduler;
}

size_t FakeCell::Send(const std::string& kind, int run_ms, bool repeatable) {
  const size_t number = AddCaller(kind, run_ms, repeatable);
  SubmitCaller(number);
  return number;
}

size_t FakeCell::SendThrough(int process, const std::string& kind, int run_ms) {
  const size_t number = AddCaller(kind, run_ms, /*repeatable=*/true);
  callers_[number].resend_at = clock_.Now() + kMaxResendDelay;
  SubmitThrough(process, number);
  return number;
}

size_t FakeCell::AddCaller(const std::string& kind,
                           int run_ms,
                           bool repeatable) {
  CellCaller caller;
  caller.id = RequestId("q-" + std::to_string(callers_.size() + 1));
  caller.kind = kind;
  caller.repeatable = repeatable;
  caller.payload = std::make_shared<const std::string>(
      "{\"run_ms\":" + std::to_string(run_ms) +
      ",\"n\":" + std::to_string(callers_.size()) + "}");
  caller.first_sent = clock_.Now();
  callers_.push_back(std::move(caller));
  return callers_.size() - 1;
}

void FakeCell::SubmitCaller(size_t number) {
  CellCaller& caller = callers_[number];
  const std::vector<int> alive = Alive();
  caller.resend_at = clock_.Now() + kMinResendDelay +
                     Millis(random_.UniformInt(static_cast<uint64_t>(
                         (kMaxResendDelay - kMinResendDelay).count())));
  if (!alive.empty()) {
    SubmitThrough(alive[random_.UniformInt(alive.size())], number);
  }
}

void FakeCell::SubmitThrough(int process, size_t number) {
  CellCaller& caller = callers_[number];
  // A caller whose entry died resends also after its deadline, to learn the
  // outcome.
  const auto left = std::max(
      Millis(1), std::chrono::duration_cast<Millis>(
                     caller.first_sent + caller.deadline - clock_.Now()));
  ++caller.sends;
  CallerSubmission submission;
  submission.id = caller.id;
  submission.kind = caller.kind;
  submission.deadline = left;
  submission.payload = caller.payload;
  Process& p = *processes_[static_cast<size_t>(process)];
  p.scheduler->Submit(
      submission, nullptr,
      [this, number, &p](const RequestId&, const RequestResult& result) {
        if (p.alive) {
          OnCallerResult(number, result);
        }
      });
}

void FakeCell::OnCallerResult(size_t number, const RequestResult& result) {
  CellCaller& caller = callers_[number];
  ++caller.answers;
  if (caller.result) {
    return;
  }
  const bool in_time = clock_.Now() < caller.first_sent + caller.deadline;
  if (!result.ok && InfoForErrorKind(result.error).retry && in_time) {
    caller.resend_at = clock_.Now() + std::max(result.retry_after, Millis(100));
    return;
  }
  caller.result = result;
}

void FakeCell::CancelCaller(size_t number) {
  const std::vector<int> alive = Alive();
  if (!alive.empty()) {
    scheduler(alive[random_.UniformInt(alive.size())])
        .Cancel(callers_[number].id, nullptr);
  }
}

void FakeCell::ResendUnanswered() {
  for (size_t i = 0; i < callers_.size(); ++i) {
    if (!callers_[i].result && clock_.Now() >= callers_[i].resend_at) {
      SubmitCaller(i);
    }
  }
}

void FakeCell::Run(Millis time) {
  const util::TimePoint end = clock_.Now() + time;
  while (clock_.Now() < end) {
    queue_.Advance(kTick);
    for (const auto& process : processes_) {
      if (process->alive && !process->paused) {
        process->scheduler->Tick();
        // The daemon exits once its scheduler has stopped.
        if (process->scheduler->stopped()) {
          Kill(process->number);
        }
      }
    }
    ResendUnanswered();
  }
}

void FakeCell::CheckCaller(const CellCaller& caller,
                           bool ended,
                           std::vector<std::string>& violations) const {
  const auto& all = workers_.task_runs().runs();
  auto it = all.find(TaskOfRequest(caller.id).str());
  const size_t runs = it == all.end() ? 0 : it->second.size();
  if (!caller.result) {
    if (ended) {
      violations.push_back(caller.id.str() + ": no final answer, sends " +
                           std::to_string(caller.sends) + ", answers " +
                           std::to_string(caller.answers));
    }
    return;
  }
  const RequestResult& result = *caller.result;
  if (result.ok && (!result.payload ||
                    *result.payload != ExpectedAnswer(TaskOfRequest(caller.id),
                                                      *caller.payload))) {
    violations.push_back(caller.id.str() +
                         ": got the answer of another request");
  }
  if (result.ok && runs == 0) {
    violations.push_back(caller.id.str() + ": answered but never run");
  }
  if (!result.ok && result.ran == Ran::kNo && runs > 0) {
    violations.push_back(caller.id.str() + ": reported as not run (" +
                         std::string(InfoForErrorKind(result.error).name) +
                         ") but run " + std::to_string(runs) + " times");
  }
  if (!caller.repeatable && runs > 1) {
    violations.push_back(caller.id.str() + ": not repeatable but run " +
                         std::to_string(runs) + " times");
  }
}

std::vector<std::string> FakeCell::FindViolations(bool ended) const {
  std::vector<std::string> violations;
  const Violations& recorded = workers_.task_runs().violations();
  if (recorded.total() > 0) {
    violations = recorded.details;
    violations.push_back("violations counted by workers: " +
                         std::to_string(recorded.total()));
  }
  for (const CellCaller& caller : callers_) {
    CheckCaller(caller, ended, violations);
  }
  return violations;
}

WorkRow MakeRow(const std::string& kind, bool repeatable) {
  WorkRow row;
  row.kind = kind;
  row.repeatable = repeatable;
  row.size = {1'000, 512, 0, 1};
  row.expected_run = Millis(200);
  row.longest_run = Millis(20'000);
  return row;
}

}  // namespace chivedale::testing
