// Guards against queued work that is lost, returned twice, served past its
// deadline or starved, and against rows that get more than their share.
#include "chivedale/fair_queue.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <set>

#include "chivedale/error.h"
#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/policy_support.h"
#include "rapidcheck/boost_test.h"

namespace chivedale {
namespace {

using testing::Chance;
using testing::EventCounts;
using testing::FakeClock;
using testing::MakeRow;
using testing::MakeTable;
using testing::PropertyRandom;

bool AnyFits(const QueuedItem&) {
  return true;
}

QueuedItem MakeItem(const FakeClock& clock,
                    const std::string& kind,
                    const std::string& id) {
  QueuedItem item;
  item.task = TaskId("r/" + id);
  item.kind = kind;
  item.size = {1000, 100, 0, 1};
  item.enqueued = clock.Now();
  item.deadline = clock.Now() + std::chrono::hours(1);
  return item;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(FairQueueTest)

BOOST_AUTO_TEST_SUITE(NothingIsLost)

// Guards against lost or duplicated items, exceeded bounds and starts after the
// deadline, with pushes, pops, refusals, cancellations, expiry and table edits.
RC_BOOST_PROP(EachItemComesOutExactlyOnce, ()) {
  static EventCounts counts("fair queue, each item out once");
  util::Random random = PropertyRandom();
  FakeClock clock;
  FairQueue::Options options;
  options.max_items = 60;
  options.policy =
      Chance(random, 80) ? QueuePolicyKind::kFairQueue : QueuePolicyKind::kFifo;
  FairQueue queue(clock, options);
  std::vector<WorkRow> rows;
  for (int i = 0; i < 6; ++i) {
    rows.push_back(MakeRow("k" + std::to_string(i), Urgency(i % 3),
                           1.0 + double(random.UniformInt(4))));
    rows.back().limits.max_queued = 5 + int64_t(random.UniformInt(20));
    rows.back().guaranteed_share = i == 4 ? 0.2 : 0;
  }
  queue.SetTable(MakeTable(rows));
  std::map<TaskId, QueuedItem> inside;
  std::set<TaskId> out;
  std::vector<QueuedItem> popped;
  int next = 0;
  const auto leaves = [&](const TaskId& task) {
    RC_ASSERT(inside.erase(task) == 1U);
    RC_ASSERT(out.insert(task).second);
  };
  for (int step = 0; step < 300; ++step) {
    switch (random.UniformInt(8)) {
      case 0:
      case 1:
      case 2: {
        QueuedItem item =
            MakeItem(clock, "k" + std::to_string(random.UniformInt(6)),
                     std::to_string(next++));
        item.size.cpu_milli = 100 * int64_t(1 + random.UniformInt(40));
        item.deadline =
            clock.Now() + std::chrono::milliseconds(random.UniformInt(3000));
        if (Chance(random, 20)) {
          item.not_before =
              clock.Now() + std::chrono::milliseconds(random.UniformInt(500));
        }
        const auto& row = rows[size_t(item.kind[1] - '0')];
        const auto in_row = std::count_if(
            inside.begin(), inside.end(),
            [&](const auto& each) { return each.second.kind == item.kind; });
        const bool full = int64_t(inside.size()) >= options.max_items ||
                          in_row >= row.limits.max_queued;
        RC_ASSERT(full == queue.IsFull(item.kind));
        try {
          queue.Push(item);
          RC_ASSERT(!full);
          inside[item.task] = item;
        } catch (const Error& e) {
          RC_ASSERT(e.kind() == ErrorKind::kQueueFull);
          RC_ASSERT(full);
          counts.Add("refused_full");
        }
        break;
      }
      case 3:
      case 4: {
        const auto room = 100 * int64_t(1 + random.UniformInt(40));
        auto item = queue.PopFirst([&](const QueuedItem& candidate) {
          return candidate.size.cpu_milli <= room;
        });
        if (item) {
          RC_ASSERT(item->size.cpu_milli <= room);
          RC_ASSERT(item->deadline >= clock.Now());
          RC_ASSERT(item->not_before <= clock.Now());
          popped.push_back(*item);
          leaves(item->task);
        }
        break;
      }
      case 5:
        if (!popped.empty() && Chance(random, 50)) {
          counts.Add("put_back");
          const QueuedItem item = popped.back();
          popped.pop_back();
          out.erase(item.task);
          inside[item.task] = item;
          queue.PutBack(item);
        }
        break;
      case 6:
        if (Chance(random, 15)) {
          counts.Add("cancel_waves");
          std::vector<TaskId> all;
          all.reserve(inside.size());
          for (const auto& [task, item] : inside) {
            all.push_back(task);
          }
          for (const TaskId& task : all) {
            if (Chance(random, 60)) {
              RC_ASSERT(queue.Remove(task));
              RC_ASSERT(!queue.Remove(task));
              leaves(task);
            }
          }
        }
        if (Chance(random, 10)) {
          counts.Add("table_changes");
          rows[random.UniformInt(6)].weight =
              1.0 + double(random.UniformInt(9));
          rows[random.UniformInt(6)].urgency = Urgency(random.UniformInt(3));
          queue.SetTable(MakeTable(rows));
        }
        break;
      default:
        clock.Advance(std::chrono::milliseconds(random.UniformInt(150)));
        for (const QueuedItem& item : queue.TakeExpired()) {
          counts.Add("expired");
          RC_ASSERT(item.deadline < clock.Now());
          leaves(item.task);
        }
        for (const auto& [task, item] : inside) {
          RC_ASSERT(item.deadline >= clock.Now());
        }
    }
    RC_ASSERT(queue.size() == int64_t(inside.size()));
    int64_t by_row = 0;
    for (const RowQueueState& row : queue.Rows()) {
      by_row += row.queued;
    }
    RC_ASSERT(by_row == queue.size());
  }
  clock.Advance(std::chrono::hours(2));
  for (const QueuedItem& item : queue.TakeExpired()) {
    leaves(item.task);
  }
  RC_ASSERT(inside.empty());
  RC_ASSERT(queue.size() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Shares)

// Guards against a row that gets more than its weighted share while others
// wait.
RC_BOOST_PROP(BackloggedRowsStayWithinOneItemOfTheirShare, ()) {
  static EventCounts counts("fair queue, weighted shares");
  util::Random random = PropertyRandom();
  FakeClock clock;
  FairQueue queue(clock, {});
  const int rows = 2 + int(random.UniformInt(6));
  std::vector<WorkRow> table;
  table.reserve(size_t(rows));
  std::vector<double> served(size_t(rows), 0);
  std::vector<double> largest(size_t(rows), 0);
  for (int i = 0; i < rows; ++i) {
    table.push_back(MakeRow("k" + std::to_string(i), Urgency::kNormal,
                            1.0 + double(random.UniformInt(10))));
  }
  queue.SetTable(MakeTable(table));
  int next = 0;
  const auto refill = [&](int row) {
    while (queue.QueuedOf(table[size_t(row)].kind) < 3) {
      QueuedItem item =
          MakeItem(clock, table[size_t(row)].kind, std::to_string(next++));
      item.cost = 0.1 + random.UniformReal() * (row + 1);
      largest[size_t(row)] = std::max(largest[size_t(row)], item.cost);
      queue.Push(item);
    }
  };
  for (int row = 0; row < rows; ++row) {
    refill(row);
  }
  for (int pop = 0; pop < 400; ++pop) {
    auto item = queue.PopFirst(AnyFits);
    RC_ASSERT(item.has_value());
    if (Chance(random, 10)) {
      counts.Add("refused_by_owner");
      queue.PutBack(*item);
      continue;
    }
    const auto row = size_t(std::stoi(item->kind.substr(1)));
    served[row] += item->cost;
    refill(int(row));
    for (size_t a = 0; a < served.size(); ++a) {
      for (size_t b = 0; b < served.size(); ++b) {
        const double lead =
            served[a] / table[a].weight - served[b] / table[b].weight;
        RC_ASSERT(lead <= largest[a] / table[a].weight +
                              largest[b] / table[b].weight + 1e-9);
      }
    }
  }
}

// Guards against a row that takes the whole cell for a while after it was idle.
BOOST_AUTO_TEST_CASE(IdleRowsSaveUpNoCredit) {
  FakeClock clock;
  FairQueue queue(clock, {});
  queue.SetTable(MakeTable({MakeRow("busy"), MakeRow("late")}));
  int next = 0;
  const auto push = [&](const std::string& kind) {
    queue.Push(MakeItem(clock, kind, std::to_string(next++)));
  };
  for (int i = 0; i < 500; ++i) {
    push("busy");
    BOOST_TEST(queue.PopFirst(AnyFits).has_value());
    push("busy");
  }
  for (int i = 0; i < 50; ++i) {
    push("late");
  }
  int late = 0;
  for (int i = 0; i < 40; ++i) {
    late += queue.PopFirst(AnyFits)->kind == "late" ? 1 : 0;
  }
  BOOST_TEST(late >= 19);
  BOOST_TEST(late <= 21);
}

// Guards against a row that loses its guaranteed share to rows with larger
// weights.
BOOST_AUTO_TEST_CASE(GuaranteedShareIsKept) {
  FakeClock clock;
  FairQueue queue(clock, {});
  WorkRow small = MakeRow("small", Urgency::kBatch, 0.01);
  small.guaranteed_share = 0.3;
  queue.SetTable(MakeTable({small, MakeRow("big", Urgency::kNormal, 100)}));
  for (int i = 0; i < 1000; ++i) {
    queue.Push(MakeItem(clock, "small", "s" + std::to_string(i)));
    queue.Push(MakeItem(clock, "big", "b" + std::to_string(i)));
  }
  int small_served = 0;
  for (int i = 0; i < 1000; ++i) {
    clock.Advance(std::chrono::milliseconds(10));
    small_served += queue.PopFirst(AnyFits)->kind == "small" ? 1 : 0;
  }
  BOOST_TEST(small_served >= 290);
  BOOST_TEST(small_served <= 400);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Classes)

// Guards against starvation of later classes by urgent work, and against urgent
// work that waits behind them.
RC_BOOST_PROP(NoClassStarves, ()) {
  static EventCounts counts("fair queue, classes");
  util::Random random = PropertyRandom();
  FakeClock clock;
  FairQueue::Options options;
  options.reserve_per_ten = 1 + int(random.UniformInt(4));
  FairQueue queue(clock, options);
  queue.SetTable(
      MakeTable({MakeRow("u", Urgency::kUrgent), MakeRow("n", Urgency::kNormal),
                 MakeRow("b", Urgency::kBatch)}));
  int next = 0;
  for (int i = 0; i < 300; ++i) {
    for (const char* kind : {"u", "n", "b"}) {
      queue.Push(MakeItem(clock, kind, std::to_string(next++)));
    }
  }
  std::vector<std::string> order;
  order.reserve(200);
  for (int i = 0; i < 200; ++i) {
    order.push_back(queue.PopFirst(AnyFits)->kind);
  }
  for (size_t i = 0; i + 10 <= order.size(); ++i) {
    const auto later =
        std::count_if(order.begin() + int(i), order.begin() + int(i) + 10,
                      [](const std::string& kind) { return kind != "u"; });
    RC_ASSERT(later >= options.reserve_per_ten);
    RC_ASSERT(later <= options.reserve_per_ten + 1);
  }
  for (const char* kind : {"n", "b"}) {
    const auto served = std::count(order.begin(), order.end(), kind);
    counts.Add(std::string("served_") + kind, served);
    RC_ASSERT(served >= 200 * options.reserve_per_ten / 10 / 2 - 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LargeItems)

// Guards against head-of-line blocking: an item that does not fit must not
// delay other rows, and must become a reservation candidate once it has been
// skipped often.
BOOST_AUTO_TEST_CASE(LargeItemDoesNotBlockAndBecomesReservationCandidate) {
  FakeClock clock;
  FairQueue queue(clock, {});
  queue.SetTable(MakeTable({MakeRow("large"), MakeRow("small")}));
  QueuedItem large = MakeItem(clock, "large", "l");
  large.size.cpu_milli = 30'000;
  queue.Push(large);
  const auto fits = [](const QueuedItem& item) {
    return item.size.cpu_milli <= 2000;
  };
  for (int i = 0; i < 30; ++i) {
    BOOST_TEST(queue.ReservationCandidate().has_value() == (i >= 20));
    queue.Push(MakeItem(clock, "small", std::to_string(i)));
    BOOST_TEST(queue.PopFirst(fits)->kind == "small");
  }
  BOOST_TEST(queue.ReservationCandidate()->task.str() == "r/l");
  BOOST_TEST(queue.ReservationCandidate()->size.cpu_milli == 30'000);
  BOOST_TEST(
      !queue.ReservationCandidate([](const QueuedItem&) { return false; }));
  BOOST_TEST(queue.PopFirst(AnyFits)->task.str() == "r/l");
  BOOST_TEST(!queue.ReservationCandidate().has_value());
}

BOOST_AUTO_TEST_CASE(DeadlineOrderInsideARow) {
  FakeClock clock;
  FairQueue queue(clock, {});
  for (int i = 0; i < 10; ++i) {
    QueuedItem item = MakeItem(clock, "k", std::to_string(i));
    item.deadline = clock.Now() + std::chrono::seconds(10 + (i * 7) % 10);
    queue.Push(item);
  }
  util::TimePoint last{};
  while (auto item = queue.PopFirst(AnyFits)) {
    BOOST_TEST((item->deadline >= last));
    last = item->deadline;
  }
}

// Guards against pops whose cost grows with the number of items that do not
// fit.
BOOST_AUTO_TEST_CASE(FitsIsCalledABoundedNumberOfTimesPerRow) {
  FakeClock clock;
  FairQueue queue(clock, {});
  for (int i = 0; i < 2000; ++i) {
    QueuedItem item =
        MakeItem(clock, "k" + std::to_string(i % 20), std::to_string(i));
    item.size.cpu_milli = 5000 - i;
    queue.Push(item);
  }
  int calls = 0;
  BOOST_TEST(!queue.PopFirst([&](const QueuedItem&) {
    ++calls;
    return false;
  }));
  BOOST_TEST(calls <= 4 * 20);
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
