// Requests end before workers are handed over, so that the attempts of this
// entry keep a nearby owner until they are answered.
#include "chivedale/lifecycle.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace chivedale {
namespace {

namespace msm = boost::msm;

struct TableReady {};
struct DrainRequested {};
struct RequestsEnded {};
struct HandedOver {};

using Entered = std::function<void(LifecycleState)>;

template <LifecycleState kState>
struct State : msm::front::state<> {
  template <typename EventT, typename Machine>
  void on_entry(const EventT&, Machine& machine) {  // NOLINT: MSM's name
    machine.state_ = kState;
    if (machine.entered_) {
      machine.entered_(kState);
    }
  }
};

struct MachineDef : msm::front::state_machine_def<MachineDef> {
  using Starting = State<LifecycleState::kStarting>;
  using Serving = State<LifecycleState::kServing>;
  using Draining = State<LifecycleState::kDraining>;
  using HandingOver = State<LifecycleState::kHandingOver>;
  using Stopped = State<LifecycleState::kStopped>;
  using initial_state = Starting;

  template <typename From, typename EventT, typename To>
  using Row = msm::front::Row<From, EventT, To>;

  // clang-format off
  // NOLINTNEXTLINE: MSM's name
  struct transition_table : boost::mpl::vector<
      Row<Starting,    TableReady,     Serving>,
      Row<Starting,    DrainRequested, HandingOver>,
      Row<Serving,     DrainRequested, Draining>,
      Row<Draining,    RequestsEnded,  HandingOver>,
      Row<HandingOver, HandedOver,     Stopped>> {};
  // clang-format on

  template <typename EventT, typename Machine>
  void no_transition(const EventT&, Machine&, int) {}  // NOLINT: MSM's name

  LifecycleState state_ = LifecycleState::kStarting;
  Entered entered_;
};

}  // namespace

struct Lifecycle::Impl {
  msm::back::state_machine<MachineDef> machine;
};

Lifecycle::Lifecycle(std::function<void(LifecycleState)> entered)
    : impl_(std::make_unique<Impl>()) {
  impl_->machine.start();
  impl_->machine.entered_ = std::move(entered);
}

Lifecycle::~Lifecycle() = default;

void Lifecycle::OnTable() {
  impl_->machine.process_event(TableReady());
}

void Lifecycle::OnDrain() {
  impl_->machine.process_event(DrainRequested());
}

void Lifecycle::OnRequestsEnded() {
  impl_->machine.process_event(RequestsEnded());
}

void Lifecycle::OnHandedOver() {
  impl_->machine.process_event(HandedOver());
}

LifecycleState Lifecycle::state() const {
  return impl_->machine.state_;
}

std::string Lifecycle::name() const {
  static const char* const names[] = {"starting", "serving", "draining",
                                      "handing_over", "stopped"};
  return names[static_cast<int>(state())];
}

}  // namespace chivedale
