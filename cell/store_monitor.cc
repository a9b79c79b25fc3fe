#include "cell/store_monitor.h"

#include <utility>

namespace chivedale::cell {

StoreMonitor::StoreMonitor(const Clock& clock, EventLog& log, StorePort& store)
    : state_(std::make_shared<State>(State{clock, log, false, {}, {}})),
      store_(store) {}

Duration StoreMonitor::State::FailingFor() const {
  return failing ? clock.Now() - failing_since : Duration(0);
}

void StoreMonitor::State::RecordStatus(StoreStatus status, TimePoint sent) {
  const bool failed =
      status == StoreStatus::kRefused || status == StoreStatus::kUnknown;
  if (failed && !failing) {
    failing_since = clock.Now();
    first_failed_sent = sent;
    log.Write(Event::kStoreDown, {});
  } else if (!failed && failing) {
    if (sent < first_failed_sent) {
      return;
    }
    const auto ms = std::chrono::duration_cast<Millis>(FailingFor());
    log.Write(Event::kStoreUp, {{"ms", std::to_string(ms.count())}});
  }
  failing = failed;
}

Duration StoreMonitor::failing_for() const {
  return state_->FailingFor();
}

void StoreMonitor::Read(const std::string& key, Millis timeout, OnRead done) {
  ++calls_;
  store_.Read(key, timeout,
              [state = state_, sent = state_->clock.Now(),
               done = std::move(done)](StoreRead read) {
                state->RecordStatus(read.status, sent);
                done(std::move(read));
              });
}

void StoreMonitor::List(const std::string& prefix,
                        Millis timeout,
                        OnRead done) {
  ++calls_;
  store_.List(prefix, timeout,
              [state = state_, sent = state_->clock.Now(),
               done = std::move(done)](StoreRead read) {
                state->RecordStatus(read.status, sent);
                done(std::move(read));
              });
}

void StoreMonitor::Watch(const std::string& prefix,
                         int64_t after,
                         Millis wait,
                         Millis margin,
                         OnRead done) {
  ++calls_;
  store_.Watch(prefix, after, wait, margin,
               [state = state_, sent = state_->clock.Now(),
                done = std::move(done)](StoreRead read) {
                 state->RecordStatus(read.status, sent);
                 done(std::move(read));
               });
}

void StoreMonitor::Write(const StoreWrite& write,
                         Millis timeout,
                         OnWrite done) {
  ++calls_;
  store_.Write(write, timeout,
               [state = state_, sent = state_->clock.Now(),
                done = std::move(done)](StoreWriteReply reply) {
                 state->RecordStatus(reply.status, sent);
                 done(std::move(reply));
               });
}

}  // namespace chivedale::cell
