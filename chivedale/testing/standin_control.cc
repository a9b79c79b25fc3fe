#include "chivedale/testing/standin_control.h"

#include <nlohmann/json.hpp>

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"
#include "chivedale/testing/standin_host.h"

namespace chivedale::testing {
namespace {

using Json = nlohmann::json;

// Sets `field` if the request contains it.
template <typename T>
void ReadField(const Json& json, const char* name, T& field) {
  const auto it = json.find(name);
  if (it != json.end()) {
    field = it->get<T>();
  }
}

void ReadField(const Json& json, const char* name, Millis& field) {
  const auto it = json.find(name);
  if (it != json.end()) {
    field = Millis(it->get<int64_t>());
  }
}

std::vector<std::string> Names(const Json& json, const char* name) {
  return json.value(name, std::vector<std::string>());
}

int64_t MillisOf(util::TimePoint at) {
  return std::chrono::duration_cast<Millis>(at.time_since_epoch()).count();
}

Json RunsJson(const std::vector<TaskRun>& runs) {
  Json list = Json::array();
  for (const TaskRun& run : runs) {
    Json json = {{"worker", run.worker.str()},
                 {"attempt", run.attempt},
                 {"start_ms", MillisOf(run.start)}};
    if (run.ended) {
      json["end_ms"] = MillisOf(run.end);
      json["outcome"] = run.outcome;
    }
    list.push_back(std::move(json));
  }
  return list;
}

Json SummaryJson(const TaskRunLog& task_runs) {
  return {{"starts", task_runs.starts()},
          {"running", task_runs.running()},
          {"tasks", task_runs.runs().size()},
          {"excused_overloads", task_runs.excused_overloads()}};
}

Json ViolationsJson(const Violations& v) {
  return {{"total", v.total()},
          {"overload_attempts", v.overload_attempts},
          {"ran_in_two_places", v.ran_in_two_places},
          {"unrepeatable_reruns", v.unrepeatable_reruns},
          {"started_when_leaving", v.started_when_leaving},
          {"details", v.details}};
}

LeavingMode LeavingFromName(const std::string& name) {
  if (name == "staying") {
    return LeavingMode::kStaying;
  }
  if (name == "accepting") {
    return LeavingMode::kAccepting;
  }
  if (name == "refusing") {
    return LeavingMode::kRefusing;
  }
  throw std::invalid_argument("leaving must be staying, accepting or refusing");
}

void ChangeWorker(WorkerModel& worker, const Json& json) {
  WorkerFaults& faults = worker.faults();
  ReadField(json, "dead", faults.dead);
  ReadField(json, "fail_all", faults.fail_all);
  ReadField(json, "straggle", faults.straggle);
  ReadField(json, "late_ms", faults.late);
  ReadField(json, "duplicate", faults.duplicate);
  ReadField(json, "reorder", faults.reorder);
  ReadField(json, "lose_starts", faults.lose_starts);
  ReadField(json, "lose_completions", faults.lose_completions);
  if (json.value("paused", false)) {
    faults.paused = true;
  }
  if (json.value("reboot", false)) {
    worker.Reboot();
  }
  if (json.contains("leaving")) {
    worker.SetLeaving(LeavingFromName(json.at("leaving").get<std::string>()));
  }
}

void ChangeWorkers(WorkerStandin& workers, const Json& json) {
  std::vector<WorkerId> ids;
  for (const std::string& id : Names(json, "ids")) {
    ids.emplace_back(id);
  }
  const std::string id = json.value("id", "");
  if (id == "*") {
    ids = workers.Workers();
  } else if (!id.empty()) {
    ids.emplace_back(id);
  }
  for (const WorkerId& each : ids) {
    workers.Change(each, [&](WorkerModel& w) { ChangeWorker(w, json); });
    if (json.contains("paused") && !json.at("paused").get<bool>()) {
      workers.Resume(each);
    }
  }
}

void ChangeStore(StoreStandin& store, const Json& json) {
  StoreStandin::Faults faults = store.faults();
  ReadField(json, "down", faults.down);
  ReadField(json, "slow_ms", faults.slow);
  ReadField(json, "lose_writes", faults.lose_writes);
  ReadField(json, "max_reads_per_s", faults.max_reads_per_s);
  ReadField(json, "max_writes_per_s", faults.max_writes_per_s);
  store.SetFaults(faults);
}

void ChangeVmList(VmListStandin& list, const Json& json) {
  if (json.contains("down")) {
    list.SetDown(json.at("down").get<bool>());
  }
  if (json.contains("lag_ms")) {
    list.SetLag(Millis(json.at("lag_ms").get<int64_t>()));
  }
  if (json.contains("hidden")) {
    list.SetHidden(Names(json, "hidden"));
  }
  for (const std::string& id : Names(json, "leaving")) {
    list.MarkLeaving(id);
  }
  for (const std::string& id : Names(json, "remove")) {
    list.Remove(id);
  }
  if (json.contains("add")) {
    const Json listed = {{protocol::kVersion, 0},
                         {protocol::kVms, json.at("add")}};
    list.Set(protocol::DecodeVms(listed.dump()).vms);
  }
}

}  // namespace

std::string TaskRunsJson(const WorkerStandin& workers) {
  Json json;
  workers.ReadTaskRuns([&](const TaskRunLog& task_runs) {
    json = SummaryJson(task_runs);
    json["violations"] = ViolationsJson(task_runs.violations());
    Json& runs = json["runs"];
    for (const auto& [task, each] : task_runs.runs()) {
      runs[task] = RunsJson(each);
    }
  });
  return json.dump();
}

struct StandinControl::Impl {
  std::string Handle(const HttpRequest& request);
  std::string Book(const HttpTarget& target);
  std::string Counts() const;
  void Fault(const Json& json);

  std::string ip;
  uint16_t port = 0;
  Targets targets;
  // Declared last so that its thread ends before the other members are
  // destroyed.
  StandinHost host;
};

std::string StandinControl::Impl::Book(const HttpTarget& target) {
  if (!target.Query("all").empty()) {
    return TaskRunsJson(*targets.workers);
  }
  const std::string task = target.Query("task");
  Json json;
  targets.workers->ReadTaskRuns([&](const TaskRunLog& task_runs) {
    json = SummaryJson(task_runs);
    const auto it = task_runs.runs().find(task);
    if (it != task_runs.runs().end()) {
      json["runs"][task] = RunsJson(it->second);
    }
  });
  return json.dump();
}

std::string StandinControl::Impl::Counts() const {
  Json json = Json::object();
  if (targets.store != nullptr) {
    const StoreStandin::Counts counts = targets.store->counts();
    json["store"] = {
        {"reads", counts.reads},     {"writes", counts.writes},
        {"watches", counts.watches}, {"refused", counts.refused},
        {"entries", counts.entries}, {"revision", counts.revision}};
  }
  if (targets.workers != nullptr) {
    json["workers"] = {
        {"connection_overflows", targets.workers->connection_overflows()}};
  }
  return json.dump();
}

void StandinControl::Impl::Fault(const Json& json) {
  const std::string target = json.at("target").get<std::string>();
  if (target == "store" && targets.store != nullptr) {
    ChangeStore(*targets.store, json);
  } else if (target == "vm_list" && targets.vm_list != nullptr) {
    ChangeVmList(*targets.vm_list, json);
  } else if (target == "worker" && targets.workers != nullptr) {
    ChangeWorkers(*targets.workers, json);
  } else {
    throw std::invalid_argument("unknown target: " + target);
  }
}

std::string StandinControl::Impl::Handle(const HttpRequest& request) {
  const HttpTarget target = ParseHttpTarget(request.target);
  const std::string path = target.path.empty() ? "" : target.path[0];
  if (path == "counts") {
    return Counts();
  }
  if (path == "fault" && request.method == "POST") {
    Fault(Json::parse(*request.body));
    return "{}";
  }
  if (path == "book" && targets.workers != nullptr) {
    return Book(target);
  }
  if (path == "violations" && targets.workers != nullptr) {
    return ViolationsJson(targets.workers->violations()).dump();
  }
  throw Error(ErrorKind::kNotFound, "no such path");
}

StandinControl::StandinControl(const std::string& ip,
                               uint16_t port,
                               Targets targets)
    : impl_(std::make_unique<Impl>()) {
  impl_->ip = ip;
  impl_->targets = targets;
  HttpServer::Options http;
  http.address = ip;
  http.port = port;
  Impl* impl = impl_.get();
  impl->port = impl->host.Listen(
      http, [impl](const HttpRequest& request, const HttpResponder& respond) {
        try {
          respond(HttpResponse::Json(200, impl->Handle(request)));
        } catch (const Error&) {
          throw;
        } catch (const std::exception& error) {
          throw Error(ErrorKind::kBadRequest, error.what());
        }
      });
}

StandinControl::~StandinControl() = default;

std::string StandinControl::address() const {
  return impl_->ip + ":" + std::to_string(impl_->port);
}

}  // namespace chivedale::testing
