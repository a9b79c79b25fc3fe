// One timer serves all workers: it fires at the earliest event of any of them,
// so that idle workers cost nothing.
#include "chivedale/testing/worker_standin.h"

#include <list>
#include <set>
#include <stdexcept>
#include <unordered_map>
#include <utility>

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"
#include "chivedale/testing/standin_host.h"

namespace chivedale::testing {
namespace {

struct Poll {
  CompletionsRequest request;
  HttpResponder respond;
};

struct PausedCall {
  HttpRequest request;
  HttpTarget target;
  HttpResponder respond;
};

struct Worker {
  std::unique_ptr<WorkerModel> model;
  std::string address;
  std::list<std::shared_ptr<Poll>> polls;
  std::list<PausedCall> paused;
  util::TimePoint scheduled = util::TimePoint::max();
  size_t calls = 0;
};

constexpr char kWorkerPrefix[] = "w";

int StatusCode(WorkerCallStatus status) {
  return status == WorkerCallStatus::kOk ? 200 : 409;
}

TaskControl ControlFromName(const std::string& name) {
  if (name == protocol::kStop) {
    return TaskControl::kStop;
  }
  if (name == protocol::kCheckpoint) {
    return TaskControl::kCheckpoint;
  }
  if (name == protocol::kThrottle) {
    return TaskControl::kThrottle;
  }
  throw Error(ErrorKind::kNotFound, "unknown task control");
}

}  // namespace

struct WorkerStandin::Impl {
  explicit Impl(const Options& options)
      : options(options), random(options.seed) {}

  HttpServer::Options HttpOptions(uint16_t port, size_t connections) const;
  void HandleShared(HttpRequest request, const HttpResponder& respond);
  void Handle(Worker& worker,
              HttpRequest request,
              HttpTarget target,
              HttpResponder respond);
  void Apply(Worker& worker,
             const HttpRequest& request,
             const HttpTarget& target,
             const HttpResponder& respond);
  void Start(Worker& worker,
             const HttpRequest& request,
             const HttpResponder& respond);
  void Complete(Worker& worker,
                const HttpRequest& request,
                const HttpResponder& respond);
  void AnswerPoll(Worker& worker, const std::shared_ptr<Poll>& poll);
  // Answers waiting polls and schedules the worker's next event.
  void ServeWorker(Worker& worker);
  void ServeDueWorkers();
  Worker& Find(const WorkerId& id) { return workers.at(id); }

  const Options options;
  util::SteadyClock clock;
  util::Random random;
  TaskRunLog task_runs;
  std::unordered_map<WorkerId, Worker> workers;
  std::set<std::pair<util::TimePoint, Worker*>> schedule;
  util::TimePoint next_wake = util::TimePoint::max();
  uint16_t shared_port = 0;
  int64_t overflows = 0;
  // Declared last so that its thread ends before the other members are
  // destroyed.
  StandinHost host;
};

HttpServer::Options WorkerStandin::Impl::HttpOptions(uint16_t port,
                                                     size_t connections) const {
  HttpServer::Options http;
  http.address = options.ip;
  http.port = port;
  http.max_connections = connections;
  http.max_body_bytes = size_t{64} << 20;
  return http;
}

void WorkerStandin::Impl::HandleShared(HttpRequest request,
                                       const HttpResponder& respond) {
  HttpTarget target = ParseHttpTarget(request.target);
  if (target.path.size() < 2 || target.path[0] != kWorkerPrefix) {
    throw Error(ErrorKind::kNotFound, "no such path");
  }
  const auto it = workers.find(WorkerId(target.path[1]));
  if (it == workers.end()) {
    // A removed VM has no listener.
    return request.caller->Abort();
  }
  Worker& worker = it->second;
  if (worker.calls >= options.max_connections) {
    ++overflows;
    return request.caller->Abort();
  }
  target.path.erase(target.path.begin(), target.path.begin() + 2);
  ++worker.calls;
  const std::shared_ptr<void> call(nullptr,
                                   [&worker](void*) { --worker.calls; });
  Handle(
      worker, std::move(request), std::move(target),
      [respond, call](HttpResponse response) { respond(std::move(response)); });
}

void WorkerStandin::Impl::Handle(Worker& worker,
                                 HttpRequest request,
                                 HttpTarget target,
                                 HttpResponder respond) {
  if (worker.model->faults().dead) {
    return request.caller->Abort();
  }
  if (worker.model->faults().paused) {
    worker.paused.push_back(
        {std::move(request), std::move(target), std::move(respond)});
    return;
  }
  try {
    Apply(worker, request, target, respond);
  } catch (const Error& error) {
    respond(HttpResponse::Problem(error.kind(), error.what()));
  } catch (const std::exception& error) {
    respond(HttpResponse::Problem(ErrorKind::kBadRequest, error.what()));
  }
  ServeWorker(worker);
}

void WorkerStandin::Impl::Apply(Worker& worker,
                                const HttpRequest& request,
                                const HttpTarget& target,
                                const HttpResponder& respond) {
  WorkerModel& model = *worker.model;
  const auto& path = target.path;
  const std::string kind = path.size() < 2 ? "" : path[1];
  if (kind == "lease") {
    const auto call = protocol::DecodeLeaseCall(*request.body);
    if (request.method == "DELETE") {
      const WorkerCallStatus status = model.Release(call.owner, call.token);
      return respond(HttpResponse::Json(StatusCode(status), "{}"));
    }
    const LeaseResult result = model.Lease(call.owner, call.token, call.ttl);
    return respond(HttpResponse::Json(StatusCode(result.status),
                                      protocol::EncodeLeaseResult(result)));
  }
  if (kind == "completions") {
    return Complete(worker, request, respond);
  }
  if (kind == "tasks" && path.size() == 2) {
    if (request.method == "POST") {
      return Start(worker, request, respond);
    }
    return respond(
        HttpResponse::Json(200, protocol::EncodeTasks(model.List().tasks)));
  }
  if (kind == "tasks" && path.size() == 4) {
    const TaskControl control = ControlFromName(path[3]);
    const auto call = protocol::DecodeControl(*request.body);
    const WorkerCallStatus status =
        model.Control(call.token, {TaskId(path[2]), call.attempt}, control);
    return respond(HttpResponse::Json(StatusCode(status), "{}"));
  }
  throw Error(ErrorKind::kNotFound, "no such path");
}

void WorkerStandin::Impl::Start(Worker& worker,
                                const HttpRequest& request,
                                const HttpResponder& respond) {
  WorkerModel& model = *worker.model;
  const StartOutcome outcome =
      model.Start(protocol::DecodeStart(*request.body));
  if (model.faults().lose_starts > 0) {
    --model.faults().lose_starts;
    return request.caller->Abort();
  }
  respond(HttpResponse::Json(protocol::HttpStatusOf(outcome),
                             protocol::EncodeOutcome(outcome)));
}

void WorkerStandin::Impl::Complete(Worker& worker,
                                   const HttpRequest& request,
                                   const HttpResponder& respond) {
  auto poll = std::make_shared<Poll>(
      Poll{protocol::DecodePoll(*request.body), respond});
  worker.model->Acknowledge(poll->request);
  worker.polls.push_back(poll);
  // A caller that has disconnected would consume completions that are delivered
  // only once, so its poll is removed.
  request.caller->OnClosed([&worker, weak = std::weak_ptr<Poll>(poll)] {
    worker.polls.remove(weak.lock());
  });
  host.RunAfter(poll->request.wait,
                [this, &worker, poll] { AnswerPoll(worker, poll); });
}

void WorkerStandin::Impl::AnswerPoll(Worker& worker,
                                     const std::shared_ptr<Poll>& poll) {
  const size_t before = worker.polls.size();
  WorkerModel& model = *worker.model;
  if (model.faults().paused) {
    return;  // ServeWorker answers it after the pause
  }
  worker.polls.remove(poll);
  if (worker.polls.size() == before || model.faults().dead) {
    return;
  }
  // The timer of the wait still refers to the poll, which must no longer count
  // as an open call.
  const HttpResponder respond = std::exchange(poll->respond, nullptr);
  const CompletionsResult result = model.Completions(poll->request);
  if (model.faults().lose_completions > 0) {
    --model.faults().lose_completions;
    return respond(HttpResponse::Json(500, "{}"));
  }
  if (result.status != WorkerCallStatus::kOk) {
    return respond(HttpResponse::Json(409, "{}"));
  }
  HttpResponse response;
  response.content_type = protocol::kPayloadType;
  response.body = std::make_shared<const std::string>(
      protocol::EncodeCompletions(result.completions));
  respond(std::move(response));
}

void WorkerStandin::Impl::ServeWorker(Worker& worker) {
  WorkerModel& model = *worker.model;
  model.Tick();
  const auto polls = worker.polls;
  for (const auto& poll : polls) {
    if (model.HasCompletions(poll->request.after) ||
        !model.Accepts(poll->request.token)) {
      AnswerPoll(worker, poll);
    }
  }
  schedule.erase({worker.scheduled, &worker});
  worker.scheduled = model.NextEvent();
  if (worker.scheduled == util::TimePoint::max()) {
    return;
  }
  schedule.emplace(worker.scheduled, &worker);
  const util::TimePoint first = schedule.begin()->first;
  if (first < next_wake) {
    next_wake = first;
    host.RunAfter(std::max(util::Duration(0), first - clock.Now()),
                  [this] { ServeDueWorkers(); });
  }
}

void WorkerStandin::Impl::ServeDueWorkers() {
  next_wake = util::TimePoint::max();
  const util::TimePoint now = clock.Now();
  std::vector<Worker*> due;
  for (const auto& [at, worker] : schedule) {
    if (at > now && !due.empty()) {
      break;
    }
    due.push_back(worker);
  }
  for (Worker* worker : due) {
    ServeWorker(*worker);
  }
}

WorkerStandin::WorkerStandin(const Options& options)
    : impl_(std::make_unique<Impl>(options)) {
  if (!options.own_ports) {
    Impl* impl = impl_.get();
    impl->shared_port = impl->host.Listen(
        impl->HttpOptions(options.port, size_t{1} << 16),
        [impl](HttpRequest request, const HttpResponder& respond) {
          impl->HandleShared(std::move(request), respond);
        });
  }
}

WorkerStandin::~WorkerStandin() {
  impl_->host.Stop();
}

void WorkerStandin::Add(const WorkerOptions& options) {
  Impl* impl = impl_.get();
  impl->host.Run([&] {
    Worker& worker = impl->workers[options.id];
    worker.model = std::make_unique<WorkerModel>(impl->clock, impl->random,
                                                 impl->task_runs, options);
    const std::string base = impl->options.ip + ":";
    if (!impl->options.own_ports) {
      worker.address = base + std::to_string(impl->shared_port) + "/" +
                       kWorkerPrefix + "/" + PercentEncode(options.id.str());
      return;
    }
    const uint16_t first = impl->options.port;
    const auto index = static_cast<uint16_t>(impl->workers.size() - 1);
    const uint16_t port = impl->host.Listen(
        impl->HttpOptions(first == 0 ? 0 : first + index,
                          impl->options.max_connections),
        [impl, &worker](HttpRequest request, const HttpResponder& respond) {
          HttpTarget target = ParseHttpTarget(request.target);
          impl->Handle(worker, std::move(request), std::move(target), respond);
        });
    worker.address = base + std::to_string(port);
  });
}

void WorkerStandin::Change(const WorkerId& worker,
                           const std::function<void(WorkerModel&)>& change) {
  impl_->host.Run([&] {
    Worker& found = impl_->Find(worker);
    change(*found.model);
    impl_->ServeWorker(found);
  });
}

void WorkerStandin::Resume(const WorkerId& worker) {
  impl_->host.Run([&] {
    Worker& found = impl_->Find(worker);
    found.model->Resume();
    std::list<PausedCall> calls;
    calls.swap(found.paused);
    for (PausedCall& call : calls) {
      impl_->Handle(found, std::move(call.request), std::move(call.target),
                    std::move(call.respond));
    }
    // Polls whose wait ended during the pause.
    const auto polls = found.polls;
    for (const auto& poll : polls) {
      impl_->AnswerPoll(found, poll);
    }
    impl_->ServeWorker(found);
  });
}

std::string WorkerStandin::AddressOf(const WorkerId& worker) const {
  std::string address;
  impl_->host.Run([&] { address = impl_->Find(worker).address; });
  return address;
}

std::vector<WorkerId> WorkerStandin::Workers() const {
  std::vector<WorkerId> ids;
  impl_->host.Run([&] {
    for (const auto& [id, worker] : impl_->workers) {
      ids.push_back(id);
    }
  });
  return ids;
}

Violations WorkerStandin::violations() const {
  Violations violations;
  impl_->host.Run([&] { violations = impl_->task_runs.violations(); });
  return violations;
}

int64_t WorkerStandin::connection_overflows() const {
  int64_t overflows = 0;
  impl_->host.Run([&] { overflows = impl_->overflows; });
  return overflows;
}

void WorkerStandin::ReadTaskRuns(
    const std::function<void(const TaskRunLog&)>& read) const {
  impl_->host.Run([&] { read(impl_->task_runs); });
}

}  // namespace chivedale::testing
