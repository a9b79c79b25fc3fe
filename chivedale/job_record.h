// A job and its stored form, the value of the key "jobs/ID".
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
  int64_t tasks = 1;  // for a service the count to keep
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
  // Attempts that ran and failed.
  uint32_t failures = 0;
  WorkerId worker;
  std::string rack;
  std::string data_centre;
};

struct JobRecord {
  JobSpec spec;
  JobPhase phase = JobPhase::kActive;
  std::string reason;
  // Grows with each takeover by a manager.
  uint64_t epoch = 0;
  MemberId manager;
  // Tells the writer's own write whose answer was lost. Edits by callers keep
  // it.
  std::string nonce;
  // The count at the submit, which a second submit must repeat.
  int64_t submitted_tasks = 0;
  // Calendar time of the end in milliseconds; 0 before.
  int64_t ended_ms = 0;
  std::vector<JobTaskRecord> tasks;
};

std::string ToJson(const JobRecord& record);
// Throws Error(kInternal) for a malformed record.
JobRecord ParseJobRecord(const std::string& json);
JobStatus StatusOf(const JobRecord& record);

std::string JobKey(const JobId& job);
// The small key that exists while the job's record does; its listing is how a
// manager finds its jobs without reading all records.
inline constexpr char kJobIndexPrefix[] = "job_index/";
std::string JobIndexKey(const JobId& job);

// The id of a job's task, and back; nothing for other ids.
struct JobTaskName {
  JobId job;
  int64_t index = 0;
};
TaskId JobTaskId(const JobId& job, int64_t index);
std::optional<JobTaskName> ParseJobTaskId(const TaskId& task);

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_RECORD_H_
