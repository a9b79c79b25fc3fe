// Tests of members whose process is replaced while answers to its calls are
// under way. Answers are sent to an address and reach the later process.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

#include "cell/testing/cell_fixture.h"
#include "cell/testing/random_jobs.h"
#include "util/random.h"

namespace chivedale::cell {
namespace {

using testing::CellFixture;
using testing::FakeCell;
using testing::JobIdOf;
using testing::kJobId;
using testing::MakeJobSpec;
using testing::MakeQueue;

constexpr char kOtherJobId[] = "00000000000000bb";
constexpr Millis kDeadline{1'500};
// A member's pending watch of the store ends by then.
constexpr Millis kStoreFailureNoticed{1'800};

// The answers of the leader to one member take 250 ms, less than that member
// waits for them.
struct LateAnswers : CellFixture {
  LateAnswers() : leader_name(LeaderName()), member(NonLeaderName()) {
    peer_delays[{leader_name, member}] = Millis(250);
  }
  // Replaces the member's process and waits until it has read the leader key.
  void ReplaceProcess() {
    Kill(member);
    Restart(member);
    RunFor(Millis(50));
  }
  void Ask(const JobId& id, CellNode::OnJob done) {
    node(member)->FindJob(id, {}, loop.clock().Now() + kDeadline,
                          std::move(done));
  }

  const std::string leader_name;
  const std::string member;
};

BOOST_AUTO_TEST_SUITE(AMemberWhoseProcessIsReplaced)

// Regression (review/14, MIXED): the state of a job was shown that another
// caller had asked the earlier process for.
BOOST_FIXTURE_TEST_CASE(ShowsNoAnswerToTheEarlierProcess, LateAnswers) {
  Submit(leader_name, kJobId, MakeJobSpec(1, Millis(100)), "q0");
  Submit(leader_name, kOtherJobId, MakeJobSpec(1, Millis(60'000)), "q0");
  RunFor(Millis(1'500));
  ReplaceProcess();
  Ask(kJobId, [](const JobAnswer&) {});
  RunFor(Millis(5));
  ReplaceProcess();
  std::optional<JobAnswer> shown;
  Ask(kOtherJobId, [&](const JobAnswer& answer) { shown = answer; });
  RunFor(kDeadline);
  BOOST_TEST_REQUIRE(shown.has_value());
  BOOST_TEST((shown->state == JobState::kRunning));
}

// Guards against an acknowledgement of a job that is not stored: the answer was
// to a job that the leader stored for the earlier process.
BOOST_FIXTURE_TEST_CASE(AcknowledgesNoJobByAnAnswerToTheEarlierProcess,
                        LateAnswers) {
  peer_delays.erase({leader_name, member});
  store.faults_of[member].refuses = true;
  RunFor(kStoreFailureNoticed);
  peer_delays[{leader_name, member}] = kStoreFailureNoticed + Millis(700);
  Submit(member, kJobId, MakeJobSpec(1, Millis(100)), "q0");
  RunFor(Millis(5));
  store.faults_of.erase(member);
  peer_delays.erase({leader_name, member});
  ReplaceProcess();
  store.faults_of[member].refuses = true;
  RunFor(kStoreFailureNoticed);
  CutLink(member, leader_name, true);
  Submit(member, kOtherJobId, MakeJobSpec(1, Millis(100)), "q0");
  RunFor(kDeadline);
  BOOST_TEST((store.Find(JobKey(kJobId)) != nullptr));
  BOOST_TEST((store.Find(JobKey(kOtherJobId)) == nullptr));
  BOOST_TEST(accepted().count(kOtherJobId) == 0u);
}

// A cell whose members are restarted at random while answers between them are
// late. Callers submit jobs, ask for them and cancel them; some members can
// store only through the leader.
class RestartHistory {
 public:
  explicit RestartHistory(uint64_t seed) : cell_(seed), random_(~seed) {
    cell_.advised_share = 0.7;
    for (const std::string& name : names_) {
      cell_.AddNode(name);
    }
    cell_.AddExecutors("pool", 6, {32'000, 64'000, 0, 0});
    QueuePolicy advised = MakeQueue(0);
    advised.advice = AdvicePolicy{Millis(5), Millis(0)};
    cell_.SetQueue(advised);
    cell_.SetQueue(MakeQueue(2));
    cell_.RunFor(Millis(2'000));
  }

  void Run() {
    for (int round = 0; round < 250; ++round) {
      InjectFault();
      Call();
      cell_.RunFor(Millis(1 + random_.UniformInt(60)));
    }
    cell_.peer_delays.clear();
    cell_.store.faults_of.clear();
    for (const std::string& name : names_) {
      cell_.Restart(name);
    }
    cell_.RunFor(Millis(60'000));
    for (const std::string& what : cell_.executors.violations()) {
      RC_FAIL(what);
    }
    for (const JobId& id : cell_.accepted()) {
      RC_ASSERT(cell_.StateOf(id).has_value());
    }
  }

 private:
  const std::string& Name() {
    return names_[random_.UniformInt(names_.size())];
  }

  void InjectFault() {
    const std::string name = Name();
    switch (random_.UniformInt(8)) {
      case 0:
        cell_.Kill(name);
        cell_.loop.After(Millis(random_.UniformInt(40)),
                         [this, name] { cell_.Restart(name); });
        return;
      case 1:
        cell_.peer_delays[{name, Name()}] = Millis(random_.UniformInt(1'500));
        return;
      case 2:
        cell_.peer_delays.clear();
        return;
      case 3:
        cell_.store.faults_of[name].refuses = true;
        cell_.loop.After(Millis(700),
                         [this, name] { cell_.store.faults_of.erase(name); });
        return;
      default:
        return;
    }
  }

  void Call() {
    const std::string name = Name();
    if (cell_.node(name) == nullptr) {
      return;
    }
    if (jobs_ == 0 || random_.UniformInt(4) == 0) {
      const JobId id = JobIdOf(++jobs_);
      const bool is_long = random_.UniformInt(3) == 0;
      cell_.Submit(name, id,
                   MakeJobSpec(1, Millis(is_long ? 8'000 : 60), 1'000),
                   random_.UniformInt(2) == 0 ? "q0" : "q2");
      return;
    }
    const JobId id = JobIdOf(
        1 + static_cast<int>(random_.UniformInt(static_cast<uint64_t>(jobs_))));
    if (random_.UniformInt(10) == 0) {
      cell_.Cancel(name, id);
      return;
    }
    cell_.node(name)->FindJob(
        id, {}, cell_.loop.clock().Now() + kDeadline,
        [this, id](const JobAnswer& answer) { Check(id, answer); });
  }

  void Check(const JobId& id, const JobAnswer& answer) {
    if (answer.kind != JobAnswer::Kind::kFound) {
      return;
    }
    if (cell_.store.Find(JobKey(id)) == nullptr) {
      RC_FAIL("a job that is not stored is shown: " + id);
    }
    if (answer.state == JobState::kCompleted &&
        !cell_.executors.IsDone({id, 0, 0, 0})) {
      RC_FAIL("a job that is not done is shown as completed: " + id);
    }
    if (answer.state == JobState::kCancelled &&
        cell_.store.Find(CancelKey(id)) == nullptr) {
      RC_FAIL("a job that nobody cancelled is shown as cancelled: " + id);
    }
  }

  const std::vector<std::string> names_ = {"a", "b", "c"};
  FakeCell cell_;
  util::Random random_;
  int jobs_ = 0;
};

// Guards against answers to an earlier process in histories of every kind of
// call: states of jobs, jobs and cancellations stored by the leader, advice.
RC_BOOST_PROP(TakesNoAnswerToAnEarlierProcess, (uint64_t seed)) {
  RestartHistory(seed).Run();
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
