// Guards against errors in what an owner assumes about a worker: capacity that
// is assigned twice, sizes corrected below the actual use, workers blamed for
// failing work, a VM list that loses half the cell.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "chivedale/testing/fake_clock.h"
#include "chivedale/usage_model.h"
#include "chivedale/vm_list.h"
#include "chivedale/worker_allocations.h"
#include "chivedale/worker_health.h"

namespace chivedale {
namespace {

const WorkerId w1("w-1");
const WorkerId w2("w-2");
const WorkerId w3("w-3");

TaskKey Key(int i) {
  return {TaskId("r/" + std::to_string(i)), 1};
}

VmListResult ListOf(int first, int last) {
  VmListResult result;
  result.ok = true;
  for (int i = first; i < last; ++i) {
    Vm vm;
    vm.id = "w-" + std::to_string(i);
    result.vms.push_back(vm);
  }
  return result;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerAccounts)

// Compares with a plain list of what was added: committed capacity is the sum
// of all attempts in every state and of all holds, also after the capacity
// shrank.
RC_BOOST_PROP(AllocationsNeverAssignCapacityTwice, ()) {
  testing::FakeClock clock;
  WorkerAllocations allocations;
  std::map<int, Resources> tasks;
  std::map<uint64_t, std::pair<Resources, int64_t>> holds;
  int64_t shrunk = 0;
  for (int step = *rc::gen::inRange(1, 60); step > 0; --step) {
    const int i = *rc::gen::inRange(0, 8);
    const Resources size{*rc::gen::inRange(1, 900), *rc::gen::inRange(1, 900),
                         *rc::gen::inRange(0, 2), 1};
    const auto hold = static_cast<uint64_t>(i);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        allocations.Add(Key(i), {size, AttemptState::kUnknown, clock.Now()});
        tasks[i] = size;
        break;
      case 1:
        allocations.SetState(Key(i), AttemptState::kRunning);
        break;
      case 2:
        allocations.Remove(Key(i));
        tasks.erase(i);
        break;
      case 3:
        if (holds.count(hold) == 0) {
          allocations.AddHold(hold, size, 2, clock.Now() + Millis(i));
          holds[hold] = {size, 2};
        }
        break;
      case 4:
        if (allocations.TakeFromHold(hold)) {
          --holds[hold].second;
        }
        break;
      case 5: {
        WorkerReport report;
        report.capacity = {*rc::gen::inRange(0, 4'000), 4'000, 4, 8};
        allocations.SetReport(report, clock.Now());
        ++shrunk;
        break;
      }
    }
    Resources sum;
    for (const auto& [key, task] : tasks) {
      sum += task;
    }
    for (const auto& [key, held] : holds) {
      for (int64_t n = 0; n < held.second; ++n) {
        sum += held.first;
      }
    }
    RC_ASSERT(allocations.committed() == sum);
    RC_ASSERT(allocations.Free().IsValid());
    RC_ASSERT(allocations.over_committed() ||
              (sum + allocations.Free()).FitsIn(allocations.capacity()));
  }
  clock.Advance(Millis(100));
  allocations.ExpireHolds(clock.Now());
  Resources sum;
  for (const auto& [key, task] : tasks) {
    sum += task;
  }
  RC_ASSERT(allocations.committed() == sum);
}

BOOST_AUTO_TEST_CASE(AllocationsAddRecentTasksToADelayedReport) {
  testing::FakeClock clock;
  WorkerAllocations allocations;
  WorkerReport report;
  report.capacity = {4'000, 4'000, 0, 8};
  report.used = {3'000, 1'000, 0, 0};
  report.lag = Millis(2'000);
  allocations.Add(Key(1), {{1'000, 1'000, 0, 1},
                           AttemptState::kRunning,
                           clock.Now() - Millis(5'000)});
  allocations.SetReport(report, clock.Now());
  BOOST_TEST(allocations.Free().cpu_milli == 1'000);
  allocations.Add(Key(2),
                  {{600, 100, 0, 1}, AttemptState::kStarting, clock.Now()});
  BOOST_TEST(allocations.Free().cpu_milli == 400);
}

RC_BOOST_PROP(SizesAreNeverCorrectedBelowWhatWasJustUsed, ()) {
  UsageModel model;
  const Resources declared{1'000, 1'000, 1, 1};
  for (int step = *rc::gen::inRange(1, 200); step > 0; --step) {
    const Resources used{*rc::gen::inRange(1, 4'000),
                         *rc::gen::inRange(1, 4'000), 0, 0};
    const Millis run(*rc::gen::inRange(0, 4'000));
    model.Observe("k", declared, used, run, Millis(2'000));
    const Resources size = model.Corrected("k", declared);
    RC_ASSERT(used.cpu_milli <= size.cpu_milli);
    RC_ASSERT(used.memory_mb <= size.memory_mb);
    RC_ASSERT(size.cpu_milli <= 4'000 && size.cpu_milli >= 250);
    RC_ASSERT(size.accelerators == 1 && size.slots == 1);
  }
}

BOOST_AUTO_TEST_CASE(SizesRiseAtOnceAndFallSlowly) {
  UsageModel model;
  const Resources declared{1'000, 1'000, 0, 1};
  const auto cpu = [&] { return model.Corrected("k", declared).cpu_milli; };
  model.Observe("k", declared, {3'000, 500, 0, 0}, Millis(10), Millis(2'000));
  BOOST_TEST(cpu() == 3'000);
  for (int i = 0; i < 30; ++i) {
    model.Observe("k", declared, {500, 500, 0, 0}, Millis(10), Millis(2'000));
  }
  // Runs shorter than the report lag are no evidence for lower use.
  BOOST_TEST(cpu() == 3'000);
  for (int i = 0; i < 25; ++i) {
    model.Observe("k", declared, {500, 500, 0, 0}, Millis(9'000),
                  Millis(2'000));
  }
  BOOST_TEST(cpu() < 3'000);
  BOOST_TEST(cpu() > 1'000);
  for (int i = 0; i < 300; ++i) {
    model.Observe("k", declared, {500, 500, 0, 0}, Millis(9'000),
                  Millis(2'000));
  }
  BOOST_TEST(cpu() < 600);
}

BOOST_AUTO_TEST_CASE(AFailingWorkerGetsSingleProbesWithGrowingPauses) {
  testing::FakeClock clock;
  WorkerHealth health(clock);
  for (int i = 0; i < 10; ++i) {
    health.OnEnd(w2, "k", true);
    health.OnEnd(w3, "k", true);
  }
  int started = 0;
  for (int ms = 0; ms < 60'000; ms += 10) {
    clock.Advance(Millis(10));
    if (health.MayStart(w1)) {
      ++started;
      health.OnStart(w1);
      BOOST_TEST((started <= 3 || !health.MayStart(w1)));
      health.OnEnd(w1, "k", false);
    }
  }
  BOOST_TEST(started < 12);
  BOOST_TEST(health.failing(w1));
  BOOST_TEST(health.MayStart(w2));
  // Recovery: successes end the pauses.
  for (int i = 0; i < 20; ++i) {
    health.OnEnd(w1, "k", true);
  }
  BOOST_TEST(health.MayStart(w1));
}

BOOST_AUTO_TEST_CASE(WorkThatFailsEverywhereBlamesNoWorker) {
  testing::FakeClock clock;
  WorkerHealth health(clock);
  for (int i = 0; i < 10; ++i) {
    for (const WorkerId& worker : {w1, w2, w3}) {
      health.OnEnd(worker, "broken", false);
    }
  }
  for (const WorkerId& worker : {w1, w2, w3}) {
    BOOST_TEST(health.MayStart(worker));
    BOOST_TEST(!health.failing(worker));
  }
}

BOOST_AUTO_TEST_CASE(AListThatLosesTooMuchIsUnconfirmedForAWhile) {
  testing::FakeClock clock;
  VmList list(clock, VmList::Options());
  list.OnList(ListOf(0, 100));
  list.OnList(ListOf(15, 100));
  BOOST_TEST(list.Endpoints().size() == 85U);
  list.OnList(ListOf(50, 110));
  BOOST_TEST(list.loss_unconfirmed());
  BOOST_TEST(list.Endpoints().size() == 95U);  // new VMs count immediately
  clock.Advance(Millis(29'000));
  list.Tick();
  BOOST_TEST(list.loss_unconfirmed());
  list.OnContact("w-20");
  clock.Advance(Millis(1'000));
  list.Tick();
  BOOST_TEST(!list.loss_unconfirmed());
  // Includes the one that still answers.
  BOOST_TEST(list.Endpoints().size() == 61U);
  clock.Advance(Millis(30'000));
  list.Tick();
  BOOST_TEST(list.Endpoints().size() == 60U);
}

BOOST_AUTO_TEST_CASE(AListWithAnUnconfirmedLossStillTellsWhichVmsLeave) {
  testing::FakeClock clock;
  VmList list(clock, VmList::Options());
  list.OnList(ListOf(0, 4));
  VmListResult half = ListOf(0, 2);
  half.vms[0].state = VmState::kLeaving;
  list.OnList(half);
  BOOST_TEST(list.loss_unconfirmed());
  BOOST_TEST(list.Endpoints().size() == 4U);
  BOOST_TEST((list.Endpoints()[0].state == VmState::kLeaving));
  list.OnList(ListOf(0, 4));
  BOOST_TEST(!list.loss_unconfirmed());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
