// Requests whose entry VM is gone and whose task runs on a worker of this
// owner. Keeps their answers for Attach. If no holder confirms an adoption
// within `confirm_timeout`, the request may have been started a second time, so
// its task is stopped.
#ifndef CHIVEDALE_ADOPTED_TASKS_H_
#define CHIVEDALE_ADOPTED_TASKS_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "util/clock.h"

namespace chivedale {

// The request that the task belongs to; empty for a task of a job.
RequestId AdoptableRequest(const TaskId& task);

class AdoptedTasks {
 public:
  struct Options {
    Millis confirm_timeout{6'000};
    Millis register_interval{1'000};
    Millis answer_retention{600'000};
  };
  struct Adopted {
    RequestId request;
    TaskKey key;
    bool repeatable = true;
    bool confirmed = false;
    bool stopped = false;
    util::TimePoint since{};
    util::TimePoint next_register{};
    std::vector<Attach> waiting;
    std::optional<Answer> answer;
    util::TimePoint ended{};
  };
  // Actions due at a tick.
  struct Due {
    std::vector<Register> registers;
    std::vector<TaskKey> to_stop;
    // No longer kept: the answer's retention period has ended.
    std::vector<TaskKey> expired;
  };

  AdoptedTasks(const util::Clock& clock, MemberId self, Options options);

  // Commands.
  void Adopt(const RequestId& request, const TaskKey& key, bool repeatable);
  // False when the request is not adopted.
  bool OnRegisterReply(const RegisterReply& reply);
  // Keeps the answer; returns the Attach calls that waited for it.
  std::vector<Attach> OnAnswer(const Answer& answer);
  void Wait(const Attach& attach);
  // Another owner has taken over the worker and adopts the task itself.
  void Forget(const TaskKey& key);
  // The entry is reachable again, so holders no longer refer other entries to
  // this owner.
  void ForgetUnconfirmed(const TaskKey& key);
  Due TakeDue();

  // Queries.
  const Adopted* Find(const RequestId& request) const;

 private:
  Adopted* FindMutable(const RequestId& request);

  const util::Clock& clock_;
  const MemberId self_;
  const Options options_;
  std::unordered_map<RequestId, Adopted> adopted_;
};

// Builds the answer to an Attach; `answer` is null while the task runs.
AttachAnswer MakeAttachAnswer(const Attach& attach,
                              const TaskKey& key,
                              const Answer* answer);

}  // namespace chivedale

#endif  // CHIVEDALE_ADOPTED_TASKS_H_
