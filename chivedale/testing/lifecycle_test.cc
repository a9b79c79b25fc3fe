// Guards against a stop that skips a step: workers handed over while requests
// are open, or a process that never stops.
#include "chivedale/lifecycle.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace chivedale {
namespace {

struct Recorder {
  std::vector<LifecycleState> entered;
  Lifecycle lifecycle{
      [this](LifecycleState state) { entered.push_back(state); }};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ALifecycle)

BOOST_AUTO_TEST_CASE(GoesThroughAllStatesInOrder) {
  Recorder recorder;
  recorder.lifecycle.OnTable();
  BOOST_TEST(recorder.lifecycle.name() == "serving");
  recorder.lifecycle.OnDrain();
  BOOST_TEST(recorder.lifecycle.name() == "draining");
  recorder.lifecycle.OnRequestsEnded();
  BOOST_TEST(recorder.lifecycle.name() == "handing_over");
  recorder.lifecycle.OnHandedOver();
  BOOST_TEST(recorder.lifecycle.name() == "stopped");
  BOOST_TEST(recorder.entered.size() == 4u);
}

BOOST_AUTO_TEST_SUITE(IgnoresEventsOutOfOrder)

BOOST_AUTO_TEST_CASE(BeforeItServes) {
  Recorder recorder;
  recorder.lifecycle.OnRequestsEnded();
  recorder.lifecycle.OnHandedOver();
  BOOST_TEST(recorder.lifecycle.name() == "starting");
}

BOOST_AUTO_TEST_CASE(WhenTheyComeTwice) {
  Recorder recorder;
  recorder.lifecycle.OnTable();
  recorder.lifecycle.OnTable();
  recorder.lifecycle.OnDrain();
  recorder.lifecycle.OnDrain();
  recorder.lifecycle.OnTable();
  BOOST_TEST(recorder.lifecycle.name() == "draining");
  BOOST_TEST(recorder.entered.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_CASE(CanBeDrainedBeforeItHasATable) {
  Recorder recorder;
  recorder.lifecycle.OnDrain();
  recorder.lifecycle.OnHandedOver();
  BOOST_TEST(recorder.lifecycle.name() == "stopped");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
