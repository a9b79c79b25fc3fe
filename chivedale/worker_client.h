// WorkerPort over HTTP. Callbacks run through `post`. Outgoing payloads are not
// copied; incoming ones are copied once.
//
//   WorkerClient workers(http, {}, post);
//   workers.SetAddress(WorkerId("w-1"), "10.0.0.7:8080");
//
// Called from the control thread only.
#ifndef CHIVEDALE_WORKER_CLIENT_H_
#define CHIVEDALE_WORKER_CLIENT_H_

#include <string>
#include <unordered_map>

#include "chivedale/platform_call.h"
#include "chivedale/ports.h"

namespace chivedale {

class WorkerClient final : public WorkerPort {
 public:
  struct Options {
    // Half of the owner lease, so that after a lost renewal there is time for
    // another.
    Millis lease_timeout{1'000};
    Millis list_timeout{2'000};
    Millis start_timeout{2'000};
    Millis control_timeout{2'000};
    // Added to the requested wait of a completions call.
    Millis completions_margin{2'000};
  };

  // `http` must outlive this object; its limit on connections per address is
  // the number that a worker allows.
  WorkerClient(HttpClient& http, Options options, PostFunction post);

  void Lease(const WorkerId& worker,
             const MemberId& owner,
             const LeaseToken& token,
             Millis ttl,
             std::function<void(LeaseResult)> done) override;
  void Release(const WorkerId& worker,
               const MemberId& owner,
               const LeaseToken& token,
               std::function<void(WorkerCallStatus)> done) override;
  void List(const WorkerId& worker,
            std::function<void(TaskList)> done) override;
  void Start(const WorkerId& worker,
             const StartRequest& request,
             std::function<void(StartOutcome)> done) override;
  void Completions(const WorkerId& worker,
                   const CompletionsRequest& request,
                   std::function<void(CompletionsResult)> done) override;
  void Control(const WorkerId& worker,
               const LeaseToken& token,
               const TaskKey& key,
               TaskControl control,
               std::function<void(WorkerCallStatus)> done) override;
  // An empty address forgets the worker.
  void SetAddress(const WorkerId& worker, const std::string& address) override;

 private:
  // An empty address makes the client end the call with kNotSent.
  HttpCall MakeCall(const WorkerId& worker,
                    const char* method,
                    std::string target,
                    std::string body_prefix,
                    Millis timeout) const;

  HttpClient& http_;
  const Options options_;
  const PostFunction post_;
  std::unordered_map<WorkerId, std::string> addresses_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_WORKER_CLIENT_H_
