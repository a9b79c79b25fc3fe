// `ages_` keeps an element per insertion. One whose order number is no longer
// that of its id is stale and is skipped; it leaves with its age.
#include "chivedale/id_book.h"

#include <utility>

namespace chivedale {

uint64_t IdBook::Insert(const RequestId& id, Entry entry) {
  Erase(id);
  entry.order = ++last_order_;
  by_entry_[entry.entry].insert(id);
  ages_.push_back({id, entry.order, clock_.Now()});
  ids_.emplace(id, std::move(entry));
  while (size() > max_ids_) {
    DropOldest();
  }
  return last_order_;
}

void IdBook::Erase(const RequestId& id) {
  auto it = ids_.find(id);
  if (it == ids_.end()) {
    return;
  }
  Unlink(id, it->second.entry);
  ids_.erase(it);
}

void IdBook::Assign(const RequestId& id, const MemberId& member) {
  Entry& entry = ids_.at(id);
  if (entry.entry != member) {
    Unlink(id, entry.entry);
    by_entry_[member].insert(id);
    entry.entry = member;
  }
  entry.orphaned = false;
}

void IdBook::Expire(Millis age) {
  const util::TimePoint now = clock_.Now();
  while (!ages_.empty() && now - ages_.front().at >= age) {
    DropOldest();
  }
}

IdBook::Entry* IdBook::Find(const RequestId& id) {
  auto it = ids_.find(id);
  return it == ids_.end() ? nullptr : &it->second;
}

std::vector<RequestId> IdBook::OfEntry(const MemberId& member) const {
  auto it = by_entry_.find(member);
  if (it == by_entry_.end()) {
    return {};
  }
  return std::vector<RequestId>(it->second.begin(), it->second.end());
}

std::vector<MemberId> IdBook::Entries() const {
  std::vector<MemberId> members;
  members.reserve(by_entry_.size());
  for (const auto& [member, ids] : by_entry_) {
    members.push_back(member);
  }
  return members;
}

void IdBook::DropOldest() {
  const Aged oldest = ages_.front();
  ages_.pop_front();
  const Entry* entry = Find(oldest.id);
  if (entry != nullptr && entry->order == oldest.order) {
    Erase(oldest.id);
  }
}

void IdBook::Unlink(const RequestId& id, const MemberId& member) {
  auto it = by_entry_.find(member);
  if (it == by_entry_.end()) {
    return;
  }
  it->second.erase(id);
  if (it->second.empty()) {
    by_entry_.erase(it);
  }
}

}  // namespace chivedale
