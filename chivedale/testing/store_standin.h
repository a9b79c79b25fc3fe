// Stand-in for the platform's key-value store: an in-memory HTTP server.
//
//   StoreStandin store({});
//   StoreStandin::Faults faults;
//   faults.slow = Millis(50);
//   store.SetFaults(faults);
//   StoreClient client(http, {store.address()}, post);
#ifndef CHIVEDALE_TESTING_STORE_STANDIN_H_
#define CHIVEDALE_TESTING_STORE_STANDIN_H_

#include <memory>
#include <string>

#include "chivedale/work.h"

namespace chivedale::testing {

class StoreStandin {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
  };
  struct Faults {
    // Connections are dropped without an answer.
    bool down = false;
    // Delay before each call takes effect.
    Millis slow{0};
    // Number of further writes that take effect but whose answer is lost.
    int lose_writes = 0;
    // Calls above the rate are refused with 429; 0 means no limit.
    int64_t max_reads_per_s = 0;
    int64_t max_writes_per_s = 0;
  };
  struct Counts {
    // Calls that arrived while the store was not down.
    int64_t reads = 0;
    int64_t writes = 0;
    int64_t watches = 0;
    int64_t refused = 0;    // by a rate limit; not included in the other counts
    int64_t entries = 0;    // keys that are stored now
    uint64_t revision = 0;  // current revision of the store
  };

  explicit StoreStandin(const Options& options);
  ~StoreStandin();

  void SetFaults(const Faults& faults);
  Faults faults() const;
  Counts counts() const;
  std::string address() const;  // IP:PORT

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_STORE_STANDIN_H_
