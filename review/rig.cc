#include "review/rig.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <stdexcept>

#include "platform/base64.h"

namespace chivedale::review {
namespace {

using platform::DecodeBase64;
using platform::EncodeBase64;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// HttpClient sends the IP of the address as the Host header.
constexpr char kHost[] = "127.0.0.1";
constexpr int kReadyMs = 15'000;
constexpr int kClientMs = 3'000;
constexpr int kClientRetries = 4;
constexpr int kRetryMs = 300;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr size_t kMostEnds = 500;
constexpr size_t kMostTxnEntries = 32;
constexpr int kPollMs = 5;

int64_t MsSince(SteadyTime from) {
  return std::chrono::duration_cast<milliseconds>(steady_clock::now() - from)
      .count();
}

int64_t UnixMs() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

std::string Path(const HttpRequest& request) {
  return request.target.substr(0, request.target.find('?'));
}

std::string Query(const HttpRequest& request, const char* name) {
  return ParseHttpTarget(request.target).Query(name);
}

int64_t QueryNumber(const HttpRequest& request, const char* name) {
  return static_cast<int64_t>(
      ParseHttpTarget(request.target).QueryNumber(name, 0));
}

void Answer(const HttpResponder& respond, int status, const json& body) {
  respond(HttpResponse::Json(status, body.dump()));
}

bool StartsWith(const std::string& text, const std::string& prefix) {
  return text.compare(0, prefix.size(), prefix) == 0;
}

}  // namespace

// ---- Store.

Store::Store(Rig& rig)
    : rig_(rig),
      server_(std::make_unique<HttpServer>(
          rig.io,
          HttpServer::Options(),
          [this](const HttpRequest& request, const HttpResponder& respond) {
            OnCall(request, respond);
          })) {}

std::string Store::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void Store::Put(const std::string& key, const std::string& value) {
  ++revision_;
  const std::string text = EncodeBase64(value);
  Change(key, &text);
  AnswerWatches();
}

void Store::Remove(const std::string& key) {
  if (items_.count(key) > 0) {
    ++revision_;
    Change(key, nullptr);
    AnswerWatches();
  }
}

std::string Store::Get(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? ""
                               : DecodeBase64(found->second.value).value_or("");
}

void Store::Change(const std::string& key, const std::string* value) {
  if (value == nullptr) {
    items_.erase(key);
    history_.emplace_back(
        key, json({{"key", key}, {"revision", revision_}, {"deleted", true}}));
    return;
  }
  Item& item = items_[key];
  item.value = *value;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  history_.emplace_back(key, ItemJson(key));
}

json Store::ItemJson(const std::string& key) const {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return {{"key", key}, {"revision", 0}};
  }
  const Item& item = found->second;
  return {{"key", key},
          {"value", item.value},
          {"revision", item.revision},
          {"created", item.created},
          {"lease", 0}};
}

json Store::EventsAfter(const std::string& prefix, int64_t after) const {
  json events = json::array();
  for (auto it = history_.rbegin(); it != history_.rend(); ++it) {
    if (it->second["revision"].get<int64_t>() <= after) {
      break;
    }
    if (StartsWith(it->first, prefix)) {
      events.insert(events.begin(), it->second);
    }
  }
  return events;
}

void Store::Respond(const HttpResponder& respond,
                    int status,
                    const json& body) {
  rig_.After(kStoreMs,
             [respond, status, body] { Answer(respond, status, body); });
}

void Store::AnswerWatches() {
  const SteadyTime now = steady_clock::now();
  for (auto it = watches_.begin(); it != watches_.end();) {
    json events = EventsAfter(it->prefix, it->after);
    if (events.empty() && now < it->until) {
      ++it;
      continue;
    }
    Respond(it->respond, 200,
            {{"events", std::move(events)}, {"store_revision", revision_}});
    it = watches_.erase(it);
  }
}

void Store::OnCall(const HttpRequest& request, const HttpResponder& respond) {
  const std::string path = Path(request);
  if (path == "/chivedale/kv-key") {
    const std::string key = Query(request, "key");
    json body = ItemJson(key);
    body["store_revision"] = revision_;
    Respond(respond, items_.count(key) > 0 ? 200 : 404, body);
  } else if (path == "/chivedale/kv-range") {
    const std::string prefix = Query(request, "prefix");
    const std::string after = Query(request, "after");
    json list = json::array();
    size_t bytes = 0;
    bool truncated = false;
    for (auto it = items_.lower_bound(prefix);
         it != items_.end() && StartsWith(it->first, prefix); ++it) {
      if (!after.empty() && it->first <= after) {
        continue;
      }
      if (list.size() >= kPageItems || bytes > kPageBytes) {
        truncated = true;
        break;
      }
      bytes += it->second.value.size();
      list.push_back(ItemJson(it->first));
    }
    Respond(respond, 200,
            {{"items", std::move(list)},
             {"truncated", truncated},
             {"store_revision", revision_}});
  } else if (path == "/chivedale/kv-watch") {
    WatchCall watch;
    watch.prefix = Query(request, "prefix");
    watch.after = QueryNumber(request, "after");
    const auto wait = static_cast<int>(QueryNumber(request, "wait_ms"));
    watch.until = steady_clock::now() + milliseconds(wait);
    watch.respond = respond;
    watches_.push_back(std::move(watch));
    AnswerWatches();
    rig_.After(wait + 1, [this] { AnswerWatches(); });
  } else if (path == "/chivedale/kv-txn") {
    OnTxn(json::parse(*request.body, nullptr, false), respond);
  } else {
    Respond(respond, 404, json::object());
  }
}

void Store::OnTxn(const json& body, const HttpResponder& respond) {
  if (!body.is_object() ||
      body["expect"].size() + body["puts"].size() + body["remove"].size() >
          kMostTxnEntries) {
    Respond(respond, 400, json::object());
    return;
  }
  std::set<std::string> keys;
  for (const json& put : body["puts"]) {
    const auto key = put["key"].get<std::string>();
    if (StartsWith(key, "op/") || StartsWith(key, "servers/")) {
      Respond(respond, 403, json::object());
      return;
    }
    const auto value = DecodeBase64(put["value"].get_ref<const std::string&>());
    if (!value || static_cast<int64_t>(value->size()) > kValueBytes) {
      ++refused_for_size;
      Respond(respond, 400, json::object());
      return;
    }
    keys.insert(key);
  }
  bool holds = true;
  json current = json::array();
  for (const json& row : body["expect"]) {
    json item = ItemJson(row["key"].get<std::string>());
    holds = holds && item["revision"] == row["revision"];
    current.push_back(std::move(item));
  }
  if (!holds) {
    Respond(respond, 412, {{"items", std::move(current)}});
    return;
  }
  ++revision_;
  for (const json& put : body["puts"]) {
    const auto value = put["value"].get<std::string>();
    Change(put["key"].get<std::string>(), &value);
  }
  for (const json& key : body["remove"]) {
    const auto name = key.get<std::string>();
    if (items_.count(name) > 0) {
      Change(name, nullptr);
      keys.insert(name);
    }
  }
  Respond(respond, 200, {{"revision", revision_}});
  AnswerWatches();
  for (const std::string& key : keys) {
    if (on_write) {
      on_write(key);
    }
  }
}

// ---- Executor.

Executor::Executor(Rig& rig,
                   std::string id,
                   std::string machine,
                   std::string pool)
    : rig_(rig),
      id_(std::move(id)),
      machine_(std::move(machine)),
      pool_(std::move(pool)),
      start_(steady_clock::now()),
      born_(UnixMs()),
      server_(std::make_unique<HttpServer>(
          rig.io,
          HttpServer::Options(),
          [this](const HttpRequest& request, const HttpResponder& respond) {
            OnCall(request, respond);
          })) {}

Executor::~Executor() = default;

std::string Executor::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

int64_t Executor::Clock() const {
  return MsSince(start_);
}

void Executor::Register() {
  rig_.store->Put(
      "servers/" + id_,
      json({{"service", pool_},
            {"address", address()},
            {"zone", "fukuoka-a"},
            {"version", "1"},
            {"slots", 8},
            {"state", "ready"},
            {"sequence", 1},
            {"born", born_},
            {"machine", machine_},
            {"labels", {"a", "r-" + machine_}},
            {"capacity", {{"cpu", 32'000}, {"mem_mb", 131'072}, {"gpu", 0}}}})
          .dump());
}

void Executor::Leave() {
  up_ = false;
  rig_.store->Remove("servers/" + id_);
  std::map<std::string, Run> runs;
  runs.swap(runs_);
  for (const auto& [task, run] : runs) {
    if (rig_.on_end) {
      rig_.on_end(*this, task, run, "lost");
    }
  }
  server_->Abort();
  waiting_.clear();
}

int Executor::Percent(const std::string& task) const {
  const auto found = runs_.find(task);
  if (found == runs_.end()) {
    return 0;
  }
  const int64_t ran = MsSince(found->second.began);
  const int64_t whole = std::max(1, found->second.startup_ms);
  return static_cast<int>(std::min<int64_t>(100, 100 * ran / whole));
}

int64_t Executor::UnnotedFor(int ms) const {
  int64_t count = 0;
  for (const End& end : ends_) {
    count += MsSince(end.at) > ms ? 1 : 0;
  }
  return count;
}

json Executor::Lists() const {
  json running = json::array();
  for (const auto& [task, run] : runs_) {
    running.push_back(json::array({task, run.number, "", Percent(task), 0}));
  }
  json finished = json::array();
  for (const End& end : ends_) {
    if (finished.size() < kMostEnds) {
      finished.push_back(end.row);
    }
  }
  return {{"clock_ms", Clock()},
          {"born", born_},
          {"running", std::move(running)},
          {"finished", std::move(finished)}};
}

void Executor::Reject(const HttpResponder& respond, const char* reason) {
  Answer(respond, 409, {{"clock_ms", Clock()}, {"reason", reason}});
}

bool Executor::CheckFence(const json& body, const HttpResponder& respond) {
  const int64_t fence = body.value("fence", int64_t{0});
  if (fence < fence_) {
    Reject(respond, "fence");
    return false;
  }
  fence_ = fence;
  return true;
}

void Executor::Extend(int64_t until) {
  until_ = std::max(until_, std::min(until, Clock() + kHoldMaxMs));
  rig_.After(static_cast<int>(std::max<int64_t>(0, until_ - Clock())) + 1,
             [this] { CheckLease(); });
}

void Executor::CheckLease() {
  if (!up_ || Clock() <= until_) {
    return;
  }
  while (!runs_.empty()) {
    EndRun(runs_.begin()->first, "lapsed");
  }
}

void Executor::OnCall(const HttpRequest& request,
                      const HttpResponder& respond) {
  if (!up_) {
    request.caller->Abort();
    return;
  }
  if (FindHeader(request.headers, "Target-Instance") != id_) {
    Answer(respond, 421, json::object());
    return;
  }
  const json body = json::parse(*request.body, nullptr, false);
  const std::string path = Path(request);
  if (!body.is_object() || !CheckFence(body, respond)) {
    return;
  }
  if (path == "/chivedale/run-start") {
    OnStart(body, respond);
  } else if (path == "/chivedale/run-stop") {
    OnStop(body, respond);
  } else if (path == "/chivedale/hold") {
    OnHold(body, respond);
  } else {
    Answer(respond, 200, {{"clock_ms", Clock()}});
  }
}

void Executor::OnStart(const json& body, const HttpResponder& respond) {
  const auto task = body["task"].get<std::string>();
  const auto number = body["run"].get<int64_t>();
  const auto until = body["until_ms"].get<int64_t>();
  const auto there = runs_.find(task);
  if (there != runs_.end() && there->second.number == number) {
    Answer(respond, 200, {{"clock_ms", Clock()}});
    return;
  }
  if (there != runs_.end() || number <= highest_[task]) {
    Extend(until);
    Reject(respond, "old");
    return;
  }
  if (until <= Clock()) {
    Reject(respond, "late");
    return;
  }
  const json* step = rig_.StepOf(task);
  if (step == nullptr) {
    Answer(respond, 400, json::object());
    return;
  }
  static uint64_t last_serial = 0;
  Run& run = runs_[task];
  run.number = number;
  run.began = steady_clock::now();
  run.serial = ++last_serial;
  run.lasts = step->value("long_running", false);
  run.startup_ms = run.lasts ? rig_.startup_ms : rig_.run_ms(task);
  Extend(until);
  if (!run.lasts) {
    rig_.After(run.startup_ms, [this, task, serial = run.serial] {
      const auto found = runs_.find(task);
      if (found != runs_.end() && found->second.serial == serial) {
        EndRun(task, "done");
      }
    });
  }
  if (rig_.on_start) {
    rig_.on_start(*this, task);
  }
  Answer(respond, 200, {{"clock_ms", Clock()}});
}

void Executor::OnStop(const json& body, const HttpResponder& respond) {
  const auto task = body["task"].get<std::string>();
  const auto number = body["run"].get<int64_t>();
  highest_[task] = std::max(highest_[task], number);
  const auto found = runs_.find(task);
  if (found != runs_.end() && found->second.number <= number &&
      !found->second.stopping) {
    found->second.stopping = true;
    rig_.After(kStopMs / 2, [this, task, serial = found->second.serial] {
      const auto there = runs_.find(task);
      if (there != runs_.end() && there->second.serial == serial) {
        EndRun(task, "stopped");
      }
    });
  }
  Answer(respond, 200, {{"clock_ms", Clock()}});
}

void Executor::OnHold(const json& body, const HttpResponder& respond) {
  const int64_t seen = body.value("last_seen", int64_t{0});
  while (!ends_.empty() && ends_.front().row[0].get<int64_t>() <= seen) {
    ends_.pop_front();
  }
  if (body.contains("until_ms")) {
    Extend(body["until_ms"].get<int64_t>());
  }
  const int wait = std::min(2'000, body.value("wait_ms", 0));
  if (!ends_.empty() || wait == 0) {
    Answer(respond, 200, Lists());
    return;
  }
  static uint64_t last_serial = 0;
  waiting_.push_back({++last_serial, respond});
  rig_.After(wait, [this, serial = last_serial] {
    for (auto it = waiting_.begin(); it != waiting_.end(); ++it) {
      if (it->serial == serial) {
        Answer(it->respond, 200, Lists());
        waiting_.erase(it);
        return;
      }
    }
  });
}

void Executor::EndRun(const std::string& task, const std::string& how) {
  const auto found = runs_.find(task);
  if (found == runs_.end()) {
    return;
  }
  const Run run = found->second;
  highest_[task] = std::max(highest_[task], run.number);
  runs_.erase(found);
  ends_.push_back({json::array({next_end_++, task, run.number, how, ""}),
                   steady_clock::now()});
  if (rig_.on_end) {
    rig_.on_end(*this, task, run, how);
  }
  std::list<WaitingHold> waiting;
  waiting.swap(waiting_);
  for (const WaitingHold& hold : waiting) {
    Answer(hold.respond, 200, Lists());
  }
}

// ---- Rig.

Rig::Rig(const RigOptions& options)
    : run_ms([this](const std::string& task) {
        return StepOf(task)->value("est_runtime_ms", 500);
      }),
      options_(options),
      record_(options.record),
      begin_(steady_clock::now()),
      http_(io, HttpClient::Options()),
      ports_(io),
      cloud_(std::make_unique<HttpServer>(
          io,
          HttpServer::Options(),
          [this](const HttpRequest& request, const HttpResponder& respond) {
            OnCloudCall(request, respond);
          })) {
  store = std::make_unique<Store>(*this);
  Record(std::string("trouble: ") + (options_.trouble ? "yes" : "no"));
}

Rig::~Rig() = default;

void Rig::Record(const std::string& text) {
  char time[32];
  std::snprintf(time, sizeof time, "%9.3f  ",
                static_cast<double>(MsSince(begin_)) / 1'000);
  record_ << time << text << std::endl;
}

void Rig::After(int ms, std::function<void()> run) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io);
  timer->expires_after(milliseconds(ms));
  timer->async_wait(
      [timer, run = std::move(run)](boost::system::error_code error) {
        if (!error) {
          run();
        }
      });
}

void Rig::RunFor(int ms) {
  const SteadyTime until = steady_clock::now() + milliseconds(ms);
  while (steady_clock::now() < until) {
    io.run_for(std::min<steady_clock::duration>(milliseconds(kPollMs),
                                                until - steady_clock::now()));
    io.restart();
    CheckProcesses();
  }
}

bool Rig::RunUntil(int ms, const std::function<bool()>& done) {
  const SteadyTime until = steady_clock::now() + milliseconds(ms);
  while (!done()) {
    if (steady_clock::now() >= until) {
      return false;
    }
    RunFor(kPollMs);
  }
  return true;
}

void Rig::AddMachine(const std::string& machine, const std::string& pool) {
  machines[machine].pool = pool;
  BringUp(machine);
}

void Rig::BringUp(const std::string& machine) {
  Machine& entry = machines.at(machine);
  const std::string id = "i-" + std::to_string(next_executor_++);
  entry.state = "up";
  entry.executor = id;
  executors[id] = std::make_unique<Executor>(*this, id, machine, entry.pool);
  executors[id]->Register();
  Record("machine " + machine + " is up in pool " + entry.pool + ", executor " +
         id);
}

void Rig::WriteManifest(const std::vector<std::string>& queues) {
  json routes = json::array();
  std::set<std::string> pools;
  for (const std::string& queue : queues) {
    const std::string pool = queue.substr(0, queue.find('-'));
    pools.insert(pool);
    routes.push_back({{"name", queue},
                      {"host", kHost},
                      {"prefix", "/" + queue + "/"},
                      {"service", pool},
                      {"priority", 1},
                      {"max_attempts", 3},
                      {"stretch", 2.2},
                      {"target_latency_ms", 2'500}});
  }
  json services = json::array();
  for (const std::string& pool : pools) {
    services.push_back({{"name", pool}, {"rejects_overload", false}});
  }
  store->Put("op/config", json({{"version", 3},
                                {"routes", routes},
                                {"services", services},
                                {"limits", json::object()}})
                              .dump());
}

void Rig::StartDaemons(int count) {
  std::vector<std::string> peers;
  peers.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    peers.push_back(util::Loopback(ports_.Next()));
  }
  for (int i = 0; i < count; ++i) {
    auto daemon = std::make_unique<Daemon>();
    daemon->name = "front-" + std::to_string(i + 1);
    daemon->caller = util::Loopback(ports_.Next());
    daemon->ready = util::Loopback(ports_.Next());
    const std::string file = options_.directory + "/" + daemon->name;
    // deploy/settings.json with the figures of kowa-consult.
    std::ofstream(file + ".json")
        << json({{"vm_id", daemon->name},
                 {"data_centre", "fukuoka-a"},
                 {"region", "fukuoka"},
                 {"caller_address", daemon->caller},
                 {"ready_address", daemon->ready},
                 {"peer_address", peers[static_cast<size_t>(i)]},
                 {"metrics_address", util::Loopback(ports_.Next())},
                 {"store_address", store->address()},
                 {"advice_address", ""},
                 {"vm_address", "127.0.0.1:" + std::to_string(cloud_->port())},
                 {"cpu_share", 0.25},
                 {"link_mbps", 1000.0},
                 {"seeds", peers},
                 {"longest_lease_ms", kHoldMaxMs},
                 {"stop_time_ms", kStopMs},
                 {"gang_timeout_ms", 3'000},
                 {"restore_ms", 100},
                 {"status_retention_ms", 120'000},
                 {"upkeep_time_ms", kMaintenanceMs},
                 {"stop_grace_ms", 6'000},
                 {"far_factor", 3}})
               .dump(2);
    daemon->process = std::make_unique<platform::testing::DaemonProcess>(
        options_.daemon, file + ".json", file + ".log");
    daemon->process->Start();
    Record("daemon " + daemon->name + " started, callers at " + daemon->caller);
    daemons_.push_back(std::move(daemon));
  }
}

void Rig::CheckProcesses() {
  for (const auto& daemon : daemons_) {
    if (const auto code = daemon->process->TakeExitStatus()) {
      Record("daemon " + daemon->name + " ended with " + std::to_string(*code));
      if (killed_.erase(daemon->name) == 0) {
        throw SetUpError("daemon " + daemon->name + " ended by itself");
      }
    }
  }
}

void Rig::KillDaemon(const std::string& name, int restart_after_ms) {
  for (const auto& daemon : daemons_) {
    if (daemon->name == name) {
      Record("SIGKILL to " + name);
      killed_.insert(name);
      daemon->process->Signal(SIGKILL);
      After(restart_after_ms, [this, at = daemon.get()] {
        CheckProcesses();
        Record("daemon " + at->name + " started again");
        at->process->Start();
      });
    }
  }
}

void Rig::Call(const Daemon& daemon,
               const std::string& method,
               const std::string& target,
               const std::string& body,
               HttpClient::Done done) {
  HttpCall call;
  call.address = daemon.caller;
  call.method = method;
  call.target = target;
  call.headers = {{"Deadline-Ms", std::to_string(kClientMs)}};
  if (!body.empty()) {
    call.headers.push_back({"Content-Type", "application/json"});
  }
  call.body_prefix = body;
  call.timeout = milliseconds(kClientMs);
  http_.Call(std::move(call), std::move(done));
}

void Rig::WaitUntilReady() {
  for (const auto& daemon : daemons_) {
    bool ready = false;
    bool waiting = false;
    const bool in_time = RunUntil(kReadyMs, [&] {
      if (!ready && !waiting) {
        waiting = true;
        HttpCall call;
        call.address = daemon->ready;
        call.method = "GET";
        call.target = "/chivedale/ready";
        http_.Call(std::move(call), [&](const HttpResult& result) {
          waiting = false;
          ready = result.http_status == 200;
        });
      }
      return ready && !waiting;
    });
    if (!in_time) {
      throw SetUpError("daemon " + daemon->name + " is not ready");
    }
  }
  Record("all daemons are ready");
}

Rig::Daemon& Rig::NextDaemon() {
  for (;;) {
    Daemon& daemon = *daemons_[next_daemon_++ % daemons_.size()];
    if (daemon.process->running()) {
      return daemon;
    }
  }
}

std::string Rig::Submit(const std::string& queue, const json& body) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(next_job_++));  // NOLINT
  jobs[id].body = body;
  SendJob(queue, id, 0);
  return id;
}

void Rig::SendJob(const std::string& queue,
                  const std::string& id,
                  int attempt) {
  const Daemon& daemon = NextDaemon();
  Record("client: POST /" + queue + "/" + id + " to " + daemon.name);
  Call(daemon, "POST", "/" + queue + "/" + id, jobs.at(id).body.dump(),
       [this, queue, id, attempt](const HttpResult& result) {
         Record("client: POST " + id + " answered " +
                std::to_string(result.http_status));
         if (result.http_status == 200) {
           jobs.at(id).accepted = true;
         } else if (attempt < kClientRetries) {
           After(kRetryMs, [this, queue, id, attempt] {
             SendJob(queue, id, attempt + 1);
           });
         }
       });
}

void Rig::AskState(const std::string& queue, const std::string& id) {
  Call(NextDaemon(), "GET", "/" + queue + "/" + id, "",
       [this, id](const HttpResult& result) {
         std::string state = std::to_string(result.http_status);
         if (result.http_status == 200) {
           const json body = json::parse(*result.body, nullptr, false);
           state = body.is_object() ? body.value("state", "") : "";
         }
         SentJob& job = jobs.at(id);
         if (job.state != state) {
           Record("client: GET " + id + " answered " + state);
         }
         job.state = state;
       });
}

const json* Rig::StepOf(const std::string& task) const {
  const size_t first = task.find('.');
  const size_t second = task.find('.', first + 1);
  const auto found = jobs.find(task.substr(0, first));
  if (found == jobs.end() || second == std::string::npos) {
    return nullptr;
  }
  const json& steps = found->second.body["steps"];
  const auto step = static_cast<size_t>(std::stoi(task.substr(second + 1)));
  return step < steps.size() ? &steps[step] : nullptr;
}

// ---- Machines.

void Rig::WriteWave(int64_t wave,
                    const std::vector<std::string>& names,
                    int deadline_s,
                    int max_count) {
  const json body = {{"wave", wave},
                     {"machines", names},
                     {"deadline_s", deadline_s},
                     {"max_count", max_count}};
  Record("operator: op/wave/" + std::to_string(wave) + " " + body.dump());
  store->Put("op/wave/" + std::to_string(wave), body.dump());
}

std::string Rig::WaveState(int64_t wave) const {
  const json body = json::parse(
      store->Get("status/wave/" + std::to_string(wave)), nullptr, false);
  return body.is_object() ? body.value("state", "") : "";
}

void Rig::OnCloudCall(const HttpRequest& request,
                      const HttpResponder& respond) {
  const std::string path = Path(request);
  if (path == "/chivedale/machines") {
    json list = json::array();
    for (const auto& [name, machine] : machines) {
      list.push_back({{"machine", name},
                      {"pool", machine.pool},
                      {"state", machine.state},
                      {"zone", "fukuoka-a"},
                      {"labels", {"a", "r-" + name}},
                      {"capacity", {{"cpu", 32'000}, {"mem_mb", 131'072}}},
                      {"id", machine.executor}});
    }
    Answer(respond, 200, {{"machines", list}, {"next_token", ""}});
  } else if (path == "/chivedale/machine-upkeep") {
    OnUpkeep(request, json::parse(*request.body, nullptr, false), respond);
  } else {
    Answer(respond, 404, json::object());
  }
}

void Rig::OnUpkeep(const HttpRequest& request,
                   const json& body,
                   const HttpResponder& respond) {
  const auto name = body.value("machine", "");
  const auto wave = body.value("wave", int64_t{0});
  const std::string holder(FindHeader(request.headers, "Duty-Holder"));
  const int64_t token =
      std::stoll(std::string(FindHeader(request.headers, "Fencing-Token")));
  const auto found = machines.find(name);
  if (found == machines.end()) {
    Answer(respond, 400, json::object());
    return;
  }
  Machine& machine = found->second;
  const auto reject = [&](const char* reason) {
    Record("cloud: upkeep of " + name + " for wave " + std::to_string(wave) +
           " by " + holder + " answered 409 " + reason);
    Answer(respond, 409, {{"reason", reason}});
  };
  if (token < machine.fence) {
    reject("fence");
    return;
  }
  machine.fence = token;
  const json plan = json::parse(store->Get("op/wave/" + std::to_string(wave)),
                                nullptr, false);
  const json names = plan.is_object() ? plan["machines"] : json::array();
  if (std::find(names.begin(), names.end(), json(name)) == names.end()) {
    reject("wave");
    return;
  }
  if (machine.upkeeps.count(wave) > 0) {
    Record("cloud: upkeep of " + name + " for wave " + std::to_string(wave) +
           " by " + holder + " answered 200, it had begun");
    Answer(respond, 200, json::object());
    return;
  }
  if (machine.state != "up") {
    reject("busy");
    return;
  }
  Record("cloud: upkeep of " + name + " for wave " + std::to_string(wave) +
         " by " + holder + " begins");
  if (on_upkeep) {
    on_upkeep(name, wave, holder);
  }
  machine.upkeeps.insert(wave);
  machine.state = "upkeep";
  executors.at(machine.executor)->Leave();
  After(kMaintenanceMs, [this, name] { BringUp(name); });
  Answer(respond, 200, json::object());
}

}  // namespace chivedale::review
