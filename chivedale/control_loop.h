// The control thread: runs posted functions in order and a tick at a fixed
// interval. Queued functions are counted, so that traffic threads can refuse
// new work instead of letting the queue grow.
//
//   ControlLoop loop(metrics, Millis(5));
//   loop.Post([] { ... });               // events of peers, workers and store
//   if (!loop.TryPost(...)) refuse();    // new work from callers
//   loop.Run([] { scheduler.Tick(); });  // until Stop
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
  // Number of queued functions at which TryPost returns false.
  static constexpr int64_t kMaxWaiting = 65'536;

  ControlLoop(Metrics& metrics, Millis tick);
  ~ControlLoop();

  // Queues the function even above kMaxWaiting. Callers bound the number of
  // functions that they have queued.
  void Post(std::function<void()> run);
  // Returns false if kMaxWaiting functions are queued.
  bool TryPost(std::function<void()> run);
  // Runs the loop on the calling thread until Stop.
  void Run(std::function<void()> tick);
  void Stop();

  // Number of queued functions.
  int64_t waiting() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_CONTROL_LOOP_H_
