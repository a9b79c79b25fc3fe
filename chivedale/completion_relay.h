// Answers on their way to entries. An answer is sent again each second until
// its entry acknowledges it; only then is the worker told to drop its
// completion.
//
//   relay.Add(answer, entry, {worker, boot_id, sequence});
//   for (const auto& due : relay.TakeDue()) send(due.entry, due.answer);
#ifndef CHIVEDALE_COMPLETION_RELAY_H_
#define CHIVEDALE_COMPLETION_RELAY_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/messages.h"
#include "util/clock.h"

namespace chivedale {

class CompletionRelay {
 public:
  // Where the completion is kept. Sequence 0: it is on no worker.
  struct Origin {
    WorkerId worker;
    std::string boot_id;
    uint64_t sequence = 0;
  };
  struct Pending {
    MemberId entry;
    Answer answer;
    Origin origin;
    // Not sent: kept for whoever attaches.
    bool adopted = false;
  };

  CompletionRelay(const util::Clock& clock, Millis resend);

  // Commands.
  // A second completion of the same attempt changes nothing but its sequence.
  void Add(const Answer& answer, const MemberId& entry, const Origin& origin);
  // False when there is no such answer.
  bool OnAck(const TaskKey& key);
  // From now on the answer goes to this entry, at once.
  void SetEntry(const TaskKey& key, const MemberId& entry);
  void SetAdopted(const TaskKey& key);
  // Answers to send now; they are due again after the resend interval.
  std::vector<Pending> TakeDue();
  // The worker has taken these acknowledgements.
  void OnAcksDelivered(const WorkerId& worker,
                       const std::string& boot_id,
                       const std::vector<uint64_t>& acks);
  // Another owner has the worker: it reads the completions itself.
  void ForgetWorker(const WorkerId& worker);

  // Queries.
  const Pending* Find(const TaskKey& key) const;
  std::vector<uint64_t> AcksFor(const WorkerId& worker,
                                const std::string& boot_id) const;
  // Whether this completion was acknowledged by its entry already.
  bool IsAcknowledged(const Origin& origin) const;
  std::vector<TaskKey> KeysOf(const WorkerId& worker) const;
  const std::unordered_map<TaskKey, Pending>& pending() const {
    return pending_;
  }
  // Answers that no worker keeps and that are not acknowledged.
  int64_t unkept() const;

 private:
  struct Acks {
    std::string boot_id;
    std::set<uint64_t> sequences;
  };

  const util::Clock& clock_;
  const Millis resend_;
  std::unordered_map<TaskKey, Pending> pending_;
  std::deque<std::pair<util::TimePoint, TaskKey>> due_;
  std::unordered_map<WorkerId, Acks> acks_;
  std::unordered_map<WorkerId, std::set<TaskKey>> by_worker_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_COMPLETION_RELAY_H_
