#include "chivedale/event_log.h"

namespace chivedale {

const std::vector<EventInfo>& AllEvents() {
  using L = LogLevel;
  static const auto& events = *new std::vector<EventInfo>{
      {Event::kStarted, "started", L::kInfo},
      {Event::kReady, "ready", L::kInfo},
      {Event::kDraining, "draining", L::kInfo},
      {Event::kStopped, "stopped", L::kInfo},
      {Event::kStopDeadline, "stop_deadline", L::kWarning},
      {Event::kOverload, "overload", L::kWarning},
      {Event::kInternalError, "internal_error", L::kError},
      {Event::kMemberNew, "member_new", L::kInfo},
      {Event::kMemberSuspect, "member_suspect", L::kWarning},
      {Event::kMemberDead, "member_dead", L::kWarning},
      {Event::kMemberLeft, "member_left", L::kInfo},
      {Event::kPeerRejected, "peer_rejected", L::kWarning},
      {Event::kWorkerClaimed, "worker_claimed", L::kInfo},
      {Event::kWorkerLost, "worker_lost", L::kWarning},
      {Event::kWorkerReleased, "worker_released", L::kInfo},
      {Event::kWorkerHandedOver, "worker_handed_over", L::kInfo},
      {Event::kWorkerFailing, "worker_failing", L::kWarning},
      {Event::kWorkerRecovered, "worker_recovered", L::kInfo},
      {Event::kWorkerOverCommitted, "worker_over_committed", L::kError},
      {Event::kStartUnknown, "start_unknown", L::kWarning},
      {Event::kStartResolved, "start_resolved", L::kInfo},
      {Event::kRequestRetried, "request_retried", L::kInfo},
      {Event::kRequestUnknown, "request_unknown", L::kWarning},
      {Event::kRequestAdopted, "request_adopted", L::kInfo},
      {Event::kLateAnswer, "late_answer", L::kInfo},
      {Event::kRecordHolder, "record_holder", L::kInfo},
      {Event::kRecordHolderLost, "record_holder_lost", L::kWarning},
      {Event::kRecordRefused, "record_refused", L::kWarning},
      {Event::kTableApplied, "table_applied", L::kInfo},
      {Event::kTableRejected, "table_rejected", L::kError},
      {Event::kTableEdited, "table_edited", L::kInfo},
      {Event::kTableConflict, "table_conflict", L::kInfo},
      {Event::kJobSubmitted, "job_submitted", L::kInfo},
      {Event::kJobEnded, "job_ended", L::kInfo},
      {Event::kJobTakenOver, "job_taken_over", L::kWarning},
      {Event::kBadCallerInput, "bad_caller_input", L::kDebug},
      {Event::kStoreDown, "store_down", L::kError},
      {Event::kStoreUp, "store_up", L::kInfo},
      {Event::kVmListDoubted, "vm_list_doubted", L::kWarning},
      {Event::kVmListDown, "vm_list_down", L::kWarning},
  };
  return events;
}

}  // namespace chivedale
