// Tests single steps of a job's manager, with owners simulated by the test:
// what it may send before its record is in the store, whom it queries, and how
// it interprets missing replies and missing attempts.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <variant>

#include "chivedale/job_manager.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/testing/policy_support.h"

namespace chivedale::testing {
namespace {

const MemberId self_id("m0");
const MemberId first_owner("o1");
const MemberId second_owner("o2");
const WorkerId worker_id("w1");
const JobId job_id("a");

TaskKey KeyOf(int64_t index, uint32_t attempt) {
  return {JobTaskId(job_id, index), attempt};
}

WorkRow RowOf(const std::string& kind, WorkShape shape) {
  WorkRow row = MakeRow(kind);
  row.shape = shape;
  row.size = {1'000, 512, 0, 1};
  row.max_retries = 2;
  return row;
}

// A record as an earlier manager left it: epoch 3, all tasks in attempt 1.
JobRecord RecordOf(const std::string& kind, int64_t tasks, TaskPhase phase) {
  JobRecord record;
  record.spec.id = job_id;
  record.spec.kind = kind;
  record.spec.tasks = tasks;
  record.submitted_tasks = tasks;
  record.epoch = 3;
  record.manager = MemberId("old");
  record.nonce = "n";
  record.tasks.resize(size_t(tasks));
  for (JobTaskRecord& task : record.tasks) {
    task.phase = phase;
    task.attempt = phase == TaskPhase::kWaiting ? 0 : 1;
    task.worker = phase == TaskPhase::kWaiting ? WorkerId() : worker_id;
  }
  return record;
}

class Listener final : public JobListener {
 public:
  void Enqueue(const Dispatch& dispatch, util::TimePoint) override {
    enqueued.push_back(dispatch);
  }
  void CancelAttempt(const TaskKey& key, const MemberId&) override {
    cancelled.push_back(key);
  }
  void SendToMember(const MemberId& to, const Message& message) override {
    sent.emplace_back(to, message);
  }
  void RemoveFromQueue(const TaskKey& key) override { removed.push_back(key); }
  const WorkRow* FindRow(const std::string& kind) const override {
    return table.FindRow(kind);
  }
  std::vector<Summary> Summaries() const override { return {}; }

  Table table = MakeTable({RowOf("batch", WorkShape::kTask),
                           RowOf("gang", WorkShape::kGang),
                           RowOf("service", WorkShape::kService)});
  std::vector<Dispatch> enqueued;
  std::vector<TaskKey> cancelled;
  std::vector<TaskKey> removed;
  std::vector<std::pair<MemberId, Message>> sent;
};

// Draining members own workers but manage no jobs, so self_id manages all jobs.
struct OneManager {
  OneManager() { SetOwners({first_owner, second_owner}); }

  void SetOwners(const std::vector<MemberId>& owners) {
    std::vector<MemberInfo> members(1);
    members[0].id = self_id;
    members[0].state = MemberState::kLive;
    for (const MemberId& owner : owners) {
      MemberInfo info;
      info.id = owner;
      info.state = MemberState::kDraining;
      members.push_back(info);
    }
    manager.SetMembers(members);
  }

  void Store(const JobRecord& record, uint64_t expected = 0) {
    store.model().Put(JobKey(job_id), ToJson(record), expected);
    if (expected == 0) {
      store.model().Put(JobIndexKey(job_id), "{}", 0);
    }
  }
  uint64_t Revision() {
    return store.model().Get(JobKey(job_id)).entries.front().revision;
  }
  JobRecord Stored() {
    return ParseJobRecord(
        store.model().Get(JobKey(job_id)).entries.front().value);
  }

  void Run(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(10)) {
      queue.Advance(Millis(10));
      manager.Tick();
    }
  }

  // Replies for an owner, or for this member itself, to the query of the
  // current round.
  void Reply(const MemberId& owner, const std::vector<JobAttempt>& present) {
    const JobQuery query = LastQuery(owner);
    JobQueryReply reply;
    reply.job = job_id;
    reply.epoch = query.epoch;
    reply.round = query.round;
    reply.present = present;
    manager.OnJobQueryReply(owner, reply);
  }
  void RunRepliesEmpty(Millis time) {
    for (Millis passed{0}; passed < time; passed += Millis(100)) {
      Run(Millis(100));
      for (const MemberId& owner : {self_id, first_owner, second_owner}) {
        if (CountSent<JobQuery>(owner) > 0) {
          Reply(owner, {});
        }
      }
    }
  }

  JobQuery LastQuery(const MemberId& to) const {
    JobQuery last;
    for (const auto& [receiver, message] : listener.sent) {
      const auto* query = std::get_if<JobQuery>(&message);
      last = receiver == to && query != nullptr ? *query : last;
    }
    return last;
  }
  template <typename T>
  int64_t CountSent(const MemberId& to) const {
    return std::count_if(
        listener.sent.begin(), listener.sent.end(), [&](const auto& each) {
          return each.first == to && std::holds_alternative<T>(each.second);
        });
  }

  // A job of this kind whose tasks all run at first_owner.
  void RunAtFirstOwner(const std::string& kind, int64_t tasks) {
    Store(RecordOf(kind, tasks, TaskPhase::kRunning));
    Run(Millis(200));
    std::vector<JobAttempt> present;
    for (int64_t i = 0; i < tasks; ++i) {
      present.push_back({KeyOf(i, 1), worker_id});
    }
    Reply(first_owner, present);
    Run(Millis(200));
    listener.sent.clear();
  }
  void AnswerFrom(const MemberId& owner, int64_t i, bool ok, Ran ran) {
    Answer answer;
    answer.key = KeyOf(i, 1);
    answer.ok = ok;
    answer.ran = ran;
    manager.OnAnswer(owner, answer);
  }
  void ReportLost(const MemberId& owner) {
    Answer answer;
    answer.key = KeyOf(0, 1);
    answer.error = ErrorKind::kOutcomeUnknown;
    answer.ran = Ran::kUnknown;
    manager.OnAnswer(owner, answer);
  }
  std::vector<JobTaskStatus> Tasks() const {
    const std::vector<JobStatus> managed = manager.Managed();
    return managed.empty() ? std::vector<JobTaskStatus>()
                           : managed.front().tasks;
  }

  FakeClock clock;
  FakeCallbackQueue queue{clock, 1};
  FakeStore store{queue};
  util::Random random{1};
  Listener listener;
  JobManager manager{clock, random, store, listener, self_id, {}};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(JobSteps)

BOOST_AUTO_TEST_SUITE(Claims)

// Guards against starts of an earlier manager, or of this member's earlier
// claim, that owners cannot recognize: owners refuse starts by epoch.
BOOST_FIXTURE_TEST_CASE(RaiseTheEpochAndFenceAtAllOwners, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kStarting));
  Run(Millis(300));
  BOOST_TEST(Stored().epoch == 4U);
  BOOST_TEST(Stored().manager == self_id);
  for (const MemberId& owner : {self_id, first_owner, second_owner}) {
    BOOST_REQUIRE(CountSent<JobQuery>(owner) > 0);
    BOOST_TEST(LastQuery(owner).epoch == 4U);
    BOOST_REQUIRE(LastQuery(owner).attempts.size() == 1U);
    BOOST_TEST((LastQuery(owner).attempts[0].key == KeyOf(0, 1)));
  }
  BOOST_TEST(listener.enqueued.empty());
}

// Guards against a start of a paused manager at an owner that joined after the
// takeover and therefore was not queried.
BOOST_FIXTURE_TEST_CASE(FenceAtOwnersThatJoinLater, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kStarting));
  const MemberId third("o3");
  Run(Millis(300));
  Reply(first_owner, {{KeyOf(0, 1), worker_id}});
  SetOwners({first_owner, second_owner, third});
  BOOST_REQUIRE(CountSent<JobQuery>(third) == 1);
  BOOST_TEST(LastQuery(third).epoch == 4U);
}

// Guards against messages of a manager whose claim is not in the store.
BOOST_FIXTURE_TEST_CASE(SendNothingBeforeTheyAreStored, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kRunning));
  store.faults().delay = Millis(100);
  while (store.counts().writes == 0) {
    Run(Millis(10));
  }
  store.faults().down = true;
  Run(Millis(50));
  BOOST_TEST(listener.sent.empty());
}

// Guards against a takeover that was delayed by the store and counts this delay
// as silence of the owners, which would restart running tasks.
BOOST_FIXTURE_TEST_CASE(DoNotCountStoreDelayAsOwnerSilence, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kRunning));
  store.faults().delay = Millis(100);
  while (store.counts().writes == 0) {
    Run(Millis(10));
    store.faults().down = store.counts().writes > 0;
  }
  store.model().Put("other", "{}", 0);
  store.faults().lose_writes = 1;
  Run(Millis(60'000));
  store.faults().down = false;
  store.faults().lose_writes = 0;
  store.faults().delay = Millis(1);
  RunRepliesEmpty(Millis(4'000));
  BOOST_TEST(Tasks().size() == 1U);
  BOOST_TEST(Tasks()[0].attempt == 1U);
  BOOST_TEST(listener.enqueued.empty());
  Reply(first_owner, {{KeyOf(0, 1), worker_id}});
  Run(Millis(10'000));
  BOOST_TEST((Tasks()[0].phase == TaskPhase::kRunning));
  BOOST_TEST(listener.enqueued.empty());
}

// Guards against two managers after a conflict: the record that is read back
// belongs to another member.
BOOST_FIXTURE_TEST_CASE(OfAnotherMemberAreRecognizedByTheNonce, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kStarting));
  store.faults().delay = Millis(100);
  while (store.counts().writes == 0) {
    Run(Millis(10));
  }
  JobRecord other = RecordOf("batch", 1, TaskPhase::kStarting);
  other.epoch = 4;
  other.manager = MemberId("other");
  other.nonce = "x";
  Store(other, Revision());
  Run(Millis(1'000));
  BOOST_TEST(manager.Managed().empty());
  BOOST_TEST(listener.sent.empty());
  BOOST_TEST(Stored().manager == MemberId("other"));
}

// Guards against a claim that is repeated because its answer was lost.
BOOST_FIXTURE_TEST_CASE(WithALostAnswerAreRecognizedByTheNonce, OneManager) {
  store.faults().lose_writes = 1;
  Store(RecordOf("batch", 1, TaskPhase::kStarting));
  Run(Millis(1'000));
  BOOST_TEST(manager.Managed().size() == 1U);
  BOOST_TEST(Stored().epoch == 4U);
}

// Guards against a manager with nothing to write that keeps a job which another
// member has claimed.
BOOST_FIXTURE_TEST_CASE(ThatAreStaleAreDetectedWithoutAWrite, OneManager) {
  RunAtFirstOwner("batch", 1);
  JobRecord other = Stored();
  other.epoch = 9;
  other.manager = MemberId("other");
  other.nonce = "x";
  Store(other, Revision());
  Run(Millis(1'000));
  // Nothing has shown the other claim yet.
  BOOST_TEST(manager.Managed().size() == 1U);
  queue.Advance(Millis(1'500));  // pause of the process
  Run(Millis(500));
  BOOST_TEST(manager.Managed().empty());
  BOOST_TEST(Stored().epoch == 9U);
  // Attempts that stay registered here would count as running forever.
  BOOST_REQUIRE(listener.removed.size() == 1U);
  BOOST_TEST((listener.removed[0] == KeyOf(0, 1)));
}

BOOST_FIXTURE_TEST_CASE(AreCheckedEachMinute, OneManager) {
  RunAtFirstOwner("batch", 1);
  JobRecord other = Stored();
  other.epoch = 9;
  other.manager = MemberId("other");
  other.nonce = "x";
  Store(other, Revision());
  Run(Millis(61'000));
  BOOST_TEST(manager.Managed().empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Writes)

// Guards against an acknowledged completion whose outcome is not in the store:
// after a takeover the task would run again.
BOOST_FIXTURE_TEST_CASE(ComeBeforeAcknowledgements, OneManager) {
  RunAtFirstOwner("batch", 2);
  store.faults().down = true;
  AnswerFrom(first_owner, 0, true, Ran::kYes);
  Run(Millis(2'000));
  AnswerFrom(first_owner, 0, true, Ran::kYes);  // resent
  Run(Millis(2'000));
  BOOST_TEST(CountSent<AnswerAck>(first_owner) == 0);
  store.faults().down = false;
  Run(Millis(500));
  BOOST_TEST((Stored().tasks[0].phase == TaskPhase::kSucceeded));
  BOOST_TEST(CountSent<AnswerAck>(first_owner) >= 1);
}

BOOST_FIXTURE_TEST_CASE(ComeBeforeStarts, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kWaiting));
  store.faults().delay = Millis(100);
  while (listener.enqueued.empty() && store.counts().writes < 3) {
    Run(Millis(10));
  }
  BOOST_REQUIRE(listener.enqueued.size() == 1U);
  BOOST_TEST(Stored().tasks[0].attempt == 1U);
  BOOST_TEST((Stored().tasks[0].phase == TaskPhase::kStarting));
}

// Guards against one write per task: the store serves several hundred per
// second for the whole cell. One write per 100 ms and job is the limit.
BOOST_FIXTURE_TEST_CASE(AreSharedByManyTasks, OneManager) {
  RunAtFirstOwner("batch", 100);
  const int64_t before = store.counts().writes;
  for (int64_t i = 0; i < 100; ++i) {
    AnswerFrom(first_owner, i, true, Ran::kYes);
    Run(Millis(10));
  }
  Run(Millis(200));
  BOOST_TEST(store.counts().writes - before <= 12);
  BOOST_TEST((Stored().phase == JobPhase::kSucceeded));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Attempts)

// Guards against an attempt that is considered running forever because the
// message with its end was lost.
BOOST_FIXTURE_TEST_CASE(AreConfirmedWithTheirOwner, OneManager) {
  RunAtFirstOwner("batch", 1);
  Run(Millis(31'000));
  BOOST_REQUIRE(CountSent<JobQuery>(first_owner) == 1);
  BOOST_TEST(CountSent<JobQuery>(second_owner) == 0);
  BOOST_TEST(LastQuery(first_owner).attempts.size() == 1U);
  Reply(first_owner, {});
  Run(Millis(200));
  BOOST_TEST(CountSent<JobQuery>(second_owner) == 1);
}

// Guards against tasks that stay assigned to an owner that is gone.
BOOST_FIXTURE_TEST_CASE(OfAMemberThatLeftAreQueried, OneManager) {
  RunAtFirstOwner("batch", 1);
  SetOwners({second_owner});
  Run(Millis(200));
  BOOST_TEST(CountSent<JobQuery>(second_owner) == 1);
  Reply(second_owner, {{KeyOf(0, 1), worker_id}});
  Run(Millis(20'000));
  BOOST_TEST((Tasks()[0].phase == TaskPhase::kRunning));
  BOOST_TEST(Tasks()[0].owner == second_owner);
}

// Guards against a second start while the first still runs: a member that left
// may have owned the worker and so kept the task running until then.
BOOST_FIXTURE_TEST_CASE(ContinueAfterAnotherMemberLeft, OneManager) {
  RunAtFirstOwner("batch", 1);
  SetOwners({second_owner});
  RunRepliesEmpty(Millis(6'000));
  SetOwners({});
  RunRepliesEmpty(Millis(6'000));
  BOOST_TEST(Tasks()[0].attempt == 1U);
  RunRepliesEmpty(Millis(5'000));
  BOOST_TEST(Tasks()[0].attempt == 2U);
}

// Guards against an unrepeatable task that runs twice: an accepted attempt has
// started, so its absence does not mean that it never ran.
BOOST_FIXTURE_TEST_CASE(ThatWereAcceptedAndAreMissingMayHaveRun, OneManager) {
  listener.table.rows["batch"].repeatable = false;
  Store(RecordOf("batch", 1, TaskPhase::kWaiting));
  Run(Millis(500));
  BOOST_REQUIRE(listener.enqueued.size() == 1U);
  DispatchReply reply;
  reply.key = KeyOf(0, 1);
  reply.outcome = DispatchOutcome::kAccepted;
  reply.worker = worker_id;
  reply.token = 5;
  reply.boot_id = "b";
  manager.OnDispatchReply(first_owner, reply);
  Run(Millis(200));
  WorkerTaken taken;
  taken.worker = worker_id;
  taken.owner = second_owner;
  taken.token = 6;
  taken.boot_id = "b";
  manager.OnWorkerTaken(taken);
  Run(Millis(5'000));
  BOOST_TEST(listener.enqueued.size() == 1U);
  BOOST_TEST((Stored().phase == JobPhase::kFailed));
}

// Guards against a second start while the first still runs: an owner that was
// paused for longer than the orphan timeout reports its tasks as lost, while
// the worker's current owner still has them.
BOOST_FIXTURE_TEST_CASE(ReportedLostByAPausedOwnerContinue, OneManager) {
  RunAtFirstOwner("batch", 1);
  WorkerTaken taken;
  taken.worker = worker_id;
  taken.owner = second_owner;
  taken.running = {KeyOf(0, 1)};
  taken.token = 6;
  taken.boot_id = "b";
  manager.OnWorkerTaken(taken);
  Run(Millis(200));
  listener.sent.clear();
  ReportLost(first_owner);
  Run(Millis(1'500));
  BOOST_TEST(CountSent<AnswerAck>(first_owner) == 1);
  BOOST_REQUIRE(CountSent<JobQuery>(second_owner) >= 1);
  Reply(first_owner, {});
  Reply(second_owner, {{KeyOf(0, 1), worker_id}});
  Run(Millis(15'000));
  BOOST_TEST((Tasks()[0].phase == TaskPhase::kRunning));
  BOOST_TEST(Tasks()[0].owner == second_owner);
  BOOST_TEST(Tasks()[0].attempt == 1U);
  BOOST_TEST(listener.enqueued.empty());
}

// Same as above, before any owner has replied to the new manager.
BOOST_FIXTURE_TEST_CASE(ReportedLostAfterATakeoverContinue, OneManager) {
  Store(RecordOf("batch", 1, TaskPhase::kRunning));
  Run(Millis(300));
  ReportLost(first_owner);
  Run(Millis(1'500));
  Reply(second_owner, {{KeyOf(0, 1), worker_id}});
  Run(Millis(15'000));
  BOOST_TEST(Tasks()[0].owner == second_owner);
  BOOST_TEST(listener.enqueued.empty());
}

// Guards against a long wait for a task that its worker has stopped: the
// current owner has read the worker and does not have it.
BOOST_FIXTURE_TEST_CASE(ReportedLostAndMissingAreRestarted, OneManager) {
  RunAtFirstOwner("batch", 1);
  ReportLost(first_owner);
  Run(Millis(200));
  JobQueryReply reply;
  reply.job = job_id;
  reply.epoch = LastQuery(first_owner).epoch;
  reply.round = LastQuery(first_owner).round;
  reply.absent = {KeyOf(0, 1)};
  manager.OnJobQueryReply(first_owner, reply);
  Run(Millis(1'000));
  BOOST_REQUIRE(listener.enqueued.size() == 1U);
  BOOST_TEST((listener.enqueued[0].key == KeyOf(0, 2)));
}

BOOST_FIXTURE_TEST_CASE(ThatNoOwnerHasMayHaveRun, OneManager) {
  listener.table.rows["batch"].repeatable = false;
  RunAtFirstOwner("batch", 1);
  SetOwners({second_owner});
  RunRepliesEmpty(OrphanTimeout() + Millis(2'000));
  Run(Millis(500));
  BOOST_TEST(listener.enqueued.empty());
  BOOST_TEST((Stored().phase == JobPhase::kFailed));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Gangs)

// Guards against tasks of a gang that keep running, and keep their capacity,
// after another one has failed permanently.
BOOST_FIXTURE_TEST_CASE(EndAsAWholeWhenOneTaskFailsPermanently, OneManager) {
  listener.table.rows["gang"].max_retries = 0;
  RunAtFirstOwner("gang", 3);
  AnswerFrom(first_owner, 0, false, Ran::kYes);
  Run(Millis(200));
  BOOST_TEST(std::count(listener.cancelled.begin(), listener.cancelled.end(),
                        KeyOf(1, 1)) == 1);
  BOOST_TEST(std::count(listener.cancelled.begin(), listener.cancelled.end(),
                        KeyOf(2, 1)) == 1);
  AnswerFrom(first_owner, 1, false, Ran::kYes);
  AnswerFrom(first_owner, 2, false, Ran::kYes);
  Run(Millis(500));
  BOOST_TEST((Stored().phase == JobPhase::kFailed));
  BOOST_TEST(Stored().reason ==
             "task 0 of the gang: The endpoint reported a failure");
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
