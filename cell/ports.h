// Interfaces to the services that the cell uses. They are implemented in
// platform/ and by fakes in tests. Callbacks run on the control thread, never
// within the call that registers them.
#ifndef CELL_PORTS_H_
#define CELL_PORTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/types.h"

namespace chivedale::cell {

// ---- The store.

enum class StoreStatus {
  kOk,
  kConflict,   // a condition did not hold; nothing was written
  kNotFound,   // the key is absent
  kRefused,    // not executed: unavailable to this VM, or rate limited
  kInvalid,    // of a write: not executed, and not to be repeated unchanged
  kCompacted,  // the watch's history is gone; list again
  kUnknown,    // no answer; a write may take effect now, later or never
};

struct StoreItem {
  std::string key;
  std::string value;
  int64_t revision = 0;
  bool deleted = false;  // set by watches only
};

struct StoreRead {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  int64_t revision = 0;       // of the store
  size_t received_bytes = 0;  // of the response, also if it is incomplete
};

struct StoreWrite {
  // Keys and their expected revisions; 0: the key must be absent.
  std::vector<std::pair<std::string, int64_t>> conditions;
  std::vector<std::pair<std::string, std::string>> puts;
  std::vector<std::string> removals;
};

struct StoreWriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  int64_t revision = 0;
  // For kConflict: the current items of the condition keys.
  std::vector<StoreItem> items;
};

// Maximum total of conditions, puts and removals in one write.
inline constexpr size_t kMaxWriteEntries = 32;

// Maximum bytes of a value, unless the settings name another limit.
inline constexpr size_t kDefaultMaxValueBytes = size_t{1} << 20;

// Time for the response of a watch to begin after its wait. Short, because only
// this limit detects the loss of a connection without a reset.
inline constexpr Millis kWatchMargin{700};

class StorePort {
 public:
  using OnRead = std::function<void(StoreRead)>;
  using OnWrite = std::function<void(StoreWriteReply)>;
  virtual ~StorePort() = default;
  // `timeout`: until the whole response has arrived.
  virtual void Read(const std::string& key, Millis timeout, OnRead done) = 0;
  // Lists all items under the prefix, reading as many pages as needed. Each
  // page may arrive for longer than `timeout` while data arrives.
  virtual void List(const std::string& prefix, Millis timeout, OnRead done) = 0;
  // Returns the changes under the prefix after the revision `after`. Waits up
  // to `wait` for the first one, and `margin` more for the response to begin
  // and in each pause until it is complete.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Millis wait,
                     Millis margin,
                     OnRead done) = 0;
  virtual void Write(const StoreWrite& write, Millis timeout, OnWrite done) = 0;
};

// ---- Executors.

// Entry that an executor keeps in the store.
struct ExecutorEntry {
  ExecutorId id;
  std::string address;
  std::string pool;
  std::string data_centre;
  bool draining = false;
  // Minimum time until a draining executor leaves, if known.
  std::optional<Millis> min_time_to_leave;
  int64_t incarnation = 0;  // 0: unknown
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;  // one of the labels; empty: unknown
};

struct StartOrder {
  std::string address;
  ExecutorId executor;
  std::string task;
  int64_t run = 0;
  std::string payload;
  // Not started later; on the executor's clock.
  Millis start_deadline{0};
  int64_t fence = 0;
  std::string checkpoint;
  std::string ticket;
};

enum class OrderResult {
  kOk,
  kFenced,          // the executor has seen a newer leader
  kStaleRun,        // the same or a later run was stopped or has ended
  kDeadlinePassed,  // arrived after its deadline
  kInsufficientCapacity,
  kBadTicket,
  kRejected,          // not executed: malformed, or refused for another reason
  kUnhealthy,         // not executed: the executor is unhealthy
  kWrongIncarnation,  // restarted executor, or another one at its address
  kNotSent,           // known not to have been executed
  kUnknown,           // may be executed now or later
};

std::string_view OrderResultName(OrderResult result);

struct OrderReply {
  OrderResult result = OrderResult::kUnknown;
  std::optional<Millis> executor_clock;
};

struct HoldRequest {
  std::string address;
  ExecutorId executor;
  int64_t fence = 0;
  int64_t ends_stored = 0;            // ends up to this number may be discarded
  std::optional<Millis> lease_until;  // lease, on the executor's clock
  Millis wait{0};                     // maximum wait for an end
};

struct RunningTask {
  std::string task;
  int64_t run = 0;
  std::string checkpoint;
  int pace_percent = 100;
  // Tail latency in ms of a serving task, else CPU use in millicores.
  int64_t load_figure = 0;
};

struct EndedTask {
  int64_t number = 0;
  std::string task;  // empty if unreadable: only acknowledged
  int64_t run = 0;
  RunEnd end = RunEnd::kStopped;
  std::string checkpoint;
};

struct HoldReply {
  OrderResult result = OrderResult::kUnknown;
  Millis executor_clock{0};
  int64_t incarnation = 0;
  std::vector<RunningTask> running;
  // False if a row was skipped: an unknown run, perhaps a task of this cell.
  bool running_complete = true;
  std::vector<EndedTask> ended;
  std::string unreadable_row;  // which one, the first if there are several
};

class ExecutorPort {
 public:
  using OnOrder = std::function<void(OrderReply)>;
  using OnHold = std::function<void(HoldReply)>;
  virtual ~ExecutorPort() = default;
  virtual void Start(const StartOrder& order, OnOrder done) = 0;
  virtual void Stop(const std::string& address,
                    const ExecutorId& executor,
                    const std::string& task,
                    int64_t run,
                    int64_t fence,
                    OnOrder done) = 0;
  // Limits the speed of a run to a percentage.
  virtual void Pace(const std::string& address,
                    const ExecutorId& executor,
                    const std::string& task,
                    int64_t run,
                    int percent,
                    int64_t fence,
                    OnOrder done) = 0;
  // Renews the leases and lists runs and ends. Waits up to `request.wait` for
  // an end.
  virtual void Hold(const HoldRequest& request, OnHold done) = 0;
};

// ---- Advice on which executors may run a step.

struct AdviceReply {
  bool answered = false;
  bool overloaded = false;  // the service refused the call
  // Executors that may run the step, with their tickets.
  std::vector<std::pair<ExecutorId, std::string>> allowed;
  Millis validity{0};
};

class AdvicePort {
 public:
  using OnAdvice = std::function<void(AdviceReply)>;
  virtual ~AdvicePort() = default;
  virtual void Ask(const std::string& step,
                   const std::vector<ExecutorId>& executors,
                   Millis timeout,
                   OnAdvice done) = 0;
};

// ---- The VMs behind the executors.

// Any other reported state is taken as kDown.
enum class VmState { kUp, kMigrating, kUpkeep, kDown };

struct VmInfo {
  std::string vm;
  std::string pool;
  VmState state = VmState::kDown;
  ExecutorId executor;
};

enum class VmOrderResult {
  kOk,
  kFenced,     // the service has seen a newer leader
  kBusy,       // not possible now; may be retried
  kWrongWave,  // refused because of the wave
  kRejected,   // refused for another reason
  kUnknown     // no answer
};

class VmPort {
 public:
  using OnList = std::function<void(std::optional<std::vector<VmInfo>>)>;
  using OnOrder = std::function<void(VmOrderResult)>;
  virtual ~VmPort() = default;
  virtual void List(OnList done) = 0;
  virtual void StartUpkeep(const std::string& vm,
                           int64_t wave,
                           int64_t fence,
                           OnOrder done) = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_PORTS_H_
