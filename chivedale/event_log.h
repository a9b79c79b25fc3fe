// Numbered log events with fields. docs/events.md describes them; a test checks
// that it lists every event.
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

// Number ranges by hundreds: 1 process, 2 members, 3 workers, 4 requests, 5
// records, 6 table, 7 jobs, 8 callers and HTTP, 9 store and VM list. Of a cell:
// 10 leadership, 11 jobs, 12 tasks, 13 executors, 14 advice, 15 upkeep, 16
// settings.
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
  kOperatorRead = 605,
  kOperatorReadFailed = 606,
  kJobSubmitted = 701,
  kJobEnded = 702,
  kJobTakenOver = 703,
  kBadCallerInput = 801,
  kStoreDown = 901,
  kStoreUp = 902,
  kVmListDoubted = 903,
  kVmListDown = 904,
  kCellLeading = 1001,
  kCellNotLeading = 1002,
  kCellLoaded = 1003,
  kCellBadRecord = 1004,
  kCellPaused = 1005,
  kLeaderSuspected = 1006,
  kLeaderAuthority = 1007,
  kLeaderLoad = 1008,
  kTableUnconfirmed = 1009,
  kTableConfirmed = 1010,
  kJobAccepted = 1101,
  kJobNotAccepted = 1102,
  kJobCancelled = 1103,
  kAccountLimited = 1104,
  kAccountUnlimited = 1105,
  kTaskStarted = 1201,
  kTaskEnded = 1202,
  kTaskStopOrdered = 1203,
  kStartRejected = 1204,
  kTaskRunLost = 1205,
  kStepWaiting = 1206,
  kStepWaitEnded = 1207,
  kStepNotQueued = 1208,
  kUnreadJob = 1209,
  kUnreadJobSettled = 1210,
  kStoreWriteRejected = 1211,
  kExecutorFound = 1301,
  kExecutorAdopted = 1302,
  kExecutorNewLife = 1303,
  kExecutorSilent = 1304,
  kExecutorDraining = 1305,
  kExecutorGone = 1306,
  kExecutorAvoided = 1307,
  kExecutorsUnread = 1308,
  kExecutorsUnreadEnd = 1309,
  kExecutorEntryRejected = 1310,
  kExecutorRowRejected = 1311,
  kExecutorLeasesExpired = 1312,
  kExecutorOtherBoot = 1313,
  kExecutorProbed = 1314,
  kExecutorEndsFull = 1315,
  kAdviceReceived = 1401,
  kAdviceFailed = 1402,
  kUpkeepOrdered = 1501,
  kWaveEnded = 1502,
  kWaveRejected = 1503,
  kSettingsReloaded = 1601,
};

struct EventInfo {
  Event event;
  std::string_view name;
  LogLevel level;
};
// All events, sorted by number.
const std::vector<EventInfo>& AllEvents();

using LogFields = std::vector<std::pair<std::string_view, std::string>>;

class EventLog {
 public:
  virtual ~EventLog() = default;
  virtual void Write(Event event, const LogFields& fields) = 0;
};

// Discards events. For tests and tools.
class NullEventLog final : public EventLog {
 public:
  void Write(Event, const LogFields&) override {}
};

}  // namespace chivedale

#endif  // CHIVEDALE_EVENT_LOG_H_
