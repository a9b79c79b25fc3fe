// Interface of the control state to the HTTP layer. All calls are made on the
// control thread; each callback runs there exactly once.
#ifndef CHIVEDALE_SCHEDULER_API_H_
#define CHIVEDALE_SCHEDULER_API_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/burn.h"
#include "chivedale/fair_queue.h"
#include "chivedale/ids.h"
#include "chivedale/job_manager.h"
#include "chivedale/messages.h"
#include "chivedale/owner_agent.h"
#include "chivedale/request_ledger.h"
#include "chivedale/table_editor.h"
#include "chivedale/work.h"

namespace chivedale {

struct CallerSubmission {
  RequestId id;
  std::string kind;
  // Relative to the submission; bounded by the settings.
  Millis deadline{60'000};
  // Overrides the row's size.
  std::optional<Resources> size;
  Body payload;
};

struct RequestView {
  RequestId id;
  std::string kind;
  RequestPhase phase = RequestPhase::kRegistering;
  uint32_t attempt = 0;
  WorkerId worker;
  MemberId entry;
  std::optional<RequestResult> result;
};

struct StatusReport {
  MemberInfo self;
  std::string lifecycle;  // starting, serving, draining, stopped
  bool ready = false;
  std::string not_ready_reason;
  std::vector<MemberInfo> members;
  uint64_t table_revision = 0;
  uint64_t rejected_table_revision = 0;
  std::string rejected_table_reason;
  bool store_up = false;
  bool vm_list_doubted = false;
  int64_t owned_workers = 0;
  int64_t queued = 0;
  int64_t open_requests = 0;
  Summary summary;
};

// Commands that change the control state.
class SchedulerCommands {
 public:
  virtual ~SchedulerCommands() = default;
  // `accepted` receives ok once the request is queued, or the refusal.
  // `finished` receives the final result, also after a refusal. Either may be
  // empty.
  virtual void Submit(const CallerSubmission& submission,
                      ResultCallback accepted,
                      ResultCallback finished) = 0;
  virtual void Cancel(const RequestId& id, ResultCallback done) = 0;
  virtual void SubmitJob(const JobSpec& spec, JobCallback done) = 0;
  virtual void CancelJob(const JobId& id, JobCallback done) = 0;
  virtual void SetJobCount(const JobId& id,
                           int64_t count,
                           JobCallback done) = 0;
  virtual void EditTable(const TableEdit& edit,
                         std::function<void(EditResult)> done) = 0;
  // Starts the graceful shutdown.
  virtual void Drain() = 0;
};

// Read-only queries of the control state.
class SchedulerQueries {
 public:
  virtual ~SchedulerQueries() = default;
  virtual void FindRequest(
      const RequestId& id,
      std::function<void(std::optional<RequestView>)> done) = 0;
  virtual void FindJob(const JobId& id, JobCallback done) = 0;
  virtual void TableHistory(
      int limit,
      std::function<void(StoreStatus, std::vector<Table>)> done) = 0;
  virtual const Table& CurrentTable() const = 0;
  virtual StatusReport Status() const = 0;
  virtual std::vector<WorkerStatus> Workers() const = 0;
  virtual std::vector<RowQueueState> Queue() const = 0;
  virtual BurnSnapshot Burn() const = 0;
  virtual bool Ready() const = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_SCHEDULER_API_H_
