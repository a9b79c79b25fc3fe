// Messages between daemons. peer_codec.h turns them into frames.
#ifndef CHIVEDALE_MESSAGES_H_
#define CHIVEDALE_MESSAGES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chivedale/error.h"
#include "chivedale/ids.h"
#include "chivedale/resources.h"
#include "chivedale/work.h"

namespace chivedale {

// Bodies are shared between threads and never changed.
using Body = std::shared_ptr<const std::string>;

enum class MemberState { kStarting, kLive, kSuspect, kDraining, kDead, kLeft };

struct MemberInfo {
  MemberId id;
  std::string address;  // IP:port of the peer listener
  DataCentreId data_centre;
  RegionId region;
  MemberState state = MemberState::kStarting;
  // Grows when the member itself refutes a suspicion or changes state.
  uint64_t incarnation = 0;
};

// First frame in each direction of a connection.
struct Hello {
  MemberInfo sender;
  uint32_t protocol = 1;
};

// Running and waiting work of one row or team as one entry sees it.
struct DemandReport {
  int64_t running = 0;
  int64_t queued = 0;
  double arrivals_per_s = 0;
};

struct Ping {
  uint64_t sequence = 0;
  MemberInfo sender;
  std::vector<MemberInfo> updates;
  uint64_t table_revision = 0;
  // By row kind; only rows with work.
  std::map<std::string, DemandReport> demand;
};

struct PingReply {
  uint64_t sequence = 0;
  MemberInfo sender;
  std::vector<MemberInfo> updates;
  uint64_t table_revision = 0;
  std::map<std::string, DemandReport> demand;
};

// Asks the receiver to ping `target` on behalf of the sender.
struct PingRequest {
  uint64_t sequence = 0;
  MemberInfo target;
};

// Free room of an owner's workers, split by whether they have accelerators.
struct RoomSummary {
  int64_t workers = 0;
  Resources capacity;
  Resources free;
  // Largest single free amount; a task above it in any component cannot fit.
  Resources largest;
  // Largest worker by component, as if empty; work above it never fits. Zero
  // when the sender does not know.
  Resources largest_worker;
};

struct Summary {
  MemberId owner;
  uint64_t sequence = 0;
  RoomSummary plain;
  RoomSummary accelerated;
  bool draining = false;
};

// Asks an owner to start one attempt at once or to refuse it.
struct Dispatch {
  TaskKey key;
  MemberId entry;
  std::string kind;
  Resources size;
  Millis expected_run{0};
  Millis longest_run{0};
  Urgency urgency = Urgency::kNormal;
  bool repeatable = true;
  bool checkpoint = false;
  // Empty, or the worker that a hold of a gang names.
  WorkerId worker;
  uint64_t hold = 0;
  // For a job's task: the epoch of its manager's claim. An owner that has seen
  // a JobQuery with a higher epoch refuses the start.
  uint64_t job_epoch = 0;
  // Workers, racks and data centres to avoid where others have room (spread).
  std::vector<std::string> avoid;
  Body payload;
  // Grows with each try of the entry; a repeated send of one try has the same
  // number, and an owner answers it as the first one.
  uint64_t sequence = 0;
};

enum class DispatchOutcome {
  kAccepted,  // the worker took the start
  kNoRoom,    // certain: not run
  kRefused,   // certain: not run; owner draining, or worker refused
  kUnknown,   // the start may have reached the worker
};

struct DispatchReply {
  TaskKey key;
  uint64_t sequence = 0;
  DispatchOutcome outcome = DispatchOutcome::kNoRoom;
  WorkerId worker;
  // With kAccepted and kUnknown: the lease token of the start.
  uint64_t token = 0;
  std::string boot_id;
  // With kAccepted: the worker's rack and data centre, for spreading.
  std::string rack;
  std::string data_centre;
  std::optional<Summary> summary;
};

// The result of one attempt, from owner to entry. Sent again until answered by
// an AnswerAck.
struct Answer {
  TaskKey key;
  WorkerId worker;
  bool ok = false;
  // Set when ok is false.
  ErrorKind error = ErrorKind::kTaskFailed;
  // With ok false: whether the attempt ran.
  Ran ran = Ran::kYes;
  // True when the platform's task wrote a checkpoint before it stopped.
  bool checkpointed = false;
  Millis run_time{0};
  Body payload;
};

struct AnswerAck {
  TaskKey key;
};

// Entry to owner: stop the attempt. The owner answers with an Answer.
struct Cancel {
  TaskKey key;
  // Stop after a checkpoint, for preemption.
  bool checkpoint = false;
};

// From a worker's new owner to each entry that has tasks there: after this
// list, an attempt that the entry had on `worker` and that is not listed is
// not running; see `reboot` for whether it may have run.
struct WorkerTaken {
  WorkerId worker;
  MemberId owner;
  std::vector<TaskKey> running;
  // The new owner's lease token. An attempt started under a later token is not
  // covered by this list.
  uint64_t token = 0;
  std::string boot_id;
  // The worker restarted since the earlier owner: unlisted attempts may have
  // run. False: an unlisted attempt without an answer never started.
  bool reboot = false;
};

// Entry to the holder of the id's group.
struct Register {
  RequestId request;
  MemberId entry;
  bool repeatable = true;
  // Hash of kind and payload: the same id with other content is refused.
  uint64_t digest = 0;
  // The sender already runs it (an owner that adopts after an entry's death,
  // or an entry that registers again with a new holder).
  bool running = false;
  // Only asks: a new id is neither registered nor recorded.
  bool probe = false;
  // Chosen by the entry for one registration, not 0. A repeated send of it gets
  // the first reply again; without it an unrepeatable id is kNew only once.
  uint64_t registration = 0;
};

// The entry refused or cancelled the request before any start: the holder
// forgets an idempotent id, so that a later send is new.
struct Unregister {
  RequestId request;
  MemberId entry;
};

enum class RegisterOutcome {
  kNew,    // the entry may start it
  kKnown,  // `entry` in the reply has it
  kDigestDiffers,
  kRecordedBefore,  // recorded in the store by an entry that is gone
  // Unrepeatable, and the record could not be written: this send starts
  // nothing. With may_have_run an earlier send may have run.
  kStoreDown,
  kNotHolder,  // ask again after the next member update
  kWait,       // the earlier entry is gone; its work may still run; ask again
};

struct RegisterReply {
  RequestId request;
  RegisterOutcome outcome = RegisterOutcome::kNew;
  MemberId entry;
  Millis retry_after{0};
  // That of the Register, so that the entry role and the owner role of one
  // member tell their replies apart.
  uint64_t registration = 0;
  // With kNew: an earlier send may have run for an entry that is gone. With
  // kStoreDown: another holder may have granted an earlier send.
  bool may_have_run = false;
};

enum class AttachMode {
  kWait,    // answer when the request has ended
  kStatus,  // answer now
  kCancel,  // cancel it; answer when it has ended
};

// Sent to the entry that has the request, or to the owner that adopted it.
struct Attach {
  RequestId request;
  MemberId sender;
  AttachMode mode = AttachMode::kWait;
};

struct AttachAnswer {
  RequestId request;
  AttachMode mode = AttachMode::kWait;
  // False: the receiver of the Attach does not have the request.
  bool found = false;
  // False only with kStatus: not ended yet.
  bool ended = true;
  bool ok = false;
  ErrorKind error = ErrorKind::kInternal;
  Ran ran = Ran::kUnknown;
  std::string detail;
  std::string kind;
  uint32_t attempt = 0;
  WorkerId worker;
  Body payload;
};

// After an entry's death, each member tells the holders which of its requests
// it runs. `complete` ends the list.
struct EntryGone {
  MemberId gone;
  MemberId sender;
  std::vector<RequestId> running;
  bool complete = true;
};

struct TablePull {
  uint64_t have_revision = 0;
};

// The whole table as JSON text, or the changed rows since `base_revision`.
struct TableData {
  uint64_t revision = 0;
  uint64_t base_revision = 0;  // 0: whole
  std::string json;
};

// Holds room for `count` tasks of a gang until `ttl` passes or a release. The
// same hold sent again starts its `ttl` anew and takes up to `count` in all.
struct Hold {
  uint64_t hold = 0;
  JobId job;
  Resources size;
  int64_t count = 0;
  Millis ttl{0};
};

struct HoldReply {
  uint64_t hold = 0;
  JobId job;
  // One worker per task that got room; fewer than asked means the rest failed.
  std::vector<WorkerId> workers;
};

struct HoldRelease {
  uint64_t hold = 0;
};

// An attempt and the worker it is recorded on, if known.
struct JobAttempt {
  TaskKey key;
  WorkerId worker;
};

// Without a job: from an entry, for attempts that it lost sight of; a member
// answers once it has read its workers, and names each attempt as present or
// absent. Else from a job's manager to all owners, after a takeover or when an
// owner is gone: from now on answers of these attempts go to `manager`, and
// starts with a lower epoch are refused. An answer not yet acknowledged is sent
// at once.
struct JobQuery {
  JobId job;
  MemberId manager;
  uint64_t epoch = 0;
  // Tells the reply's round from earlier ones.
  uint64_t round = 0;
  std::vector<JobAttempt> attempts;
};

struct JobQueryReply {
  JobId job;
  uint64_t epoch = 0;
  uint64_t round = 0;
  // Running on a worker of this owner, or ended with an unacknowledged answer.
  std::vector<JobAttempt> present;
  // The owner holds the attempt's worker and the attempt is not there.
  std::vector<TaskKey> absent;
};

// To a job's manager: its record in the store was created or edited.
struct JobChanged {
  JobId job;
};

// A draining owner has released these workers; the receiver claims them now.
struct Handover {
  std::vector<WorkerId> workers;
};

// Accepted jobs of a queue of which no task has started.
struct QueuePending {
  std::string queue;
  int64_t jobs = 0;
};

// Between the leader of a cell and its other members, both ways.
struct CellBeat {
  std::string node;
  std::string boot;
  std::string address;
  bool leading = false;
  bool leaving = false;  // stops soon; a leader wants a successor
  bool store_ok = true;  // the store answers the sender
  int64_t term = 0;      // of the leadership that the sender knows of
  double strongest = 0;  // from a leader: the strength of its best member
  std::vector<QueuePending> pending;  // from a leader
};

// To the leader: what is the state of this job?
struct JobStateCall {
  uint64_t call = 0;
  std::string address;  // to answer to
  std::string job;
};

struct JobStateAnswer {
  uint64_t call = 0;
  bool leading = false;  // false: the receiver cannot say
  bool found = false;
  std::string state;
};

// From a member that the store does not answer: store this job or cancel.
struct JobStoreCall {
  uint64_t call = 0;
  std::string address;  // to answer to
  std::string job;
  Body record;  // null: cancel the job
  Millis patience{0};
};

enum class JobStoreResult { kStored, kNotStored, kUnknown, kNoSuchJob };

struct JobStoreAnswer {
  uint64_t call = 0;
  JobStoreResult result = JobStoreResult::kUnknown;
};

// From the leader: call the advice service for this step.
struct AdviceCall {
  uint64_t call = 0;
  std::string address;  // to answer to
  std::string step;
  std::vector<std::string> executors;
  Millis timeout{0};
};

struct AdviceTicket {
  std::string executor;
  std::string ticket;
};

struct AdviceAnswer {
  uint64_t call = 0;
  bool answered = false;
  bool overloaded = false;
  Millis validity{0};
  std::vector<AdviceTicket> good;
};

// From the member that took it to the leader: this job or cancel is stored.
struct JobNotice {
  std::string job;
  Body record;           // null: the job was cancelled
  int64_t revision = 0;  // of the store, with a record
};

using Message = std::variant<Hello,
                             Ping,
                             PingReply,
                             PingRequest,
                             Summary,
                             Dispatch,
                             DispatchReply,
                             Answer,
                             AnswerAck,
                             Cancel,
                             WorkerTaken,
                             Register,
                             RegisterReply,
                             Unregister,
                             Attach,
                             AttachAnswer,
                             EntryGone,
                             TablePull,
                             TableData,
                             Hold,
                             HoldReply,
                             HoldRelease,
                             Handover,
                             JobQuery,
                             JobQueryReply,
                             JobChanged,
                             CellBeat,
                             JobStateCall,
                             JobStateAnswer,
                             AdviceCall,
                             AdviceAnswer,
                             JobStoreCall,
                             JobStoreAnswer,
                             JobNotice>;

}  // namespace chivedale

#endif  // CHIVEDALE_MESSAGES_H_
