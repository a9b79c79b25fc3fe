// Guards against broken promises of the joined control state: whole histories
// of work and faults over several processes, checked by the workers' book and
// by what callers were told.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <vector>

#include "chivedale/testing/fake_cell.h"

namespace chivedale::testing {
namespace {

constexpr Resources kWorkerCapacity{4'000, 8'192, 0, 4};

Table MakeTable() {
  Table table;
  table.revision = 1;
  table.change_id = "first";
  table.author = "test";
  for (const auto& [kind, repeatable] :
       std::map<std::string, bool>{{"sort", true}, {"tally", false}}) {
    table.rows[kind] = MakeRow(kind, repeatable);
  }
  table.rows["sort"].urgency = Urgency::kUrgent;
  return table;
}

enum class Step {
  kSend,
  kSendOnce,
  kCancel,
  kWait,
  kKill,
  kStart,
  kPause,
  kResume,
  kDrain,
  kCut,
  kMend,
  kStoreDown,
  kStoreUp,
  kLoseWrite,
  kWorkerDead,
  kWorkerBack,
  kWorkerReboot,
  kWorkerFails,
  kWorkerHeals,
  kLoseStart,
  kLate,
};
constexpr int kStepCount = static_cast<int>(Step::kLate) + 1;

const char* const kStepNames[] = {
    "send",          "send_once",    "cancel",       "wait",
    "kill",          "start",        "pause",        "resume",
    "drain",         "cut",          "mend",         "store_down",
    "store_up",      "lose_write",   "worker_dead",  "worker_back",
    "worker_reboot", "worker_fails", "worker_heals", "lose_start",
    "late"};

// How often work and time come among the steps, against one for each fault.
constexpr int kSendWeight = 12;
constexpr int kWaitWeight = 10;

struct History {
  uint64_t seed = 0;
  std::vector<std::pair<int, int>> steps;  // step and its argument
};

Step StepOf(int number) {
  if (number < kSendWeight) {
    return number % 3 == 0 ? Step::kSendOnce : Step::kSend;
  }
  number -= kSendWeight;
  if (number < kWaitWeight) {
    return Step::kWait;
  }
  return static_cast<Step>(number - kWaitWeight);
}

// Runs histories and counts the faults that they contained.
class HistoryRunner {
 public:
  explicit HistoryRunner(uint64_t seed) : cell_(seed) {
    cell_.AddWorkers(4, kWorkerCapacity);
    cell_.SetTable(MakeTable());
    for (int i = 0; i < 3; ++i) {
      cell_.StartProcess();
    }
    cell_.Run(Millis(4'000));
  }

  void Do(Step step, int argument) {
    ++counts_[kStepNames[static_cast<int>(step)]];
    const std::vector<int> alive = cell_.Alive();
    const int any = alive.empty()
                        ? -1
                        : alive[static_cast<size_t>(argument) % alive.size()];
    const std::vector<WorkerId>& ids = cell_.worker_ids();
    const WorkerId& worker = ids[static_cast<size_t>(argument) % ids.size()];
    WorkerFaults& faults = cell_.workers().model(worker).faults();
    switch (step) {
      case Step::kSend:
        cell_.Send("sort", 20 + argument * 7 % 900);
        break;
      case Step::kSendOnce:
        cell_.Send("tally", 20 + argument * 7 % 900, /*repeatable=*/false);
        break;
      case Step::kCancel:
        if (!cell_.callers().empty()) {
          cell_.CancelCaller(static_cast<size_t>(argument) %
                             cell_.callers().size());
        }
        break;
      case Step::kWait:
        cell_.Run(Millis(20 + argument * 13 % 1'500));
        break;
      case Step::kKill:
        if (alive.size() > 1) {
          cell_.Kill(any);
        }
        break;
      case Step::kStart:
        if (alive.size() < 4) {
          cell_.StartProcess();
        }
        break;
      case Step::kPause:
        if (alive.size() > 1) {
          cell_.Pause(any);
          paused_.push_back(any);
        }
        break;
      case Step::kResume:
        ResumeAll();
        break;
      case Step::kDrain:
        if (alive.size() > 1) {
          cell_.Drain(any);
        }
        break;
      case Step::kCut:
        cell_.SetCut(argument % 3, (argument + 1) % 3, true);
        break;
      case Step::kMend:
        MendAll();
        break;
      case Step::kStoreDown:
        cell_.store().faults().down = true;
        break;
      case Step::kStoreUp:
        cell_.store().faults().down = false;
        break;
      case Step::kLoseWrite:
        cell_.store().faults().lose_writes = 1 + argument % 3;
        break;
      case Step::kWorkerDead:
        faults.dead = true;
        break;
      case Step::kWorkerBack:
        faults.dead = false;
        break;
      case Step::kWorkerReboot:
        cell_.workers().model(worker).Reboot();
        break;
      case Step::kWorkerFails:
        faults.fail_all = true;
        break;
      case Step::kWorkerHeals:
        faults.fail_all = false;
        break;
      case Step::kLoseStart:
        faults.lose_starts = 1;
        break;
      case Step::kLate:
        faults.late = Millis(argument * 11 % 2'000);
        break;
    }
  }

  // Ends all faults and gives the cell time to finish.
  void Settle() {
    ResumeAll();
    MendAll();
    cell_.store().faults() = FakeStore::Faults();
    for (const WorkerId& id : cell_.worker_ids()) {
      cell_.workers().model(id).faults() = WorkerFaults();
    }
    if (cell_.Alive().empty()) {
      cell_.StartProcess();
    }
    cell_.Run(Millis(60'000));
  }

  FakeCell& cell() { return cell_; }
  const std::map<std::string, int>& counts() const { return counts_; }

 private:
  void ResumeAll() {
    for (const int process : paused_) {
      cell_.Resume(process);
    }
    paused_.clear();
  }
  void MendAll() {
    for (int a = 0; a < 3; ++a) {
      for (int b = a + 1; b < 3; ++b) {
        cell_.SetCut(a, b, false);
      }
    }
  }

  FakeCell cell_;
  std::vector<int> paused_;
  std::map<std::string, int> counts_;
};

std::map<std::string, int> total_counts;

struct CountReport {
  ~CountReport() {
    std::string line = "steps in all histories:";
    for (const auto& [name, count] : total_counts) {
      line += " " + name + "=" + std::to_string(count);
    }
    BOOST_TEST_MESSAGE(line);
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Cell)

BOOST_AUTO_TEST_SUITE(WithoutFaults)

BOOST_AUTO_TEST_CASE(AnswersEachRequestOnce) {
  HistoryRunner runner(1);
  for (int i = 0; i < 40; ++i) {
    runner.cell().Send(i % 4 == 0 ? "tally" : "sort", 50 + i, i % 4 != 0);
  }
  runner.cell().Run(Millis(8'000));
  BOOST_TEST(runner.cell().Faults(/*ended=*/true) == std::vector<std::string>(),
             boost::test_tools::per_element());
  for (const CellCaller& caller : runner.cell().callers()) {
    BOOST_TEST_REQUIRE(caller.result.has_value());
    BOOST_TEST(caller.result->ok,
               caller.id.str() + " " + caller.result->detail);
    BOOST_TEST(caller.sends == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderFaults)

RC_BOOST_PROP(KeepsItsPromisesInEveryHistory, ()) {
  const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
  const int kinds = kSendWeight + kWaitWeight + kStepCount;
  const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 1'000)));
  HistoryRunner runner(seed);
  for (const auto& [number, argument] : steps) {
    runner.Do(StepOf(number), argument);
    const std::vector<std::string> faults = runner.cell().Faults(false);
    if (!faults.empty()) {
      RC_FAIL(faults.front());
    }
  }
  runner.Settle();
  for (const auto& [name, count] : runner.counts()) {
    total_counts[name] += count;
  }
  const std::vector<std::string> faults = runner.cell().Faults(true);
  if (!faults.empty()) {
    RC_FAIL(faults.front());
  }
}

BOOST_AUTO_TEST_CASE(ReportsTheFaultsThatTheHistoriesContained) {
  const CountReport report;
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
