// A job and its stored form, the value of key "jobs/ID".
#ifndef CHIVEDALE_JOB_RECORD_H_
#define CHIVEDALE_JOB_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "chivedale/ids.h"

namespace chivedale {

enum class JobPhase { kActive, kCancelling, kSucceeded, kFailed, kCancelled };
enum class TaskPhase { kWaiting, kStarting, kRunning, kSucceeded, kFailed };

struct JobSpec {
  JobId id;
  std::string kind;
  int64_t tasks = 1;  // for a service, the count to maintain
  std::string payload;
  std::string submitter;
};

struct JobTaskStatus {
  int64_t index = 0;
  TaskPhase phase = TaskPhase::kWaiting;
  uint32_t attempt = 0;
  MemberId owner;
  WorkerId worker;
  std::string rack;
  std::string data_centre;
};

struct JobStatus {
  JobSpec spec;
  JobPhase phase = JobPhase::kActive;
  std::string reason;
  std::vector<JobTaskStatus> tasks;
  MemberId manager;
};

// One task as stored.
struct JobTaskRecord {
  TaskPhase phase = TaskPhase::kWaiting;
  // Number of the last attempt whose start was allowed; 0 before the first.
  uint32_t attempt = 0;
  // Number of attempts that ran and failed.
  uint32_t failures = 0;
  WorkerId worker;
  std::string rack;
  std::string data_centre;
};

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::kActive;
  std::string reason;
  // Incremented each time a manager takes over the job.
  uint64_t epoch = 0;
  MemberId manager;
  // Random value chosen for each write, by which the writer recognizes its own
  // write after the store's response was lost. Edits by callers leave it
  // unchanged.
  std::string nonce;
  // The count at submission; a repeated submit must give the same.
  int64_t submitted_tasks = 0;
  // Wall-clock time of the end in milliseconds; 0 until then.
  int64_t ended_ms = 0;
  std::vector<JobTaskRecord> tasks;
};

std::string ToJson(const JobRecord& record);
// Throws Error(kInternal) for a malformed record.
JobRecord ParseJobRecord(const std::string& json);
JobStatus StatusOf(const JobRecord& record);

std::string JobKey(const JobId& job);
// Prefix of the small key that exists as long as the job's record. Managers
// list these keys to find their jobs without reading all records.
inline constexpr char kJobIndexPrefix[] = "job_index/";
std::string JobIndexKey(const JobId& job);

// Job and index that the id of a job's task names.
struct JobTaskName {
  JobId job;
  int64_t index = 0;
};
TaskId JobTaskId(const JobId& job, int64_t index);
// Returns nullopt if the id is not that of a job's task.
std::optional<JobTaskName> ParseJobTaskId(const TaskId& task);

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_RECORD_H_
