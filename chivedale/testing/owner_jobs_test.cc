// Tests the owner's handling of jobs. Guards against an accepted start of an
// earlier manager, an answer that stays with the earlier manager, and capacity
// of a gang that expires before the gang starts.
#include <boost/test/unit_test.hpp>
#include <variant>

#include "chivedale/job_record.h"
#include "chivedale/owner_agent.h"
#include "chivedale/testing/owner_fixture.h"

namespace chivedale::testing {
namespace {

constexpr Resources kTask{1'000, 512, 0, 1};

struct OneOwner {
  static OwnerFixture::Options Options() {
    OwnerFixture::Options options;
    options.nodes = 1;
    options.workers = 1;
    return options;
  }
  OneOwner() : fixture(Options()) { fixture.Run(Millis(100)); }

  Dispatch Start(int64_t index, uint64_t epoch, const std::string& script) {
    Dispatch dispatch;
    dispatch.key = {JobTaskId(JobId("a"), index), 1};
    dispatch.entry = MemberId("old/1");
    dispatch.kind = "watch";
    dispatch.size = kTask;
    dispatch.job_epoch = epoch;
    dispatch.payload = std::make_shared<const std::string>(script);
    fixture.agent(0).OnDispatch(dispatch);
    fixture.Run(Millis(50));
    return dispatch;
  }

  JobQueryReply SendQuery(uint64_t epoch,
                          const std::vector<JobAttempt>& attempts) {
    JobQuery query;
    query.job = JobId("a");
    query.manager = MemberId("new/1");
    query.epoch = epoch;
    query.round = 7;
    query.attempts = attempts;
    fixture.agent(0).OnJobQuery(query);
    fixture.Run(Millis(50));
    const auto* reply = Last<JobQueryReply>(query.manager);
    return reply == nullptr ? JobQueryReply() : *reply;
  }

  std::vector<WorkerId> HoldCapacity(uint64_t id, int64_t count) {
    Hold hold;
    hold.hold = id;
    hold.job = JobId("a");
    hold.size = kTask;
    hold.count = count;
    hold.ttl = Millis(2'000);
    fixture.agent(0).OnHold(MemberId("old/1"), hold);
    fixture.Run(Millis(50));
    const auto* reply = Last<HoldReply>(MemberId("old/1"));
    return reply == nullptr ? std::vector<WorkerId>() : reply->workers;
  }

  // The last message of a type to a member that is not a node.
  template <typename T>
  const T* Last(const MemberId& to) const {
    const T* found = nullptr;
    for (const auto& [receiver, message] : fixture.other_messages()) {
      const T* typed = std::get_if<T>(&message);
      found = receiver == to && typed != nullptr ? typed : found;
    }
    return found;
  }
  template <typename T>
  int64_t CountSent(const MemberId& to) const {
    int64_t number = 0;
    for (const auto& [receiver, message] : fixture.other_messages()) {
      number += receiver == to && std::holds_alternative<T>(message) ? 1 : 0;
    }
    return number;
  }

  OwnerFixture fixture;
  const WorkerId worker = OwnerFixture::WorkerIdOf(0);
};

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnersOfJobTasks)

BOOST_AUTO_TEST_SUITE(Epochs)

// Guards against a start of a paused manager that arrives after the next
// manager was told that the attempt is absent.
BOOST_FIXTURE_TEST_CASE(RefuseStartsOfAnEarlierManager, OneOwner) {
  const TaskKey key{JobTaskId(JobId("a"), 0), 1};
  const JobQueryReply reply = SendQuery(4, {{key, worker}});
  BOOST_TEST(reply.absent.size() == 1U);
  Start(0, 3, "{}");
  const auto* refused = Last<DispatchReply>(MemberId("old/1"));
  BOOST_REQUIRE(refused != nullptr);
  BOOST_TEST((refused->outcome == DispatchOutcome::kRefused));
  BOOST_TEST(fixture.workers().task_runs().starts() == 0);
  Start(1, 4, "{}");
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
}

// Guards against a late query of an earlier manager that lowers the epoch or
// redirects the answers to it.
BOOST_FIXTURE_TEST_CASE(NeverDecrease, OneOwner) {
  Start(0, 4, "{\"run_ms\":60000}");
  const TaskKey key{JobTaskId(JobId("a"), 0), 1};
  BOOST_TEST(SendQuery(4, {{key, worker}}).present.size() == 1U);
  const int64_t replies = CountSent<JobQueryReply>(MemberId("new/1"));
  SendQuery(3, {{key, worker}});
  BOOST_TEST(CountSent<JobQueryReply>(MemberId("new/1")) == replies);
  Start(1, 3, "{}");
  BOOST_TEST(fixture.workers().task_runs().starts() == 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Answers)

// Guards against an answer that only the earlier manager gets: the next one
// would wait forever for a task that has ended.
BOOST_FIXTURE_TEST_CASE(OfRunningTasksGoToTheNextManager, OneOwner) {
  const Dispatch sent = Start(0, 1, "{\"run_ms\":500}");
  const JobQueryReply reply = SendQuery(2, {{sent.key, worker}});
  BOOST_TEST(reply.present.size() == 1U);
  fixture.Run(Millis(1'000));
  BOOST_TEST(CountSent<Answer>(MemberId("new/1")) >= 1);
  BOOST_TEST(CountSent<Answer>(MemberId("old/1")) == 0);
}

BOOST_FIXTURE_TEST_CASE(OfEndedTasksAreSentAgainToTheNextManager, OneOwner) {
  const Dispatch sent = Start(0, 1, "{\"run_ms\":100}");
  fixture.Run(Millis(300));
  const int64_t before = CountSent<Answer>(MemberId("old/1"));
  BOOST_TEST(before >= 1);
  BOOST_TEST(SendQuery(2, {{sent.key, worker}}).present.size() == 1U);
  BOOST_TEST(CountSent<Answer>(MemberId("new/1")) == 1);
  fixture.Run(Millis(3'000));
  BOOST_TEST(CountSent<Answer>(MemberId("old/1")) == before);
  BOOST_TEST(CountSent<Answer>(MemberId("new/1")) >= 2);
  // The worker keeps the completion until the manager has recorded it.
  BOOST_TEST(fixture.worker(0).unacknowledged() == 1U);
  fixture.agent(0).OnAnswerAck({sent.key});
  fixture.Run(Millis(2'000));
  BOOST_TEST(fixture.worker(0).unacknowledged() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(Holds)

// Guards against a planner that counts on a renewed hold while its owner lets
// it expire: the starts would be refused, and the gang would be stopped and
// restarted.
BOOST_FIXTURE_TEST_CASE(SentAgainAreRenewed, OneOwner) {
  const std::vector<WorkerId> first = HoldCapacity(5, 4);
  BOOST_TEST(first.size() == 4U);
  for (int i = 0; i < 4; ++i) {
    fixture.Run(Millis(1'200));
    BOOST_TEST(!fixture.agent(0).HasCapacity(kTask));
    BOOST_TEST(HoldCapacity(5, 4).size() == 4U);
  }
  fixture.Run(Millis(2'600));
  BOOST_TEST(fixture.agent(0).HasCapacity({4'000, 512, 0, 4}));
}

// Guards against a gang that never gets the capacity that became free after its
// first hold.
BOOST_FIXTURE_TEST_CASE(SentAgainMayGrow, OneOwner) {
  Start(0, 1, "{\"run_ms\":600}");
  BOOST_TEST(HoldCapacity(5, 4).size() == 3U);
  fixture.Run(Millis(1'000));
  BOOST_TEST(HoldCapacity(5, 4).size() == 4U);
  fixture.agent(0).OnHoldRelease({5});
  BOOST_TEST(fixture.agent(0).HasCapacity({4'000, 512, 0, 4}));
}

// Guards against capacity that is listed in a renewed hold after it was lost
// with the worker's lease.
BOOST_FIXTURE_TEST_CASE(SentAgainListOnlyWhatIsStillHeld, OneOwner) {
  BOOST_TEST(HoldCapacity(5, 4).size() == 4U);
  fixture.worker(0).faults().dead = true;
  fixture.Run(Millis(1'500));
  HoldCapacity(5, 4);
  fixture.Run(Millis(1'500));
  BOOST_TEST(HoldCapacity(5, 4).empty());
}

BOOST_FIXTURE_TEST_CASE(OfADrainingOwnerEnd, OneOwner) {
  BOOST_TEST(HoldCapacity(5, 4).size() == 4U);
  fixture.DrainNode(0);
  BOOST_TEST(HoldCapacity(5, 4).empty());
}

BOOST_AUTO_TEST_SUITE_END()
BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
