// Paths and field names of the platform's protocols (HTTP/1.1), as described in
// section 5 of docs/design.md. Used by clients and stand-ins through
// platform_codec.h.
//
// A body "with a payload" is one line of JSON that ends in a newline, followed
// by `bytes` bytes of payload, so that payloads are neither escaped nor
// re-encoded. A list of completions is a sequence of such pairs.
#ifndef CHIVEDALE_PLATFORM_PROTOCOL_H_
#define CHIVEDALE_PLATFORM_PROTOCOL_H_

namespace chivedale::protocol {

// Worker.
inline constexpr char kLeasePath[] = "/v1/lease";
inline constexpr char kTasksPath[] = "/v1/tasks";
inline constexpr char kCompletionsPath[] = "/v1/completions";
// Suffixes of /v1/tasks/ID/.
inline constexpr char kStop[] = "stop";
inline constexpr char kCheckpoint[] = "checkpoint";
inline constexpr char kThrottle[] = "throttle";

// Store.
inline constexpr char kKeysPath[] = "/v1/kv";
inline constexpr char kWatchPath[] = "/v1/watch";
inline constexpr char kStoreLeasesPath[] = "/v1/leases";

// VM list.
inline constexpr char kVmsPath[] = "/v1/vms";

inline constexpr char kPayloadType[] = "application/x-json-line-payload";
inline constexpr char kJsonType[] = "application/json";

// Field names of bodies and queries.
inline constexpr char kAccelerators[] = "accelerators";
inline constexpr char kAcks[] = "acks";
inline constexpr char kAddress[] = "address";
inline constexpr char kAfter[] = "after";
inline constexpr char kAttempt[] = "attempt";
inline constexpr char kBootId[] = "boot_id";
inline constexpr char kBytes[] = "bytes";
inline constexpr char kCapacity[] = "capacity";
inline constexpr char kCheckpointed[] = "checkpointed";
inline constexpr char kCpuMilli[] = "cpu_milli";
inline constexpr char kDataCentre[] = "data_centre";
inline constexpr char kEntries[] = "entries";
inline constexpr char kEntry[] = "entry";
inline constexpr char kError[] = "error";
inline constexpr char kExpected[] = "expected";
inline constexpr char kFencing[] = "fencing";
inline constexpr char kHolder[] = "holder";
inline constexpr char kId[] = "id";
inline constexpr char kKey[] = "key";
inline constexpr char kKind[] = "kind";
inline constexpr char kLagMs[] = "lag_ms";
inline constexpr char kLease[] = "lease";
inline constexpr char kLeaving[] = "leaving";
inline constexpr char kLongestRunMs[] = "longest_run_ms";
inline constexpr char kMemoryMb[] = "memory_mb";
inline constexpr char kOk[] = "ok";
inline constexpr char kOutcome[] = "outcome";
inline constexpr char kOwner[] = "owner";
inline constexpr char kPeakUsed[] = "peak_used";
inline constexpr char kPrefix[] = "prefix";
inline constexpr char kRack[] = "rack";
inline constexpr char kRan[] = "ran";
inline constexpr char kRegion[] = "region";
inline constexpr char kRemainingMs[] = "remaining_ms";
inline constexpr char kRepeatable[] = "repeatable";
inline constexpr char kReport[] = "report";
inline constexpr char kRevision[] = "revision";
inline constexpr char kRole[] = "role";
inline constexpr char kRunMs[] = "run_ms";
inline constexpr char kRunningMs[] = "running_ms";
inline constexpr char kSequence[] = "sequence";
inline constexpr char kSize[] = "size";
inline constexpr char kSlots[] = "slots";
inline constexpr char kState[] = "state";
inline constexpr char kTask[] = "task";
inline constexpr char kTasks[] = "tasks";
inline constexpr char kToken[] = "token";
inline constexpr char kTtlMs[] = "ttl_ms";
inline constexpr char kUsed[] = "used";
inline constexpr char kValue[] = "value";
inline constexpr char kVersion[] = "version";
inline constexpr char kVms[] = "vms";
inline constexpr char kWaitMs[] = "wait_ms";

// Values of `outcome` in the response to a start.
inline constexpr char kAccepted[] = "accepted";
inline constexpr char kStaleToken[] = "stale_token";
inline constexpr char kNoRoom[] = "no_room";
inline constexpr char kRefusesLeaving[] = "leaving";
inline constexpr char kAlreadyThere[] = "already_there";

// Values of `role` and `state` in the VM list.
inline constexpr char kRoleEntry[] = "entry";
inline constexpr char kRoleEndpoint[] = "endpoint";
inline constexpr char kStateLive[] = "live";
inline constexpr char kStateLeaving[] = "leaving";

}  // namespace chivedale::protocol

#endif  // CHIVEDALE_PLATFORM_PROTOCOL_H_
