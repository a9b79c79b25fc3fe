// Tests of what a leader counts for one boot of an executor: its clock, and the
// leases that may be left on it.
#include "cell/executor_boot.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>

namespace chivedale::cell {
namespace {

constexpr Millis kLongestLease{10'000};
const TimePoint begin{std::chrono::hours(1)};

// A boot whose clock showed 50 s at `begin`.
ExecutorBoot MakeBoot() {
  ExecutorBoot boot(1, 1'700);
  boot.OnClock(Millis(50'000), begin - Millis(2), begin);
  return boot;
}

BOOST_AUTO_TEST_SUITE(AnExecutorBoot)

BOOST_AUTO_TEST_SUITE(CountsLeases)

BOOST_AUTO_TEST_CASE(UntilTheLatestDeadlineSent) {
  ExecutorBoot boot = MakeBoot();
  boot.OnDeadlineSent(Millis(53'500));
  boot.OnDeadlineSent(Millis(52'000));
  BOOST_TEST(boot.max_deadline().count() == 53'500);
  BOOST_TEST((boot.LeasesExpiredBy() >= begin + Millis(3'570)));
  BOOST_TEST((boot.LeasesExpiredBy() < begin + Millis(3'800)));
}

// Guards against the first cause of TWICE after a restart: calls to an earlier
// boot grant up to the longest lease.
BOOST_AUTO_TEST_CASE(ForTheLongestLeaseAfterUnknownCalls) {
  ExecutorBoot boot = MakeBoot();
  boot.OnDeadlineSent(Millis(53'500));
  boot.CountUnknownLeases(kLongestLease);
  BOOST_TEST((boot.LeasesExpiredBy() >= begin + kLongestLease));
}

BOOST_AUTO_TEST_CASE(LongerWhileSuchCallsMayStillCome) {
  ExecutorBoot boot = MakeBoot();
  boot.CountLateLeases(kLongestLease);
  BOOST_TEST((boot.LeasesExpiredBy() >= begin + kMaxCallDelay + kLongestLease));
  BOOST_TEST(!boot.IsSettled(begin + std::chrono::hours(1)));
  boot.confirmed = true;
  boot.CountUnknownLeases(kLongestLease);
  BOOST_TEST((boot.LeasesExpiredBy() < begin + kMaxCallDelay));
}

// Guards against a wait for leases that nobody has granted (review/12).
BOOST_AUTO_TEST_CASE(AsSettledAtOnceIfThereWereNoUnknownCalls) {
  ExecutorBoot boot = MakeBoot();
  boot.confirmed = true;
  boot.CountUnknownLeases(kLongestLease, Millis(0));
  BOOST_TEST(boot.IsSettled(begin));
  BOOST_TEST((boot.UnknownLeasesExpiredBy() <= begin));
}

// An earlier boot's clock may have been ahead of this one or behind it.
BOOST_AUTO_TEST_CASE(UntilTheLatestDeadlineOfUnknownCalls) {
  ExecutorBoot boot = MakeBoot();
  boot.confirmed = true;
  boot.CountUnknownLeases(kLongestLease, Millis(53'000));
  BOOST_TEST(!boot.IsSettled(begin + Millis(3'000)));
  BOOST_TEST(boot.IsSettled(begin + MaxTimeOf(Millis(3'000))));
  BOOST_TEST((boot.UnknownLeasesExpiredBy() >= begin + Millis(3'060)));
  BOOST_TEST((boot.UnknownLeasesExpiredBy() < begin + Millis(3'300)));
  boot.CountUnknownLeases(kLongestLease, Millis(900'000));
  BOOST_TEST((boot.UnknownLeasesExpiredBy() >= begin + kLongestLease));
  boot.CountUnknownLeases(kLongestLease, Millis(49'000));
  BOOST_TEST(boot.IsSettled(begin));
  boot.CountLateLeases(kLongestLease, Millis(53'000));
  BOOST_TEST((boot.LeasesExpiredBy() < begin + Millis(3'300)));
}

BOOST_AUTO_TEST_CASE(AsSettledOnceTheUnknownOnesHaveEnded) {
  ExecutorBoot boot = MakeBoot();
  boot.confirmed = true;
  boot.CountUnknownLeases(kLongestLease);
  BOOST_TEST(!boot.IsSettled(begin + kLongestLease));
  BOOST_TEST(boot.IsSettled(begin + MaxTimeOf(kLongestLease)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(RecognisesItsClock)

// Guards against a restart seen where there was none: an executor would get no
// start until it has answered a hold call.
RC_BOOST_PROP(AtAnySpeedAndDelayThatIsPermitted, ()) {
  const double speed = *rc::gen::element(0.98, 0.99, 1.0);
  const auto delay = [] { return Millis(*rc::gen::inRange(0, 3'000)); };
  const auto clock_at = [&](TimePoint time) {
    return Millis(50'000) +
           std::chrono::duration_cast<Millis>((time - begin) * speed);
  };
  // Two calls; the answers are read late, the second one perhaps first sent.
  const TimePoint first_sent = begin + delay();
  const TimePoint first_executed = first_sent + delay();
  const TimePoint first_read = first_executed + delay();
  const TimePoint second_sent = begin + delay();
  const TimePoint second_executed = second_sent + delay();
  const TimePoint now = std::max(first_read, second_executed) + delay();
  ExecutorBoot boot(1, 1'700);
  boot.OnClock(clock_at(first_executed), first_sent, first_read);
  RC_ASSERT(boot.MayShow(clock_at(second_executed), second_sent, now));
}

// Guards against a run that is taken as one of the known boot.
BOOST_AUTO_TEST_CASE(AndNotThatOfAnotherBoot) {
  const ExecutorBoot boot = MakeBoot();
  const TimePoint sent = begin + Millis(400);
  const TimePoint now = begin + Millis(402);
  BOOST_TEST(boot.MayShow(Millis(50'401), sent, now));
  BOOST_TEST(!boot.MayShow(Millis(49'900), sent, now));
  BOOST_TEST(!boot.MayShow(Millis(300), sent, now));
  BOOST_TEST(!boot.MayShow(Millis(2'000'000), sent, now));
  BOOST_TEST(!ExecutorBoot(1, 1'700).MayShow(Millis(50'401), sent, now));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
