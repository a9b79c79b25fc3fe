// Interfaces from the control thread to external services. They are implemented
// over HTTP and TCP, and in memory for tests. Each callback runs exactly once,
// on the control thread, also after a timeout.
#ifndef CHIVEDALE_PORTS_H_
#define CHIVEDALE_PORTS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "chivedale/resources.h"
#include "util/clock.h"

namespace chivedale {

// Result of a call to a worker.
enum class WorkerCallStatus {
  kOk,
  kRefused,      // the worker refused: not executed
  kNotSent,      // no connection: not executed
  kUnreachable,  // sent, no response: may have been executed
};

// Fencing token of a lease. Increases with each grant within one boot of the
// worker.
struct LeaseToken {
  uint64_t token = 0;
  std::string boot_id;

  friend bool operator==(const LeaseToken& a, const LeaseToken& b) {
    return a.token == b.token && a.boot_id == b.boot_id;
  }
};

struct WorkerReport {
  Resources capacity;
  // Measured by the platform at most `lag` ago.
  Resources used;
  Millis lag{0};
  bool leaving = false;
  // False if the worker accepts starts with a stale token.
  bool fencing = true;
};

struct LeaseResult {
  WorkerCallStatus status = WorkerCallStatus::kUnreachable;
  LeaseToken token;
  Millis ttl{0};
  WorkerReport report;
  // With kRefused: the holder of the lease and its remaining time.
  MemberId holder;
  Millis remaining{0};
};

struct RunningTask {
  TaskKey key;
  std::string kind;
  Resources size;
  // Copied from the start request.
  MemberId entry;
  bool repeatable = true;
  Millis running_for{0};
  Resources used;
};

struct TaskList {
  WorkerCallStatus status = WorkerCallStatus::kUnreachable;
  std::vector<RunningTask> tasks;
};

struct StartRequest {
  TaskKey key;
  LeaseToken token;
  std::string kind;
  Resources size;
  MemberId entry;
  bool repeatable = true;
  Millis longest_run{0};
  Body payload;
};

enum class StartOutcome {
  kAccepted,
  kStaleToken,            // not run
  kInsufficientCapacity,  // not run
  kLeaving,               // not run
  kNotSent,               // not run
  // This attempt runs or has ended on the worker. A worker that knows the
  // attempt returns this even if it has no room or is leaving.
  kAttemptKnown,
  kUnknown,  // sent, no response
};

struct Completion {
  uint64_t sequence = 0;
  TaskKey key;
  MemberId entry;
  bool repeatable = true;
  bool ok = false;
  // If not ok: whether the worker ran it (failure, run-time limit, stop).
  ErrorKind error = ErrorKind::kTaskFailed;
  Ran ran = Ran::kYes;
  bool checkpointed = false;
  Millis run_time{0};
  Resources peak_used;
  Body payload;
};

struct CompletionsRequest {
  LeaseToken token;
  // Completions up to this sequence were delivered under this token.
  uint64_t after = 0;
  // Sequences that entries have acknowledged. The worker discards them.
  std::vector<uint64_t> acks;
  Millis wait{0};
};

struct CompletionsResult {
  WorkerCallStatus status = WorkerCallStatus::kUnreachable;
  std::vector<Completion> completions;
};

enum class TaskControl { kStop, kCheckpoint, kThrottle };

class WorkerPort {
 public:
  virtual ~WorkerPort() = default;
  // Claims the lease if `token.token` is 0, else renews it. A claim by the
  // holder itself grants a new token and fences its earlier starts.
  virtual void Lease(const WorkerId& worker,
                     const MemberId& owner,
                     const LeaseToken& token,
                     Millis ttl,
                     std::function<void(LeaseResult)> done) = 0;
  virtual void Release(const WorkerId& worker,
                       const MemberId& owner,
                       const LeaseToken& token,
                       std::function<void(WorkerCallStatus)> done) = 0;
  virtual void List(const WorkerId& worker,
                    std::function<void(TaskList)> done) = 0;
  virtual void Start(const WorkerId& worker,
                     const StartRequest& request,
                     std::function<void(StartOutcome)> done) = 0;
  virtual void Completions(const WorkerId& worker,
                           const CompletionsRequest& request,
                           std::function<void(CompletionsResult)> done) = 0;
  virtual void Control(const WorkerId& worker,
                       const LeaseToken& token,
                       const TaskKey& key,
                       TaskControl control,
                       std::function<void(WorkerCallStatus)> done) = 0;
  // Sets a worker's address. Calls to a worker without one end kNotSent.
  virtual void SetAddress(const WorkerId& worker,
                          const std::string& address) = 0;
};

enum class StoreStatus {
  kOk,
  kNotFound,
  kConflict,
  kUnavailable,  // a write may still take effect
};

struct StoreEntry {
  std::string key;
  std::string value;
  uint64_t revision = 0;
};

struct StoreResult {
  StoreStatus status = StoreStatus::kUnavailable;
  // Get: one entry. List and Watch: all entries under the prefix. Put: the new
  // revision, or with kConflict the current one.
  std::vector<StoreEntry> entries;
  uint64_t revision = 0;
};

class StorePort {
 public:
  virtual ~StorePort() = default;
  using Done = std::function<void(StoreResult)>;
  virtual void Get(const std::string& key, Done done) = 0;
  // Writes only if the key has the revision `expected`; 0 means absent.
  virtual void Put(const std::string& key,
                   const std::string& value,
                   uint64_t expected,
                   Done done) = 0;
  virtual void Delete(const std::string& key, uint64_t expected, Done done) = 0;
  virtual void List(const std::string& prefix, Done done) = 0;
  // Completes when a key under `prefix` has a revision above `after`, or with
  // no entries after `wait`.
  virtual void Watch(const std::string& prefix,
                     uint64_t after,
                     Millis wait,
                     Done done) = 0;
};

class PeerPort {
 public:
  virtual ~PeerPort() = default;
  // Returns false if the send queue is full or the address is unknown: the
  // message is not sent. True does not guarantee delivery.
  virtual bool Send(const MemberId& to, const Message& message) = 0;
  // Sets a member's address, as known from membership. Connections are opened
  // on demand.
  virtual void SetAddress(const MemberId& member,
                          const std::string& address) = 0;
  // Sends to an address whose member id is not yet known (a seed).
  virtual void SendToAddress(const std::string& address,
                             const Message& message) = 0;
};

enum class VmRole { kEntry, kEndpoint };
enum class VmState { kLive, kLeaving };

struct Vm {
  std::string id;  // of an endpoint: its worker id
  VmRole role = VmRole::kEndpoint;
  std::string address;
  DataCentreId data_centre;
  RegionId region;
  std::string rack;
  VmState state = VmState::kLive;
};

struct VmListResult {
  bool ok = false;
  uint64_t version = 0;
  std::vector<Vm> vms;
};

class VmListPort {
 public:
  virtual ~VmListPort() = default;
  // Returns the list once its version is above `after`, or after `wait`.
  virtual void Fetch(uint64_t after,
                     Millis wait,
                     std::function<void(VmListResult)> done) = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PORTS_H_
