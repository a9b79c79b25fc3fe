// State machine of a daemon: starting, serving, draining, handing over,
// stopped.
//
//   lifecycle.OnTable();          // starting -> serving
//   lifecycle.OnDrain();          // serving -> draining,
//                                 // starting -> handing over
//   lifecycle.OnRequestsEnded();  // draining -> handing over
//   lifecycle.OnHandedOver();     // handing over -> stopped
// Events that do not apply to the current state are ignored.
#ifndef CHIVEDALE_LIFECYCLE_H_
#define CHIVEDALE_LIFECYCLE_H_

#include <functional>
#include <memory>
#include <string>

namespace chivedale {

enum class LifecycleState {
  kStarting,
  kServing,
  kDraining,
  kHandingOver,
  kStopped,
};

class Lifecycle {
 public:
  // `entered` runs after each change of state.
  explicit Lifecycle(std::function<void(LifecycleState)> entered);
  ~Lifecycle();

  // Commands.
  void OnTable();
  void OnDrain();
  void OnRequestsEnded();
  void OnHandedOver();

  // Queries.
  LifecycleState state() const;
  std::string name() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LIFECYCLE_H_
