#include "review/11/harness/lab.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <iomanip>
#include <sstream>
#include <stdexcept>
#include <utility>

#include "cell/election.h"
#include "cell/leader_context.h"
#include "platform/names.h"

namespace chivedale::review {
namespace {

using nlohmann::json;

// As `run` of the role in deploy/system.toml.
constexpr char kProgram[] = "target/chivedale_celld";
constexpr char kHost[] = "127.0.0.1";
constexpr int kLogMode = 0644;
constexpr size_t kMaxSeeds = 3;
constexpr int kExecFailed = 127;
constexpr Millis kPumpInterval{1};
constexpr Millis kWaitInterval{5};

}  // namespace

Process::~Process() {
  Kill();
}

void Process::Start() {
  const std::string variable = "CHIVEDALE_SETTINGS=" + settings_;
  std::string program = kProgram;
  std::string path = "PATH=/usr/bin:/bin";
  std::string settings = variable;
  const pid_t pid = fork();
  if (pid < 0) {
    throw std::runtime_error("fork failed");
  }
  if (pid > 0) {
    pid_ = pid;
    return;
  }
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, kLogMode);
  if (log >= 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
  }
  constexpr int kMaxDescriptors = 4'096;
  for (int fd = STDERR_FILENO + 1; fd < kMaxDescriptors; ++fd) {
    close(fd);
  }
  std::array<char*, 2> arguments = {program.data(), nullptr};
  std::array<char*, 3> environment = {path.data(), settings.data(), nullptr};
  execve(kProgram, arguments.data(), environment.data());
  _exit(kExecFailed);
}

void Process::Signal(int signal) const {
  if (pid_ > 0) {
    kill(pid_, signal);
  }
}

void Process::Kill() {
  if (pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
}

bool Process::Reap() {
  if (pid_ > 0 && waitpid(pid_, nullptr, WNOHANG) == pid_) {
    pid_ = 0;
    return true;
  }
  return false;
}

Lab::Lab(const std::string& directory, const std::string& record, int daemons)
    : directory_(directory),
      record_(record),
      random_(static_cast<uint64_t>(
          std::chrono::steady_clock::now().time_since_epoch().count())),
      store_(loop_, random_),
      executors_(loop_, random_),
      platform_(io_, loop_, store_, executors_),
      http_(io_, HttpClient::Options()),
      pump_(io_),
      began_(std::chrono::steady_clock::now()),
      loop_began_(loop_.clock().Now()) {
  executors_.on_start = [this](const cell::JobId& job, const Resources&) {
    Record("start on an executor: a task of " + job);
  };
  for (int i = 0; i < daemons; ++i) {
    Member member;
    member.name = "front-" + std::to_string(i + 1);
    member.caller = FreeAddress();
    member.ready = FreeAddress();
    member.peer = FreeAddress();
    member.metrics = FreeAddress();
    const std::string file = directory_ + "/" + member.name;
    member.process = std::make_unique<Process>(file + ".json", file + ".log");
    members_.push_back(std::move(member));
  }
  Pump();
}

Lab::~Lab() {
  for (Member& member : members_) {
    member.process->Kill();
  }
}

void Lab::Pump() {
  const auto elapsed = std::chrono::steady_clock::now() - began_;
  const auto behind = std::chrono::duration_cast<cell::Duration>(elapsed) -
                      (loop_.clock().Now() - loop_began_);
  if (behind > cell::Duration(0)) {
    loop_.RunFor(behind);
  }
  for (Member& member : members_) {
    if (member.process->Reap()) {
      Record("process of " + member.name + " has ended by itself");
    }
  }
  pump_.expires_after(kPumpInterval);
  pump_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Pump();
    }
  });
}

void Lab::Record(const std::string& line) {
  const auto ms = std::chrono::duration_cast<Millis>(
      std::chrono::steady_clock::now() - began_);
  constexpr int kMillisPerSecond = 1'000;
  record_ << ms.count() / kMillisPerSecond << "." << std::setw(3)
          << std::setfill('0') << ms.count() % kMillisPerSecond << " " << line
          << std::endl;
}

void Lab::AddExecutor(const std::string& id,
                      const std::string& pool,
                      const Resources& capacity) {
  cell::ExecutorEntry entry;
  entry.id = id;
  entry.address = platform_.Serve(id);
  entry.pool = pool;
  entry.incarnation = std::chrono::duration_cast<Millis>(
                          std::chrono::system_clock::now().time_since_epoch())
                          .count();
  entry.capacity = capacity;
  entry.rack = "r1";
  entry.labels = {"a", entry.rack};
  executors_.Add(entry);
  store_.Put(platform::kServersPrefix + id,
             json({{"address", entry.address},
                   {"service", pool},
                   {"zone", "zone-a"},
                   {"version", "1"},
                   {"slots", 8},
                   {"state", "ready"},
                   {"cold_left_ms", 0},
                   {"sequence", 1},
                   {"born", entry.incarnation},
                   {"labels", entry.labels},
                   {"capacity",
                    {{"cpu", capacity.cpu_milli},
                     {"mem_mb", capacity.memory_mb},
                     {"gpu", capacity.accelerators}}}})
                 .dump());
}

void Lab::WriteTable(const std::vector<std::string>& queues) {
  json routes = json::array();
  for (const std::string& name : queues) {
    routes.push_back({{"name", name},
                      {"host", kHost},
                      {"prefix", "/" + name + "/"},
                      {"service", "pool"},
                      {"priority", 1},
                      {"max_attempts", 3},
                      {"stretch", 2},
                      {"target_latency_ms", 1'000}});
  }
  store_.Put(
      platform::kConfigKey,
      json({{"version", ++version_},
            {"routes", routes},
            {"services", {{{"name", "pool"}, {"rejects_overload", false}}}},
            {"limits", json::object()}})
          .dump());
}

// The values are those of kowa-consult, by the template of the deploy file.
void Lab::WriteSettings(const Member& member, int index) const {
  json seeds = json::array();
  for (const Member& seed : members_) {
    if (seeds.size() < kMaxSeeds) {
      seeds.push_back(seed.peer);
    }
  }
  const auto store = store_addresses_.find(index);
  std::ofstream(directory_ + "/" + member.name + ".json")
      << json({{"vm_id", member.name},
               {"data_centre", "zone-a"},
               {"region", "region"},
               {"caller_address", member.caller},
               {"ready_address", member.ready},
               {"peer_address", member.peer},
               {"metrics_address", member.metrics},
               {"store_address", store == store_addresses_.end()
                                     ? platform_.store_address()
                                     : store->second},
               {"advice_address", platform_.advice_address()},
               {"vm_address", vm_address_},
               {"cpu_share", 0.25},
               {"link_mbps", 1'000},
               {"seeds", seeds},
               {"longest_lease_ms", 10'000},
               {"stop_time_ms", 200},
               {"gang_timeout_ms", 3'000},
               {"restore_ms", 100},
               {"status_retention_ms", 120'000},
               {"store_value_bytes", 1'048'576},
               {"upkeep_time_ms", 2'000},
               {"stop_grace_ms", 6'000},
               {"far_factor", 3}})
             .dump(2);
}

void Lab::StartAll() {
  for (int i = 0; i < daemons(); ++i) {
    Start(i);
  }
}

void Lab::Start(int daemon) {
  const Member& member = members_.at(static_cast<size_t>(daemon));
  WriteSettings(member, daemon);
  Record("start the process of " + member.name);
  member.process->Start();
}

void Lab::Kill(int daemon) {
  const Member& member = members_.at(static_cast<size_t>(daemon));
  Record("SIGKILL to " + member.name);
  member.process->Kill();
}

void Lab::Signal(int daemon, int signal) {
  const Member& member = members_.at(static_cast<size_t>(daemon));
  Record("signal " + std::to_string(signal) + " to " + member.name);
  member.process->Signal(signal);
}

bool Lab::running(int daemon) const {
  return members_.at(static_cast<size_t>(daemon)).process->running();
}

const std::string& Lab::peer_address(int daemon) const {
  return members_.at(static_cast<size_t>(daemon)).peer;
}

const std::string& Lab::caller_address(int daemon) const {
  return members_.at(static_cast<size_t>(daemon)).caller;
}

void Lab::RunFor(Millis time) {
  io_.run_for(time);
}

bool Lab::WaitFor(Millis most, const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + most;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    RunFor(kWaitInterval);
  }
  return true;
}

int Lab::Leader() const {
  const cell::StoreItem* item = store_.Find(cell::kLeaderKey);
  const auto leader =
      item == nullptr ? std::nullopt : cell::DecodeLeaderRecord(item->value);
  for (int i = 0; leader && i < daemons(); ++i) {
    if (members_.at(static_cast<size_t>(i)).name == leader->node) {
      return i;
    }
  }
  return -1;
}

void Lab::Call(int daemon,
               const std::string& method,
               const std::string& target,
               const std::string& body,
               Millis time_limit,
               const OnAnswer& done) {
  const Member& member = members_.at(static_cast<size_t>(daemon));
  HttpCall call;
  call.address = member.caller;
  call.method = method;
  call.target = target;
  call.headers = {{"Deadline-Ms", std::to_string(time_limit.count())}};
  if (!body.empty()) {
    call.headers.push_back({"Content-Type", "application/json"});
    call.body_prefix = body;
  }
  call.timeout = time_limit;
  const std::string what = method + " " + target + " at " + member.name;
  Record("sent: " + what);
  http_.Call(std::move(call), [this, what, done](const HttpResult& result) {
    const bool answered = result.status == CallStatus::kAnswered;
    const std::string text = answered ? *result.body : "";
    Record("answered: " + what + ": " +
           (answered ? std::to_string(result.http_status) + " " + text
                     : "nothing (" + result.error + ")"));
    done(answered ? result.http_status : 0, json::parse(text, nullptr, false));
  });
}

void Lab::Submit(int daemon,
                 const std::string& queue,
                 const std::string& job,
                 const cell::JobSpec& spec,
                 const std::function<void(int status)>& done) {
  constexpr int kMaxAttempts = 3;
  constexpr Millis kTimeLimit{3'000};
  executors_.Expect(job, spec, kMaxAttempts);
  Call(daemon, "POST", "/" + queue + "/" + job, JobBody(spec), kTimeLimit,
       [done](int status, const json&) { done(status); });
}

void Lab::AskReady(int daemon, const std::function<void(bool)>& done) {
  HttpCall call;
  call.address = members_.at(static_cast<size_t>(daemon)).ready;
  call.method = "GET";
  call.target = "/chivedale/ready";
  constexpr Millis kTimeLimit{500};
  call.timeout = kTimeLimit;
  http_.Call(std::move(call), [done](const HttpResult& result) {
    constexpr int kOk = 200;
    done(result.status == CallStatus::kAnswered && result.http_status == kOk);
  });
}

std::string JobBody(const cell::JobSpec& spec) {
  json steps = json::array();
  for (const cell::StepSpec& step : spec.steps) {
    json row = {{"count", step.count},
                {"cpu", step.size.cpu_milli},
                {"mem_mb", step.size.memory_mb},
                {"est_runtime_ms", step.estimate.count()}};
    if (!step.depends_on.empty()) {
      row["after"] = step.depends_on;
    }
    if (step.checkpoints) {
      row["saves_progress"] = true;
    }
    if (step.long_running) {
      row["long_running"] = true;
    }
    steps.push_back(std::move(row));
  }
  json body = {{"task_spec", spec.payload}, {"steps", std::move(steps)}};
  if (spec.occurrences > 0) {
    body["repeat_count"] = spec.occurrences;
    body["start_at_ms"] = spec.first_start.time_since_epoch().count();
    body["interval_ms"] = spec.interval.count();
  }
  return body.dump();
}

cell::JobSpec OneStep(int count, Millis estimate) {
  cell::JobSpec spec;
  spec.payload = "work";
  cell::StepSpec step;
  step.count = count;
  step.size = {100, 100, 0, 0};
  step.estimate = estimate;
  spec.steps.push_back(step);
  return spec;
}

std::string JobId(uint64_t number) {
  constexpr int kDigits = 16;
  std::ostringstream text;
  text << std::hex << std::setw(kDigits) << std::setfill('0') << number;
  return text.str();
}

}  // namespace chivedale::review
