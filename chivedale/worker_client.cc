// A response that does not follow the protocol proves nothing about the start,
// so it is reported as unknown; the owner then reads the worker's task list.
#include "chivedale/worker_client.h"

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"

namespace chivedale {
namespace {

WorkerCallStatus StatusOf(const HttpResult& http) {
  if (http.status == CallStatus::kNotSent) {
    return WorkerCallStatus::kNotSent;
  }
  if (http.status == CallStatus::kUnreachable) {
    return WorkerCallStatus::kUnreachable;
  }
  switch (http.http_status) {
    case 200:
    case 202:
    case 204:
      return WorkerCallStatus::kOk;
    case 404:
    case 409:
      return WorkerCallStatus::kRefused;
    default:
      return WorkerCallStatus::kUnreachable;
  }
}

bool Answered(WorkerCallStatus status) {
  return status == WorkerCallStatus::kOk ||
         status == WorkerCallStatus::kRefused;
}

LeaseResult ParseLease(const HttpResult& http) {
  const WorkerCallStatus status = StatusOf(http);
  if (Answered(status)) {
    return protocol::DecodeLeaseResult(*http.body, status);
  }
  LeaseResult result;
  result.status = status;
  return result;
}

TaskList ParseTasks(const HttpResult& http) {
  TaskList list{StatusOf(http), {}};
  if (list.status == WorkerCallStatus::kOk) {
    list.tasks = protocol::DecodeTasks(*http.body);
  }
  return list;
}

StartOutcome ParseStart(const HttpResult& http) {
  if (http.status == CallStatus::kNotSent) {
    return StartOutcome::kNotSent;
  }
  if (http.status != CallStatus::kAnswered) {
    return StartOutcome::kUnknown;
  }
  return protocol::DecodeOutcome(*http.body);
}

CompletionsResult ParseCompletions(const HttpResult& http) {
  CompletionsResult result{StatusOf(http), {}};
  if (result.status == WorkerCallStatus::kOk) {
    result.completions = protocol::DecodeCompletions(*http.body);
  }
  return result;
}

const char* NameOf(TaskControl control) {
  static constexpr const char* kNames[] = {
      protocol::kStop, protocol::kCheckpoint, protocol::kThrottle};
  return kNames[static_cast<size_t>(control)];
}

}  // namespace

WorkerClient::WorkerClient(HttpClient& http, Options options, PostFunction post)
    : http_(http), options_(options), post_(std::move(post)) {}

void WorkerClient::SetAddress(const WorkerId& worker,
                              const std::string& address) {
  if (address.empty()) {
    addresses_.erase(worker);
  } else {
    addresses_[worker] = address;
  }
}

HttpCall WorkerClient::MakeCall(const WorkerId& worker,
                                const char* method,
                                std::string target,
                                std::string body_prefix,
                                Millis timeout) const {
  HttpCall call;
  const auto it = addresses_.find(worker);
  if (it != addresses_.end()) {
    call.address = it->second;
  }
  call.method = method;
  call.target = std::move(target);
  if (!body_prefix.empty()) {
    call.headers = {{"Content-Type", protocol::kJsonType}};
  }
  call.body_prefix = std::move(body_prefix);
  call.timeout = timeout;
  return call;
}

void WorkerClient::Lease(const WorkerId& worker,
                         const MemberId& owner,
                         const LeaseToken& token,
                         Millis ttl,
                         std::function<void(LeaseResult)> done) {
  http_.Call(MakeCall(worker, "POST", protocol::kLeasePath,
                      protocol::EncodeLeaseCall({owner, token, ttl}),
                      options_.lease_timeout),
             DeliverOn<LeaseResult>(post_, ParseLease, LeaseResult(),
                                    std::move(done)));
}

void WorkerClient::Release(const WorkerId& worker,
                           const MemberId& owner,
                           const LeaseToken& token,
                           std::function<void(WorkerCallStatus)> done) {
  http_.Call(
      MakeCall(worker, "DELETE", protocol::kLeasePath,
               protocol::EncodeLeaseCall({owner, token, Millis(0)}),
               options_.lease_timeout),
      DeliverOn<WorkerCallStatus>(
          post_, StatusOf, WorkerCallStatus::kUnreachable, std::move(done)));
}

void WorkerClient::List(const WorkerId& worker,
                        std::function<void(TaskList)> done) {
  http_.Call(
      MakeCall(worker, "GET", protocol::kTasksPath, "", options_.list_timeout),
      DeliverOn<TaskList>(post_, ParseTasks, TaskList(), std::move(done)));
}

void WorkerClient::Start(const WorkerId& worker,
                         const StartRequest& request,
                         std::function<void(StartOutcome)> done) {
  std::string body_prefix;
  try {
    body_prefix = protocol::EncodeStart(request);
  } catch (const std::exception&) {
    // An id or kind that is not UTF-8 cannot be encoded as JSON.
    return post_([done = std::move(done)] { done(StartOutcome::kNotSent); });
  }
  HttpCall call = MakeCall(worker, "POST", protocol::kTasksPath,
                           std::move(body_prefix), options_.start_timeout);
  call.headers = {{"Content-Type", protocol::kPayloadType}};
  call.body = request.payload;
  http_.Call(std::move(call),
             DeliverOn<StartOutcome>(post_, ParseStart, StartOutcome::kUnknown,
                                     std::move(done)));
}

void WorkerClient::Completions(const WorkerId& worker,
                               const CompletionsRequest& request,
                               std::function<void(CompletionsResult)> done) {
  http_.Call(
      MakeCall(worker, "POST", protocol::kCompletionsPath,
               protocol::EncodePoll(request),
               request.wait + options_.completions_margin),
      DeliverOn<CompletionsResult>(post_, ParseCompletions, CompletionsResult(),
                                   std::move(done)));
}

void WorkerClient::Control(const WorkerId& worker,
                           const LeaseToken& token,
                           const TaskKey& key,
                           TaskControl control,
                           std::function<void(WorkerCallStatus)> done) {
  std::string target = protocol::kTasksPath;
  target += "/" + PercentEncode(key.task.str()) + "/" + NameOf(control);
  http_.Call(
      MakeCall(worker, "POST", std::move(target),
               protocol::EncodeControl({token, key.attempt}),
               options_.control_timeout),
      DeliverOn<WorkerCallStatus>(
          post_, StatusOf, WorkerCallStatus::kUnreachable, std::move(done)));
}

}  // namespace chivedale
