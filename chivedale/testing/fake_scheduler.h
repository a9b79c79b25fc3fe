// A scheduler that records the calls of the HTTP layer and returns preset
// results.
#ifndef CHIVEDALE_TESTING_FAKE_SCHEDULER_H_
#define CHIVEDALE_TESTING_FAKE_SCHEDULER_H_

#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/api_routes.h"
#include "chivedale/scheduler_api.h"

namespace chivedale::testing {

class FakeScheduler final : public SchedulerCommands, public SchedulerQueries {
 public:
  // Results of the next calls.
  RequestResult result;
  JobResult job_result;
  EditResult edit_result;
  std::optional<RequestView> view;
  StoreStatus history_status = StoreStatus::kOk;
  std::vector<Table> history;
  Table table;
  StatusReport status;
  std::vector<WorkerStatus> workers;
  std::vector<RowQueueState> queue;
  BurnSnapshot burn;
  bool control_queue_full = false;

  // Recorded calls.
  std::vector<CallerSubmission> submissions;
  std::vector<RequestId> cancelled;
  std::vector<JobSpec> jobs;
  std::vector<std::string> job_calls;
  std::vector<TableEdit> edits;
  int history_limit = 0;
  bool drained = false;

  ApiThreads Threads() {
    return {[this](const std::function<void()>& run) {
              if (!control_queue_full) {
                run();
              }
              return !control_queue_full;
            },
            [](const std::function<void()>& run) { run(); }};
  }

  void Submit(const CallerSubmission& submission,
              ResultCallback accepted,
              ResultCallback finished) override {
    submissions.push_back(submission);
    if (accepted) {
      accepted(submission.id, result);
    }
    if (finished) {
      finished(submission.id, result);
    }
  }
  void Cancel(const RequestId& id, ResultCallback done) override {
    cancelled.push_back(id);
    done(id, result);
  }
  void SubmitJob(const JobSpec& spec, JobCallback done) override {
    jobs.push_back(spec);
    done(job_result);
  }
  void CancelJob(const JobId& id, JobCallback done) override {
    job_calls.push_back("cancel " + id.str());
    done(job_result);
  }
  void SetJobCount(const JobId& id, int64_t count, JobCallback done) override {
    job_calls.push_back("count " + id.str() + " " + std::to_string(count));
    done(job_result);
  }
  void EditTable(const TableEdit& edit,
                 std::function<void(EditResult)> done) override {
    edits.push_back(edit);
    done(edit_result);
  }
  void Drain() override { drained = true; }

  void FindRequest(
      const RequestId&,
      std::function<void(std::optional<RequestView>)> done) override {
    done(view);
  }
  void FindJob(const JobId& id, JobCallback done) override {
    job_calls.push_back("find " + id.str());
    done(job_result);
  }
  void TableHistory(
      int limit,
      std::function<void(StoreStatus, std::vector<Table>)> done) override {
    history_limit = limit;
    done(history_status, history);
  }
  const Table& CurrentTable() const override { return table; }
  StatusReport Status() const override { return status; }
  std::vector<WorkerStatus> Workers() const override { return workers; }
  std::vector<RowQueueState> Queue() const override { return queue; }
  BurnSnapshot Burn() const override { return burn; }
  bool Ready() const override { return status.ready; }
};

inline ApiRequest RequestTo(const std::string& method,
                            const std::string& target,
                            const std::string& body = "") {
  ApiRequest request;
  request.method = method;
  const size_t question = target.find('?');
  request.path = target.substr(0, question);
  request.query =
      question == std::string::npos ? "" : target.substr(question + 1);
  request.body = std::make_shared<const std::string>(body);
  request.remote = "127.0.0.1:1";
  return request;
}

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_FAKE_SCHEDULER_H_
