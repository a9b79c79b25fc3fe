// Guards against violated guarantees of the complete control state: random
// histories of work and faults over several processes, checked against the runs
// that the workers recorded and the answers that callers got.
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

const char* const step_names[] = {
    "send",          "send_once",    "cancel",       "wait",
    "kill",          "start",        "pause",        "resume",
    "drain",         "cut",          "mend",         "store_down",
    "store_up",      "lose_write",   "worker_dead",  "worker_back",
    "worker_reboot", "worker_fails", "worker_heals", "lose_start",
    "late"};

// Frequency of sends and waits among the steps, relative to one for each fault.
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

// Runs histories and counts the steps in them.
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
    ++counts_[step_names[static_cast<int>(step)]];
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
        cell_.SetLinkCut(argument % 3, (argument + 1) % 3, true);
        break;
      case Step::kMend:
        RestoreAllLinks();
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

  // Clears all faults and gives the cell time to finish.
  void ClearFaultsAndFinish() {
    ResumeAll();
    RestoreAllLinks();
    cell_.store().faults() = FakeStore::Faults();
    for (const WorkerId& id : cell_.worker_ids()) {
      cell_.workers().model(id).faults() = WorkerFaults();
    }
    // Replaces processes that were stopped or have failed, as the platform
    // does.
    cell_.StartProcess();
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
  void RestoreAllLinks() {
    for (int a = 0; a < 3; ++a) {
      for (int b = a + 1; b < 3; ++b) {
        cell_.SetLinkCut(a, b, false);
      }
    }
  }

  FakeCell cell_;
  std::vector<int> paused_;
  std::map<std::string, int> counts_;
};

std::map<std::string, int> total_counts;

using Steps = std::vector<std::pair<int, int>>;

std::string FormatSteps(const Steps& steps) {
  std::string text;
  for (const auto& [number, argument] : steps) {
    text += std::string(" ") + step_names[static_cast<int>(StepOf(number))] +
            "(" + std::to_string(argument) + ")";
  }
  return text;
}

// Runs the history up to its first violation, which is returned. Empty if there
// is none.
std::string FirstViolation(uint64_t seed, const Steps& steps) {
  HistoryRunner runner(seed);
  std::vector<std::string> violations;
  for (size_t i = 0; i < steps.size() && violations.empty(); ++i) {
    runner.Do(StepOf(steps[i].first), steps[i].second);
    violations = runner.cell().FindViolations(/*ended=*/false);
  }
  if (violations.empty()) {
    runner.ClearFaultsAndFinish();
    violations = runner.cell().FindViolations(/*ended=*/true);
  }
  for (const auto& [name, count] : runner.counts()) {
    total_counts[name] += count;
  }
  return violations.empty()
             ? ""
             : violations.front() + "; steps:" + FormatSteps(steps);
}

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
  BOOST_TEST(runner.cell().FindViolations(/*ended=*/true) ==
                 std::vector<std::string>(),
             boost::test_tools::per_element());
  for (const CellCaller& caller : runner.cell().callers()) {
    BOOST_TEST_REQUIRE(caller.result.has_value());
    BOOST_TEST(caller.result->ok,
               caller.id.str() + " " + caller.result->detail);
    BOOST_TEST(caller.sends == 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Regressions)

// Guards against answers that the owner keeps although their entry is back
// after a pause.
BOOST_AUTO_TEST_CASE(DeliversAnswersToAnEntryWronglyDeclaredDead) {
  BOOST_TEST(FirstViolation(
                 375414, {{21, 194}, {17, 366}, {13, 584}, {18, 586}, {27, 510},
                          {20, 311}, {9, 182},  {7, 68},   {5, 654},  {4, 565},
                          {17, 367}, {5, 550},  {25, 110}, {26, 37},  {28, 258},
                          {15, 358}, {17, 225}, {21, 563}, {27, 633}, {27, 556},
                          {1, 294},  {20, 383}, {4, 152},  {20, 551}, {14, 203},
                          {8, 260},  {12, 378}, {9, 607},  {8, 238},  {21, 404},
                          {24, 283}, {16, 142}, {8, 159},  {13, 570}, {28, 631},
                          {21, 254}, {16, 424}, {17, 290}, {21, 126}, {8, 625},
                          {23, 407}, {23, 416}, {15, 532}, {9, 576}}) == "");
}

// Guards against a "not run" report for a request that an entry, now gone, had
// run.
BOOST_AUTO_TEST_CASE(ReportsThatAnEarlierSubmissionMayHaveRun) {
  BOOST_TEST(
      FirstViolation(
          759559,
          {{1, 714},  {0, 173},  {15, 414}, {23, 375}, {11, 283}, {20, 777},
           {15, 87},  {27, 737}, {5, 401},  {4, 409},  {5, 553},  {7, 517},
           {31, 511}, {31, 785}, {30, 703}, {9, 52},   {12, 738}, {18, 91},
           {13, 511}, {22, 773}, {17, 536}, {28, 245}, {16, 439}, {1, 22},
           {2, 54},   {10, 455}, {2, 635},  {34, 104}, {21, 780}, {25, 806},
           {0, 281},  {23, 236}, {33, 587}, {27, 352}, {5, 550},  {2, 608},
           {10, 318}, {25, 189}, {3, 711},  {32, 255}, {0, 47},   {31, 223},
           {18, 375}, {3, 776},  {25, 501}, {14, 293}, {18, 145}, {34, 22},
           {29, 467}, {23, 504}, {13, 195}, {17, 802}, {27, 418}, {24, 239},
           {27, 168}, {24, 528}, {22, 718}, {11, 554}, {30, 223}, {2, 753},
           {5, 692},  {19, 424}, {9, 632},  {9, 7},    {15, 793}, {9, 777},
           {17, 672}, {18, 134}, {7, 372},  {2, 25},   {16, 397}, {24, 106}}) ==
      "");
}

// Guards against a paused entry that dispatches an id which another entry was
// running by then.
BOOST_AUTO_TEST_CASE(DoesNotStartAnIdReassignedToAnotherEntry) {
  BOOST_TEST(
      FirstViolation(
          120529,
          {{26, 824}, {6, 55},   {28, 68},  {32, 485}, {22, 156}, {17, 821},
           {27, 171}, {21, 726}, {38, 630}, {28, 292}, {27, 866}, {14, 878},
           {14, 305}, {12, 470}, {1, 0},    {23, 121}, {3, 866},  {17, 105},
           {25, 779}, {29, 592}, {33, 496}, {29, 368}, {22, 160}, {4, 182},
           {0, 40},   {6, 329},  {12, 878}, {24, 461}, {28, 603}, {31, 368},
           {7, 388},  {16, 502}, {36, 210}, {18, 663}, {22, 76},  {23, 644},
           {2, 489},  {9, 393},  {25, 316}, {6, 712},  {32, 162}, {20, 43},
           {15, 440}, {19, 13},  {0, 88},   {21, 448}, {34, 740}, {2, 420},
           {9, 292},  {25, 401}, {29, 488}, {32, 72},  {30, 872}, {11, 738},
           {4, 181},  {36, 481}, {32, 868}, {9, 346},  {34, 871}, {22, 768},
           {22, 169}, {22, 608}, {2, 731},  {23, 124}, {2, 73},   {1, 559},
           {16, 73},  {13, 193}, {3, 821},  {36, 617}, {3, 22},   {30, 349},
           {31, 289}, {9, 264},  {21, 147}, {34, 146}, {36, 444}, {12, 678},
           {29, 399}, {38, 369}, {29, 210}, {7, 318},  {37, 759}, {17, 230},
           {7, 14},   {20, 259}}) == "");
}

// Guards against an owner that keeps the answers of an entry it once considered
// dead.
BOOST_AUTO_TEST_CASE(AnswersARequestThatRanDuringThePauseOfItsEntry) {
  HistoryRunner runner(1);
  FakeCell& cell = runner.cell();
  const size_t request = cell.SendThrough(0, "sort", 7'000);
  cell.Run(Millis(300));
  cell.Pause(0);
  cell.Run(Millis(5'000));
  cell.Resume(0);
  cell.Run(Millis(10'000));
  BOOST_TEST_REQUIRE(cell.callers()[request].result.has_value());
  BOOST_TEST(cell.callers()[request].result->ok);
  BOOST_TEST(cell.scheduler(0).Status().open_requests == 0);
}

// Guards against refusing all work as too large while no worker could be
// claimed.
BOOST_AUTO_TEST_CASE(RefusesNothingAsTooLargeWhileNoWorkerIsOwned) {
  FakeCell cell(1);
  cell.AddWorkers(1, kWorkerCapacity);
  cell.workers().model(cell.worker_ids()[0]).faults().dead = true;
  cell.SetTable(MakeTable());
  cell.StartProcess();
  cell.Run(Millis(1'000));
  const size_t request = cell.SendThrough(0, "sort", 20);
  cell.Run(Millis(1'000));
  BOOST_TEST(!cell.callers()[request].result.has_value());
  cell.workers().model(cell.worker_ids()[0]).faults().dead = false;
  cell.Run(Millis(8'000));
  BOOST_TEST_REQUIRE(cell.callers()[request].result.has_value());
  BOOST_TEST(cell.callers()[request].result->ok);
}

// Guards against a process that was drained before it had a table, accepts
// requests after it stopped and never answers them.
BOOST_AUTO_TEST_CASE(RefusesRequestsAfterADrainDuringStartup) {
  FakeCell cell(1);
  cell.AddWorkers(1, kWorkerCapacity);
  cell.SetTable(MakeTable());
  const int process = cell.StartProcess();
  cell.Drain(process);
  cell.Run(Millis(100));
  CallerSubmission submission;
  submission.id = RequestId("late");
  submission.kind = "sort";
  submission.deadline = Millis(1'000);
  bool refused = false;
  cell.scheduler(process).Submit(
      submission, nullptr, [&](const RequestId&, const RequestResult& result) {
        refused = !result.ok && result.ran != Ran::kYes;
      });
  BOOST_TEST(refused);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(UnderFaults)

RC_BOOST_PROP(KeepsItsGuaranteesInEveryHistory, ()) {
  const uint64_t seed = *rc::gen::inRange<uint64_t>(1, 1'000'000);
  const int kinds = kSendWeight + kWaitWeight + kStepCount;
  const auto steps = *rc::gen::container<Steps>(
      rc::gen::pair(rc::gen::inRange(0, kinds), rc::gen::inRange(0, 1'000)));
  const std::string violation = FirstViolation(seed, steps);
  if (!violation.empty()) {
    RC_FAIL(violation);
  }
}

BOOST_AUTO_TEST_CASE(PrintsTheStepsInAllHistories) {
  const CountReport report;
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
