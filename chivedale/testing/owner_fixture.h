// Several OwnerAgents over fake workers, with an entry that tracks its tasks as
// Dispatcher does, and injected faults. After each step the task runs that the
// workers recorded are compared with what the entry was told.
//
//   OwnerFixture fixture(options);
//   fixture.AddTask(...);
//   fixture.CrashNode(0);
//   fixture.Run(Millis(5'000));
//   BOOST_TEST(fixture.FirstViolation() == "");
#ifndef CHIVEDALE_TESTING_OWNER_FIXTURE_H_
#define CHIVEDALE_TESTING_OWNER_FIXTURE_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chivedale/owner_agent.h"
#include "chivedale/testing/fake_worker.h"

namespace chivedale::testing {

// Forwards calls to the workers unless its node is paused.
class NodePort final : public WorkerPort {
 public:
  NodePort(FakeCallbackQueue& queue, FakeWorker& workers)
      : queue_(queue), workers_(workers) {}

  // Pauses the process for this long between the check of its next start and
  // the send; `pause` pauses the rest of the process.
  void PauseInNextStart(Millis time, std::function<void()> pause) {
    start_pause_ = time;
    pause_ = std::move(pause);
  }
  void Pause() { paused_ = true; }
  void Resume();

  void Lease(const WorkerId& worker,
             const MemberId& owner,
             const LeaseToken& token,
             Millis ttl,
             std::function<void(LeaseResult)> done) override;
  void Release(const WorkerId& worker,
               const MemberId& owner,
               const LeaseToken& token,
               std::function<void(WorkerCallStatus)> done) override;
  void List(const WorkerId& worker,
            std::function<void(TaskList)> done) override;
  void Start(const WorkerId& worker,
             const StartRequest& request,
             std::function<void(StartOutcome)> done) override;
  void Completions(const WorkerId& worker,
                   const CompletionsRequest& request,
                   std::function<void(CompletionsResult)> done) override;
  void Control(const WorkerId& worker,
               const LeaseToken& token,
               const TaskKey& key,
               TaskControl control,
               std::function<void(WorkerCallStatus)> done) override;
  void SetAddress(const WorkerId&, const std::string&) override {}

 private:
  // Delays callbacks of a paused process until the end of the pause.
  template <typename Result>
  std::function<void(Result)> DelayWhilePaused(
      std::function<void(Result)> done);

  FakeCallbackQueue& queue_;
  FakeWorker& workers_;
  bool paused_ = false;
  Millis start_pause_{0};
  std::function<void()> pause_;
  std::vector<std::function<void()>> waiting_;
};

class OwnerFixture {
 public:
  struct Options {
    int nodes = 2;
    int workers = 3;
    Resources capacity{4'000, 8'192, 0, 4};
    bool fencing = true;
    uint64_t seed = 1;
    OwnerAgent::Options agent;
  };
  struct TaskState {
    enum class Phase { kIdle, kSent, kRunning, kDone, kGivenUp };
    Dispatch dispatch;
    Phase phase = Phase::kIdle;
    MemberId owner;
    WorkerId worker;
    uint64_t token = 0;
    std::string boot_id;
    util::TimePoint sent{};
    util::TimePoint owner_lost{};
    util::TimePoint not_before{};
    Answer answer;
  };

  explicit OwnerFixture(Options options);
  ~OwnerFixture();

  // Commands.
  // `script` is the payload, which controls the task in the worker model.
  TaskId AddTask(Dispatch dispatch, const std::string& script);
  void Run(Millis time);
  void CrashNode(size_t node);
  // After two seconds the other members consider the node dead.
  void PauseNode(size_t node, Millis time);
  void AddNode();
  void DrainNode(size_t node);
  void LoseMessages(Millis time);
  void DuplicateMessages(Millis time);
  void Reboot(size_t worker);
  // Delivers a message to a node immediately.
  void Send(size_t node, const Message& message);

  // Queries.
  size_t nodes() const { return nodes_.size(); }
  bool alive(size_t node) const;
  OwnerAgent& agent(size_t node);
  NodePort& port(size_t node);
  MemberId node_id(size_t node) const;
  WorkerModel& worker(size_t i) { return workers_.model(WorkerIdOf(i)); }
  FakeWorker& workers() { return workers_; }
  FakeClock& clock() { return clock_; }
  static WorkerId WorkerIdOf(size_t i);
  const TaskState& task(const TaskId& id) const { return tasks_.at(id); }
  int64_t owned() const;
  // Description of the first violated guarantee, or empty.
  const std::string& FirstViolation() const { return first_violation_; }
  // At the end of a history: what should have ended and has not.
  std::string Unfinished() const;
  // Messages that are not part of the protocol between entry and owners, in
  // order.
  const std::vector<std::pair<MemberId, Message>>& other_messages() const {
    return other_messages_;
  }
  std::map<std::string, int64_t>& faults() { return faults_; }
  MemberId entry_id() const { return MemberId("entry/1"); }

 private:
  struct Node;

  void Step(Millis step);
  void Deliver(const MemberId& from,
               const MemberId& to,
               const Message& message);
  void ToNode(const MemberId& to, const Message& message);
  void ToEntry(const MemberId& from, const Message& message);
  void OnReply(const MemberId& from, const DispatchReply& reply);
  void OnAnswer(const MemberId& from, const Answer& answer);
  void OnTaken(const WorkerTaken& taken);
  void EndLost(TaskState& task);
  void TickEntry();
  void NotifyMembers();
  void MarkDead(const MemberId& member);
  void Check();
  void ReportViolation(const std::string& what);
  TaskState* FindSent(const TaskKey& key);

  const Options options_;
  FakeClock clock_;
  FakeCallbackQueue queue_;
  FakeWorker workers_;
  util::Random random_;
  std::vector<std::unique_ptr<Node>> nodes_;
  std::set<MemberId> dead_;
  std::map<TaskId, TaskState> tasks_;
  // Attempts that were reported to the entry as not run.
  std::set<TaskKey> not_run_;
  std::set<TaskKey> answered_;
  std::set<WorkerId> rebooted_;
  std::vector<std::pair<MemberId, Message>> other_messages_;
  util::TimePoint lossy_until_{};
  util::TimePoint duplicating_until_{};
  uint64_t sequence_ = 0;
  int next_task_ = 0;
  std::string first_violation_;
  std::map<std::string, int64_t> faults_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_OWNER_FIXTURE_H_
