// The stand-ins, the callers and the checks share one thread. The clock of the
// stand-ins follows the real clock in steps of a millisecond.
#include "review/6/harness/review_cell.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <exception>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "cell/election.h"
#include "cell/leader_context.h"
#include "cell/testing/fake_loop.h"
#include "chivedale/http_client.h"
#include "platform/names.h"
#include "platform/testing/platform_server.h"
#include "util/random.h"
#include "util/testing/port_allocator.h"

namespace chivedale::review {
namespace {

namespace asio = boost::asio;
using cell::Millis;
using nlohmann::json;
using platform::testing::PlatformServer;
using platform::testing::ProxyFaults;
using platform::testing::SoakNetwork;

constexpr Millis kPumpInterval{1};
constexpr Millis kStartTimeout{15'000};
constexpr Millis kSubmitTimeout{10'000};
constexpr Millis kCallTimeout{3'000};
constexpr Millis kCallRetry{200};
// Time for the leader to read the executors after its election.
constexpr Millis kSettleTime{4'000};
constexpr int kMaxAttempts = 3;
constexpr int64_t kGraceMillis = 6'000;
// The HTTP client names the address that it calls.
constexpr char kHost[] = "127.0.0.1";
constexpr char kPool[] = "pool";
constexpr char kSettingsVariable[] = "CHIVEDALE_SETTINGS=";
constexpr int kLogMode = 0644;
constexpr int kExecFailedExitCode = 127;

std::string NameOf(Queue queue) {
  static const char* const names[] = {"urgent", "service", "batch"};
  return names[static_cast<int>(queue)];
}

std::string PrefixOf(Queue queue) {
  return "/" + NameOf(queue) + "/";
}

// One process of the daemon, started as `run` of the deploy file says: without
// arguments, with the settings named by the environment.
class Process {
 public:
  Process() = default;
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process() {
    if (pid_ > 0) {
      kill(pid_, SIGKILL);
      waitpid(pid_, nullptr, 0);
    }
  }

  void Start(const std::string& program,
             const std::string& settings,
             const std::string& log_path) {
    const std::string variable = kSettingsVariable + settings;
    const pid_t pid = fork();
    if (pid < 0) {
      throw std::runtime_error("fork failed");
    }
    if (pid > 0) {
      pid_ = pid;
      return;
    }
    // The process must not outlive a test that is killed.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
    if (log >= 0) {
      dup2(log, STDOUT_FILENO);
      dup2(log, STDERR_FILENO);
    }
    // Do not inherit the sockets of the stand-ins.
    for (int fd = STDERR_FILENO + 1; fd < sysconf(_SC_OPEN_MAX); ++fd) {
      close(fd);
    }
    std::string environment = variable;
    char* const variables[] = {environment.data(), nullptr};
    std::string name = program;
    char* const arguments[] = {name.data(), nullptr};
    execve(program.c_str(), arguments, variables);
    _exit(kExecFailedExitCode);
  }

 private:
  pid_t pid_ = 0;
};

struct Daemon {
  std::string name;
  double cpu_share = 0.25;
  std::string caller;
  std::unique_ptr<Process> process;
};

json StepJson(const cell::StepSpec& step) {
  json row = {{"count", step.count},
              {"cpu", step.size.cpu_milli},
              {"mem_mb", step.size.memory_mb},
              {"est_runtime_ms", step.estimate.count()}};
  if (!step.label.empty()) {
    row["requires"] = step.label;
  }
  if (step.long_running) {
    row["long_running"] = true;
  }
  if (step.gang) {
    row["gang"] = true;
  }
  if (step.checkpoints) {
    row["saves_progress"] = true;
  }
  if (step.max_per_executor > 0) {
    row["max_per_server"] = step.max_per_executor;
  }
  if (!step.depends_on.empty()) {
    row["after"] = step.depends_on;
  }
  return row;
}

json JobJson(const cell::JobSpec& spec) {
  json steps = json::array();
  for (const cell::StepSpec& step : spec.steps) {
    steps.push_back(StepJson(step));
  }
  return {{"task_spec", spec.payload}, {"steps", steps}};
}

}  // namespace

struct ReviewCell::Impl {
  explicit Impl(const ReviewCellOptions& cell_options)
      : options(cell_options),
        random(1),
        store(loop, random),
        executors(loop, random),
        platform(io, loop, store, executors),
        network(io, loop, platform, 1),
        http(io, HttpClient::Options()),
        pump(io),
        record(options.record) {
    executors.longest_lease = options.longest_lease;
    executors.stop_time = options.stop_time;
    // Called for each order that the executor is about to carry out.
    executors.start_result = [this](const cell::StartOrder& order) {
      std::string labels;
      for (const std::string& label :
           executors.EntryOf(order.executor).labels) {
        labels += labels.empty() ? label : "," + label;
      }
      Record("start task=" + order.task + " run=" + std::to_string(order.run) +
             " executor=" + order.executor + " labels=" + labels +
             " until_ms=" + std::to_string(order.start_deadline.count()) +
             " fence=" + std::to_string(order.fence));
      runs.insert({order.executor, order.task});
      return cell::OrderResult::kOk;
    };
  }

  void Record(const std::string& what) {
    const int64_t now = std::chrono::duration_cast<Millis>(
                            std::chrono::system_clock::now().time_since_epoch())
                            .count();
    const std::time_t seconds = now / 1'000;
    std::tm utc{};
    gmtime_r(&seconds, &utc);
    record << std::put_time(&utc, "%FT%T.") << std::setw(3) << std::setfill('0')
           << now % 1'000 << "Z " << what << std::endl;
  }

  void RecordEnds() {
    for (auto run = runs.begin(); run != runs.end();) {
      const auto& [executor, task] = *run;
      const auto name = cell::TaskName::Parse(task);
      if (name && executors.IsUp(executor) &&
          executors.RunsOn(*name, executor)) {
        ++run;
        continue;
      }
      std::string line = "end task=";
      line += task;
      line += " executor=";
      line += executor;
      Record(line);
      run = runs.erase(run);
    }
  }

  void Pump() {
    const auto elapsed = std::chrono::steady_clock::now() - began;
    const auto behind = std::chrono::duration_cast<cell::Duration>(elapsed) -
                        (loop.clock().Now() - loop_began);
    if (behind > cell::Duration(0)) {
      loop.RunFor(behind);
    }
    RecordEnds();
    if (observer) {
      observer();
    }
    pump.expires_after(kPumpInterval);
    pump.async_wait([this](boost::system::error_code error) {
      if (!error) {
        Pump();
      }
    });
  }

  bool RunUntil(const std::function<bool()>& condition, Millis time) {
    const auto end = std::chrono::steady_clock::now() + time;
    while (!condition()) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      io.run_for(kPumpInterval);
    }
    return true;
  }

  void PublishEntry(const cell::ExecutorId& id) {
    const cell::ExecutorEntry& entry = executors.EntryOf(id);
    const json value = {{"address", entry.address},
                        {"service", entry.pool},
                        {"zone", SoakNetwork::CentreName(0)},
                        {"version", "v1"},
                        {"slots", 8},
                        {"state", "ready"},
                        {"cold_left_ms", 0},
                        {"sequence", ++sequence},
                        {"born", entry.incarnation},
                        {"labels", entry.labels},
                        {"capacity",
                         {{"cpu", entry.capacity.cpu_milli},
                          {"mem_mb", entry.capacity.memory_mb},
                          {"gpu", entry.capacity.accelerators}}}};
    store.Put(platform::kServersPrefix + id, value.dump());
  }

  void WriteTable() {
    json routes = json::array();
    for (const Queue queue : {Queue::kUrgent, Queue::kService, Queue::kBatch}) {
      routes.push_back({{"name", NameOf(queue)},
                        {"host", kHost},
                        {"prefix", PrefixOf(queue)},
                        {"kind", "non_idempotent"},
                        {"service", kPool},
                        {"priority", static_cast<int>(queue)},
                        {"max_attempts", kMaxAttempts},
                        {"stretch", 3},
                        {"target_latency_ms", 1'000}});
    }
    const json table = {
        {"version", 1},
        {"routes", routes},
        {"services", {{{"name", kPool}, {"rejects_overload", false}}}}};
    store.Put(platform::kConfigKey, table.dump());
  }

  // The settings that the template of the deploy file gives.
  json SettingsOf(const Daemon& daemon, const json& seeds) {
    return {{"vm_id", daemon.name},
            {"data_centre", SoakNetwork::CentreName(0)},
            {"region", "r"},
            {"caller_address", daemon.caller},
            {"ready_address", util::Loopback(ports.Next())},
            {"peer_address", network.AddressOf(daemon.name, daemon.name)},
            {"store_address", network.StoreAddress(daemon.name)},
            {"advice_address", platform.advice_address()},
            {"vm_address", ""},
            {"cpu_share", daemon.cpu_share},
            {"link_mbps", 1000.0},
            {"seeds", seeds},
            {"longest_lease_ms", options.longest_lease.count()},
            {"stop_time_ms", options.stop_time.count()},
            {"gang_timeout_ms", 3'000},
            {"restore_ms", 100},
            {"status_retention_ms", 120'000},
            {"store_value_bytes", 1'048'576},
            {"upkeep_time_ms", 2'000},
            {"stop_grace_ms", kGraceMillis},
            {"far_factor", 3}};
  }

  void StartDaemons() {
    for (int i = 0; i < options.daemons; ++i) {
      Daemon daemon;
      daemon.name = "d" + std::to_string(i + 1);
      daemon.caller = util::Loopback(ports.Next());
      const auto index = static_cast<size_t>(i);
      if (index < options.cpu_shares.size()) {
        daemon.cpu_share = options.cpu_shares[index];
      }
      network.AddMember(daemon.name, 0, util::Loopback(ports.Next()));
      daemons.push_back(std::move(daemon));
    }
    network.Connect();
    for (Daemon& daemon : daemons) {
      json seeds = json::array();
      for (const Daemon& seed : daemons) {
        seeds.push_back(network.AddressOf(daemon.name, seed.name));
      }
      const std::string file = options.directory + "/" + daemon.name;
      std::ofstream(file + ".json") << SettingsOf(daemon, seeds).dump(2);
      daemon.process = std::make_unique<Process>();
      daemon.process->Start(options.daemon, file + ".json", file + ".log");
      network.SetRunning(daemon.name, true);
    }
  }

  std::string LeaderName() const {
    const cell::StoreItem* item = store.Find(cell::kLeaderKey);
    const auto leader =
        item == nullptr ? std::nullopt : cell::DecodeLeaderRecord(item->value);
    return leader ? leader->node : "";
  }

  // Repeats the call at the daemons in turn until it is answered with one of
  // these codes. Returns the code; 0 if there is none in time.
  int Call(const std::string& method,
           Queue queue,
           const cell::JobId& id,
           const std::string& body,
           const std::vector<int>& codes) {
    const auto end = std::chrono::steady_clock::now() + kSubmitTimeout;
    while (std::chrono::steady_clock::now() < end) {
      HttpCall call;
      call.address = daemons[next_daemon++ % daemons.size()].caller;
      call.method = method;
      call.target = PrefixOf(queue) + id;
      call.headers = {
          {"Content-Type", platform::kJsonMediaType},
          {platform::kDeadlineHeader, std::to_string(kCallTimeout.count())}};
      call.body_prefix = body;
      call.timeout = kCallTimeout;
      const std::string where = call.address;
      auto status = std::make_shared<int>(-1);
      http.Call(std::move(call), [status](const HttpResult& result) {
        *status =
            result.status == CallStatus::kAnswered ? result.http_status : 0;
      });
      RunUntil([status] { return *status >= 0; }, 2 * kCallTimeout);
      std::string line = method;
      line += " job=" + id;
      line += " at=" + where;
      line += " answer=" + std::to_string(*status);
      Record(line);
      if (std::find(codes.begin(), codes.end(), *status) != codes.end()) {
        return *status;
      }
      io.run_for(kCallRetry);
    }
    return 0;
  }

  const ReviewCellOptions options;
  asio::io_context io{1};
  util::Random random;
  util::PortAllocator ports{io};
  cell::testing::FakeLoop loop;
  cell::testing::FakeStore store;
  cell::testing::FakeExecutors executors;
  PlatformServer platform;
  SoakNetwork network;
  HttpClient http;
  asio::steady_timer pump;
  std::ofstream record;
  std::chrono::steady_clock::time_point began{};
  cell::TimePoint loop_began{};
  std::vector<Daemon> daemons;
  std::vector<cell::ExecutorId> executor_ids;
  // Started runs that have not been seen to end: executor and task.
  std::set<std::pair<cell::ExecutorId, std::string>> runs;
  std::function<void()> observer;
  int64_t sequence = 0;
  size_t next_daemon = 0;
};

ReviewCellOptions ParseOptions(int argc, char** argv) {
  constexpr int kArguments = 4;
  if (argc != kArguments) {
    throw std::runtime_error("usage: PROGRAM DAEMON DIRECTORY RECORD");
  }
  ReviewCellOptions options;
  options.daemon = argv[1];
  options.directory = argv[2];
  options.record = argv[3];
  return options;
}

std::string Trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr ? "1" : value;
}

int RunCase(const std::function<int()>& play) {
  try {
    return play();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "the case could not run: %s\n", error.what());
    return kCouldNotRun;
  }
}

ReviewCell::ReviewCell(const ReviewCellOptions& options)
    : impl_(std::make_unique<Impl>(options)) {}

ReviewCell::~ReviewCell() = default;

void ReviewCell::AddExecutor(const cell::ExecutorId& id,
                             const Resources& capacity,
                             const std::vector<std::string>& labels) {
  cell::ExecutorEntry entry;
  entry.id = id;
  entry.address = impl_->platform.Serve(id);
  entry.pool = kPool;
  // The Unix millisecond of its start.
  entry.incarnation = std::chrono::duration_cast<Millis>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  entry.capacity = capacity;
  entry.labels = labels;
  entry.rack = labels.at(1);
  impl_->network.AddExecutor(id, 0, entry.address);
  impl_->executors.Add(entry);
  impl_->executor_ids.push_back(id);
  impl_->PublishEntry(id);
}

void ReviewCell::Start() {
  impl_->began = std::chrono::steady_clock::now();
  impl_->loop_began = impl_->loop.clock().Now();
  impl_->WriteTable();
  impl_->StartDaemons();
  impl_->Pump();
  if (!RunUntil([this] { return !impl_->LeaderName().empty(); },
                kStartTimeout)) {
    throw std::runtime_error("no leader was elected");
  }
  RunFor(kSettleTime);
  Record("the cell is up, leader=" + impl_->LeaderName());
}

void ReviewCell::RunFor(Millis time) {
  impl_->io.run_for(time);
}

bool ReviewCell::RunUntil(const std::function<bool()>& condition, Millis time) {
  return impl_->RunUntil(condition, time);
}

void ReviewCell::SetObserver(std::function<void()> observer) {
  impl_->observer = std::move(observer);
}

bool ReviewCell::Submit(Queue queue,
                        const cell::JobId& id,
                        const cell::JobSpec& spec) {
  impl_->executors.Expect(id, spec, kMaxAttempts);
  return impl_->Call("POST", queue, id, JobJson(spec).dump(), {200}) == 200;
}

bool ReviewCell::Cancel(Queue queue, const cell::JobId& id) {
  return impl_->Call("DELETE", queue, id, "", {200, 410}) != 0;
}

void ReviewCell::CrashExecutor(const cell::ExecutorId& id) {
  Record("DISRUPTION executor " + id + " crashes");
  impl_->executors.Crash(id);
  impl_->network.ResetLinksTo(id);
  impl_->network.SetRunning(id, false);
}

void ReviewCell::RestartExecutor(const cell::ExecutorId& id,
                                 const std::vector<std::string>& labels) {
  cell::ExecutorEntry entry = impl_->executors.EntryOf(id);
  entry.labels = labels;
  // The stand-in adds 1,000 to it at each restart.
  entry.incarnation = std::chrono::duration_cast<Millis>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count() -
                      1'000;
  impl_->executors.Add(entry);
  impl_->executors.Restart(id);
  impl_->PublishEntry(id);
  impl_->network.SetRunning(id, true);
  Record("executor " + id + " starts again under its id, kind " + labels.at(0) +
         ", and has written its entry");
}

void ReviewCell::CutExecutor(const cell::ExecutorId& id, Millis time) {
  Record("DISRUPTION executor " + id + " is cut off for " +
         std::to_string(time.count()) + " ms and runs on");
  ProxyFaults faults;
  faults.drop_from_client = true;
  faults.drop_from_server = true;
  impl_->network.Fail(
      [id](const SoakNetwork::Link& link) { return link.to == id; }, faults,
      time);
}

void ReviewCell::CutExecutorFrom(const cell::ExecutorId& id,
                                 const std::set<std::string>& daemons,
                                 Millis time) {
  std::string names;
  for (const std::string& daemon : daemons) {
    names += " " + daemon;
  }
  Record("DISRUPTION executor " + id + " is cut off from" + names + " for " +
         std::to_string(time.count()) + " ms and runs on");
  ProxyFaults faults;
  faults.drop_from_client = true;
  faults.drop_from_server = true;
  impl_->network.Fail(
      [id, daemons](const SoakNetwork::Link& link) {
        return link.to == id && daemons.count(link.from) > 0;
      },
      faults, time);
}

void ReviewCell::CutDaemon(const std::string& daemon, Millis time) {
  Record("DISRUPTION daemon " + daemon +
         " is cut off from the other daemons and the store for " +
         std::to_string(time.count()) + " ms; connections are refused");
  ProxyFaults faults;
  faults.refuse_new = true;
  impl_->network.Fail(
      [daemon](const SoakNetwork::Link& link) {
        return link.kind != SoakNetwork::LinkKind::kExecutor &&
               (link.from == daemon || link.to == daemon);
      },
      faults, time);
}

void ReviewCell::CutFromStore(const std::string& daemon, Millis time) {
  Record("DISRUPTION the store turns daemon " + daemon + " away for " +
         std::to_string(time.count()) + " ms");
  ProxyFaults faults;
  faults.refuse_new = true;
  impl_->network.Fail(
      [daemon](const SoakNetwork::Link& link) {
        return link.kind == SoakNetwork::LinkKind::kStore &&
               link.from == daemon;
      },
      faults, time);
}

std::string ReviewCell::LeaderName() const {
  return impl_->LeaderName();
}

cell::testing::FakeExecutors& ReviewCell::executors() {
  return impl_->executors;
}

std::vector<cell::ExecutorId> ReviewCell::Running(
    const cell::TaskName& task) const {
  std::vector<cell::ExecutorId> running;
  for (const cell::ExecutorId& id : impl_->executor_ids) {
    if (impl_->executors.IsUp(id) && impl_->executors.RunsOn(task, id)) {
      running.push_back(id);
    }
  }
  return running;
}

const std::vector<cell::ExecutorId>& ReviewCell::executor_ids() const {
  return impl_->executor_ids;
}

void ReviewCell::Record(const std::string& what) {
  impl_->Record(what);
}

}  // namespace chivedale::review
