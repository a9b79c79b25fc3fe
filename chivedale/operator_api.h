// The HTTP API for operators: table, state, drain, health and metrics.
//
//   OperatorApi api(commands, queries, metrics, threads);
//   api.Handle(std::move(request), respond);  // any thread
//
// GET  /v1/table             the table in force, with its revision as ETag
// PUT  /v1/table             one edit: base_revision, change_id, author, rows,
//                            teams
// GET  /v1/table/history     newest first, each with its changes; ?limit=
// GET  /v1/status, /v1/workers, /v1/queue, /v1/burn
// POST /v1/drain             starts a planned stop
// GET  /healthz, /readyz, /metrics
#ifndef CHIVEDALE_OPERATOR_API_H_
#define CHIVEDALE_OPERATOR_API_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "chivedale/api_routes.h"
#include "chivedale/api_types.h"
#include "chivedale/metrics.h"
#include "chivedale/scheduler_api.h"

namespace chivedale {

// Throws Error(kBadRequest), or Error(kBadTable) listing all faults of the
// table.
TableEdit ParseTableEdit(const std::string& body);

ApiResponse RenderEdit(const EditResult& result);
ApiResponse RenderHistory(StoreStatus status,
                          const std::vector<Table>& tables,
                          int limit);
ApiResponse RenderStatus(const StatusReport& report);
ApiResponse RenderWorkers(const std::vector<WorkerStatus>& workers);
ApiResponse RenderQueue(const std::vector<RowQueueState>& rows);

class OperatorApi {
 public:
  OperatorApi(SchedulerCommands& commands,
              SchedulerQueries& queries,
              const Metrics& metrics,
              ApiThreads threads);

  // Command. Any thread; responds once.
  void Handle(ApiRequest request, ApiRespond respond);
  // Query.
  bool Handles(const std::string& path) const;

 private:
  struct TableText {
    uint64_t revision = 0;
    std::shared_ptr<const std::string> json;
  };

  static const std::vector<ApiRoute<OperatorApi>>& Routes();

  void GetTable(const ApiCall& call);
  void PutTable(const ApiCall& call);
  void GetHistory(const ApiCall& call);
  void GetStatus(const ApiCall& call);
  void GetWorkers(const ApiCall& call);
  void GetQueue(const ApiCall& call);
  void GetBurn(const ApiCall& call);
  void Drain(const ApiCall& call);
  void GetHealth(const ApiCall& call);
  void GetReady(const ApiCall& call);
  void GetMetrics(const ApiCall& call);

  // Runs `read` on the control thread and `render` on a traffic thread.
  template <typename Read, typename Render>
  void Answer(const ApiCall& call, Read read, Render render);
  TableText CachedTable();

  SchedulerCommands& commands_;
  SchedulerQueries& queries_;
  const Metrics& metrics_;
  const ApiThreads threads_;
  std::mutex mutex_;
  TableText table_;  // guarded by mutex_
};

}  // namespace chivedale

#endif  // CHIVEDALE_OPERATOR_API_H_
