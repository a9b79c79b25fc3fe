// Test fixture: three daemons in one process with real sockets, stand-ins for
// the platform, and callers.
#ifndef CHIVEDALE_TESTING_DAEMON_CELL_H_
#define CHIVEDALE_TESTING_DAEMON_CELL_H_

#include <algorithm>
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "chivedale/daemon.h"
#include "chivedale/request_ledger.h"
#include "chivedale/testing/http_test_support.h"
#include "chivedale/testing/store_standin.h"
#include "chivedale/testing/threaded_io_context.h"
#include "chivedale/testing/vm_list_standin.h"
#include "chivedale/testing/worker_standin.h"
#include "util/testing/port_allocator.h"

namespace chivedale::testing {

inline constexpr int kWorkers = 6;
inline constexpr char kTable[] =
    R"({"base_revision": 0, "change_id": "first", "author": "test", "rows": [
 {"kind": "sort", "shape": "request", "urgency": "urgent", "weight": 1,
  "cpu_milli": 500, "memory_mb": 512, "accelerators": 0, "slots": 1,
  "expected_run_ms": 20, "longest_run_ms": 20000, "repeatable": true,
  "team": "a", "objective_wait_ms": 500, "objective_share": 0.99},
 {"kind": "invoice", "shape": "request", "urgency": "urgent", "weight": 1,
  "cpu_milli": 500, "memory_mb": 512, "accelerators": 0, "slots": 1,
  "expected_run_ms": 20, "longest_run_ms": 20000, "repeatable": false,
  "team": "a", "objective_wait_ms": 500, "objective_share": 0.99,
  "max_retries": 0}],
 "teams": [{"name": "a", "cpu_milli": 0, "memory_mb": 0, "accelerators": 0,
  "slots": 0}]})";

class RunningDaemon {
 public:
  explicit RunningDaemon(const Settings& settings)
      : daemon_(settings), thread_([this] { code_ = daemon_.Run(); }) {}
  ~RunningDaemon() {
    if (thread_.joinable()) {
      // The second call ends Run() without waiting for the drain.
      daemon_.Stop();
      daemon_.Stop();
      thread_.join();
    }
  }
  void Stop() { daemon_.Stop(); }
  int Join() {
    thread_.join();
    return code_;
  }

 private:
  Daemon daemon_;
  std::atomic<int> code_{-1};
  std::thread thread_;
};

struct Cell {
  Cell() {
    std::vector<Vm> vms;
    for (int i = 0; i < kWorkers; ++i) {
      WorkerOptions options;
      options.id = WorkerId("w-" + std::to_string(i));
      options.capacity = {8'000, 16'384, 0, 8};
      workers.Add(options);
      Vm vm;
      vm.id = options.id.str();
      vm.address = workers.AddressOf(options.id);
      vm.data_centre = DataCentreId("dc");
      vm.region = RegionId("r");
      vms.push_back(vm);
    }
    vm_list.Set(vms);
    for (int i = 0; i < 3; ++i) {
      callers.push_back(util::Loopback(ports.Next()));
      peers.push_back(util::Loopback(ports.Next()));
    }
  }
  ~Cell() {
    daemons.clear();
    client.Close();
    threads.Stop();
  }

  Settings SettingsOf(size_t n) const {
    Settings settings;
    settings.vm_id = "entry-" + std::to_string(n);
    settings.data_centre = "dc";
    settings.region = "r";
    settings.caller_address = callers[n];
    settings.peer_address = peers[n];
    settings.store_address = store.address();
    settings.vm_list_address = vm_list.address();
    settings.seeds = peers;
    settings.log_level = "error";
    settings.seed = n + 1;
    return settings;
  }
  void Start(size_t n) {
    daemons.resize(std::max(daemons.size(), n + 1));
    daemons[n] = std::make_unique<RunningDaemon>(SettingsOf(n));
  }

  HttpResult Call(size_t n,
                  const std::string& method,
                  const std::string& target,
                  const std::string& body = "",
                  const HttpHeaders& headers = {}) {
    HttpCall call = MakeCall(callers[n], method, target, body);
    call.headers = headers;
    call.timeout = Millis(9'000);
    return CallAndWait(client, std::move(call));
  }
  bool IsReady(size_t n) {
    return Call(n, "GET", "/readyz").http_status == 200;
  }
  void StartAll() {
    for (size_t n = 0; n < callers.size(); ++n) {
      Start(n);
    }
    BOOST_REQUIRE(WaitUntil([&] {
      return Call(0, "PUT", "/v1/table", kTable).http_status == 200;
    }));
    for (size_t n = 0; n < callers.size(); ++n) {
      BOOST_REQUIRE(WaitUntil([&] { return IsReady(n); }));
    }
    BOOST_REQUIRE(WaitUntil([&] {
      int64_t owned = 0;
      for (size_t n = 0; n < callers.size(); ++n) {
        owned += nlohmann::json::parse(*Call(n, "GET", "/v1/status").body)
                     .value("owned_workers", int64_t{0});
      }
      return owned == kWorkers;
    }));
  }

  StoreStandin store{{}};
  VmListStandin vm_list{{}};
  WorkerStandin workers{{}};
  ThreadedIoContext threads{1};
  HttpClient client{threads.io(), {}};
  util::PortAllocator ports{threads.io()};
  std::vector<std::string> callers;
  std::vector<std::string> peers;
  std::vector<std::unique_ptr<RunningDaemon>> daemons;
};

inline std::string KindOf(const HttpResult& result) {
  return result.body ? nlohmann::json::parse(*result.body).value("kind", "")
                     : "";
}

// Callers that resend through another daemon when an answer allows it, and
// count right and wrong final answers, connections that were cut off, and
// refusals by draining daemons.
class Callers {
 public:
  explicit Callers(Cell& cell) : cell_(cell) {}

  void Send(int number) {
    HttpCall call;
    call.address = cell_.callers[static_cast<size_t>(number + tries_++) %
                                 cell_.callers.size()];
    call.method = "POST";
    call.target = "/v1/requests";
    const std::string id = "r-" + std::to_string(number);
    call.headers = {{"Idempotency-Key", id}};
    call.body_prefix =
        std::string("{\"kind\":\"") + (number % 4 == 0 ? "invoice" : "sort") +
        "\",\"deadline_ms\":20000,\"payload\":" + PayloadOf(number) + "}";
    call.timeout = Millis(20'000);
    cell_.client.Call(
        std::move(call),
        [this, number](const HttpResult& result) { OnResult(number, result); });
  }

  static std::string PayloadOf(int number) {
    return "{\"answer_bytes\":64,\"run_ms\":" + std::to_string(number % 50) +
           "}";
  }

  std::atomic<int> right{0};
  std::atomic<int> wrong{0};
  std::atomic<int> cut_off{0};
  std::atomic<int> drained{0};  // refusals with the kind "draining"

 private:
  void OnResult(int number, const HttpResult& result) {
    if (result.status == CallStatus::kUnreachable) {
      ++cut_off;
    }
    if (result.status != CallStatus::kAnswered) {
      return Send(number);
    }
    if (result.http_status != 200) {
      const nlohmann::json problem = nlohmann::json::parse(*result.body);
      drained += problem.value("kind", "") == "draining" ? 1 : 0;
      if (problem.value("retry", false)) {
        return Send(number);
      }
      BOOST_TEST_MESSAGE(*result.body);
      ++wrong;
      return;
    }
    const std::string expected =
        ExpectedAnswer(TaskOfRequest(RequestId("r-" + std::to_string(number))),
                       PayloadOf(number));
    const bool own = nlohmann::json::parse(*result.body)["answer"] ==
                     nlohmann::json::parse(expected);
    ++(own ? right : wrong);
  }

  Cell& cell_;
  std::atomic<int> tries_{0};
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_DAEMON_CELL_H_
