// Guards against changes of progress that are reported as stored and are not,
// and against older progress that overwrites newer one.
#include "cell/progress_queue.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
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
    marks[changes] = {id, queue.LastChangeOf(id)};
  }

  void Send(size_t lane) {
    if (!queue.MayWrite(lane)) {
      return;
    }
    SentWrite write{lane, known_sequence[lane], {}};
    queue.Take(lane, [&](const JobId& id) {
      write.progress[id] = progress.at(id);
      return true;
    });
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
      queue.OnWritten(lane,
                      executed ? WriteResult::kStored : WriteResult::kFailed);
      return;
    }
    if (fate == 1) {
      Execute(write);
    } else if (fate == 2) {
      delayed.push_back(write);
    }
    queue.OnWritten(lane, WriteResult::kFailed);
  }

  void Check() const {
    for (const auto& [change, mark] : marks) {
      if (queue.IsStored(mark.first, mark.second)) {
        RC_ASSERT(stored.at(mark.first) >= change);
      }
    }
  }

  // Whether all changes are reported as stored.
  bool AllStored() const {
    return std::all_of(marks.begin(), marks.end(), [&](const auto& entry) {
      const auto& [id, change] = entry.second;
      return queue.IsStored(id, change);
    });
  }
};

std::vector<JobId> Taken(ProgressQueue& queue, size_t lane) {
  std::vector<JobId> jobs;
  queue.Take(lane, [&](const JobId& id) {
    jobs.push_back(id);
    return true;
  });
  return jobs;
}

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
  for (int i = 0; i < 100 && !world.AllStored(); ++i) {
    for (size_t lane = 0; lane < kLanes; ++lane) {
      world.Send(lane);
      world.Answer(lane, 0);
    }
  }
  RC_ASSERT(world.AllStored());
  RC_ASSERT(world.stored == world.progress);
  RC_ASSERT(!world.queue.waiting());
}

BOOST_AUTO_TEST_CASE(WritesTheOldestChangesFirst) {
  ProgressQueue queue(kLanes, kJobsPerWrite);
  for (const char* id : {"c", "b", "a", "c"}) {
    queue.Add(id);
  }
  BOOST_TEST((Taken(queue, 0) == std::vector<JobId>{"c", "b"}));
}

// Regression (review/5, Acks): a job whose progress the store rejects kept the
// progress of all jobs from being stored.
BOOST_AUTO_TEST_CASE(StoresTheOtherJobsOfARejectedWrite) {
  constexpr char kInvalid[] = "invalid";
  ProgressQueue queue(1, 4);
  for (const char* id : {"a", "b", kInvalid, "c", "d", "e"}) {
    queue.Add(id);
  }
  int writes = 0;
  while (queue.MayWrite(0) && writes < 20) {
    ++writes;
    const std::vector<JobId> jobs = Taken(queue, 0);
    const bool rejected =
        std::find(jobs.begin(), jobs.end(), kInvalid) != jobs.end();
    queue.OnWritten(0,
                    rejected ? WriteResult::kRejected : WriteResult::kStored);
  }
  BOOST_TEST(writes < 10);
  for (const char* id : {"a", "b", "c", "d", "e"}) {
    BOOST_TEST(!queue.Contains(id));
  }
  BOOST_TEST(queue.LastChangeOf(kInvalid) == 3);
  BOOST_TEST(!queue.IsStored(kInvalid, 3));
  BOOST_TEST(!queue.waiting());
  queue.RetryRejected();
  BOOST_TEST(queue.waiting());
  BOOST_TEST((Taken(queue, 0) == std::vector<JobId>{kInvalid}));
  queue.OnWritten(0, WriteResult::kStored);
  BOOST_TEST(queue.IsStored(kInvalid, 3));
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
