#include "cell/testing/fake_store.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell::testing {

class FakeStoreView final : public StorePort {
 public:
  FakeStoreView(FakeStore& store, std::string member)
      : store_(store), member_(std::move(member)) {}

  void Read(const std::string& key, Millis timeout, OnRead done) override {
    Call(key, timeout, std::move(done), [this, key] {
      StoreRead read;
      const StoreItem* item = store_.Find(key);
      read.status = item == nullptr ? StoreStatus::kNotFound : StoreStatus::kOk;
      if (item != nullptr) {
        read.items.push_back(*item);
      }
      read.revision = store_.revision();
      return read;
    });
  }
  void List(const std::string& prefix, Millis timeout, OnRead done) override {
    Call(prefix, timeout, std::move(done), [this, prefix] {
      StoreRead read;
      read.status = StoreStatus::kOk;
      read.items = store_.ListItems(prefix);
      read.revision = store_.revision();
      return read;
    });
  }
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Millis margin,
             OnRead done) override;
  void Write(const StoreWrite& write, Millis timeout, OnWrite done) override;

 private:
  template <typename Done, typename Answer>
  void Call(const std::string& key, Millis timeout, Done done, Answer answer) {
    const StoreFaults& faults = store_.FaultsOf(member_);
    if (faults.unresponsive) {
      store_.loop_.After(timeout, [done] { done({}); });
      return;
    }
    if (faults.refuses) {
      store_.loop_.After(faults.latency, [done] {
        StoreRead read;
        read.status = StoreStatus::kRefused;
        done(read);
      });
      return;
    }
    if (faults.late_reads.count(key) > 0) {
      store_.Respond(member_, key, store_.loop_.clock().Now() + timeout, done,
                     answer());
      return;
    }
    store_.loop_.After(faults.latency, [done, answer] { done(answer()); });
  }

  FakeStore& store_;
  const std::string member_;
};

void FakeStoreView::Watch(const std::string& prefix,
                          int64_t after,
                          Millis wait,
                          Millis margin,
                          OnRead done) {
  const StoreFaults& faults = store_.FaultsOf(member_);
  if (faults.unresponsive || faults.refuses) {
    Call(prefix, wait, std::move(done), [] { return StoreRead(); });
    return;
  }
  if (faults.watches_hang) {
    store_.loop_.After(wait, [done] { done(StoreRead()); });
    return;
  }
  const TimePoint deadline = store_.loop_.clock().Now() + wait + margin;
  StoreRead now = store_.EventsAfter(prefix, after);
  if (now.status != StoreStatus::kOk || !now.items.empty()) {
    store_.Respond(member_, prefix, deadline, done, now);
    return;
  }
  const uint64_t id = store_.next_watcher_++;
  store_.watchers_[id] = {member_, prefix, after, deadline, done};
  store_.loop_.After(wait, [this, id] {
    const auto found = store_.watchers_.find(id);
    if (found == store_.watchers_.end()) {
      return;
    }
    const FakeStore::Watcher watcher = found->second;
    store_.watchers_.erase(found);
    StoreRead read;
    if (!store_.FaultsOf(watcher.member).unresponsive) {
      read.status = StoreStatus::kOk;
      read.revision = watcher.after;
    }
    watcher.done(read);
  });
}

void FakeStoreView::Write(const StoreWrite& write,
                          Millis timeout,
                          OnWrite done) {
  const StoreFaults faults = store_.FaultsOf(member_);
  ++store_.writes_;
  if (faults.refuses) {
    store_.loop_.After(faults.latency, [done] {
      StoreWriteReply reply;
      reply.status = StoreStatus::kRefused;
      done(reply);
    });
    return;
  }
  if (faults.unresponsive) {
    store_.loop_.After(timeout, [done] { done({}); });
    return;
  }
  const bool too_large =
      std::any_of(write.puts.begin(), write.puts.end(), [&](const auto& put) {
        return put.second.size() > faults.max_value_bytes;
      });
  if (too_large) {
    ++store_.rejected_writes_;
    store_.loop_.After(faults.latency, [done] {
      StoreWriteReply reply;
      reply.status = StoreStatus::kInvalid;
      done(reply);
    });
    return;
  }
  if (store_.random_.UniformReal() < faults.late_writes) {
    store_.loop_.After(faults.late_by, [this, write] { store_.Apply(write); });
    store_.loop_.After(timeout, [done] { done({}); });
    return;
  }
  const bool lost = store_.random_.UniformReal() < faults.lost_answers;
  store_.loop_.After(faults.latency / 2, [this, write, done, lost, timeout,
                                          latency = faults.latency] {
    const StoreWriteReply reply = store_.Apply(write);
    if (lost) {
      store_.loop_.After(timeout, [done] { done({}); });
    } else {
      store_.loop_.After(latency / 2, [done, reply] { done(reply); });
    }
  });
}

std::unique_ptr<StorePort> FakeStore::ViewOf(const std::string& member) {
  return std::make_unique<FakeStoreView>(*this, member);
}

const StoreFaults& FakeStore::FaultsOf(const std::string& member) const {
  const auto found = faults_of.find(member);
  return found == faults_of.end() ? faults : found->second;
}

const StoreItem* FakeStore::Find(const std::string& key) const {
  const auto found = items_.find(key);
  return found == items_.end() ? nullptr : &found->second;
}

std::vector<StoreItem> FakeStore::ListItems(const std::string& prefix) const {
  std::vector<StoreItem> items;
  for (auto it = items_.lower_bound(prefix);
       it != items_.end() && it->first.compare(0, prefix.size(), prefix) == 0;
       ++it) {
    items.push_back(it->second);
  }
  return items;
}

void FakeStore::Put(const std::string& key, const std::string& value) {
  StoreWrite write;
  write.puts.emplace_back(key, value);
  Apply(write);
}

void FakeStore::Remove(const std::string& key) {
  StoreWrite write;
  write.removals.push_back(key);
  Apply(write);
}

void FakeStore::CompactHistory() {
  forgotten_ = revision_;
  history_.clear();
  // Pending watches end without an answer.
  std::map<uint64_t, Watcher> cut;
  cut.swap(watchers_);
  for (const auto& [id, watcher] : cut) {
    loop_.After(Duration(0), [done = watcher.done] { done({}); });
  }
}

StoreWriteReply FakeStore::Apply(const StoreWrite& write) {
  StoreWriteReply reply;
  for (const auto& [key, revision] : write.conditions) {
    const StoreItem* item = Find(key);
    if ((item == nullptr ? 0 : item->revision) != revision) {
      reply.status = StoreStatus::kConflict;
    }
  }
  if (reply.status == StoreStatus::kConflict) {
    for (const auto& [key, revision] : write.conditions) {
      if (const StoreItem* item = Find(key)) {
        reply.items.push_back(*item);
      }
    }
    return reply;
  }
  ++revision_;
  for (const auto& [key, value] : write.puts) {
    StoreItem item;
    item.key = key;
    item.value = value;
    item.revision = revision_;
    items_[key] = item;
    Changed(item);
  }
  for (const std::string& key : write.removals) {
    if (items_.erase(key) > 0) {
      StoreItem item;
      item.key = key;
      item.revision = revision_;
      item.deleted = true;
      Changed(item);
    }
  }
  reply.status = StoreStatus::kOk;
  reply.revision = revision_;
  WakeWatchers();
  return reply;
}

void FakeStore::Respond(const std::string& member,
                        const std::string& key,
                        TimePoint deadline,
                        const std::function<void(StoreRead)>& done,
                        const StoreRead& read) {
  const StoreFaults& faults = FaultsOf(member);
  const auto late = faults.late_reads.find(key);
  if (late == faults.late_reads.end()) {
    loop_.After(faults.latency, [done, read] { done(read); });
    return;
  }
  const Duration time_left = deadline - loop_.clock().Now();
  if (late->second > time_left) {
    loop_.After(time_left, [done] { done({}); });
    return;
  }
  loop_.After(late->second, [done, read] { done(read); });
}

void FakeStore::Changed(const StoreItem& item) {
  history_.push_back(item);
}

StoreRead FakeStore::EventsAfter(const std::string& prefix,
                                 int64_t after) const {
  StoreRead read;
  if (after < forgotten_) {
    read.status = StoreStatus::kCompacted;
    return read;
  }
  read.status = StoreStatus::kOk;
  read.revision = revision_;
  for (const StoreItem& item : history_) {
    if (item.revision > after &&
        item.key.compare(0, prefix.size(), prefix) == 0) {
      read.items.push_back(item);
    }
  }
  return read;
}

void FakeStore::WakeWatchers() {
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    StoreRead read = EventsAfter(it->second.prefix, it->second.after);
    if (read.items.empty() || FaultsOf(it->second.member).unresponsive) {
      ++it;
      continue;
    }
    Respond(it->second.member, it->second.prefix, it->second.deadline,
            it->second.done, read);
    it = watchers_.erase(it);
  }
}

}  // namespace chivedale::cell::testing
