// Numbered log events with fields, written through log4cxx. The catalogue is
// docs/events.md; a test checks that it lists every event.
//
//   log.Write(Event::kWorkerClaimed, {{"worker", id.str()}, {"token", "7"}});
#ifndef CHIVEDALE_EVENT_LOG_H_
#define CHIVEDALE_EVENT_LOG_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivedale {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// Hundreds: 1 process, 2 members, 3 workers, 4 requests, 5 records, 6 table,
// 7 jobs, 8 callers and HTTP, 9 store and VM list.
enum class Event {
  kStarted = 101,
  kReady = 102,
  kDraining = 103,
  kStopped = 104,
  kStopDeadline = 105,
  kOverload = 106,
  kInternalError = 107,
  kMemberNew = 201,
  kMemberSuspect = 202,
  kMemberDead = 203,
  kMemberLeft = 204,
  kPeerRejected = 205,
  kWorkerClaimed = 301,
  kWorkerLost = 302,
  kWorkerReleased = 303,
  kWorkerHandedOver = 304,
  kWorkerFailing = 305,
  kWorkerRecovered = 306,
  kWorkerOverCommitted = 307,
  kStartUnknown = 308,
  kStartResolved = 309,
  kRequestRetried = 401,
  kRequestUnknown = 402,
  kRequestAdopted = 403,
  kLateAnswer = 404,
  kRecordHolder = 501,
  kRecordHolderLost = 502,
  kRecordRefused = 503,
  kTableApplied = 601,
  kTableRejected = 602,
  kTableEdited = 603,
  kTableConflict = 604,
  kJobSubmitted = 701,
  kJobEnded = 702,
  kJobTakenOver = 703,
  kBadCallerInput = 801,
  kStoreDown = 901,
  kStoreUp = 902,
  kVmListDoubted = 903,
  kVmListDown = 904,
};

struct EventInfo {
  Event event;
  std::string_view name;
  LogLevel level;
};
// Every event, in order of number.
const std::vector<EventInfo>& AllEvents();

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(Event event, const LogFields& fields) = 0;
};

// For tests and tools.
class NullEventLog final : public EventLog {
 public:
  void Write(Event, const LogFields&) override {}
};

}  // namespace chivedale

#endif  // CHIVEDALE_EVENT_LOG_H_
