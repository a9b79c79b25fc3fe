// Guards against clients and stand-ins that implement the protocol differently,
// and against faults of stand-ins that do not match their names.
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "chivedale/store_client.h"
#include "chivedale/testing/http_test_support.h"
#include "chivedale/testing/standin_control.h"
#include "chivedale/testing/threaded_io_context.h"
#include "chivedale/vm_list_client.h"
#include "chivedale/worker_client.h"

namespace chivedale::testing {
namespace {

const WorkerId worker_id("w-1");
const MemberId owner_id("a/1");
constexpr Millis kTtl{2'000};

void RunAtOnce(const std::function<void()>& run) {
  run();
}

struct Client {
  ThreadedIoContext threads{2};
  HttpClient http{threads.io(), {}};
  ~Client() { threads.Stop(); }
};

struct StoreBench : Client {
  StoreStandin standin{{}};
  StoreClient client{http, {standin.address()}, RunAtOnce};

  StoreResult Get(const std::string& key) {
    return CallAndGet<StoreResult>(
        [&](StorePort::Done done) { client.Get(key, std::move(done)); });
  }
  StoreResult Put(const std::string& key,
                  const std::string& value,
                  uint64_t expected) {
    return CallAndGet<StoreResult>([&](StorePort::Done done) {
      client.Put(key, value, expected, std::move(done));
    });
  }
  StoreResult Delete(const std::string& key, uint64_t expected) {
    return CallAndGet<StoreResult>([&](StorePort::Done done) {
      client.Delete(key, expected, std::move(done));
    });
  }
  StoreResult List(const std::string& prefix) {
    return CallAndGet<StoreResult>(
        [&](StorePort::Done done) { client.List(prefix, std::move(done)); });
  }
  StoreResult Watch(const std::string& prefix, uint64_t after, Millis wait) {
    return CallAndGet<StoreResult>([&](StorePort::Done done) {
      client.Watch(prefix, after, wait, std::move(done));
    });
  }
};

struct WorkerBench : Client {
  WorkerStandin standin;
  WorkerClient client{http, {}, RunAtOnce};

  explicit WorkerBench(bool own_ports = false)
      : standin([own_ports] {
          WorkerStandin::Options options;
          options.own_ports = own_ports;
          return options;
        }()) {
    WorkerOptions options;
    options.id = worker_id;
    options.capacity = {4'000, 4'096, 1, 8};
    standin.Add(options);
    client.SetAddress(worker_id, standin.AddressOf(worker_id));
  }
  LeaseResult Lease(const LeaseToken& token, const MemberId& owner = owner_id) {
    return CallAndGet<LeaseResult>([&](std::function<void(LeaseResult)> done) {
      client.Lease(worker_id, owner, token, kTtl, std::move(done));
    });
  }
  StartOutcome Start(const StartRequest& request) {
    return CallAndGet<StartOutcome>(
        [&](std::function<void(StartOutcome)> done) {
          client.Start(worker_id, request, std::move(done));
        });
  }
  TaskList List() {
    return CallAndGet<TaskList>([&](std::function<void(TaskList)> done) {
      client.List(worker_id, std::move(done));
    });
  }
  CompletionsResult Completions(const CompletionsRequest& request) {
    return CallAndGet<CompletionsResult>(
        [&](std::function<void(CompletionsResult)> done) {
          client.Completions(worker_id, request, std::move(done));
        });
  }
  WorkerCallStatus Control(const LeaseToken& token,
                           const TaskKey& key,
                           TaskControl control) {
    return CallAndGet<WorkerCallStatus>(
        [&](std::function<void(WorkerCallStatus)> done) {
          client.Control(worker_id, token, key, control, std::move(done));
        });
  }
  void Change(const std::function<void(WorkerModel&)>& change) {
    standin.Change(worker_id, change);
  }
};

StartRequest MakeStart(const LeaseToken& token,
                       const std::string& task,
                       const std::string& payload) {
  StartRequest request;
  request.key = {TaskId("r/" + task), 1};
  request.token = token;
  request.kind = "k";
  request.size = {1'000, 512, 0, 1};
  request.entry = MemberId("e/1");
  request.payload = MakeBody(payload);
  return request;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(StoreOverHttp)

BOOST_FIXTURE_TEST_CASE(KeysAreReadWrittenAndDeletedByRevision, StoreBench) {
  const std::string key = "jobs/a b/%?&=\xc3\xa9";
  BOOST_TEST((Get(key).status == StoreStatus::kNotFound));
  const StoreResult put = Put(key, "line\n\"quoted\"", 0);
  BOOST_TEST((put.status == StoreStatus::kOk));
  BOOST_TEST(Get(key).entries.at(0).value == "line\n\"quoted\"");
  const StoreResult conflict = Put(key, "x", 0);
  BOOST_TEST((conflict.status == StoreStatus::kConflict));
  BOOST_TEST(conflict.revision == put.revision);
  BOOST_TEST(List("jobs/").entries.at(0).key == key);
  BOOST_TEST(List("other").entries.empty());
  BOOST_TEST((Delete(key, 99).status == StoreStatus::kConflict));
  BOOST_TEST((Delete(key, put.revision).status == StoreStatus::kOk));
  BOOST_TEST((Delete(key, put.revision).status == StoreStatus::kNotFound));
  const StoreStandin::Counts counts = standin.counts();
  BOOST_TEST(counts.writes == 5);
  BOOST_TEST(counts.reads == 4);
}

BOOST_FIXTURE_TEST_CASE(AWatchEndsWithTheWriteOrTheWait, StoreBench) {
  auto promise = std::make_shared<std::promise<StoreResult>>();
  client.Watch("t", 0, Millis(5'000), [promise](StoreResult result) {
    promise->set_value(std::move(result));
  });
  BOOST_TEST(WaitUntil([&] { return standin.counts().watches == 1; }));
  Put("table", "1", 0);
  const StoreResult seen = promise->get_future().get();
  BOOST_TEST(seen.entries.at(0).value == "1");
  const StoreResult none = Watch("t", seen.revision, Millis(20));
  BOOST_TEST((none.status == StoreStatus::kOk));
  BOOST_TEST(none.entries.empty());
}

BOOST_FIXTURE_TEST_CASE(FaultsShowAsUnavailable, StoreBench) {
  StoreStandin::Faults faults;
  faults.lose_writes = 1;
  standin.SetFaults(faults);
  BOOST_TEST((Put("k", "v", 0).status == StoreStatus::kUnavailable));
  BOOST_TEST(Get("k").entries.at(0).value == "v");
  faults = {};
  faults.max_writes_per_s = 1;
  standin.SetFaults(faults);
  Put("l", "v", 0);
  BOOST_TEST((Put("m", "v", 0).status == StoreStatus::kUnavailable));
  BOOST_TEST(standin.counts().refused == 1);
  faults = {};
  faults.down = true;
  standin.SetFaults(faults);
  BOOST_TEST((Get("k").status == StoreStatus::kUnavailable));
  faults = {};
  faults.slow = Millis(100);
  standin.SetFaults(faults);
  const auto start = std::chrono::steady_clock::now();
  BOOST_TEST((Get("k").status == StoreStatus::kOk));
  BOOST_TEST((std::chrono::steady_clock::now() - start >= Millis(100)));
  BOOST_TEST((Put("n", "\xff", 0).status == StoreStatus::kUnavailable));
}

BOOST_FIXTURE_TEST_CASE(AKeyEndsWithItsLease, StoreBench) {
  const HttpResult lease = CallAndWait(
      http,
      MakeCall(standin.address(), "POST", "/v1/leases", "{\"ttl_ms\":100}"));
  const auto id =
      nlohmann::json::parse(*lease.body).at("lease").get<std::string>();
  CallAndWait(http,
              MakeCall(standin.address(), "PUT", "/v1/kv/k",
                       R"({"value":"v","expected":0,"lease":")" + id + "\"}"));
  BOOST_TEST((Get("k").status == StoreStatus::kOk));
  BOOST_TEST(
      WaitUntil([&] { return Get("k").status == StoreStatus::kNotFound; }));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(VmListOverHttp)

BOOST_FIXTURE_TEST_CASE(ChangesShowAfterTheLag, Client) {
  VmListStandin standin({"127.0.0.1", 0, Millis(0)});
  VmListClient client(http, {standin.address()}, RunAtOnce);
  const auto fetch = [&](uint64_t after, Millis wait) {
    return CallAndGet<VmListResult>(
        [&](std::function<void(VmListResult)> done) {
          client.Fetch(after, wait, std::move(done));
        });
  };
  Vm vm;
  vm.id = "w-1";
  vm.address = "127.0.0.1:1/w/w-1";
  vm.data_centre = DataCentreId("d");
  vm.region = RegionId("r");
  vm.rack = "k";
  standin.Set(vm);
  const VmListResult first = fetch(0, Millis(0));
  BOOST_TEST(first.ok);
  BOOST_REQUIRE(first.vms.size() == 1U);
  BOOST_TEST(first.vms[0].address == vm.address);
  BOOST_TEST((first.vms[0].state == VmState::kLive));
  standin.SetLag(Millis(100));
  standin.MarkLeaving("w-1");
  BOOST_TEST(fetch(first.version, Millis(10)).version == first.version);
  const VmListResult second = fetch(first.version, Millis(5'000));
  BOOST_TEST((second.vms.at(0).state == VmState::kLeaving));
  standin.SetLag(Millis(0));
  standin.SetHidden({"w-1"});
  BOOST_TEST(fetch(0, Millis(0)).vms.empty());
  standin.SetHidden({});
  BOOST_TEST(fetch(0, Millis(0)).vms.size() == 1U);
  standin.SetDown(true);
  BOOST_TEST(!fetch(0, Millis(0)).ok);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(WorkersOverHttp)

BOOST_AUTO_TEST_CASE(ATaskRunsAndItsAnswerIsReturnedUnchanged) {
  for (const bool own_ports : {false, true}) {
    WorkerBench bench(own_ports);
    const LeaseResult lease = bench.Lease({});
    BOOST_TEST((lease.status == WorkerCallStatus::kOk));
    BOOST_TEST(lease.report.capacity.cpu_milli == 4'000);
    BOOST_TEST((bench.Lease({}, MemberId("b/1")).status ==
                WorkerCallStatus::kRefused));
    BOOST_TEST((bench.Lease(lease.token).token == lease.token));
    std::string binary("\0\n{\xff}", 5);
    binary += std::string(100'000, '\xfe');
    const std::string id = "a/b c%\n\xc3\xa9";
    BOOST_TEST((bench.Start(MakeStart(lease.token, id, binary)) ==
                StartOutcome::kAccepted));
    const CompletionsResult done =
        bench.Completions({lease.token, 0, {}, Millis(2'000)});
    BOOST_REQUIRE(done.completions.size() == 1U);
    const Completion& completion = done.completions[0];
    BOOST_TEST(completion.ok);
    BOOST_TEST(completion.entry == MemberId("e/1"));
    BOOST_TEST(*completion.payload ==
               ExpectedAnswer(TaskId("r/" + id), binary));
    const CompletionsResult acked =
        bench.Completions({lease.token, 0, {completion.sequence}, Millis(10)});
    BOOST_TEST(acked.completions.empty());
    BOOST_TEST(bench.standin.violations().total() == 0);
  }
}

BOOST_FIXTURE_TEST_CASE(EachRefusalHasItsOwnOutcome, WorkerBench) {
  const LeaseToken token = Lease({}).token;
  const StartRequest request = MakeStart(token, "1", "{\"run_ms\":60000}");
  BOOST_TEST((Start(MakeStart({}, "1", "")) == StartOutcome::kStaleToken));
  BOOST_TEST((Start(request) == StartOutcome::kAccepted));
  BOOST_TEST((Start(request) == StartOutcome::kAttemptKnown));
  StartRequest large = MakeStart(token, "2", "");
  large.size.cpu_milli = 3'001;
  BOOST_TEST((Start(large) == StartOutcome::kInsufficientCapacity));
  BOOST_TEST(standin.violations().overload_attempts == 0);
  const TaskList list = List();
  BOOST_REQUIRE(list.tasks.size() == 1U);
  BOOST_TEST(list.tasks[0].key == request.key);
  BOOST_TEST((Start(large) == StartOutcome::kInsufficientCapacity));
  BOOST_TEST(standin.violations().overload_attempts == 1);
  Change([](WorkerModel& w) { w.SetLeaving(LeavingMode::kRefusing); });
  BOOST_TEST((Start(MakeStart(token, "3", "")) == StartOutcome::kLeaving));
  BOOST_TEST(Lease(token).report.leaving);
  client.SetAddress(worker_id, "");
  BOOST_TEST((Start(request) == StartOutcome::kNotSent));
  client.SetAddress(worker_id, standin.AddressOf(worker_id));
  BOOST_TEST((Start(MakeStart(token, "\xff", "")) == StartOutcome::kNotSent));
}

BOOST_FIXTURE_TEST_CASE(TasksAreStoppedThrottledAndCheckpointed, WorkerBench) {
  const LeaseToken token = Lease({}).token;
  const StartRequest request = MakeStart(token, "a/1", "{\"run_ms\":60000}");
  Start(request);
  BOOST_TEST((Control(token, request.key, TaskControl::kThrottle) ==
              WorkerCallStatus::kOk));
  BOOST_TEST(List().tasks.at(0).used.cpu_milli == 500);
  BOOST_TEST((Control(token, request.key, TaskControl::kCheckpoint) ==
              WorkerCallStatus::kOk));
  BOOST_TEST((Control(token, request.key, TaskControl::kStop) ==
              WorkerCallStatus::kRefused));
  const auto done = Completions({token, 0, {}, Millis(1'000)}).completions;
  BOOST_REQUIRE(done.size() == 1U);
  BOOST_TEST(done[0].checkpointed);
  BOOST_TEST((done[0].error == ErrorKind::kCancelledRunning));
}

BOOST_FIXTURE_TEST_CASE(ALostStartIsUnknownAndRuns, WorkerBench) {
  const LeaseToken token = Lease({}).token;
  Change([](WorkerModel& w) { w.faults().lose_starts = 1; });
  BOOST_TEST((Start(MakeStart(token, "1", "{\"run_ms\":60000}")) ==
              StartOutcome::kUnknown));
  BOOST_TEST(List().tasks.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(ADeadWorkerIsUnreachableAndAPausedOneLate,
                        WorkerBench) {
  const LeaseToken token = Lease({}).token;
  Change([](WorkerModel& w) { w.faults().dead = true; });
  BOOST_TEST((List().status == WorkerCallStatus::kUnreachable));
  Change([](WorkerModel& w) {
    w.faults().dead = false;
    w.faults().paused = true;
  });
  std::atomic<bool> answered{false};
  client.List(worker_id, [&](const TaskList& list) {
    answered = list.status == WorkerCallStatus::kOk;
  });
  std::this_thread::sleep_for(Millis(50));
  BOOST_TEST(!answered);
  standin.Resume(worker_id);
  BOOST_TEST(WaitUntil([&] { return answered.load(); }));
  Change([](WorkerModel& w) { w.Reboot(); });
  BOOST_TEST((Lease(token).status == WorkerCallStatus::kRefused));
  BOOST_TEST(Lease({}).token.boot_id != token.boot_id);
}

BOOST_FIXTURE_TEST_CASE(APollEndsWhenItsTokenDoes, WorkerBench) {
  const LeaseToken token = Lease({}).token;
  std::atomic<int> status{-1};
  client.Completions(worker_id, {token, 0, {}, Millis(5'000)},
                     [&](const CompletionsResult& result) {
                       status = static_cast<int>(result.status);
                     });
  std::this_thread::sleep_for(Millis(30));
  Lease({});
  BOOST_TEST(WaitUntil([&] { return status >= 0; }));
  BOOST_TEST(status == static_cast<int>(WorkerCallStatus::kRefused));
}

// Guards against polls that count as open calls for the rest of their wait: the
// worker then dropped starts at 64 or more completions per second.
BOOST_FIXTURE_TEST_CASE(AnAnsweredPollIsNotAnOpenCall, WorkerBench) {
  const LeaseToken token = Lease({}).token;
  uint64_t after = 0;
  for (int i = 0; i < 200; ++i) {
    StartRequest start = MakeStart(token, std::to_string(i), "{}");
    BOOST_REQUIRE((Start(start) == StartOutcome::kAccepted));
    const CompletionsResult result =
        Completions({token, after, {}, Millis(5'000)});
    BOOST_REQUIRE(result.completions.size() == 1U);
    after = result.completions.front().sequence;
  }
  BOOST_TEST(standin.connection_overflows() == 0);
}

BOOST_FIXTURE_TEST_CASE(ATaskInTwoWorkersIsAViolation, WorkerBench) {
  const WorkerId second("w-2");
  WorkerOptions options;
  options.id = second;
  standin.Add(options);
  const StartRequest request =
      MakeStart(Lease({}).token, "1", "{\"run_ms\":60000}");
  Start(request);
  standin.Change(second, [&](WorkerModel& w) {
    StartRequest again = request;
    again.token = w.Lease(owner_id, {}, kTtl).token;
    w.Start(again);
  });
  BOOST_TEST(standin.violations().ran_in_two_places == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Control)

BOOST_FIXTURE_TEST_CASE(FaultsAndTaskRunsAreAvailableOverHttp, WorkerBench) {
  StoreStandin store({});
  VmListStandin list({});
  StandinControl control("127.0.0.1", 0, {&store, &list, &standin});
  const auto fault = [&](const std::string& json) {
    return CallAndWait(http,
                       MakeCall(control.address(), "POST", "/fault", json))
        .http_status;
  };
  const auto read = [&](const std::string& path) {
    return nlohmann::json::parse(
        *CallAndWait(http, MakeCall(control.address(), "GET", path)).body);
  };
  const LeaseToken token = Lease({}).token;
  BOOST_TEST(fault(R"({"target":"worker","id":"*","fail_all":true})") == 200);
  Start(MakeStart(token, "1", "{\"run_ms\":60000}"));
  const auto done = Completions({token, 0, {}, Millis(1'000)}).completions;
  BOOST_REQUIRE(done.size() == 1U);
  BOOST_TEST((done[0].error == ErrorKind::kTaskFailed));
  BOOST_TEST(read("/book?task=r%2F1")["runs"]["r/1"][0]["outcome"] ==
             "task_failed");
  BOOST_TEST(read("/book?all=1")["starts"] == 1);
  BOOST_TEST(read("/violations")["total"] == 0);
  BOOST_TEST(fault(R"({"target":"worker","id":"w-1","paused":true})") == 200);
  BOOST_TEST(fault(R"({"target":"worker","ids":["w-1"],"paused":false})") ==
             200);
  BOOST_TEST((List().status == WorkerCallStatus::kOk));
  BOOST_TEST(fault(R"({"target":"store","down":true,"slow_ms":5})") == 200);
  BOOST_TEST(store.faults().down);
  BOOST_TEST(
      fault(R"({"target":"vm_list","add":[{"id":"x","address":"a"}]})") == 200);
  BOOST_TEST(list.Listed().vms.size() == 1U);
  BOOST_TEST(fault(R"({"target":"nothing"})") == 400);
  BOOST_TEST(fault(R"({"target":"worker","id":"no"})") == 400);
  BOOST_TEST(fault("{") == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
