// As with a refused connection, a call made while the store is down has no
// effect, even if the store is up again before the callback runs.
#include "chivedale/testing/fake_store.h"

namespace chivedale::testing {

void FakeStore::Call(bool write,
                     std::function<StoreResult()> apply,
                     Done done) {
  if (faults_.down) {
    return Answer(done, {});
  }
  queue_.Post(
      [this, write, apply = std::move(apply), done = std::move(done)] {
        StoreResult result = apply();
        if (write && result.status == StoreStatus::kOk) {
          NotifyWatchers();
        }
        if (write && faults_.lose_writes > 0) {
          --faults_.lose_writes;
          result = {};
        }
        Answer(done, result);
      },
      faults_.delay);
}

void FakeStore::Answer(const Done& done, const StoreResult& result) {
  queue_.Post([done, result] { done(result); }, faults_.delay);
}

void FakeStore::NotifyWatchers() {
  for (auto it = watchers_.begin(); it != watchers_.end();) {
    const Watcher& watcher = **it;
    if (!model_.ChangedSince(watcher.prefix, watcher.after)) {
      ++it;
      continue;
    }
    Answer(watcher.done, model_.List(watcher.prefix));
    it = watchers_.erase(it);
  }
}

void FakeStore::Get(const std::string& key, Done done) {
  ++counts_.reads;
  Call(
      false, [this, key] { return model_.Get(key); }, std::move(done));
}

void FakeStore::Put(const std::string& key,
                    const std::string& value,
                    uint64_t expected,
                    Done done) {
  ++counts_.writes;
  Call(
      true,
      [this, key, value, expected] { return model_.Put(key, value, expected); },
      std::move(done));
}

void FakeStore::Delete(const std::string& key, uint64_t expected, Done done) {
  ++counts_.writes;
  Call(
      true, [this, key, expected] { return model_.Delete(key, expected); },
      std::move(done));
}

void FakeStore::List(const std::string& prefix, Done done) {
  ++counts_.reads;
  Call(
      false, [this, prefix] { return model_.List(prefix); }, std::move(done));
}

void FakeStore::Watch(const std::string& prefix,
                      uint64_t after,
                      Millis wait,
                      Done done) {
  ++counts_.watches;
  if (faults_.down) {
    return Answer(done, {});
  }
  if (model_.ChangedSince(prefix, after)) {
    return Answer(done, model_.List(prefix));
  }
  auto watcher = std::make_shared<Watcher>(Watcher{prefix, after, done});
  watchers_.push_back(watcher);
  queue_.Post(
      [this, watcher] {
        const size_t before = watchers_.size();
        watchers_.remove(watcher);
        if (watchers_.size() != before) {
          const bool down = faults_.down;
          watcher->done(
              down ? StoreResult{}
                   : StoreResult{StoreStatus::kOk, {}, model_.revision()});
        }
      },
      wait);
}

}  // namespace chivedale::testing
