// Guards against two members that consider themselves owner of a worker, and
// against starts under a lease that may have expired at the worker.
#include "chivedale/ownership.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

namespace chivedale {
namespace {

MemberInfo Member(int i, const std::string& region) {
  MemberInfo info;
  info.id = MemberId("m" + std::to_string(i));
  info.region = RegionId(region);
  info.state = MemberState::kLive;
  return info;
}

Vm Worker(int i, const std::string& region) {
  Vm vm;
  vm.id = "w" + std::to_string(i);
  vm.region = RegionId(region);
  return vm;
}

const util::TimePoint t0{std::chrono::hours(1)};
const LeaseToken token{7, "boot"};

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnershipOfWorkers)

RC_BOOST_PROP(AMembersDeathMovesOnlyItsWorkers, ()) {
  std::vector<MemberInfo> members;
  const int count = *rc::gen::inRange(2, 9);
  members.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(Member(i, "north"));
  }
  OwnerChoice before;
  before.SetMembers(members);
  const MemberId gone = members[*rc::gen::inRange(0, count)].id;
  for (MemberInfo& member : members) {
    member.state = member.id == gone ? MemberState::kDead : member.state;
  }
  OwnerChoice after;
  after.SetMembers(members);
  for (int i = 0; i < 100; ++i) {
    const MemberId owner = before.PreferredOwner(Worker(i, "north"));
    const MemberId next = after.PreferredOwner(Worker(i, "north"));
    const MemberId second = before.PreferredOwner(Worker(i, "north"), gone);
    RC_ASSERT(next == (owner == gone ? second : owner));
  }
}

BOOST_AUTO_TEST_CASE(OtherRegionsClaimOnlyWithoutALocalMember) {
  OwnerChoice choice;
  choice.SetMembers({Member(1, "north"), Member(2, "south")});
  for (int i = 0; i < 50; ++i) {
    BOOST_TEST(choice.PreferredOwner(Worker(i, "south")) == MemberId("m2"));
  }
  choice.SetMembers({Member(1, "north")});
  BOOST_TEST(choice.PreferredOwner(Worker(1, "south")) == MemberId("m1"));
}

BOOST_AUTO_TEST_CASE(LeaseTimeCountsFromTheSend) {
  WorkerLease lease{WorkerLease::Options()};
  BOOST_TEST(!lease.CanStart(t0));
  BOOST_TEST(lease.Claim(t0));
  // The answer took 1.5 s, which is deducted from the two seconds.
  BOOST_TEST(lease.Granted(token, true, t0 + Millis(1'500)));
  BOOST_TEST(!lease.CanStart(t0 + Millis(1'500)));
  BOOST_TEST(lease.ListRead());
  BOOST_TEST(lease.CanStart(t0 + Millis(1'550)));
  BOOST_TEST(!lease.CanStart(t0 + Millis(1'551)));  // 250 ms margin and drift
  lease.Renewed(t0 + Millis(1'000));
  BOOST_TEST(lease.CanStart(t0 + Millis(2'550)));
  lease.Renewed(t0 + Millis(500));  // an older answer shortens nothing
  BOOST_TEST(!lease.Expire(t0 + Millis(2'799)));
  BOOST_TEST(lease.Expire(t0 + Millis(2'800)));
  BOOST_TEST((lease.state() == LeaseState::kLost));
}

BOOST_AUTO_TEST_CASE(AWorkerWithoutFencingIsReadAfterAWait) {
  WorkerLease lease{WorkerLease::Options()};
  lease.Claim(t0);
  BOOST_TEST(lease.Granted(token, false, t0));
  BOOST_TEST((lease.state() == LeaseState::kWaitingOut));
  BOOST_TEST(!lease.ListRead());
  BOOST_TEST(!lease.EndWait(t0 + Millis(2'999)));
  BOOST_TEST(lease.EndWait(t0 + Millis(3'000)));
  BOOST_TEST((lease.state() == LeaseState::kReading));
  BOOST_TEST(lease.ListRead());
}

BOOST_AUTO_TEST_CASE(NothingStartsWhileItIsHandedOver) {
  WorkerLease lease{WorkerLease::Options()};
  lease.Claim(t0);
  lease.Granted(token, true, t0);
  lease.ListRead();
  BOOST_TEST(lease.Release());
  BOOST_TEST(!lease.CanStart(t0));
  BOOST_TEST(!lease.held());
  BOOST_TEST(lease.Released());
  BOOST_TEST((lease.state() == LeaseState::kUnowned));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
