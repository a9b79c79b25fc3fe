// The entry role of a daemon: accepts requests from callers, registers their
// ids, admits or refuses them, has them dispatched and retried, and answers
// each exactly once.
#ifndef CHIVEDALE_ENTRY_AGENT_H_
#define CHIVEDALE_ENTRY_AGENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "chivedale/admission.h"
#include "chivedale/attach_client.h"
#include "chivedale/burn.h"
#include "chivedale/dispatcher.h"
#include "chivedale/event_log.h"
#include "chivedale/registrar.h"
#include "chivedale/request_ledger.h"
#include "chivedale/retry_policy.h"
#include "chivedale/scheduler_api.h"
#include "util/clock.h"
#include "util/random.h"

namespace chivedale {

class EntryAgent final : public AttemptListener {
 public:
  struct Options {
    Millis max_deadline{1'800'000};
    // Interval after which an unanswered Attach is resent.
    Millis attach_resend_interval{1'000};
    // Timeout of a status or cancel request to another entry.
    Millis call_timeout{5'000};
  };
  struct Deps {
    const util::Clock& clock;
    util::Random& random;
    RequestLedger& ledger;
    Registrar& registrar;
    Admission& admission;
    Dispatcher& dispatcher;
    const OwnerAgent& owner;
    RetryPolicy& retries;
    RunTimeModel& run_times;
    LimitShare& limits;
    Routing& routing;
    BurnTracker& burn;
    MemberSender& sender;
    Metrics& metrics;
    EventLog& log;
  };

  EntryAgent(Deps deps, MemberId self, Options options);

  // Commands.
  void SetTable(const Table& table);
  void Submit(const CallerSubmission& submission,
              ResultCallback accepted,
              ResultCallback finished);
  void Cancel(const RequestId& id, ResultCallback done);
  // Returns false if this entry does not know the request.
  bool OnAttach(const Attach& attach);
  void OnAttachAnswer(const MemberId& from, const AttachAnswer& answer);
  // All members that are neither dead nor left.
  void SetMembers(const std::vector<MemberInfo>& members);
  void OnMemberDead(const MemberId& member);
  // Other members declared this one dead, so holders may have freed its ids.
  void OnDeclaredDead();
  void Tick();
  // From now on only known ids are served; new ones are refused as draining.
  void Drain();

  // Queries.
  void FindRequest(const RequestId& id,
                   const std::function<void(std::optional<RequestView>)>& done);
  bool drained() const;

  // AttemptListener:
  bool MayStart(const TaskId& task) const override;
  uint32_t NextAttempt(const TaskId& task) override;
  void OnAttemptStarted(const MemberId& owner,
                        const DispatchReply& reply) override;
  bool OnAttemptEnded(const MemberId& owner, const Answer& answer) override;
  void OnExpired(const TaskId& task) override;

 private:
  // State of an open request that is not kept in the ledger.
  struct OpenRequest {
    ResultCallback accepted;
    bool admitted = false;
    uint32_t starts = 0;  // attempts that were accepted or may have been
    util::TimePoint sent{};
    std::optional<util::TimePoint> started;
    double cost = 1;
  };
  void Begin(const Submission& submission, const WorkRow& row);
  void OnRegistered(const RequestId& id, const RegisterReply& reply);
  void OnRefusedAndProbed(const RequestId& id,
                          const RequestResult& refusal,
                          const RegisterReply& reply);
  void Admit(const RequestId& id);
  // Waits until the holder answers or the deadline passes.
  void WaitForHolder(const RequestId& id);
  void ExpireRegistrations();
  void OnIdReassigned(const RequestId& id, const MemberId& entry);
  void FailCancelled(const RequestId& id);
  void AttachTo(const RequestId& id, const MemberId& entry);
  void OnAttached(const RequestId& id,
                  const std::optional<AttachAnswer>& answer);
  // Finds the entry that owns a request that is not in the ledger here.
  void Locate(const RequestId& id,
              const std::function<void(const MemberId&)>& done);
  void Enqueue(const RequestId& id, Millis backoff, bool requeue);
  void Retry(const RequestId& id, const Answer& answer);
  void Fail(const RequestId& id,
            ErrorKind kind,
            Ran ran,
            const std::string& detail,
            Millis retry_after = Millis(0));
  void Finish(const RequestId& id, RequestResult result);
  void RecordBurn(const RequestState& state,
                  const OpenRequest& open_request,
                  const RequestResult& result);
  static AttachAnswer AnswerOf(const RequestState& state, AttachMode mode);

  const Deps deps_;
  const MemberId self_;
  const Options options_;
  Table table_;
  std::unordered_map<RequestId, OpenRequest> open_requests_;
  // Requests that wait for a holder, by deadline. A request that no longer
  // waits is skipped when it is due.
  std::multimap<util::TimePoint, RequestId> registering_;
  AttachClient attach_client_;
  bool draining_ = false;
};

}  // namespace chivedale

#endif  // CHIVEDALE_ENTRY_AGENT_H_
