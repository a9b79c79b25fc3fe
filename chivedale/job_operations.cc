// A write whose answer was lost is settled by the next read: each decision
// recognizes its own effect in the record and succeeds without a second write.
#include "chivedale/job_operations.h"

#include <map>
#include <utility>
#include <vector>

namespace chivedale {
namespace {

constexpr Millis kRetryInterval{100};
constexpr size_t kMaxIdLength = 200;

struct Decision {
  std::optional<JobRecord> write;
  JobResult result;  // set if nothing is to be written
};

using Decide = std::function<Decision(const std::optional<JobRecord>&)>;

Decision Refuse(ErrorKind kind, const std::string& detail) {
  Decision decision;
  decision.result.error = kind;
  decision.result.detail = detail;
  return decision;
}

Decision Report(const JobRecord& record) {
  Decision decision;
  decision.result.ok = true;
  decision.result.status = StatusOf(record);
  return decision;
}

Decision NotFound(const JobId& id) {
  return Refuse(ErrorKind::kNotFound, "no job '" + id.str() + "'");
}

bool HasEnded(const JobRecord& record) {
  return record.phase != JobPhase::kActive &&
         record.phase != JobPhase::kCancelling;
}

struct Operation {
  JobId id;
  bool needs_index = false;
  // False for reads.
  bool edits = true;
  Decide decide;
  JobCallback done;
  util::TimePoint deadline{};
  util::TimePoint retry_at{};
  bool in_flight = false;
  bool may_have_written = false;
};

// Returns why the job cannot be submitted, or an empty string.
std::string InvalidReason(const JobSpec& spec,
                          const WorkRow& row,
                          const JobManager::Options& options) {
  if (spec.id.empty() || spec.id.str().size() > kMaxIdLength) {
    return "a job id must have 1 to " + std::to_string(kMaxIdLength) + " bytes";
  }
  if (row.shape == WorkShape::kRequest) {
    return "kind '" + row.kind + "' is for requests, not for jobs";
  }
  const int64_t minimum = row.shape == WorkShape::kService ? 0 : 1;
  if (spec.tasks < minimum || spec.tasks > options.max_tasks_per_job) {
    return "a job must have " + std::to_string(minimum) + " to " +
           std::to_string(options.max_tasks_per_job) + " tasks";
  }
  JobRecord record;
  record.spec = spec;
  if (ParseJobRecord(ToJson(record)).spec.payload != spec.payload) {
    return "the payload is not UTF-8";
  }
  return "";
}

}  // namespace

struct JobOperations::Impl : std::enable_shared_from_this<Impl> {
  Impl(const util::Clock& clock_in,
       StorePort& store_in,
       std::function<void(const JobId&)> changed_in,
       const JobManager::Options& options_in)
      : clock(clock_in),
        store(store_in),
        changed(std::move(changed_in)),
        options(options_in) {}

  enum class Kind { kSubmit, kEdit, kRead };

  void Begin(const JobId& id, Kind kind, Decide decide, JobCallback done) {
    const uint64_t serial = ++last_serial;
    Operation& operation = operations[serial];
    operation.id = id;
    operation.needs_index = kind == Kind::kSubmit;
    operation.edits = kind != Kind::kRead;
    operation.decide = std::move(decide);
    operation.done = std::move(done);
    operation.deadline = clock.Now() + options.operation_timeout;
    Run(serial);
  }

  // Wraps a step so that it is skipped after the operation or this object is
  // gone.
  StorePort::Done Step(uint64_t serial,
                       void (Impl::*step)(uint64_t, const StoreResult&)) {
    std::weak_ptr<Impl> weak = weak_from_this();
    return [weak, serial, step](const StoreResult& result) {
      const std::shared_ptr<Impl> self = weak.lock();
      if (!self || self->operations.count(serial) == 0) {
        return;
      }
      self->operations[serial].in_flight = false;
      (self.get()->*step)(serial, result);
    };
  }

  void Run(uint64_t serial) {
    Operation& operation = operations[serial];
    operation.in_flight = true;
    if (operation.needs_index) {
      store.Put(JobIndexKey(operation.id), "{}", 0,
                Step(serial, &Impl::OnIndex));
    } else {
      store.Get(JobKey(operation.id), Step(serial, &Impl::OnRead));
    }
  }

  void RetryLater(uint64_t serial) {
    operations[serial].retry_at = clock.Now() + kRetryInterval;
  }

  void OnIndex(uint64_t serial, const StoreResult& result) {
    if (result.status == StoreStatus::kUnavailable) {
      RetryLater(serial);
      return;
    }
    operations[serial].needs_index = false;
    Run(serial);
  }

  void OnRead(uint64_t serial, const StoreResult& result) {
    Operation& operation = operations[serial];
    if (result.status == StoreStatus::kUnavailable) {
      RetryLater(serial);
      return;
    }
    std::optional<JobRecord> current;
    uint64_t revision = 0;
    if (result.status == StoreStatus::kOk && !result.entries.empty()) {
      try {
        current = ParseJobRecord(result.entries.front().value);
      } catch (const Error& e) {
        Finish(serial, Refuse(e.kind(), e.what()).result);
        return;
      }
      revision = result.entries.front().revision;
    }
    const Decision decision = operation.decide(current);
    if (!decision.write) {
      Finish(serial, decision.result);
      return;
    }
    pending_status[serial] = StatusOf(*decision.write);
    operation.in_flight = true;
    store.Put(JobKey(operation.id), ToJson(*decision.write), revision,
              Step(serial, &Impl::OnWrite));
  }

  void OnWrite(uint64_t serial, const StoreResult& result) {
    Operation& operation = operations[serial];
    if (result.status == StoreStatus::kOk) {
      JobResult ok;
      ok.ok = true;
      ok.status = pending_status[serial];
      Finish(serial, ok);
      return;
    }
    if (result.status == StoreStatus::kUnavailable) {
      operation.may_have_written = true;
      RetryLater(serial);
      return;
    }
    Run(serial);
  }

  void Finish(uint64_t serial, const JobResult& result) {
    auto it = operations.find(serial);
    const Operation operation = std::move(it->second);
    operations.erase(it);
    pending_status.erase(serial);
    if (result.ok && operation.edits) {
      changed(operation.id);
    }
    operation.done(result);
  }

  const util::Clock& clock;
  StorePort& store;
  const std::function<void(const JobId&)> changed;
  const JobManager::Options& options;
  std::map<uint64_t, Operation> operations;
  std::map<uint64_t, JobStatus> pending_status;
  uint64_t last_serial = 0;
};

JobOperations::JobOperations(const util::Clock& clock,
                             StorePort& store,
                             std::function<void(const JobId&)> changed,
                             const JobManager::Options& options)
    : impl_(std::make_shared<Impl>(clock, store, std::move(changed), options)) {
}
JobOperations::~JobOperations() = default;

void JobOperations::Submit(const JobSpec& spec,
                           const WorkRow* row,
                           JobCallback done) {
  if (row == nullptr) {
    done(Refuse(ErrorKind::kNoRow,
                "kind '" + spec.kind + "' is not in the table")
             .result);
    return;
  }
  if (spec.payload.size() > impl_->options.max_payload) {
    done(Refuse(ErrorKind::kBodyTooLarge, "the job's payload is too large")
             .result);
    return;
  }
  const std::string reason = InvalidReason(spec, *row, impl_->options);
  if (!reason.empty()) {
    done(Refuse(ErrorKind::kBadRequest, reason).result);
    return;
  }
  impl_->Begin(
      spec.id, Impl::Kind::kSubmit,
      [spec](const std::optional<JobRecord>& current) {
        if (!current) {
          JobRecord record;
          record.spec = spec;
          record.submitted_tasks = spec.tasks;
          Decision decision;
          decision.write = record;
          return decision;
        }
        const bool same = current->spec.kind == spec.kind &&
                          current->spec.payload == spec.payload &&
                          current->submitted_tasks == spec.tasks;
        return same ? Report(*current)
                    : Refuse(ErrorKind::kBadRequest,
                             "job '" + spec.id.str() +
                                 "' exists with another specification");
      },
      std::move(done));
}

void JobOperations::Cancel(const JobId& id, JobCallback done) {
  impl_->Begin(
      id, Impl::Kind::kEdit,
      [id](const std::optional<JobRecord>& current) {
        if (!current) {
          return NotFound(id);
        }
        if (current->phase != JobPhase::kActive) {
          return Report(*current);
        }
        Decision decision;
        decision.write = current;
        decision.write->phase = JobPhase::kCancelling;
        return decision;
      },
      std::move(done));
}

void JobOperations::SetCount(const JobId& id,
                             int64_t count,
                             std::function<bool(const std::string&)> is_service,
                             JobCallback done) {
  if (count < 0 || count > impl_->options.max_tasks_per_job) {
    done(Refuse(ErrorKind::kBadRequest, "the count is out of range").result);
    return;
  }
  impl_->Begin(
      id, Impl::Kind::kEdit,
      [id, count, is_service = std::move(is_service)](
          const std::optional<JobRecord>& current) {
        if (!current) {
          return NotFound(id);
        }
        if (!is_service(current->spec.kind)) {
          return Refuse(ErrorKind::kBadRequest,
                        "job '" + id.str() +
                            "' is not a service; its number of tasks is fixed");
        }
        if (HasEnded(*current) || current->phase == JobPhase::kCancelling) {
          return Refuse(ErrorKind::kBadRequest,
                        "job '" + id.str() + "' has ended");
        }
        if (current->spec.tasks == count) {
          return Report(*current);
        }
        Decision decision;
        decision.write = current;
        decision.write->spec.tasks = count;
        return decision;
      },
      std::move(done));
}

void JobOperations::Get(const JobId& id, JobCallback done) {
  impl_->Begin(
      id, Impl::Kind::kRead,
      [id](const std::optional<JobRecord>& current) {
        return current ? Report(*current) : NotFound(id);
      },
      std::move(done));
}

void JobOperations::Tick() {
  const util::TimePoint now = impl_->clock.Now();
  std::vector<uint64_t> serials;
  for (const auto& [serial, operation] : impl_->operations) {
    serials.push_back(serial);
  }
  for (uint64_t serial : serials) {
    auto it = impl_->operations.find(serial);
    if (it == impl_->operations.end()) {
      continue;
    }
    const Operation& operation = it->second;
    if (now >= operation.deadline) {
      impl_->Finish(serial, operation.may_have_written
                                ? Refuse(ErrorKind::kOutcomeUnknown,
                                         "the store did not confirm the write")
                                      .result
                                : Refuse(ErrorKind::kStoreDown,
                                         "the store does not answer")
                                      .result);
    } else if (!operation.in_flight && now >= operation.retry_at) {
      impl_->Run(serial);
    }
  }
}

}  // namespace chivedale
