// The fields of each message in encoding order. peer_codec.cc visits them to
// encode and decode; tests visit them to compare and generate messages. New
// fields must be added at the end of a list.
#ifndef CHIVEDALE_PEER_FIELDS_H_
#define CHIVEDALE_PEER_FIELDS_H_

#include <cstddef>
#include <optional>
#include <string_view>
#include <type_traits>
#include <utility>

#include "chivedale/messages.h"

namespace chivedale {

// Specialized below for each message: FieldsOf<T>::Visit(visit, m) calls
// `visit` once with all fields of `m`, in encoding order.
template <typename T>
struct FieldsOf;

#define CHIVEDALE_FIELDS(TYPE, ...)                  \
  template <>                                        \
  struct FieldsOf<TYPE> {                            \
    static constexpr std::string_view kName = #TYPE; \
    template <typename V, typename M>                \
    static auto Visit(V& visit, M& m) {              \
      return visit(__VA_ARGS__);                     \
    }                                                \
  }

CHIVEDALE_FIELDS(Resources, m.cpu_milli, m.memory_mb, m.accelerators, m.slots);
CHIVEDALE_FIELDS(TaskKey, m.task, m.attempt);
CHIVEDALE_FIELDS(MemberInfo,
                 m.id,
                 m.address,
                 m.data_centre,
                 m.region,
                 m.state,
                 m.incarnation);
CHIVEDALE_FIELDS(DemandReport, m.running, m.queued, m.arrivals_per_s);
CHIVEDALE_FIELDS(RoomSummary,
                 m.workers,
                 m.capacity,
                 m.free,
                 m.largest,
                 m.largest_worker);
CHIVEDALE_FIELDS(Hello, m.sender, m.protocol);
CHIVEDALE_FIELDS(Ping,
                 m.sequence,
                 m.sender,
                 m.updates,
                 m.table_revision,
                 m.demand);
CHIVEDALE_FIELDS(PingReply,
                 m.sequence,
                 m.sender,
                 m.updates,
                 m.table_revision,
                 m.demand);
CHIVEDALE_FIELDS(PingRequest, m.sequence, m.target);
CHIVEDALE_FIELDS(Summary,
                 m.owner,
                 m.sequence,
                 m.plain,
                 m.accelerated,
                 m.draining);
CHIVEDALE_FIELDS(Dispatch,
                 m.key,
                 m.entry,
                 m.kind,
                 m.size,
                 m.expected_run,
                 m.longest_run,
                 m.urgency,
                 m.repeatable,
                 m.checkpoint,
                 m.worker,
                 m.hold,
                 m.avoid,
                 m.payload,
                 m.sequence,
                 m.job_epoch);
CHIVEDALE_FIELDS(DispatchReply,
                 m.key,
                 m.sequence,
                 m.outcome,
                 m.worker,
                 m.token,
                 m.boot_id,
                 m.rack,
                 m.data_centre,
                 m.summary);
CHIVEDALE_FIELDS(Answer,
                 m.key,
                 m.worker,
                 m.ok,
                 m.error,
                 m.ran,
                 m.checkpointed,
                 m.run_time,
                 m.payload);
CHIVEDALE_FIELDS(AnswerAck, m.key);
CHIVEDALE_FIELDS(Cancel, m.key, m.checkpoint);
CHIVEDALE_FIELDS(WorkerTaken,
                 m.worker,
                 m.owner,
                 m.running,
                 m.token,
                 m.boot_id,
                 m.reboot);
CHIVEDALE_FIELDS(Register,
                 m.request,
                 m.entry,
                 m.repeatable,
                 m.digest,
                 m.running,
                 m.probe,
                 m.registration);
CHIVEDALE_FIELDS(Unregister, m.request, m.entry);
CHIVEDALE_FIELDS(RegisterReply,
                 m.request,
                 m.outcome,
                 m.entry,
                 m.retry_after,
                 m.registration,
                 m.may_have_run);
CHIVEDALE_FIELDS(Attach, m.request, m.sender, m.mode);
CHIVEDALE_FIELDS(AttachAnswer,
                 m.request,
                 m.mode,
                 m.found,
                 m.ended,
                 m.ok,
                 m.error,
                 m.ran,
                 m.detail,
                 m.kind,
                 m.attempt,
                 m.worker,
                 m.payload);
CHIVEDALE_FIELDS(EntryGone, m.entry, m.sender, m.running, m.complete);
CHIVEDALE_FIELDS(TablePull, m.have_revision);
CHIVEDALE_FIELDS(TableData, m.revision, m.base_revision, m.json);
CHIVEDALE_FIELDS(Hold, m.hold, m.job, m.size, m.count, m.ttl);
CHIVEDALE_FIELDS(HoldReply, m.hold, m.job, m.workers);
CHIVEDALE_FIELDS(HoldRelease, m.hold);
CHIVEDALE_FIELDS(Handover, m.workers);
CHIVEDALE_FIELDS(JobAttempt, m.key, m.worker);
CHIVEDALE_FIELDS(JobQuery, m.job, m.manager, m.epoch, m.round, m.attempts);
CHIVEDALE_FIELDS(JobQueryReply, m.job, m.epoch, m.round, m.present, m.absent);
CHIVEDALE_FIELDS(JobChanged, m.job);
CHIVEDALE_FIELDS(QueuePending, m.queue, m.jobs);
CHIVEDALE_FIELDS(CellBeat,
                 m.node,
                 m.boot_id,
                 m.address,
                 m.is_leader,
                 m.leaving,
                 m.store_ok,
                 m.term,
                 m.pending,
                 m.max_strength);
CHIVEDALE_FIELDS(LeaderQuery, m.address, m.term);
CHIVEDALE_FIELDS(LeaderHeard, m.term);
CHIVEDALE_FIELDS(FollowCall, m.address, m.term, m.sent);
CHIVEDALE_FIELDS(FollowAnswer, m.address, m.boot_id, m.term, m.sent, m.uptime);
CHIVEDALE_FIELDS(JobStateCall, m.call, m.address, m.job);
CHIVEDALE_FIELDS(OwnedStateCall,
                 m.call,
                 m.address,
                 m.job,
                 m.account,
                 m.key_digest);
CHIVEDALE_FIELDS(OwnedCancelCall,
                 m.call,
                 m.address,
                 m.job,
                 m.timeout,
                 m.account,
                 m.key_digest);
CHIVEDALE_FIELDS(TableCall, m.call, m.address);
CHIVEDALE_FIELDS(TableConfirmation, m.call, m.version, m.age);
CHIVEDALE_FIELDS(JobStateAnswer, m.call, m.is_leader, m.found, m.state);
CHIVEDALE_FIELDS(AdviceCall, m.call, m.address, m.step, m.executors, m.timeout);
CHIVEDALE_FIELDS(AdviceTicket, m.executor, m.ticket);
CHIVEDALE_FIELDS(AdviceAnswer,
                 m.call,
                 m.answered,
                 m.overloaded,
                 m.validity,
                 m.good);
CHIVEDALE_FIELDS(JobStoreCall, m.call, m.address, m.job, m.record, m.timeout);
CHIVEDALE_FIELDS(JobStoreAnswer, m.call, m.result);
CHIVEDALE_FIELDS(JobNotice, m.job, m.record, m.revision);

#undef CHIVEDALE_FIELDS

// Converts to any type except std::optional, whose converting constructor would
// make the conversion ambiguous.
struct AnyNonOptional {
  template <typename T>
  struct IsOptional : std::false_type {};
  template <typename T>
  struct IsOptional<std::optional<T>> : std::true_type {};
  template <typename T, std::enable_if_t<!IsOptional<T>::value, int> = 0>
  operator T() const;
};

struct FieldCounter {
  template <typename... Fields>
  std::integral_constant<size_t, sizeof...(Fields)> operator()(
      Fields&...) const;
};

template <typename T, size_t... I>
auto IsInitializableFrom(std::index_sequence<I...>)
    -> decltype(T{(static_cast<void>(I), AnyNonOptional())...},
                std::true_type());
template <typename T>
std::false_type IsInitializableFrom(...);

// True if the list above has as many fields as T has members: T can be
// initialized from that many values but not from one more.
template <typename T>
constexpr bool ListsAllFields() {
  constexpr size_t kListed = decltype(FieldsOf<T>::Visit(
      std::declval<FieldCounter&>(), std::declval<T&>()))::value;
  return decltype(IsInitializableFrom<T>(
             std::make_index_sequence<kListed>()))::value &&
         !decltype(IsInitializableFrom<T>(
             std::make_index_sequence<kListed + 1>()))::value;
}

// The last value of each enumeration that is encoded.
template <typename E>
struct LastEnumValue;
template <>
struct LastEnumValue<MemberState> {
  static constexpr MemberState kValue = MemberState::kLeft;
};
template <>
struct LastEnumValue<Urgency> {
  static constexpr Urgency kValue = Urgency::kBatch;
};
template <>
struct LastEnumValue<DispatchOutcome> {
  static constexpr DispatchOutcome kValue = DispatchOutcome::kUnknown;
};
template <>
struct LastEnumValue<ErrorKind> {
  static constexpr ErrorKind kValue = ErrorKind::kInternal;
};
template <>
struct LastEnumValue<Ran> {
  static constexpr Ran kValue = Ran::kUnknown;
};
template <>
struct LastEnumValue<AttachMode> {
  static constexpr AttachMode kValue = AttachMode::kCancel;
};
template <>
struct LastEnumValue<RegisterOutcome> {
  static constexpr RegisterOutcome kValue = RegisterOutcome::kRetryLater;
};

template <>
struct LastEnumValue<JobStoreResult> {
  static constexpr JobStoreResult kValue = JobStoreResult::kOtherAccount;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_FIELDS_H_
