#include "cell/store_monitor.h"

#include <utility>

namespace chivedale::cell {

StoreMonitor::StoreMonitor(const Clock& clock, EventLog& log, StorePort& store)
    : clock_(clock), log_(log), store_(store) {}

void StoreMonitor::Note(StoreStatus status) {
  const bool failed =
      status == StoreStatus::kRefused || status == StoreStatus::kUnknown;
  if (failed && !failing_) {
    failing_since_ = clock_.Now();
    log_.Write(Event::kStoreDown, {});
  } else if (!failed && failing_) {
    log_.Write(
        Event::kStoreUp,
        {{"ms", std::to_string(
                    std::chrono::duration_cast<Millis>(failing_for()).count())}});
  }
  failing_ = failed;
}

Duration StoreMonitor::failing_for() const {
  return failing_ ? clock_.Now() - failing_since_ : Duration(0);
}

void StoreMonitor::Read(const std::string& key, Millis timeout, OnRead done) {
  ++calls_;
  store_.Read(key, timeout, [this, done = std::move(done)](StoreRead read) {
    Note(read.status);
    done(std::move(read));
  });
}

void StoreMonitor::List(const std::string& prefix,
                        Millis timeout,
                        OnRead done) {
  ++calls_;
  store_.List(prefix, timeout, [this, done = std::move(done)](StoreRead read) {
    Note(read.status);
    done(std::move(read));
  });
}

void StoreMonitor::Watch(const std::string& prefix,
                         int64_t after,
                         Millis wait,
                         OnRead done) {
  ++calls_;
  store_.Watch(prefix, after, wait,
               [this, done = std::move(done)](StoreRead read) {
                 Note(read.status);
                 done(std::move(read));
               });
}

void StoreMonitor::Write(const StoreWrite& write,
                         Millis timeout,
                         OnWrite done) {
  ++calls_;
  store_.Write(write, timeout,
               [this, done = std::move(done)](StoreWriteReply reply) {
                 Note(reply.status);
                 done(std::move(reply));
               });
}

}  // namespace chivedale::cell
