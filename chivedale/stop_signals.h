// Runs a function on each SIGTERM and SIGINT. At most one instance may exist at
// a time, since signal handlers are process-wide.
#ifndef CHIVEDALE_STOP_SIGNALS_H_
#define CHIVEDALE_STOP_SIGNALS_H_

#include <functional>
#include <memory>

namespace chivedale {

class StopSignals {
 public:
  // `stop` runs on a thread of this object.
  explicit StopSignals(std::function<void()> stop);
  ~StopSignals();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_STOP_SIGNALS_H_
