// Checks the guarantees of the owner role over random histories of faults:
// never above capacity (P1), no task in two places (P2), "not run" reported
// only if it did not run (P4), unrepeatable work at most once (P5), no work for
// leaving workers (P6), and delivery of every completion.
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "chivedale/testing/owner_fixture.h"

namespace chivedale::testing {
namespace {

enum class Kind {
  kTasks,
  kLoseStarts,
  kLoseCompletions,
  kWorkerDead,
  kWorkerPaused,
  kReboot,
  kLeaving,
  kCrash,
  kPauseNode,
  kLateStart,
  kLoseMessages,
  kDuplicateMessages,
  kJoin,
  kDrain,
  kLateCompletions,
  kFailAll,
};
constexpr const char* kNames[] = {"tasks",
                                  "start answer lost",
                                  "completion answer lost",
                                  "worker dead",
                                  "worker paused",
                                  "worker rebooted",
                                  "worker leaving",
                                  "owner crashed",
                                  "owner paused",
                                  "pause during a start requested",
                                  "messages lost",
                                  "messages duplicated",
                                  "owner joined",
                                  "owner drained",
                                  "late, reordered completions",
                                  "worker fails all"};
constexpr int kKinds = 16;
constexpr size_t kMaxNodes = 5;
// Longer than lease, detection, orphan time and three resends together.
constexpr Millis kRecoveryTime{45'000};
constexpr int kMaxRecoveryPeriods = 10;

struct Action {
  int kind = 0;
  int target = 0;
  int amount = 0;  // 0 to 99
  int pause_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Action& action) {
  return out << kNames[action.kind] << " target " << action.target << " amount "
             << action.amount << ", then " << action.pause_ms << " ms\n";
}

// The fields do not depend on the size of the test, so that the first histories
// already contain all kinds of faults; the length does.
rc::Gen<std::vector<Action>> Histories() {
  const auto field = [](int bound) {
    return rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, bound));
  };
  // Tasks are added more often than any fault is injected.
  const auto kind =
      rc::gen::map(field(kKinds + 5), [](int i) { return i < kKinds ? i : 0; });
  return rc::gen::scale(
      0.3, rc::gen::container<std::vector<Action>>(rc::gen::build<Action>(
               rc::gen::set(&Action::kind, kind),
               rc::gen::set(&Action::target, field(12)),
               rc::gen::set(&Action::amount, field(100)),
               rc::gen::set(&Action::pause_ms, field(4'000)))));
}

// Applies one history to an OwnerFixture.
class History {
 public:
  explicit History(OwnerFixture::Options options)
      : fixture_(options),
        workers_(static_cast<size_t>(options.workers)),
        fencing_(options.fencing) {}

  void Apply(const Action& action) {
    const auto i = static_cast<size_t>(action.target);
    const size_t worker = i % workers_;
    const size_t node = i % fixture_.nodes();
    WorkerFaults& faults = fixture_.worker(worker).faults();
    const Millis time(action.amount * 120);
    bool applied = true;
    switch (static_cast<Kind>(action.kind)) {
      case Kind::kTasks:
        AddTasks(action.amount);
        break;
      case Kind::kLoseStarts:
        faults.lose_starts += 1 + action.amount % 3;
        break;
      case Kind::kLoseCompletions:
        faults.lose_completions += 1 + action.amount % 3;
        break;
      case Kind::kWorkerDead:
        faults.dead = !faults.dead;
        break;
      case Kind::kWorkerPaused:
        if (faults.paused) {
          fixture_.workers().Resume(OwnerFixture::WorkerIdOf(worker));
        } else {
          faults.paused = true;
        }
        break;
      case Kind::kReboot:
        fixture_.Reboot(worker);
        break;
      case Kind::kLeaving:
        // One worker stays, otherwise the tasks could not end.
        applied = worker != 0;
        if (applied) {
          fixture_.worker(worker).SetLeaving(action.amount % 2 == 0
                                                 ? LeavingMode::kAccepting
                                                 : LeavingMode::kRefusing);
        }
        break;
      case Kind::kCrash:
        applied = Usable(node) && UsableNodes() > 1;
        if (applied) {
          fixture_.CrashNode(node);
        }
        break;
      case Kind::kPauseNode:
        applied = Usable(node);
        if (applied) {
          paused_until_[node] = fixture_.clock().Now() + time + Millis(100);
          fixture_.PauseNode(node, time + Millis(50));
        }
        break;
      case Kind::kLateStart:
        // Without fencing, a start that is in transit for longer than a second
        // is not excluded, as WorkerPort's contract states.
        applied = Usable(node) && fencing_;
        if (applied) {
          // Not repeated before the pause, which begins with a later start.
          const Millis pause = time + Millis(50);
          paused_until_[node] = util::TimePoint::max();
          fixture_.port(node).PauseInNextStart(pause, [this, node, pause] {
            paused_until_[node] = fixture_.clock().Now() + pause;
            ++fixture_.faults()["owner paused during a start"];
            fixture_.PauseNode(node, pause);
          });
        }
        break;
      case Kind::kLoseMessages:
        // Announcements are sent three times within two seconds; losing all of
        // them would require a longer loss.
        applied = fixture_.clock().Now() >= next_loss_;
        if (applied) {
          fixture_.LoseMessages(Millis(action.amount * 8));
          next_loss_ = fixture_.clock().Now() + Millis(4'000);
        }
        break;
      case Kind::kDuplicateMessages:
        fixture_.DuplicateMessages(time);
        break;
      case Kind::kJoin:
        applied = fixture_.nodes() < kMaxNodes;
        if (applied) {
          fixture_.AddNode();
        }
        break;
      case Kind::kDrain:
        applied = Usable(node) && UsableNodes() > 1;
        if (applied) {
          drained_.insert(node);
          fixture_.DrainNode(node);
        }
        break;
      case Kind::kLateCompletions:
        faults.late = Millis(action.amount * 20);
        faults.reorder = true;
        faults.duplicate = true;
        break;
      case Kind::kFailAll:
        faults.fail_all = !faults.fail_all;
        break;
    }
    if (applied) {
      ++fixture_.faults()[kNames[action.kind]];
    }
    fixture_.Run(Millis(action.pause_ms));
  }

  void Heal() {
    for (size_t i = 0; i < workers_; ++i) {
      WorkerFaults& faults = fixture_.worker(i).faults();
      if (faults.paused) {
        fixture_.workers().Resume(OwnerFixture::WorkerIdOf(i));
      }
      faults = WorkerFaults();
    }
    fixture_.AddNode();
    fixture_.Run(kRecoveryTime);
    // Queued tasks may take longer on a single worker.
    for (int i = 0; i < kMaxRecoveryPeriods && !fixture_.Unfinished().empty();
         ++i) {
      fixture_.Run(kRecoveryTime);
    }
  }

  OwnerFixture& fixture() { return fixture_; }

 private:
  void AddTasks(int amount) {
    for (int i = 0; i <= amount % 6; ++i) {
      Dispatch dispatch;
      dispatch.kind = "k" + std::to_string(i % 2);
      dispatch.size = {500 + 500 * (amount % 5), 512, 0, 1};
      dispatch.repeatable = (amount + i) % 3 != 0;
      dispatch.longest_run = Millis(20'000);
      fixture_.AddTask(dispatch,
                       "{\"run_ms\":" + std::to_string(amount * 60) + "}");
    }
  }

  bool Usable(size_t node) {
    return fixture_.alive(node) && drained_.count(node) == 0 &&
           paused_until_[node] <= fixture_.clock().Now();
  }
  int UsableNodes() {
    int usable = 0;
    for (size_t i = 0; i < fixture_.nodes(); ++i) {
      usable += Usable(i) ? 1 : 0;
    }
    return usable;
  }

  OwnerFixture fixture_;
  const size_t workers_;
  const bool fencing_;
  std::map<size_t, util::TimePoint> paused_until_;
  std::set<size_t> drained_;
  util::TimePoint next_loss_{};
};

bool CheckHistories(const char* name, const OwnerFixture::Options& base) {
  std::map<std::string, int64_t> faults;
  int64_t starts = 0;
  const bool kept = rc::check(name, [&](uint16_t seed) {
    const std::vector<Action> actions = *Histories();
    OwnerFixture::Options options = base;
    options.seed = seed;
    History history(options);
    for (const Action& action : actions) {
      history.Apply(action);
    }
    history.Heal();
    for (const auto& [fault, count] : history.fixture().faults()) {
      faults[fault] += count;
    }
    starts += history.fixture().workers().task_runs().starts();
    RC_ASSERT(history.fixture().FirstViolation() == std::string());
    RC_ASSERT(history.fixture().Unfinished() == std::string());
  });
  std::cout << name << ": " << starts << " starts";
  for (const auto& [fault, count] : faults) {
    std::cout << ", " << count << " " << fault;
  }
  std::cout << "\n";
  return kept;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnerHistories)

BOOST_AUTO_TEST_CASE(KeepThePromisesUnderFaults) {
  OwnerFixture::Options options;
  BOOST_TEST(CheckHistories("faults with fencing workers", options));
}

BOOST_AUTO_TEST_CASE(KeepThePromisesOnOneCrowdedWorker) {
  OwnerFixture::Options options;
  options.nodes = 3;
  options.workers = 1;
  options.capacity = {2'500, 2'048, 0, 3};
  BOOST_TEST(CheckHistories("three owners race for one worker", options));
}

BOOST_AUTO_TEST_CASE(KeepThePromisesOnWorkersWithoutFencing) {
  OwnerFixture::Options options;
  options.fencing = false;
  BOOST_TEST(CheckHistories("faults with workers without fencing", options));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
