// Stores only tasks that differ from a new one, and each pair of rack and data
// centre once, so that a job with 10,000 running tasks stays below the store's
// limit of 1 MB.
#include "chivedale/job_record.h"

#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

constexpr char kTaskPrefix[] = "j/";

bool IsFresh(const JobTaskRecord& task) {
  return task.phase == TaskPhase::kWaiting && task.attempt == 0;
}

// Task ids have the form "j/JOB/INDEX"; a job id may itself contain slashes.
std::optional<int64_t> ParseIndex(const std::string& digits) {
  constexpr size_t kMaxDigits = 9;
  if (digits.empty() || digits.size() > kMaxDigits ||
      digits.find_first_not_of("0123456789") != std::string::npos) {
    return std::nullopt;
  }
  return std::stoll(digits);
}

}  // namespace

std::string ToJson(const JobRecord& record) {
  Json tasks = Json::array();
  Json places = Json::array();
  std::map<std::pair<std::string, std::string>, size_t> place_of;
  for (size_t i = 0; i < record.tasks.size(); ++i) {
    const JobTaskRecord& task = record.tasks[i];
    if (IsFresh(task)) {
      continue;
    }
    const auto [place, added] =
        place_of.try_emplace({task.rack, task.data_centre}, place_of.size());
    if (added) {
      places.push_back({task.rack, task.data_centre});
    }
    tasks.push_back({i, static_cast<int>(task.phase), task.attempt,
                     task.failures, task.worker.str(), place->second});
  }
  const Json json = {{"id", record.spec.id.str()},
                     {"kind", record.spec.kind},
                     {"count", record.spec.tasks},
                     {"payload", record.spec.payload},
                     {"submitter", record.spec.submitter},
                     {"phase", static_cast<int>(record.phase)},
                     {"reason", record.reason},
                     {"epoch", record.epoch},
                     {"manager", record.manager.str()},
                     {"nonce", record.nonce},
                     {"submitted", record.submitted_tasks},
                     {"ended_ms", record.ended_ms},
                     {"size", record.tasks.size()},
                     {"places", places},
                     {"tasks", tasks}};
  // Submit refuses payloads that are not UTF-8. Invalid bytes in other texts
  // are replaced, because an exception here would block all writes of the job.
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JobRecord ParseJobRecord(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    JobRecord record;
    record.spec.id = JobId(json.at("id").get<std::string>());
    record.spec.kind = json.at("kind").get<std::string>();
    record.spec.tasks = json.at("count").get<int64_t>();
    record.spec.payload = json.at("payload").get<std::string>();
    record.spec.submitter = json.at("submitter").get<std::string>();
    record.phase = static_cast<JobPhase>(json.at("phase").get<int>());
    record.reason = json.at("reason").get<std::string>();
    record.epoch = json.at("epoch").get<uint64_t>();
    record.manager = MemberId(json.at("manager").get<std::string>());
    record.nonce = json.at("nonce").get<std::string>();
    record.submitted_tasks = json.at("submitted").get<int64_t>();
    record.ended_ms = json.at("ended_ms").get<int64_t>();
    record.tasks.resize(json.at("size").get<size_t>());
    for (const Json& item : json.at("tasks")) {
      JobTaskRecord& task = record.tasks.at(item.at(0).get<size_t>());
      task.phase = static_cast<TaskPhase>(item.at(1).get<int>());
      task.attempt = item.at(2).get<uint32_t>();
      task.failures = item.at(3).get<uint32_t>();
      task.worker = WorkerId(item.at(4).get<std::string>());
      const Json& place = json.at("places").at(item.at(5).get<size_t>());
      task.rack = place.at(0).get<std::string>();
      task.data_centre = place.at(1).get<std::string>();
    }
    return record;
  } catch (const std::exception& e) {
    throw Error(ErrorKind::kInternal,
                std::string("malformed job record: ") + e.what());
  }
}

JobStatus StatusOf(const JobRecord& record) {
  JobStatus status;
  status.spec = record.spec;
  status.phase = record.phase;
  status.reason = record.reason;
  status.manager = record.manager;
  status.tasks.reserve(record.tasks.size());
  int64_t index = 0;
  for (const JobTaskRecord& task : record.tasks) {
    status.tasks.push_back({index++, task.phase, task.attempt, MemberId(),
                            task.worker, task.rack, task.data_centre});
  }
  return status;
}

std::string JobKey(const JobId& job) {
  return "jobs/" + job.str();
}

std::string JobIndexKey(const JobId& job) {
  return kJobIndexPrefix + job.str();
}

TaskId JobTaskId(const JobId& job, int64_t index) {
  return TaskId(kTaskPrefix + job.str() + "/" + std::to_string(index));
}

std::optional<JobTaskName> ParseJobTaskId(const TaskId& task) {
  const std::string& text = task.str();
  const size_t slash = text.rfind('/');
  if (text.rfind(kTaskPrefix, 0) != 0 || slash < 2 ||
      slash == std::string::npos) {
    return std::nullopt;
  }
  const std::optional<int64_t> index = ParseIndex(text.substr(slash + 1));
  if (!index) {
    return std::nullopt;
  }
  return JobTaskName{JobId(text.substr(2, slash - 2)), *index};
}

}  // namespace chivedale
