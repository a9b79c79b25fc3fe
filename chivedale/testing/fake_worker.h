// In-memory WorkerPort over any number of WorkerModels. Each call consists of
// two events in the queue: its effect, then its callback.
//
//   FakeWorker workers(queue);
//   workers.Add({WorkerId("w-1")});
//   workers.model(WorkerId("w-1")).faults().lose_starts = 1;
//   workers.Lease(WorkerId("w-1"), self, {}, Millis(2000), [](auto r) { ... });
//   queue.Advance(Millis(10));
//   BOOST_TEST(workers.task_runs().violations().total() == 0);
#ifndef CHIVEDALE_TESTING_FAKE_WORKER_H_
#define CHIVEDALE_TESTING_FAKE_WORKER_H_

#include <list>
#include <map>
#include <memory>
#include <string>

#include "chivedale/ports.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/worker_model.h"

namespace chivedale::testing {

class FakeWorker final : public WorkerPort {
 public:
  explicit FakeWorker(FakeCallbackQueue& queue) : queue_(queue) {}

  // Commands. An added worker can be called immediately, without SetAddress.
  void Add(WorkerOptions options);
  // Makes later calls end with kNotSent, as for a worker that is not listening.
  void Remove(const WorkerId& worker);
  // Ends the pause and answers the calls that arrived during it.
  void Resume(const WorkerId& worker);
  // Delay between a call and its effect, and between the effect and the
  // callback.
  void set_delay(Millis delay) { delay_ = delay; }
  // Time after which a call to a dead worker ends.
  void set_timeout(Millis timeout) { timeout_ = timeout; }

  // Queries.
  WorkerModel& model(const WorkerId& worker) { return *models_.at(worker); }
  const TaskRunLog& task_runs() const { return task_runs_; }
  int64_t calls() const { return calls_; }

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
  struct Poll {
    WorkerId worker;
    CompletionsRequest request;
    std::function<void(CompletionsResult)> done;
  };

  // `reached` performs the call on the model and returns a function that
  // delivers the result to the caller. If the worker cannot be reached, `lost`
  // is called with kNotSent or kUnreachable.
  void Call(const WorkerId& worker,
            std::function<std::function<void()>(WorkerModel&)> reached,
            std::function<void(WorkerCallStatus)> lost);
  void Deliver(
      const WorkerId& worker,
      const std::function<std::function<void()>(WorkerModel&)>& reached,
      const std::function<void(WorkerCallStatus)>& lost);
  void ServeWorker(const WorkerId& worker);
  void AnswerPoll(const std::shared_ptr<Poll>& poll);

  FakeCallbackQueue& queue_;
  TaskRunLog task_runs_;
  std::map<WorkerId, std::unique_ptr<WorkerModel>> models_;
  std::map<WorkerId, std::list<std::function<void()>>> paused_;
  std::list<std::shared_ptr<Poll>> polls_;
  Millis delay_{0};
  Millis timeout_{1'000};
  int64_t calls_ = 0;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_WORKER_H_
