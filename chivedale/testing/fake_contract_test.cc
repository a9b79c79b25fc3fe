// Guards against fakes that are more lenient or stricter than the contract; the
// tests of all decision modules rely on them.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "chivedale/testing/fake_store.h"
#include "chivedale/testing/fake_worker.h"

namespace chivedale::testing {
namespace {

const WorkerId worker_id("w-1");
const MemberId owner_id("a/1");
const MemberId other_id("b/1");
constexpr Millis kTtl{2'000};

StartRequest MakeStart(const LeaseToken& token, int task, int run_ms) {
  StartRequest request;
  request.key = {TaskId("r/" + std::to_string(task)), 1};
  request.token = token;
  request.kind = "k";
  request.size = {1'000, 512, 0, 1};
  request.payload = std::make_shared<const std::string>(
      "{\"run_ms\":" + std::to_string(run_ms) + "}");
  return request;
}

struct Bench {
  FakeClock clock;
  FakeCallbackQueue queue{clock, 7};
  FakeStore store{queue};
  FakeWorker workers{queue};

  Bench() {
    WorkerOptions options;
    options.id = worker_id;
    workers.Add(options);
  }
  WorkerModel& model() { return workers.model(worker_id); }
  LeaseResult Lease(const MemberId& owner, const LeaseToken& token) {
    LeaseResult result;
    workers.Lease(worker_id, owner, token, kTtl,
                  [&](LeaseResult r) { result = std::move(r); });
    queue.RunDue();
    return result;
  }
  std::optional<StartOutcome> Start(const StartRequest& request) {
    std::optional<StartOutcome> result;
    workers.Start(worker_id, request, [&](StartOutcome r) { result = r; });
    queue.RunDue();
    return result;
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(FakeStoreContract)

// Several writers increment a counter by compare-and-swap while calls are
// reordered and answers are lost. Each write that took effect is counted once.
RC_BOOST_PROP(CompareAndSwapIsLinearizable, (uint64_t seed)) {
  FakeClock clock;
  FakeCallbackQueue queue(clock, seed);
  queue.set_reorder(true);
  FakeStore store(queue);
  store.faults().lose_writes = *rc::gen::inRange(0, 4);
  const int lost_planned = store.faults().lose_writes;
  int succeeded = 0;
  int lost = 0;
  std::set<uint64_t> revisions;
  for (int writer = 0; writer < 5; ++writer) {
    for (int round = 0; round < 4; ++round) {
      store.Get("n", [&](StoreResult got) {
        const bool absent = got.status == StoreStatus::kNotFound;
        const int value = absent ? 0 : std::stoi(got.entries[0].value);
        store.Put("n", std::to_string(value + 1), absent ? 0 : got.revision,
                  [&](const StoreResult& put) {
                    if (put.status == StoreStatus::kOk) {
                      ++succeeded;
                      RC_ASSERT(revisions.insert(put.revision).second);
                    } else if (put.status == StoreStatus::kUnavailable) {
                      ++lost;
                    }
                  });
      });
      if (queue.random().UniformInt(2) == 0) {
        queue.RunNext();
      }
    }
  }
  queue.RunDue();
  const StoreResult end = store.model().Get("n");
  const int value = std::stoi(end.entries[0].value);
  RC_ASSERT(value >= succeeded);
  RC_ASSERT(value <= succeeded + lost);
  RC_ASSERT(lost == lost_planned);
}

BOOST_AUTO_TEST_CASE(WatchEndsOnAWriteAndOnADeletion) {
  Bench bench;
  std::vector<StoreResult> seen;
  const auto record = [&](StoreResult r) { seen.push_back(std::move(r)); };
  bench.store.Watch("a/", 0, Millis(1'000), record);
  bench.queue.RunDue();
  BOOST_TEST(seen.empty());
  bench.store.Put("a/x", "1", 0, [](const StoreResult&) {});
  bench.queue.RunDue();
  BOOST_REQUIRE(seen.size() == 1U);
  BOOST_TEST(seen[0].entries.at(0).value == "1");
  bench.store.Watch("a/", seen[0].revision, Millis(1'000), record);
  bench.store.Delete("a/x", seen[0].entries[0].revision,
                     [](const StoreResult&) {});
  bench.queue.RunDue();
  BOOST_REQUIRE(seen.size() == 2U);
  BOOST_TEST(seen[1].entries.empty());
  bench.store.Watch("a/", seen[1].revision, Millis(1'000), record);
  bench.queue.Advance(Millis(1'000));
  BOOST_REQUIRE(seen.size() == 3U);
  BOOST_TEST((seen[2].status == StoreStatus::kOk));
}

BOOST_AUTO_TEST_CASE(ALostWriteTookEffectAndADownStoreDidNothing) {
  Bench bench;
  std::optional<StoreStatus> status;
  const auto record = [&](const StoreResult& r) { status = r.status; };
  bench.store.faults().lose_writes = 1;
  bench.store.Put("k", "v", 0, record);
  bench.queue.RunDue();
  BOOST_TEST((status == StoreStatus::kUnavailable));
  BOOST_TEST(bench.store.model().Get("k").entries.at(0).value == "v");
  bench.store.faults().down = true;
  bench.store.Put("l", "v", 0, record);
  bench.queue.RunDue();
  BOOST_TEST((status == StoreStatus::kUnavailable));
  BOOST_TEST(bench.store.model().Get("l").entries.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(FakeWorkerContract)

BOOST_AUTO_TEST_CASE(AnEarlierTokenIsFenced) {
  Bench bench;
  const LeaseToken first = bench.Lease(owner_id, {}).token;
  const LeaseResult refused = bench.Lease(other_id, {});
  BOOST_TEST((refused.status == WorkerCallStatus::kRefused));
  BOOST_TEST(refused.holder == owner_id);
  const LeaseToken second = bench.Lease(owner_id, {}).token;
  BOOST_TEST(second.token > first.token);
  BOOST_TEST(
      (bench.Start(MakeStart(first, 1, 10)) == StartOutcome::kStaleToken));
  BOOST_TEST(
      (bench.Start(MakeStart(second, 1, 10)) == StartOutcome::kAccepted));
  BOOST_TEST(
      (bench.Start(MakeStart(second, 1, 10)) == StartOutcome::kAttemptKnown));
}

BOOST_AUTO_TEST_CASE(TasksOutliveTheOwnerLeaseByTheOrphanTime) {
  Bench bench;
  bench.Start(MakeStart(bench.Lease(owner_id, {}).token, 1, 60'000));
  bench.queue.Advance(kTtl + Millis(5'900));
  BOOST_TEST(bench.model().running() == 1U);
  bench.queue.Advance(Millis(200));
  BOOST_TEST(bench.model().running() == 0U);
  const TaskRun& run = bench.workers.task_runs().runs().at("r/1").at(0);
  BOOST_TEST(run.outcome == "orphaned");
}

BOOST_AUTO_TEST_CASE(APausedWorkerRunsNothingPastItsTaskLease) {
  Bench bench;
  bench.Start(MakeStart(bench.Lease(owner_id, {}).token, 1, 1'000));
  bench.model().faults().paused = true;
  bench.queue.Advance(Millis(9'000));
  bench.workers.Resume(worker_id);
  bench.queue.RunDue();
  BOOST_TEST(bench.workers.task_runs().runs().at("r/1").at(0).outcome ==
             "orphaned");
}

BOOST_AUTO_TEST_CASE(AStartWithALostResponseRunsOnce) {
  Bench bench;
  const LeaseToken token = bench.Lease(owner_id, {}).token;
  bench.model().faults().lose_starts = 1;
  BOOST_TEST(!bench.Start(MakeStart(token, 1, 60'000)).has_value());
  bench.queue.Advance(Millis(1'000));
  BOOST_TEST(bench.model().running() == 1U);
}

BOOST_AUTO_TEST_CASE(ASecondRunOfUnrepeatableWorkIsAViolation) {
  Bench bench;
  const LeaseToken token = bench.Lease(owner_id, {}).token;
  StartRequest request = MakeStart(token, 1, 0);
  request.repeatable = false;
  bench.Start(request);
  request.key.attempt = 2;
  bench.Start(request);
  BOOST_TEST(bench.workers.task_runs().violations().unrepeatable_reruns == 1);
}

BOOST_AUTO_TEST_CASE(AStartAboveCapacityIsRefusedAndCountedOnceTheListIsRead) {
  Bench bench;
  const LeaseToken token = bench.Lease(owner_id, {}).token;
  StartRequest request = MakeStart(token, 1, 0);
  request.size.accelerators = 1;
  BOOST_TEST((bench.Start(request) == StartOutcome::kInsufficientCapacity));
  BOOST_TEST(bench.workers.task_runs().violations().overload_attempts == 0);
  bench.workers.List(worker_id, [](const TaskList&) {});
  bench.queue.RunDue();
  BOOST_TEST((bench.Start(request) == StartOutcome::kInsufficientCapacity));
  BOOST_TEST(bench.workers.task_runs().violations().overload_attempts == 1);
}

BOOST_AUTO_TEST_CASE(AStartLongAfterLeavingIsAViolation) {
  Bench bench;
  bench.model().SetLeaving(LeavingMode::kAccepting);
  bench.queue.Advance(Millis(3'001));
  bench.Start(MakeStart(bench.Lease(owner_id, {}).token, 1, 0));
  BOOST_TEST(bench.workers.task_runs().violations().started_when_leaving == 1);
}

// Polling with `after` and acknowledging what was seen yields each completion
// although messages are lost, late, repeated or reordered. In the end the
// worker keeps no completion.
RC_BOOST_PROP(CompletionsAreKeptUntilAcknowledged, (uint64_t seed)) {
  FakeClock clock;
  FakeCallbackQueue queue(clock, seed);
  FakeWorker workers(queue);
  WorkerOptions options;
  options.id = worker_id;
  workers.Add(options);
  WorkerFaults& faults = workers.model(worker_id).faults();
  faults.late = Millis(*rc::gen::inRange(0, 300));
  faults.duplicate = *rc::gen::arbitrary<bool>();
  faults.reorder = *rc::gen::arbitrary<bool>();
  faults.lose_completions = *rc::gen::inRange(0, 3);
  LeaseToken token;
  workers.Lease(worker_id, owner_id, {}, Millis(60'000),
                [&](const LeaseResult& r) { token = r.token; });
  queue.RunDue();
  const int tasks = *rc::gen::inRange(1, 8);
  std::map<TaskId, Body> payloads;
  for (int i = 0; i < tasks; ++i) {
    const StartRequest start = MakeStart(token, i, *rc::gen::inRange(0, 400));
    payloads[start.key.task] = start.payload;
    workers.Start(worker_id, start, [](StartOutcome) {});
  }
  std::set<TaskId> seen;
  CompletionsRequest poll{token, 0, {}, Millis(100)};
  for (int round = 0; round < 30; ++round) {
    workers.Completions(worker_id, poll, [&](const CompletionsResult& result) {
      if (result.status != WorkerCallStatus::kOk) {
        return;
      }
      poll.acks.clear();
      for (const Completion& completion : result.completions) {
        RC_ASSERT(completion.ok);
        RC_ASSERT(*completion.payload ==
                  ExpectedAnswer(completion.key.task,
                                 *payloads.at(completion.key.task)));
        seen.insert(completion.key.task);
        poll.acks.push_back(completion.sequence);
        poll.after = std::max(poll.after, completion.sequence);
      }
    });
    queue.Advance(Millis(100));
  }
  RC_ASSERT(seen.size() == static_cast<size_t>(tasks));
  RC_ASSERT(workers.model(worker_id).unacknowledged() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
