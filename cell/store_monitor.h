// A StorePort decorator that tracks the results of calls, to tell whether the
// store answers this member.
//
//   StoreMonitor store(clock, log, platform_store);
//   if (store.failing_for() > ...) ...
#ifndef CELL_STORE_MONITOR_H_
#define CELL_STORE_MONITOR_H_

#include <memory>
#include <string>

#include "cell/ports.h"
#include "chivedale/event_log.h"

namespace chivedale::cell {

class StoreMonitor final : public StorePort {
 public:
  StoreMonitor(const Clock& clock, EventLog& log, StorePort& store);

  void Read(const std::string& key, Millis timeout, OnRead done) override;
  void List(const std::string& prefix, Millis timeout, OnRead done) override;
  void Watch(const std::string& prefix,
             int64_t after,
             Millis wait,
             Millis margin,
             OnRead done) override;
  void Write(const StoreWrite& write, Millis timeout, OnWrite done) override;

  // Queries.
  // Time since the first of the consecutive calls that failed; 0 if the last
  // call succeeded. A call fails if it is refused or not answered; a conflict
  // or a missing key is an answer. The success of a call that was sent before
  // the first of them, such as a watch, does not count.
  Duration failing_for() const;
  int64_t calls() const { return calls_; }

 private:
  // Shared with the calls in flight, which may outlive this object.
  struct State {
    const Clock& clock;
    EventLog& log;
    bool failing = false;
    TimePoint failing_since{};
    TimePoint first_failed_sent{};  // when the first of those calls was sent

    Duration FailingFor() const;
    void RecordStatus(StoreStatus status, TimePoint sent);
  };

  const std::shared_ptr<State> state_;
  StorePort& store_;
  int64_t calls_ = 0;
};

}  // namespace chivedale::cell

#endif  // CELL_STORE_MONITOR_H_
