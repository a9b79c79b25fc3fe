// Requests whose entry is gone and whose task is on an own worker. Their
// answers are kept for Attach. An adoption that no holder confirms in time may
// compete with a second run of the request: its task is stopped.
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

// Empty for a task that is no request.
RequestId AdoptableRequest(const TaskId& task);

class AdoptedTasks {
 public:
  struct Options {
    Millis confirm_within{6'000};
    Millis register_again{1'000};
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
  // What a tick asks for.
  struct Due {
    std::vector<Register> registers;
    std::vector<TaskKey> to_stop;
    // Kept long enough; no longer known here.
    std::vector<TaskKey> expired;
  };

  AdoptedTasks(const util::Clock& clock, MemberId self, Options options);

  // Commands.
  void Adopt(const RequestId& request, const TaskKey& key, bool repeatable);
  // False when the request is not adopted.
  bool OnRegisterReply(const RegisterReply& reply);
  // Who waits for the answer, which is kept from now on.
  std::vector<Attach> OnAnswer(const Answer& answer);
  void Wait(const Attach& attach);
  // Another owner has the worker and adopts for itself.
  void Forget(const TaskKey& key);
  // The entry is back; no holder sends anyone here.
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

// The answer to an Attach from what is known; `answer` null: not ended.
AttachAnswer MakeAttachAnswer(const Attach& attach,
                              const TaskKey& key,
                              const Answer* answer);

}  // namespace chivedale

#endif  // CHIVEDALE_ADOPTED_TASKS_H_
