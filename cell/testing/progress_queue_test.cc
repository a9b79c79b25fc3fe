// Guards against changes of progress that are reported as stored and are not,
// and against older progress that overwrites newer one.
#include "cell/progress_queue.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace chivedale::cell {
namespace {

constexpr size_t kLanes = 2;
constexpr size_t kJobsPerWrite = 2;

// A write as the store sees it: executed only if its lane's sequence number is
// still the expected one.
struct SentWrite {
  size_t lane;
  int expected;
  std::map<JobId, int64_t> progress;  // number of the job's latest change
};

// Jobs whose progress is the number of their latest change, and a store.
struct World {
  ProgressQueue queue{kLanes, kJobsPerWrite};
  std::map<JobId, int64_t> progress;
  std::map<JobId, int64_t> stored;
  std::vector<int> sequence = std::vector<int>(kLanes);
  std::vector<int> known_sequence = std::vector<int>(kLanes);
  std::map<size_t, SentWrite> in_flight;
  std::vector<SentWrite> delayed;
  int64_t changes = 0;
  std::map<int64_t, std::pair<JobId, int64_t>> marks;  // by change of the queue

  void Change(const JobId& id) {
    progress[id] = ++changes;
    queue.Add(id);
    marks[changes] = {id, queue.last_change()};
  }

  void Send(size_t lane) {
    if (!queue.MayWrite(lane)) {
      return;
    }
    SentWrite write{lane, known_sequence[lane], {}};
    for (const JobId& id : queue.Take(lane)) {
      write.progress[id] = progress.at(id);
    }
    RC_ASSERT(write.progress.size() <= kJobsPerWrite);
    in_flight[lane] = write;
  }

  bool Execute(const SentWrite& write) {
    if (sequence[write.lane] != write.expected) {
      return false;
    }
    ++sequence[write.lane];
    for (const auto& [id, change] : write.progress) {
      RC_ASSERT(stored[id] <= change);
      stored[id] = change;
    }
    return true;
  }

  // Ends the lane's write: executed or in conflict with an earlier one; or
  // without an answer, executed now, later or never.
  void Answer(size_t lane, int fate) {
    const auto found = in_flight.find(lane);
    if (found == in_flight.end()) {
      return;
    }
    const SentWrite write = found->second;
    in_flight.erase(found);
    if (fate == 0) {
      const bool executed = Execute(write);
      known_sequence[lane] = sequence[lane];
      queue.OnWritten(lane, executed);
      return;
    }
    if (fate == 1) {
      Execute(write);
    } else if (fate == 2) {
      delayed.push_back(write);
    }
    queue.OnWritten(lane, false);
  }

  void Check() const {
    for (const auto& [change, mark] : marks) {
      if (mark.second <= queue.stored_change()) {
        RC_ASSERT(stored.at(mark.first) >= change);
      }
    }
  }
};

BOOST_AUTO_TEST_SUITE(AProgressQueue)

RC_BOOST_PROP(ReportsOnlyStoredChanges, ()) {
  World world;
  const auto steps =
      *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
          rc::gen::tuple(rc::gen::inRange(0, 4), rc::gen::inRange(0, 8),
                         rc::gen::inRange(0, 4)));
  for (const auto& [kind, which, fate] : steps) {
    const size_t lane = static_cast<size_t>(which) % kLanes;
    if (kind == 0) {
      world.Change(std::to_string(which % 4));
    } else if (kind == 1) {
      world.Send(lane);
    } else if (kind == 2) {
      world.Answer(lane, fate);
    } else if (!world.delayed.empty()) {
      world.Execute(world.delayed.front());
      world.delayed.erase(world.delayed.begin());
    }
    world.Check();
  }
  // Once writes are answered, everything is stored.
  for (int i = 0;
       i < 100 && world.queue.stored_change() < world.queue.last_change();
       ++i) {
    for (size_t lane = 0; lane < kLanes; ++lane) {
      world.Send(lane);
      world.Answer(lane, 0);
    }
  }
  RC_ASSERT(world.queue.stored_change() == world.queue.last_change());
  RC_ASSERT(world.stored == world.progress);
  RC_ASSERT(!world.queue.waiting());
}

BOOST_AUTO_TEST_CASE(WritesTheOldestChangesFirst) {
  ProgressQueue queue(kLanes, kJobsPerWrite);
  for (const char* id : {"c", "b", "a", "c"}) {
    queue.Add(id);
  }
  BOOST_TEST((queue.Take(0) == std::vector<JobId>{"c", "b"}));
}

// A cell with few changes makes as few writes as with one lane.
BOOST_AUTO_TEST_CASE(UsesOtherLanesOnlyForFullWrites) {
  ProgressQueue queue(kLanes, kJobsPerWrite);
  queue.Add("a");
  BOOST_TEST(!queue.MayWrite(1));
  queue.Add("b");
  BOOST_TEST(queue.MayWrite(1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
