// What the decisions of the cell need from outside. The folder platform/
// implements these; tests use fakes. Callbacks run on the control thread, never
// within the call that takes them.
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
  kConflict,   // a condition did not hold; nothing was done
  kNotFound,   // the key is absent
  kRefused,    // nothing was done: down for this VM, or over its rate
  kCompacted,  // a watch's history is gone; read anew
  kUnknown,    // no answer: a write may be done now, later or never
};

struct StoreItem {
  std::string key;
  std::string value;
  int64_t revision = 0;
  bool deleted = false;  // from a watch only
};

struct StoreRead {
  StoreStatus status = StoreStatus::kUnknown;
  std::vector<StoreItem> items;
  int64_t revision = 0;  // of the store
};

struct StoreWrite {
  // Key and revision that it must have; 0: the key must be absent.
  std::vector<std::pair<std::string, int64_t>> conditions;
  std::vector<std::pair<std::string, std::string>> puts;
  std::vector<std::string> removals;
};

struct StoreWriteReply {
  StoreStatus status = StoreStatus::kUnknown;
  int64_t revision = 0;
  // With kConflict: the present items of the conditions' keys.
  std::vector<StoreItem> items;
};

// Conditions, puts and removals of one write together.
inline constexpr size_t kMaxWriteEntries = 32;

class StorePort {
 public:
  using OnRead = std::function<void(StoreRead)>;
  using OnWrite = std::function<void(StoreWriteReply)>;
  virtual ~StorePort() = default;
  virtual void Read(const std::string& key, Millis timeout, OnRead done) = 0;
  // All items under the prefix, over as many pages as it takes.
  virtual void List(const std::string& prefix, Millis timeout, OnRead done) = 0;
  // Changes under the prefix after the revision; waits up to `wait` for one.
  virtual void Watch(const std::string& prefix,
                     int64_t after,
                     Millis wait,
                     OnRead done) = 0;
  virtual void Write(const StoreWrite& write, Millis timeout, OnWrite done) = 0;
};

// ---- Executors.

// What an executor says of itself in the store.
struct ExecutorEntry {
  ExecutorId id;
  std::string address;
  std::string pool;
  std::string data_centre;
  bool draining = false;
  // Least time until a draining executor leaves, if it says so.
  std::optional<Millis> leaves_in;
  int64_t born = 0;  // names its life; 0: not said
  Resources capacity;
  std::vector<std::string> labels;
  std::string rack;  // one of the labels; empty: not said
};

struct StartOrder {
  std::string address;
  ExecutorId executor;
  std::string task;
  int64_t run = 0;
  std::string payload;
  Millis until{0};  // on the executor's clock
  int64_t fence = 0;
  std::string checkpoint;
  std::string ticket;
};

enum class OrderResult {
  kOk,
  kFenced,  // a newer leader has been here
  kOldRun,  // a run at least as high was stopped or ended here
  kLate,    // its time had passed when it arrived
  kNoRoom,
  kBadTicket,
  kRejected,   // malformed, or refused for another reason; not done
  kUnhealthy,  // not done
  kOtherLife,  // another life of the executor, or another executor
  kNotSent,    // certainly not done
  kUnknown,    // may be done now or later
};

std::string_view OrderResultName(OrderResult result);

struct OrderReply {
  OrderResult result = OrderResult::kUnknown;
  std::optional<Millis> clock;  // the executor's
};

struct HoldOrder {
  std::string address;
  ExecutorId executor;
  int64_t fence = 0;
  int64_t ends_stored = 0;      // ends up to this number may be forgotten
  std::optional<Millis> until;  // lease, on the executor's clock
  Millis wait{0};               // for an end
};

struct RunningTask {
  std::string task;
  int64_t run = 0;
  std::string checkpoint;
  int percent = 100;
  int64_t figure = 0;  // tail in ms of a serving task, else milli cores in use
};

struct EndedTask {
  int64_t number = 0;
  std::string task;
  int64_t run = 0;
  RunEnd end = RunEnd::kStopped;
  std::string checkpoint;
};

struct HoldReply {
  OrderResult result = OrderResult::kUnknown;
  Millis clock{0};
  int64_t born = 0;
  std::vector<RunningTask> running;
  std::vector<EndedTask> ended;
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
  virtual void Pace(const std::string& address,
                    const ExecutorId& executor,
                    const std::string& task,
                    int64_t run,
                    int percent,
                    int64_t fence,
                    OnOrder done) = 0;
  virtual void Hold(const HoldOrder& order, OnHold done) = 0;
};

// ---- Advice on which executors may run a step.

struct AdviceReply {
  bool answered = false;
  bool overloaded = false;  // the service refused the call
  // Executor and ticket of each that may run the step.
  std::vector<std::pair<ExecutorId, std::string>> good;
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

enum class VmState { kUp, kMoving, kUpkeep, kDown };

struct VmInfo {
  std::string vm;
  std::string pool;
  VmState state = VmState::kDown;
  ExecutorId executor;
};

enum class VmOrderResult {
  kOk,
  kFenced,
  kBusy,
  kWrongWave,
  kRejected,
  kUnknown
};

class VmPort {
 public:
  using OnList = std::function<void(std::optional<std::vector<VmInfo>>)>;
  using OnOrder = std::function<void(VmOrderResult)>;
  virtual ~VmPort() = default;
  virtual void List(OnList done) = 0;
  virtual void Upkeep(const std::string& vm,
                      int64_t wave,
                      int64_t fence,
                      OnOrder done) = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_PORTS_H_
