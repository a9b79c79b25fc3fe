// Stand-ins for the scripts of this review, on loopback and the real clock: the
// platform's store, its machines, executors and clients, as PROTOCOL describes
// them, around daemons that run as separate processes. Everything runs on one
// thread.
#ifndef REVIEW_RIG_H_
#define REVIEW_RIG_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/http_client.h"
#include "chivedale/http_server.h"
#include "platform/testing/daemon_process.h"
#include "util/testing/port_allocator.h"

namespace chivedale::review {

using nlohmann::json;
using SteadyTime = std::chrono::steady_clock::time_point;

// A program whose processes `arguments` describe could not be started.
class SetUpError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// The figures of a small deployment (kowa-consult).
inline constexpr int kStoreMs = 4;
inline constexpr int kStopMs = 200;
inline constexpr int kHoldMaxMs = 10'000;
inline constexpr int kMaintenanceMs = 2'000;
inline constexpr int64_t kValueBytes = 1'048'576;

class Rig;

// The platform's metadata store.
class Store {
 public:
  explicit Store(Rig& rig);

  // By the operator or an executor.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // The decoded value, or "" if there is none.
  std::string Get(const std::string& key) const;
  std::string address() const;

  // Runs after each write of the system, with the key.
  std::function<void(const std::string& key)> on_write;
  int64_t refused_for_size = 0;

 private:
  struct Item {
    std::string value;  // base64
    int64_t revision = 0;
    int64_t created = 0;
  };
  struct WatchCall {
    std::string prefix;
    int64_t after = 0;
    SteadyTime until;
    HttpResponder respond;
  };

  void OnCall(const HttpRequest& request, const HttpResponder& respond);
  void OnTxn(const json& body, const HttpResponder& respond);
  void Respond(const HttpResponder& respond, int status, const json& body);
  json ItemJson(const std::string& key) const;
  json EventsAfter(const std::string& prefix, int64_t after) const;
  void Change(const std::string& key, const std::string* value);
  void AnswerWatches();

  Rig& rig_;
  std::unique_ptr<HttpServer> server_;
  std::map<std::string, Item> items_;
  std::vector<std::pair<std::string, json>> history_;
  std::list<WatchCall> watches_;
  int64_t revision_ = 100;
};

// A job as a client sent it.
struct SentJob {
  json body;
  bool accepted = false;
  bool cancelled = false;
  std::string state;  // as last shown
};

// A run as an executor carries it out.
struct Run {
  int64_t number = 0;
  SteadyTime began;
  int startup_ms = 0;
  bool lasts = false;
  bool stopping = false;
  uint64_t serial = 0;
};

// One life of a machine.
class Executor {
 public:
  Executor(Rig& rig, std::string id, std::string machine, std::string pool);
  ~Executor();

  void Register();
  void EndRun(const std::string& task, const std::string& how);
  // Ends all runs and answers no more.
  void Leave();

  const std::string& id() const { return id_; }
  const std::string& machine() const { return machine_; }
  const std::map<std::string, Run>& runs() const { return runs_; }
  bool up() const { return up_; }
  int Percent(const std::string& task) const;
  // Ends listed and not taken note of for longer than `ms`; and all ends.
  int64_t UnnotedFor(int ms) const;
  int64_t ends() const { return next_end_ - 1; }
  std::string address() const;

 private:
  struct WaitingHold {
    uint64_t serial = 0;
    HttpResponder respond;
  };
  struct End {
    json row;
    SteadyTime at;
  };

  void OnCall(const HttpRequest& request, const HttpResponder& respond);
  void OnStart(const json& body, const HttpResponder& respond);
  void OnStop(const json& body, const HttpResponder& respond);
  void OnHold(const json& body, const HttpResponder& respond);
  void Extend(int64_t until);
  void CheckLease();
  int64_t Clock() const;
  json Lists() const;
  void Reject(const HttpResponder& respond, const char* reason);
  bool CheckFence(const json& body, const HttpResponder& respond);

  Rig& rig_;
  const std::string id_;
  const std::string machine_;
  const std::string pool_;
  const SteadyTime start_;
  const int64_t born_;
  std::unique_ptr<HttpServer> server_;
  bool up_ = true;
  int64_t fence_ = 0;
  int64_t until_ = 0;
  std::map<std::string, Run> runs_;
  std::map<std::string, int64_t> highest_;
  std::deque<End> ends_;
  int64_t next_end_ = 1;
  std::list<WaitingHold> waiting_;
};

struct Machine {
  std::string pool;
  std::string state = "up";
  std::string executor;
  int64_t fence = 0;
  // Waves whose upkeep it has begun.
  std::set<int64_t> upkeeps;
};

struct RigOptions {
  std::string daemon;
  std::string record;
  std::string directory;
  bool trouble = true;
};

class Rig {
 public:
  explicit Rig(const RigOptions& options);
  ~Rig();

  // Set-up.
  void AddMachine(const std::string& machine, const std::string& pool);
  void WriteManifest(const std::vector<std::string>& queues);
  void StartDaemons(int count);
  // Waits until a daemon answers that it is ready.
  void WaitUntilReady();

  // The operator.
  void WriteWave(int64_t wave,
                 const std::vector<std::string>& machines,
                 int deadline_s,
                 int max_count);
  std::string WaveState(int64_t wave) const;

  // Clients.
  std::string Submit(const std::string& queue, const json& body);
  void AskState(const std::string& queue, const std::string& id);

  // Faults.
  void KillDaemon(const std::string& name, int restart_after_ms);

  // Time.
  void RunFor(int ms);
  // Returns false if `done` was not true within the time.
  bool RunUntil(int ms, const std::function<bool()>& done);
  void After(int ms, std::function<void()> run);

  void Record(const std::string& text);
  const json* StepOf(const std::string& task) const;
  bool trouble() const { return options_.trouble; }

  // Every call of the system that begins an upkeep, before it takes effect.
  std::function<
      void(const std::string& machine, int64_t wave, const std::string& holder)>
      on_upkeep;
  // Every start and end of a run, after it took effect.
  std::function<void(Executor& executor, const std::string& task)> on_start;
  std::function<void(Executor& executor,
                     const std::string& task,
                     const Run& run,
                     const std::string& how)>
      on_end;
  std::function<int(const std::string& task)> run_ms;
  int startup_ms = 500;

  boost::asio::io_context io{1};
  std::map<std::string, Machine> machines;
  std::map<std::string, std::unique_ptr<Executor>> executors;
  std::map<std::string, SentJob> jobs;
  std::unique_ptr<Store> store;

 private:
  struct Daemon {
    std::string name;
    std::string caller;
    std::string ready;
    std::unique_ptr<platform::testing::DaemonProcess> process;
  };

  void OnCloudCall(const HttpRequest& request, const HttpResponder& respond);
  void OnUpkeep(const HttpRequest& request,
                const json& body,
                const HttpResponder& respond);
  void BringUp(const std::string& machine);
  void SendJob(const std::string& queue, const std::string& id, int attempt);
  void Call(const Daemon& daemon,
            const std::string& method,
            const std::string& target,
            const std::string& body,
            HttpClient::Done done);
  Daemon& NextDaemon();
  void CheckProcesses();

  const RigOptions options_;
  std::ofstream record_;
  const SteadyTime begin_;
  HttpClient http_;
  util::PortAllocator ports_;
  std::unique_ptr<HttpServer> cloud_;
  std::vector<std::unique_ptr<Daemon>> daemons_;
  std::set<std::string> killed_;
  size_t next_daemon_ = 0;
  int next_executor_ = 1;
  uint64_t next_job_ = 0x5c0e7a21d94b0000;
  std::set<std::string> hosts_;
};

}  // namespace chivedale::review

#endif  // REVIEW_RIG_H_
