// The control thread: runs posted functions one after the other and a tick at
// a fixed interval. What waits is counted, so that traffic threads can refuse
// new work instead of letting the queue grow.
//
//   ControlLoop loop(metrics, Millis(5));
//   loop.Post([] { ... });              // events of peers, workers, store
//   if (!loop.TryPost(...)) refuse();   // new work of callers
//   loop.Run([] { scheduler.Tick(); }); // until Stop
#ifndef CHIVEDALE_CONTROL_LOOP_H_
#define CHIVEDALE_CONTROL_LOOP_H_

#include <cstdint>
#include <functional>
#include <memory>

#include "chivedale/metrics.h"
#include "chivedale/work.h"

namespace chivedale {

class ControlLoop {
 public:
  // More waiting events than this: TryPost refuses.
  static constexpr int64_t kMaxWaiting = 65'536;

  ControlLoop(Metrics& metrics, Millis tick);
  ~ControlLoop();

  // Commands.
  // Never refused; the senders bound what they have under way.
  void Post(std::function<void()> run);
  // False when too many events wait.
  bool TryPost(std::function<void()> run);
  // Runs on the calling thread until Stop.
  void Run(std::function<void()> tick);
  void Stop();

  // Query.
  int64_t waiting() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_CONTROL_LOOP_H_
