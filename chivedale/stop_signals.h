// Runs a function for each SIGTERM and SIGINT of this process. At most one at a
// time, since signals belong to the process.
#ifndef CHIVEDALE_STOP_SIGNALS_H_
#define CHIVEDALE_STOP_SIGNALS_H_

#include <functional>
#include <memory>

namespace chivedale {

class StopSignals {
 public:
  // `stop` runs on an own thread.
  explicit StopSignals(std::function<void()> stop);
  ~StopSignals();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_STOP_SIGNALS_H_
