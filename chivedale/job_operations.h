// Operations of callers on job records: submit, cancel, scale, read. Each one
// reads the record, decides, and writes it by compare-and-swap, repeating this
// until it is settled or times out. They work the same on every member, whether
// or not it manages the job.
#ifndef CHIVEDALE_JOB_OPERATIONS_H_
#define CHIVEDALE_JOB_OPERATIONS_H_

#include <functional>
#include <memory>

#include "chivedale/job_manager.h"
#include "chivedale/job_record.h"

namespace chivedale {

class JobOperations {
 public:
  // `changed` is called after each write, to notify the job's manager.
  JobOperations(const util::Clock& clock,
                StorePort& store,
                std::function<void(const JobId&)> changed,
                const JobManager::Options& options);
  ~JobOperations();

  // Commands.
  void Submit(const JobSpec& spec, const WorkRow* row, JobCallback done);
  void Cancel(const JobId& id, JobCallback done);
  // `is_service` tells whether the count of a kind can be changed.
  void SetCount(const JobId& id,
                int64_t count,
                std::function<bool(const std::string&)> is_service,
                JobCallback done);
  void Get(const JobId& id, JobCallback done);
  // Retries operations and ends those that timed out.
  void Tick();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_JOB_OPERATIONS_H_
