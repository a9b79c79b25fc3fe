// In-memory cell on a fake clock for tests of JobManager: a store with faults,
// members that crash and pause and learn of each other's state with a delay,
// owners with worker leases, and workers that check that no task runs twice.
#ifndef CHIVEDALE_TESTING_JOB_CELL_H_
#define CHIVEDALE_TESTING_JOB_CELL_H_

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chivedale/job_manager.h"
#include "chivedale/job_record.h"
#include "chivedale/testing/fake_clock.h"
#include "chivedale/testing/policy_support.h"

namespace chivedale::testing {

class JobCell {
 public:
  struct Running {
    MemberId entry;
    util::TimePoint ends{};
  };
  struct Worker {
    WorkerId id;
    std::string rack;
    std::string data_centre;
    int64_t slots = 4;
    bool down = false;
    // State of the lease.
    MemberId owner;
    uint64_t token = 1;
    int boot = 1;
    util::TimePoint owner_seen{};
    std::map<TaskKey, Running> running;
    // Unacknowledged completions, with the entry that waits for each.
    std::map<TaskKey, std::pair<Answer, MemberId>> completions;
    std::map<TaskKey, util::TimePoint> answer_sent;
    std::map<uint64_t, std::pair<int64_t, util::TimePoint>> holds;

    int64_t Free() const;
    std::string boot_id() const { return "boot" + std::to_string(boot); }
  };
  struct Faults {
    int failing_percent = 0;     // attempts that fail
    int lost_percent = 0;        // lost messages
    int unknown_percent = 0;     // starts with an unknown outcome
    int lost_write_percent = 0;  // lost answers of the store
    bool store_down = false;
  };

  JobCell(util::Random& random, EventCounts& counts);
  ~JobCell();

  // Commands.
  void AddWorkers(int count, int per_rack);
  void SetRow(const WorkRow& row) { table_.rows[row.kind] = row; }
  MemberId StartMember(const std::string& name);
  void Crash(const MemberId& id);
  void Pause(const MemberId& id, Millis time);
  void FailRack(const std::string& rack);
  // Advances the clock in steps of 10 ms.
  void Run(Millis time);
  // Runs until `done` returns true; returns false if `limit` passes first.
  bool RunUntil(const std::function<bool()>& done, Millis limit);

  // Queries.
  JobManager& manager(const MemberId& id);
  std::vector<MemberId> live() const;
  // The record as stored.
  std::optional<JobRecord> Stored(const JobId& id) const;
  int64_t StartsOf(const TaskId& task) const;
  int64_t RunningOf(const JobId& id) const;
  bool is_up(const MemberId& id) const { return members_.count(id) > 0; }

  FakeClock clock;
  Faults faults;
  std::map<WorkerId, Worker> workers;
  int64_t writes = 0;

 private:
  class Store;
  class Listener;
  struct Member;

  void Post(Millis delay, std::function<void()> run);
  // Runs on a member: after its pause if it is paused, not at all if it is
  // gone.
  void PostTo(const MemberId& to, Millis delay, std::function<void()> run);
  Millis Delay() {
    return Millis(1 + static_cast<int64_t>(random_.UniformInt(8)));
  }
  void Send(const MemberId& from, const MemberId& to, const Message& message);
  void Receive(Member& member, const MemberId& from, const Message& message);
  void OnDispatch(Member& owner, const Dispatch& dispatch);
  void Start(Worker& worker, const Dispatch& dispatch);
  void OnQuery(Member& owner, const MemberId& from, const JobQuery& query);
  void OnHold(Member& owner, const MemberId& from, const Hold& hold);
  void Cancel(Member& owner, const TaskKey& key);
  void End(Worker& worker, const TaskKey& key, bool ok, ErrorKind error);
  void TickEntry(Member& member);
  void TickWorkers();
  void Claim(Worker& worker);
  void UpdateViews();
  std::vector<Summary> Summaries() const;

  util::Random& random_;
  EventCounts& counts_;
  Table table_;
  std::unique_ptr<Store> store_;
  std::map<MemberId, std::unique_ptr<Member>> members_;
  std::multimap<util::TimePoint, std::function<void()>> events_;
  std::map<TaskId, int64_t> starts_;
  uint64_t member_count_ = 0;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_JOB_CELL_H_
