// Guards the owner's side of jobs: a start of an earlier manager that goes
// through, an answer that stays with the earlier manager, and a gang's room
// that ends before the gang starts.
#include <boost/test/unit_test.hpp>
#include <variant>

#include "chivedale/job_record.h"
#include "chivedale/owner_agent.h"
#include "chivedale/testing/owner_world.h"

namespace chivedale::testing {
namespace {

constexpr Resources kTask{1'000, 512, 0, 1};

struct OneOwner {
  static OwnerWorld::Options Options() {
    OwnerWorld::Options options;
    options.nodes = 1;
    options.workers = 1;
    return options;
  }
  OneOwner() : world(Options()) { world.Run(Millis(100)); }

  Dispatch Start(int64_t index, uint64_t epoch, const std::string& script) {
    Dispatch dispatch;
    dispatch.key = {JobTaskId(JobId("a"), index), 1};
    dispatch.entry = MemberId("old/1");
    dispatch.kind = "watch";
    dispatch.size = kTask;
    dispatch.job_epoch = epoch;
    dispatch.payload = std::make_shared<const std::string>(script);
    world.agent(0).OnDispatch(dispatch);
    world.Run(Millis(50));
    return dispatch;
  }

  JobQueryReply Ask(uint64_t epoch, const std::vector<JobAttempt>& attempts) {
    JobQuery query;
    query.job = JobId("a");
    query.manager = MemberId("new/1");
    query.epoch = epoch;
    query.round = 7;
    query.attempts = attempts;
    world.agent(0).OnJobQuery(query);
    world.Run(Millis(50));
    const auto* reply = Last<JobQueryReply>(query.manager);
    return reply == nullptr ? JobQueryReply() : *reply;
  }

  std::vector<WorkerId> HoldRoom(uint64_t id, int64_t count) {
    Hold hold;
    hold.hold = id;
    hold.job = JobId("a");
    hold.size = kTask;
    hold.count = count;
    hold.ttl = Millis(2'000);
    world.agent(0).OnHold(MemberId("old/1"), hold);
    world.Run(Millis(50));
    const auto* reply = Last<HoldReply>(MemberId("old/1"));
    return reply == nullptr ? std::vector<WorkerId>() : reply->workers;
  }

  // The last message of a type to a member that is no node.
  template <typename T>
  const T* Last(const MemberId& to) const {
    const T* found = nullptr;
    for (const auto& [receiver, message] : world.other_messages()) {
      const T* typed = std::get_if<T>(&message);
      found = receiver == to && typed != nullptr ? typed : found;
    }
    return found;
  }
  template <typename T>
  int64_t Number(const MemberId& to) const {
    int64_t number = 0;
    for (const auto& [receiver, message] : world.other_messages()) {
      number += receiver == to && std::holds_alternative<T>(message) ? 1 : 0;
    }
    return number;
  }

  OwnerWorld world;
  const WorkerId worker = OwnerWorld::WorkerIdOf(0);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnersOfJobTasks)

BOOST_AUTO_TEST_SUITE(Epochs)

// Guards against a start of a paused manager that arrives after the next one
// was told that the attempt is not here.
BOOST_FIXTURE_TEST_CASE(RefuseStartsOfAnEarlierManager, OneOwner) {
  const TaskKey key{JobTaskId(JobId("a"), 0), 1};
  const JobQueryReply reply = Ask(4, {{key, worker}});
  BOOST_TEST(reply.absent.size() == 1U);
  Start(0, 3, "{}");
  const auto* refused = Last<DispatchReply>(MemberId("old/1"));
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->outcome == DispatchOutcome::kRefused));
  BOOST_TEST(world.workers().book().starts() == 0);
  Start(1, 4, "{}");
  BOOST_TEST(world.workers().book().starts() == 1);
}

// Guards against a late question of an earlier manager that lowers the epoch
// or takes the answers back.
BOOST_FIXTURE_TEST_CASE(NeverGoDown, OneOwner) {
  Start(0, 4, "{\"run_ms\":60000}");
  const TaskKey key{JobTaskId(JobId("a"), 0), 1};
  BOOST_TEST(Ask(4, {{key, worker}}).present.size() == 1U);
  const int64_t replies = Number<JobQueryReply>(MemberId("new/1"));
  Ask(3, {{key, worker}});
  BOOST_TEST(Number<JobQueryReply>(MemberId("new/1")) == replies);
  Start(1, 3, "{}");
  BOOST_TEST(world.workers().book().starts() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Answers)

// Guards against an answer that only the earlier manager gets: the next one
// would wait for ever for a task that has ended.
BOOST_FIXTURE_TEST_CASE(OfRunningTasksGoToTheNextManager, OneOwner) {
  const Dispatch sent = Start(0, 1, "{\"run_ms\":500}");
  const JobQueryReply reply = Ask(2, {{sent.key, worker}});
  BOOST_TEST(reply.present.size() == 1U);
  world.Run(Millis(1'000));
  BOOST_TEST(Number<Answer>(MemberId("new/1")) >= 1);
  BOOST_TEST(Number<Answer>(MemberId("old/1")) == 0);
}

BOOST_FIXTURE_TEST_CASE(OfEndedTasksAreSentAgainToTheNextManager, OneOwner) {
  const Dispatch sent = Start(0, 1, "{\"run_ms\":100}");
  world.Run(Millis(300));
  const int64_t before = Number<Answer>(MemberId("old/1"));
  BOOST_TEST(before >= 1);
  BOOST_TEST(Ask(2, {{sent.key, worker}}).present.size() == 1U);
  BOOST_TEST(Number<Answer>(MemberId("new/1")) == 1);
  world.Run(Millis(3'000));
  BOOST_TEST(Number<Answer>(MemberId("old/1")) == before);
  BOOST_TEST(Number<Answer>(MemberId("new/1")) >= 2);
  // The worker keeps the completion until the manager has recorded it.
  BOOST_TEST(world.worker(0).unacknowledged() == 1U);
  world.agent(0).OnAnswerAck({sent.key});
  world.Run(Millis(2'000));
  BOOST_TEST(world.worker(0).unacknowledged() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Holds)

// Guards against a gang that believes a renewed hold while its owner lets it
// expire: its starts are refused, and the gang is stopped and starts again.
BOOST_FIXTURE_TEST_CASE(SentAgainAreRenewed, OneOwner) {
  const std::vector<WorkerId> first = HoldRoom(5, 4);
  BOOST_TEST(first.size() == 4U);
  for (int i = 0; i < 4; ++i) {
    world.Run(Millis(1'200));
    BOOST_TEST(!world.agent(0).HasRoom(kTask));
    BOOST_TEST(HoldRoom(5, 4).size() == 4U);
  }
  world.Run(Millis(2'600));
  BOOST_TEST(world.agent(0).HasRoom({4'000, 512, 0, 4}));
}

// Guards against a gang that never gets the room that came free after its
// first hold.
BOOST_FIXTURE_TEST_CASE(SentAgainMayGrow, OneOwner) {
  Start(0, 1, "{\"run_ms\":600}");
  BOOST_TEST(HoldRoom(5, 4).size() == 3U);
  world.Run(Millis(1'000));
  BOOST_TEST(HoldRoom(5, 4).size() == 4U);
  world.agent(0).OnHoldRelease({5});
  BOOST_TEST(world.agent(0).HasRoom({4'000, 512, 0, 4}));
}

// Guards against room that is listed in a renewed hold after it was lost with
// the worker's lease.
BOOST_FIXTURE_TEST_CASE(SentAgainListOnlyWhatIsStillHeld, OneOwner) {
  BOOST_TEST(HoldRoom(5, 4).size() == 4U);
  world.worker(0).faults().dead = true;
  world.Run(Millis(1'500));
  HoldRoom(5, 4);
  world.Run(Millis(1'500));
  BOOST_TEST(HoldRoom(5, 4).empty());
}

BOOST_FIXTURE_TEST_CASE(OfADrainingOwnerEnd, OneOwner) {
  BOOST_TEST(HoldRoom(5, 4).size() == 4U);
  world.DrainNode(0);
  BOOST_TEST(HoldRoom(5, 4).empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
