// Delivers answers to entries. An answer is resent periodically (every second
// by default) until its entry acknowledges it; only then is the worker told to
// drop its completion.
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
  // Worker that stores the completion. Sequence 0 means that no worker has it.
  struct Origin {
    WorkerId worker;
    std::string boot_id;
    uint64_t sequence = 0;
  };
  struct Pending {
    MemberId entry;
    Answer answer;
    Origin origin;
    // Not sent, but kept for an entry that attaches.
    bool adopted = false;
  };

  CompletionRelay(const util::Clock& clock, Millis resend_interval);

  // Commands.
  // A repeated completion is ignored, except that a completion stored by a
  // worker replaces an answer that no worker had stored.
  void Add(const Answer& answer, const MemberId& entry, const Origin& origin);
  // Returns false if there is no such answer.
  bool OnAck(const TaskKey& key);
  // Redirects the answer to this entry; it is due immediately.
  void SetEntry(const TaskKey& key, const MemberId& entry);
  void SetAdopted(const TaskKey& key);
  // Returns the answers to send now; they are due again after the resend
  // interval.
  std::vector<Pending> TakeDue();
  // The worker has received these acknowledgements.
  void OnAcksDelivered(const WorkerId& worker,
                       const std::string& boot_id,
                       const std::vector<uint64_t>& acks);
  // Another owner has the worker now and reads its completions.
  void ForgetWorker(const WorkerId& worker);

  // Queries.
  const Pending* Find(const TaskKey& key) const;
  std::vector<uint64_t> AcksFor(const WorkerId& worker,
                                const std::string& boot_id) const;
  // Whether the entry has already acknowledged this completion.
  bool IsAcknowledged(const Origin& origin) const;
  std::vector<TaskKey> KeysOf(const WorkerId& worker) const;
  const std::unordered_map<TaskKey, Pending>& pending() const {
    return pending_;
  }
  // Number of unacknowledged answers that no worker stores.
  int64_t unstored_count() const;

 private:
  struct Acks {
    std::string boot_id;
    std::set<uint64_t> sequences;
  };

  const util::Clock& clock_;
  const Millis resend_interval_;
  std::unordered_map<TaskKey, Pending> pending_;
  std::deque<std::pair<util::TimePoint, TaskKey>> due_;
  std::unordered_map<WorkerId, Acks> acks_;
  std::unordered_map<WorkerId, std::set<TaskKey>> by_worker_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_COMPLETION_RELAY_H_
