// An in-memory store with the contract of cell/ports.h and injected faults:
// unavailable to some members, slow, lost answers, delayed writes and compacted
// history.
#ifndef CELL_TESTING_FAKE_STORE_H_
#define CELL_TESTING_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cell/ports.h"
#include "cell/testing/fake_loop.h"
#include "util/random.h"

namespace chivedale::cell::testing {

struct StoreFaults {
  bool refuses = false;  // answers kRefused
  // No answer, not even to a pending watch; nothing executed.
  bool unresponsive = false;
  double lost_answers = 0;  // share of writes executed without an answer
  double late_writes = 0;   // share executed after late_by, without an answer
  Duration late_by = std::chrono::seconds(3);
  // Writes with a larger value are answered with kInvalid.
  size_t max_value_bytes = kDefaultMaxValueBytes;
  // Watches wait for their full time and end without an answer.
  bool watches_hang = false;
  Duration latency = std::chrono::milliseconds(2);
  // Delays of the responses to reads, lists and watches, by the key or prefix
  // they name. A response shows the state at the call; one that is due after
  // the time limit of its call is lost.
  std::map<std::string, Duration> late_reads;
};

class FakeStore {
 public:
  FakeStore(FakeLoop& loop, util::Random& random)
      : loop_(loop), random_(random) {}

  // Returns a member's connection, which must outlive its callbacks.
  std::unique_ptr<StorePort> ViewOf(const std::string& member);

  // Commands.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // Compacts the history: watches from an older revision get kCompacted;
  // pending watches end without an answer.
  void CompactHistory();

  // Queries.
  const StoreItem* Find(const std::string& key) const;
  std::vector<StoreItem> ListItems(const std::string& prefix) const;
  int64_t revision() const { return revision_; }
  int64_t writes() const { return writes_; }
  int64_t rejected_writes() const { return rejected_writes_; }

  StoreFaults faults;  // for all members
  // Faults by member; they override `faults`.
  std::map<std::string, StoreFaults> faults_of;

 private:
  friend class FakeStoreView;
  struct Watcher {
    std::string member;
    std::string prefix;
    int64_t after = 0;
    TimePoint deadline{};
    std::function<void(StoreRead)> done;
  };

  const StoreFaults& FaultsOf(const std::string& member) const;
  // Calls `done` with the response when it is due, or without one at the
  // deadline.
  void Respond(const std::string& member,
               const std::string& key,
               TimePoint deadline,
               const std::function<void(StoreRead)>& done,
               const StoreRead& read);
  StoreWriteReply Apply(const StoreWrite& write);
  void Changed(const StoreItem& item);
  StoreRead EventsAfter(const std::string& prefix, int64_t after) const;
  void WakeWatchers();

  FakeLoop& loop_;
  util::Random& random_;
  int64_t revision_ = 100;
  int64_t forgotten_ = 0;
  int64_t writes_ = 0;
  int64_t rejected_writes_ = 0;  // as invalid
  std::map<std::string, StoreItem> items_;
  std::vector<StoreItem> history_;
  std::map<uint64_t, Watcher> watchers_;
  uint64_t next_watcher_ = 1;
};

}  // namespace chivedale::cell::testing

#endif  // CELL_TESTING_FAKE_STORE_H_
