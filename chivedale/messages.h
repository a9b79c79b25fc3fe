// Messages between daemons; peer_codec.h encodes them.
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

// Bodies are immutable and shared between threads.
using Body = std::shared_ptr<const std::string>;

enum class MemberState { kStarting, kLive, kSuspect, kDraining, kDead, kLeft };

struct MemberInfo {
  MemberId id;
  std::string address;  // IP:port of the peer listener
  DataCentreId data_centre;
  RegionId region;
  MemberState state = MemberState::kStarting;
  // Incremented when the member refutes a suspicion or changes its state.
  uint64_t incarnation = 0;
};

// First frame in each direction of a connection.
struct Hello {
  MemberInfo sender;
  uint32_t protocol = 1;
};

// Running and queued work of one row at one entry VM.
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
  // By kind of the row. Rows without work are omitted.
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

// Capacity of an owner's workers; reported separately for workers with and
// without accelerators.
struct RoomSummary {
  int64_t workers = 0;
  Resources capacity;
  Resources free;
  // Largest free amount of any worker, by component. A task that exceeds it in
  // any component does not fit.
  Resources largest;
  // Largest capacity of any worker, by component. Work that exceeds it never
  // fits. Zero if unknown.
  Resources largest_worker;
};

struct Summary {
  MemberId owner;
  uint64_t sequence = 0;
  RoomSummary plain;
  RoomSummary accelerated;
  bool draining = false;
};

// Asks an owner to start an attempt immediately or to refuse it.
struct Dispatch {
  TaskKey key;
  MemberId entry;
  std::string kind;
  Resources size;
  Millis expected_run{0};
  Millis longest_run{0};
  Urgency urgency = Urgency::kNormal;
  bool repeatable = true;
  bool checkpoint = false;  // the task can write a checkpoint
  // The worker that the hold of a gang reserved; empty without a hold.
  WorkerId worker;
  uint64_t hold = 0;
  // For a task of a job: the epoch of the manager's claim. An owner that has
  // received a JobQuery with a higher epoch refuses the start.
  uint64_t job_epoch = 0;
  // Workers, racks and data centres to avoid if others have room (spreading).
  std::vector<std::string> avoid;
  Body payload;
  // Incremented by the entry for each new try. A try that is sent again keeps
  // its number and gets the same reply.
  uint64_t sequence = 0;
};

enum class DispatchOutcome {
  kAccepted,              // the worker took the start
  kInsufficientCapacity,  // not run
  kRefused,               // not run; owner draining, or worker refused
  kUnknown,               // the start may have reached the worker
};

struct DispatchReply {
  TaskKey key;
  uint64_t sequence = 0;
  DispatchOutcome outcome = DispatchOutcome::kInsufficientCapacity;
  WorkerId worker;
  // With kAccepted and kUnknown: the lease token of the start.
  uint64_t token = 0;
  std::string boot_id;
  // With kAccepted: rack and data centre of the worker, for spreading.
  std::string rack;
  std::string data_centre;
  std::optional<Summary> summary;
};

// From owner to entry: the result of an attempt. Repeated until an AnswerAck
// arrives.
struct Answer {
  TaskKey key;
  WorkerId worker;
  bool ok = false;
  // Valid if not ok.
  ErrorKind error = ErrorKind::kTaskFailed;
  // If not ok: whether the attempt ran.
  Ran ran = Ran::kYes;
  // True if the task wrote a checkpoint before it stopped.
  bool checkpointed = false;
  Millis run_time{0};
  Body payload;
};

struct AnswerAck {
  TaskKey key;
};

// From entry to owner: stop the attempt. The owner replies with an Answer.
struct Cancel {
  TaskKey key;
  // Write a checkpoint before stopping, for preemption.
  bool checkpoint = false;
};

// From a worker's new owner to each entry that has tasks there: lists the
// running attempts. An attempt of the entry on `worker` that is not listed is
// not running; `reboot` tells whether it may have run.
struct WorkerTaken {
  WorkerId worker;
  MemberId owner;
  std::vector<TaskKey> running;
  // Lease token of the new owner. The list does not cover attempts that were
  // started under a later token.
  uint64_t token = 0;
  std::string boot_id;
  // True if the worker has restarted since the previous owner: unlisted
  // attempts may have run. If false, an unlisted attempt without an answer
  // never started.
  bool reboot = false;
};

// From an entry to the member that holds the record group of the request id.
// Ids are hashed to Settings::record_groups groups, each with one holder.
struct Register {
  RequestId request;
  MemberId entry;
  bool repeatable = true;
  // Hash of kind and payload. The same id with different content is refused.
  uint64_t digest = 0;
  // True if the request is already running: the sender is an owner that adopted
  // it after the death of its entry, or an entry that registers again with a
  // new holder.
  bool running = false;
  // Query only: a new id is neither registered nor recorded.
  bool probe = false;
  // Nonzero id of this registration, chosen by the entry. A registration that
  // is sent again gets the first reply again, so that a lost kNew, which an
  // unrepeatable request gets only once, can be recovered.
  uint64_t registration = 0;
};

// From an entry that refused or cancelled the request before any start: the
// holder removes the id of a repeatable request, so that a later send counts as
// new.
struct Unregister {
  RequestId request;
  MemberId entry;
};

enum class RegisterOutcome {
  kNew,    // the entry may start it
  kKnown,  // `entry` of the reply has the request
  kDigestDiffers,
  kAlreadyRecorded,  // the store has a record by an entry that is gone
  // Unrepeatable and the record could not be written: this send must not start
  // it. With may_have_run, an earlier send may have run.
  kStoreDown,
  kNotHolder,   // retry after the next member update
  kRetryLater,  // the earlier entry is gone, its work may still be running
};

struct RegisterReply {
  RequestId request;
  RegisterOutcome outcome = RegisterOutcome::kNew;
  MemberId entry;
  Millis retry_after{0};
  // Copied from the Register, so that the entry role and the owner role of a
  // member can tell their replies apart.
  uint64_t registration = 0;
  // With kNew: an earlier send may have run for an entry that is gone. With
  // kStoreDown: another holder may have allowed an earlier send.
  bool may_have_run = false;
};

enum class AttachMode {
  kWait,    // reply when the request has ended
  kStatus,  // reply immediately
  kCancel,  // cancel the request; reply when it has ended
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
  // False if the receiver of the Attach does not have the request.
  bool found = false;
  // Can be false only with kStatus.
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

// From each member to the holders after the death of `entry`: the requests of
// that entry that the sender runs. `complete` marks the end of the list.
struct EntryGone {
  MemberId entry;
  MemberId sender;
  std::vector<RequestId> running;
  bool complete = true;
};

// Asks for the table if its revision at the receiver is above `have_revision`.
// The reply is a TableData.
struct TablePull {
  uint64_t have_revision = 0;
};

// The whole table as JSON text, or the changed rows since `base_revision`.
struct TableData {
  uint64_t revision = 0;
  uint64_t base_revision = 0;  // 0: whole table
  std::string json;
};

// Reserves resources for `count` tasks of a gang until `ttl` expires or a
// HoldRelease arrives. A repeated Hold restarts `ttl` and extends the
// reservation to at most `count` tasks in total.
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
  // One worker for each reserved task. Fewer than `count`: no room for the
  // others.
  std::vector<WorkerId> workers;
};

struct HoldRelease {
  uint64_t hold = 0;
};

// An attempt and the worker recorded for it; empty if unknown.
struct JobAttempt {
  TaskKey key;
  WorkerId worker;
};

// Asks owners which of the attempts they have.
//
// With an empty job: from an entry, about attempts whose state it does not
// know. A member replies after it has listed its workers' tasks and reports
// each attempt as present or absent.
//
// With a job: from the job's manager to all owners, after a takeover or the
// loss of an owner. Answers of these attempts then go to `manager`, starts with
// a lower epoch are refused, and unacknowledged answers are sent at once.
struct JobQuery {
  JobId job;
  MemberId manager;
  uint64_t epoch = 0;
  // Matches replies to queries.
  uint64_t round = 0;
  std::vector<JobAttempt> attempts;
};

struct JobQueryReply {
  JobId job;
  uint64_t epoch = 0;
  uint64_t round = 0;
  // Attempts that run on a worker of this owner, or have ended and have an
  // unacknowledged answer.
  std::vector<JobAttempt> present;
  // Attempts that this owner does not have; with a job, only those whose
  // recorded worker it owns.
  std::vector<TaskKey> absent;
};

// To a job's manager: the job's record in the store was created or edited.
struct JobChanged {
  JobId job;
};

// A draining owner has released these workers. The receiver claims them at
// once.
struct Handover {
  std::vector<WorkerId> workers;
};

// Number of accepted jobs of a queue that have no started task.
struct QueuePending {
  std::string queue;
  int64_t jobs = 0;
};

// Heartbeat between the leader of a cell and the other members, in both
// directions.
struct CellBeat {
  std::string node;
  std::string boot_id;
  std::string address;
  bool is_leader = false;
  bool leaving = false;  // stopping soon; a leader then needs a successor
  bool store_ok = true;  // the sender can reach the store
  int64_t term = 0;      // latest leadership term known to the sender
  // From a leader: the highest election strength of any member.
  double max_strength = 0;
  // From a leader. A single entry without a name if it has not read the jobs
  // yet: members of an earlier version reject a heartbeat with more fields.
  std::vector<QueuePending> pending;
};

// To a member: whether it receives heartbeats from the leader of this term.
struct LeaderQuery {
  std::string address;  // where to send the reply
  int64_t term = 0;
};

// Sent only by a member that receives them.
struct LeaderHeard {
  int64_t term = 0;
};

// From a leader that the store does not answer: whether the member follows it.
struct FollowCall {
  std::string address;  // where to send the reply
  int64_t term = 0;
  Millis sent{0};  // on the leader's clock; returned in the answer
};

// Sent only by a member that follows the leader of this term and has not been
// elected since.
struct FollowAnswer {
  std::string address;  // of the sender
  std::string boot_id;
  int64_t term = 0;
  Millis sent{0};
  Millis uptime{0};  // of the sender's process, or less
};

// To the leader: asks for the state of a job.
struct JobStateCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
  std::string job;
};

// Like JobStateCall, for a caller with an account. Members of earlier versions
// ignore it; the sender then reads the store.
struct OwnedStateCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
  std::string job;
  std::string account;
  std::string key_digest;
};

struct JobStateAnswer {
  uint64_t call = 0;
  bool is_leader = false;  // false: the receiver cannot tell the state
  bool found = false;
  std::string state;  // kOtherAccountState: the job is of another account
};
inline constexpr char kOtherAccountState[] = "other_account";

// From a member that cannot reach the store: store this job, or its cancel.
struct JobStoreCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
  std::string job;
  Body record;  // null: cancel the job
  Millis timeout{0};
};

// Like a JobStoreCall without a record, for a caller with an account.
struct OwnedCancelCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
  std::string job;
  Millis timeout{0};
  std::string account;
  std::string key_digest;
};

enum class JobStoreResult {
  kStored,
  kNotStored,
  kUnknown,
  kNoSuchJob,
  kOtherAccount,
};

struct JobStoreAnswer {
  uint64_t call = 0;
  JobStoreResult result = JobStoreResult::kUnknown;
};

// To the leader: as of when is it known that no newer table exists?
struct TableCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
};

// No newer table than `version` existed `age` before this was sent.
struct TableConfirmation {
  uint64_t call = 0;
  int64_t version = 0;  // 0: not known
  Millis age{0};
};

// From the leader: query the advice service for a step.
struct AdviceCall {
  uint64_t call = 0;
  std::string address;  // where to send the reply
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

// To the leader, from the member that received the call: this job or its cancel
// is stored.
struct JobNotice {
  std::string job;
  Body record;           // null: the job was cancelled
  int64_t revision = 0;  // store revision; only with a record
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
                             JobNotice,
                             LeaderQuery,
                             LeaderHeard,
                             FollowCall,
                             FollowAnswer,
                             OwnedStateCall,
                             OwnedCancelCall,
                             TableCall,
                             TableConfirmation>;

}  // namespace chivedale

#endif  // CHIVEDALE_MESSAGES_H_
