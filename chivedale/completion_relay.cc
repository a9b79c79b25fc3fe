#include "chivedale/completion_relay.h"

#include <algorithm>

// Acknowledgements are sent with the next poll of their worker and kept until
// that poll has been answered. They belong to one boot of the worker, since its
// sequence numbers restart at each boot.
namespace chivedale {

CompletionRelay::CompletionRelay(const util::Clock& clock,
                                 Millis resend_interval)
    : clock_(clock), resend_interval_(resend_interval) {}

void CompletionRelay::Add(const Answer& answer,
                          const MemberId& entry,
                          const Origin& origin) {
  auto [it, inserted] =
      pending_.emplace(answer.key, Pending{entry, answer, origin, false});
  if (!inserted) {
    // An outcome was already sent without a completion; the completion of the
    // worker replaces it.
    if (it->second.origin.sequence == 0 && origin.sequence != 0) {
      it->second.answer = answer;
      it->second.origin = origin;
      by_worker_[origin.worker].insert(answer.key);
    }
    return;
  }
  if (origin.sequence != 0) {
    by_worker_[origin.worker].insert(answer.key);
  }
  due_.emplace_front(clock_.Now(), answer.key);
}

bool CompletionRelay::OnAck(const TaskKey& key) {
  auto it = pending_.find(key);
  if (it == pending_.end()) {
    return false;
  }
  const Origin origin = it->second.origin;
  pending_.erase(it);
  if (origin.sequence != 0) {
    by_worker_[origin.worker].erase(key);
    Acks& acks = acks_[origin.worker];
    if (acks.boot_id != origin.boot_id) {
      acks = {origin.boot_id, {}};
    }
    acks.sequences.insert(origin.sequence);
  }
  return true;
}

void CompletionRelay::SetEntry(const TaskKey& key, const MemberId& entry) {
  auto it = pending_.find(key);
  if (it != pending_.end()) {
    it->second.entry = entry;
    it->second.adopted = false;
    due_.emplace_front(clock_.Now(), key);
  }
}

void CompletionRelay::SetAdopted(const TaskKey& key) {
  auto it = pending_.find(key);
  if (it != pending_.end()) {
    it->second.adopted = true;
  }
}

std::vector<CompletionRelay::Pending> CompletionRelay::TakeDue() {
  std::vector<Pending> due;
  const util::TimePoint now = clock_.Now();
  while (!due_.empty() && due_.front().first <= now) {
    const TaskKey key = due_.front().second;
    due_.pop_front();
    auto it = pending_.find(key);
    if (it == pending_.end() || it->second.adopted) {
      continue;
    }
    due.push_back(it->second);
    due_.emplace_back(now + resend_interval_, key);
  }
  return due;
}

void CompletionRelay::OnAcksDelivered(const WorkerId& worker,
                                      const std::string& boot_id,
                                      const std::vector<uint64_t>& acks) {
  auto it = acks_.find(worker);
  if (it == acks_.end() || it->second.boot_id != boot_id) {
    return;
  }
  for (uint64_t sequence : acks) {
    it->second.sequences.erase(sequence);
  }
  if (it->second.sequences.empty()) {
    acks_.erase(it);
  }
}

void CompletionRelay::ForgetWorker(const WorkerId& worker) {
  for (const TaskKey& key : KeysOf(worker)) {
    pending_.erase(key);
  }
  by_worker_.erase(worker);
  acks_.erase(worker);
}

const CompletionRelay::Pending* CompletionRelay::Find(
    const TaskKey& key) const {
  auto it = pending_.find(key);
  return it == pending_.end() ? nullptr : &it->second;
}

std::vector<uint64_t> CompletionRelay::AcksFor(
    const WorkerId& worker,
    const std::string& boot_id) const {
  auto it = acks_.find(worker);
  if (it == acks_.end() || it->second.boot_id != boot_id) {
    return {};
  }
  return {it->second.sequences.begin(), it->second.sequences.end()};
}

bool CompletionRelay::IsAcknowledged(const Origin& origin) const {
  auto it = acks_.find(origin.worker);
  return it != acks_.end() && it->second.boot_id == origin.boot_id &&
         it->second.sequences.count(origin.sequence) != 0;
}

std::vector<TaskKey> CompletionRelay::KeysOf(const WorkerId& worker) const {
  auto it = by_worker_.find(worker);
  if (it == by_worker_.end()) {
    return {};
  }
  return {it->second.begin(), it->second.end()};
}

int64_t CompletionRelay::unstored_count() const {
  return std::count_if(pending_.begin(), pending_.end(), [](const auto& item) {
    return item.second.origin.sequence == 0 && !item.second.adopted;
  });
}

}  // namespace chivedale
