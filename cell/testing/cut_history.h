// A random history of a cell of five to seven members in two or three data
// centres that are cut off from each other, together with all other faults.
// Several faults overlap; the store may be on either side of a cut.
//
//   CutHistory history(seed, CutHistory::Options());
//   history.Run();
//   history.Check();
#ifndef CELL_TESTING_CUT_HISTORY_H_
#define CELL_TESTING_CUT_HISTORY_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cell/testing/fake_cell.h"
#include "cell/testing/history_check.h"
#include "util/random.h"

namespace chivedale::cell::testing {

class CutHistory {
 public:
  struct Options {
    int rounds = 200;  // each with a job and, one in five, a fault
    // Whether all members may be lost for good at once.
    bool replaces_members = false;
    // Whether executors join, and are lost or cut off within 10 s as the leader
    // ends.
    bool joins_executors = false;
  };

  CutHistory(uint64_t seed, const Options& options)
      : options_(options), cell_(seed), random_(seed ^ 0x2545f491) {}

  // Fails the property if a job waits longer than kMaxIdleWait although it
  // could run, SettleTime() after the last fault. kUnlistedFencingDelay is
  // added if a member that was not on the roster was elected and an executor
  // was lost for good, which then cannot answer that member.
  void Run();

  // Fails the property if an executor saw a violation, or accepted jobs have
  // not ended as they should.
  void Check();

 private:
  void Build();
  void Submit();
  // Runs the cell and notes whether a member that is not on the roster was
  // elected.
  void RunFor(Millis time);
  void EndFaults();
  void AwaitJobs();
  void NoteStates();
  // Maximum time in which all accepted jobs end on a cell without faults, from
  // the time at which no job waits longer than kMaxIdleWait.
  Millis WorkTime() const;

  void InjectFault();
  void InjectMemberFault();
  void InjectStoreFault();
  void InjectExecutorFault();
  // Adds executors, or starts some again, and has them and others fail soon.
  void JoinExecutors();
  // Some of these are lost for good, or cut off from all members for a while;
  // the leader ends at about the same time.
  void FailWithLeader(const std::vector<ExecutorId>& ids);
  void CutDataCentres();
  void CutLinks();
  void AddMember();
  void EndMembers(const std::set<std::string>& members, bool power);
  // All members are lost for good, and others come at new addresses.
  void ReplaceMembers();
  // Faults of the links between random members and all or some executors.
  void FailLinks(const LinkFaults& faults);

  uint64_t Pick(size_t count) { return random_.UniformInt(count); }
  bool OneIn(size_t count) { return Pick(count) == 0; }
  Millis PickTime(Millis least, Millis most);
  std::string PickMember();
  std::string PickLeader();
  std::set<std::string> PickMembers();
  ExecutorId PickExecutor();
  std::vector<ExecutorId> PickExecutors();
  void Later(Millis delay, std::function<void()> run) {
    cell_.loop.After(delay, std::move(run));
  }

  const Options options_;
  FakeCell cell_;
  util::Random random_;
  RandomWaves waves_{cell_};
  std::vector<std::string> members_;
  size_t data_centres_ = 2;
  int jobs_ = 0;
  int partitions_ = 0;  // cuts and partitions so far
  bool narrow_ = false;
  bool faulty_ = true;  // some runs fail
  bool unlisted_elected_ = false;
  bool executor_lost_ = false;
  int replacements_ = 0;  // of all members
  std::map<JobId, SeenJob> seen_;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_CUT_HISTORY_H_
