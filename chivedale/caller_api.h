// The HTTP API for callers: requests and jobs.
//
//   CallerApi api(commands, queries, threads, log, options);
//   api.Handle(std::move(request), respond);  // any thread
//
// POST   /v1/requests[?wait=false]  submit; responds at the end, or with 202
// GET    /v1/requests/ID            state, and the answer once it has ended
// DELETE /v1/requests/ID            cancel
// POST   /v1/jobs                   submit
// GET    /v1/jobs/ID                state of the job and its tasks
// DELETE /v1/jobs/ID                cancel
// PUT    /v1/jobs/ID/count          number of tasks of a service
#ifndef CHIVEDALE_CALLER_API_H_
#define CHIVEDALE_CALLER_API_H_

#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

#include "chivedale/api_routes.h"
#include "chivedale/api_types.h"
#include "chivedale/event_log.h"
#include "chivedale/scheduler_api.h"
#include "util/random.h"

namespace chivedale {

// Bounds that the parsers check.
struct CallerLimits {
  Millis max_deadline{1'800'000};
  Millis default_deadline{60'000};
  int64_t max_tasks = 10'000;
};

// Parsers of bodies and headers; each throws Error(kBadRequest).
// Returns an empty id if there is no Idempotency-Key.
RequestId ParseIdempotencyKey(const ApiHeaders& headers);
// Parses everything except the id.
CallerSubmission ParseSubmission(const std::string& body,
                                 const CallerLimits& limits);
JobSpec ParseJob(const std::string& body, const CallerLimits& limits);
int64_t ParseJobCount(const std::string& body, const CallerLimits& limits);

// Renders the response to a submission that waited for the end.
ApiResponse RenderResult(const RequestId& id, const RequestResult& result);
ApiResponse RenderAccepted(const RequestId& id, const RequestResult& result);
ApiResponse RenderCancelled(const RequestId& id, const RequestResult& result);
ApiResponse RenderRequest(const RequestView& view);
ApiResponse RenderJob(const JobResult& result);

class CallerApi {
 public:
  struct Options {
    CallerLimits limits;
    int64_t max_body_bytes = 1 << 20;
    // Generated request ids begin with a hash of this, so that the ids of two
    // processes differ even if their seeds are equal.
    std::string member;
    uint64_t seed = 1;
  };

  CallerApi(SchedulerCommands& commands,
            SchedulerQueries& queries,
            ApiThreads threads,
            EventLog& log,
            Options options);

  // Command. Any thread; responds once.
  void Handle(ApiRequest request, ApiRespond respond);
  // Query.
  bool Handles(const std::string& path) const;

 private:
  static const std::vector<ApiRoute<CallerApi>>& Routes();

  void Submit(const ApiCall& call);
  void GetRequest(const ApiCall& call);
  void CancelRequest(const ApiCall& call);
  void SubmitJob(const ApiCall& call);
  void GetJob(const ApiCall& call);
  void CancelJob(const ApiCall& call);
  void SetJobCount(const ApiCall& call);

  RequestId NewRequestId();
  // Returns the body; throws if it is too large.
  const std::string& BodyOf(const ApiRequest& request) const;
  ResultCallback RenderWith(const ApiRespond& respond,
                            ApiResponse (*render)(const RequestId&,
                                                  const RequestResult&)) const;
  JobCallback RenderJobWith(const ApiRespond& respond) const;

  SchedulerCommands& commands_;
  SchedulerQueries& queries_;
  const ApiThreads threads_;
  EventLog& log_;
  const Options options_;
  std::mutex mutex_;
  util::Random random_;  // guarded by mutex_
};

}  // namespace chivedale

#endif  // CHIVEDALE_CALLER_API_H_
