// Fixture of tests with cuts: seven members, six executors and two queues. The
// destructor reports each violation seen by the executors as a test failure.
//
//   LargeCell cell;
//   cell.SubmitJobs();
//   cell.CutOff(cell.LeaderAnd(2), {"e1", "e2"});
#ifndef CELL_TESTING_LARGE_CELL_H_
#define CELL_TESTING_LARGE_CELL_H_

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell::testing {

// Until the leader has stored that no unknown lease is left on an executor, a
// successor waits for longer than kCutTime.
inline constexpr Millis kSettleTime{20'000};
inline constexpr Millis kCutTime{15'000};
inline constexpr Millis kRecoveryTime{25'000};
inline constexpr int64_t kHalfExecutor = 16'000;

struct LargeCell : FakeCell {
  // `clock_speed`: of the executors.
  explicit LargeCell(uint64_t seed = 1, double clock_speed = 1.0)
      : FakeCell(seed) {
    executors.clock_speed = clock_speed;
    for (const std::string& name : names) {
      AddNode(name);
    }
    AddExecutors("pool", 6, {32'000, 64'000, 0, 0});
    SetQueue(MakeQueue(0));
    SetQueue(MakeQueue(2));
    RunFor(kSettleTime);
  }
  ~LargeCell() {
    for (const std::string& what : executors.violations()) {
      BOOST_ERROR(what);
    }
  }
  std::string LeaderName() {
    for (const std::string& name : names) {
      if (node(name) != nullptr && node(name)->leading()) {
        return name;
      }
    }
    return "";
  }
  // The leader and `count` other members.
  std::set<std::string> LeaderAnd(size_t count) {
    std::set<std::string> members = {LeaderName()};
    for (size_t i = 0; members.size() <= count; ++i) {
      members.insert(names[i]);
    }
    return members;
  }
  std::string MemberOutside(const std::set<std::string>& members) const {
    return *std::find_if(
        names.begin(), names.end(),
        [&](const std::string& name) { return members.count(name) == 0; });
  }
  // Long tasks on half of each executor, and short ones for the rest.
  void SubmitJobs() {
    Submit(LeaderName(), kJobId, MakeJobSpec(6, Millis(30'000), kHalfExecutor),
           "q2");
    RunFor(Millis(200));
    SubmitShortJob(LeaderName());
    RunFor(Millis(200));
  }
  JobId SubmitShortJob(const std::string& member) {
    const std::string number = std::to_string(++short_jobs);
    JobId id = std::string(16 - number.size(), '0') + number;
    Submit(member, id, MakeJobSpec(4, Millis(1'500), 2'000), "q0");
    return id;
  }
  // Submits a job a second to a member of each side.
  void RunCut(const std::set<std::string>& side, Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(1'000)) {
      SubmitShortJob(*side.begin());
      SubmitShortJob(MemberOutside(side));
      RunFor(Millis(1'000));
    }
  }
  void ExpectAllJobsToEnd() {
    RunFor(kRecoveryTime);
    for (int i = 0; i < 40 && executors.running() > 0; ++i) {
      RunFor(Millis(1'000));
    }
    RunFor(Millis(1'000));
    BOOST_TEST(accepted().count(kJobId) == 1u);
    for (const JobId& id : accepted()) {
      BOOST_TEST((StateOf(id) == JobState::kCompleted), id);
    }
  }

  const std::vector<std::string> names = {"a", "b", "c", "d", "e", "f", "g"};
  int short_jobs = 0;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_LARGE_CELL_H_
