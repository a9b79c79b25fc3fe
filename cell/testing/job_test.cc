// Guards against jobs that end too early, too late or twice, and against stored
// progress that a new leader decodes differently from how it was encoded.
#include "cell/job.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <climits>
#include <cmath>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "cell/decode.h"
#include "cell/testing/odd_values.h"
#include "chivedale/testing/fake_clock.h"
#include "util/random.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;

// The MessagePack value with the element at `path` replaced.
std::string Replace(const std::string& bytes,
                    const char* path,
                    const json& element) {
  json value = json::from_msgpack(bytes);
  value.at(json::json_pointer(path)) = element;
  std::string changed;
  json::to_msgpack(value, changed);
  return changed;
}

JobRecord MakeTwoStepRecord(int first, int second) {
  JobRecord record;
  record.queue.name = "q";
  record.queue.pool = "pool";
  record.queue.max_attempts = 2;
  record.queue.objective_factor = 1.5;
  record.queue.objective_slack = Millis(300);
  StepSpec a;
  a.count = first;
  a.estimate = Millis(600);
  StepSpec b;
  b.count = second;
  b.estimate = Millis(400);
  b.depends_on = {0};
  record.spec.payload = "text";
  record.spec.steps = {a, b};
  return record;
}

struct OpenedJob {
  explicit OpenedJob(const JobRecord& record)
      : job("0123456789abcdef", record) {
    job.OpenDueOccurrences(clock.WallNow(), clock.Now());
  }
  Step& step(int index) { return *job.FindStep(0, index); }

  chivedale::testing::FakeClock clock;
  Job job;
};

BOOST_AUTO_TEST_SUITE(AJobOfSteps)

BOOST_AUTO_TEST_CASE(StartsWithTheStepsThatDependOnNothing) {
  OpenedJob opened(MakeTwoStepRecord(2, 1));
  BOOST_TEST(opened.step(0).ready);
  BOOST_TEST(!opened.step(1).ready);
  BOOST_TEST(opened.step(0).Waiting() == 2);
  BOOST_TEST(opened.job.ChainEstimate().count() == 1'000);
}

// Guards against later steps that are taken for late because earlier ones, or
// shorter branches, count for what they still need.
BOOST_AUTO_TEST_CASE(KnowsWhatRemainsFromEachStep) {
  JobRecord record = MakeTwoStepRecord(1, 1);
  StepSpec longer = record.spec.steps[1];
  longer.estimate = Millis(700);
  StepSpec last = longer;
  last.estimate = Millis(50);
  last.depends_on = {1, 2};
  record.spec.steps.push_back(longer);
  record.spec.steps.push_back(last);
  const Job job("id", record, 1);
  BOOST_TEST(job.ChainEstimateFrom(0).count() == 600 + 700 + 50);
  BOOST_TEST(job.ChainEstimateFrom(1).count() == 400 + 50);
  BOOST_TEST(job.ChainEstimateFrom(2).count() == 700 + 50);
  BOOST_TEST(job.ChainEstimateFrom(3).count() == 50);
  BOOST_TEST(job.ChainEstimate().count() == 600 + 700 + 50);
}

BOOST_AUTO_TEST_CASE(OpensALaterStepWhenAllTasksBeforeItAreDone) {
  OpenedJob opened(MakeTwoStepRecord(2, 1));
  BOOST_TEST(opened.job.OnDone(opened.step(0), 0));
  opened.job.UpdateReady(opened.clock.Now());
  BOOST_TEST(!opened.step(1).ready);
  BOOST_TEST(opened.job.OnDone(opened.step(0), 1));
  opened.job.UpdateReady(opened.clock.Now());
  BOOST_TEST(opened.step(1).ready);
}

BOOST_AUTO_TEST_CASE(IsReportedAsCompletedOnlyOnceThatIsStored) {
  OpenedJob opened(MakeTwoStepRecord(1, 1));
  opened.job.set_any_started();
  opened.job.OnDone(opened.step(0), 0);
  opened.job.OnDone(opened.step(1), 0);
  BOOST_TEST((opened.job.state() == JobState::kCompleted));
  BOOST_TEST((opened.job.visible_state() == JobState::kRunning));
  opened.job.MarkStored(JobState::kCompleted);
  BOOST_TEST((opened.job.visible_state() == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(IgnoresARepeatedEnd) {
  OpenedJob opened(MakeTwoStepRecord(1, 1));
  BOOST_TEST(opened.job.OnDone(opened.step(0), 0));
  BOOST_TEST(!opened.job.OnDone(opened.step(0), 0));
  BOOST_TEST(!opened.job.OnFailed(opened.step(1), 0, 7, "e1"));
  BOOST_TEST(!opened.job.OnFailed(opened.step(1), 0, 7, "e1"));
  BOOST_TEST((opened.job.state() == JobState::kQueued));
  BOOST_TEST(opened.job.OnFailed(opened.step(1), 0, 8, "e2"));
  BOOST_TEST((opened.job.state() == JobState::kFailed));
}

// Regression (random search, site kowa-consult, scenario mix, seed
// 848821056244, exit status 139): the row was cached by the address of its
// table, and a later table was allocated at the same address.
BOOST_AUTO_TEST_CASE(IgnoresACachedRowOfAnEarlierTable) {
  OpenedJob opened(MakeTwoStepRecord(1, 1));
  const QueuePolicy row;
  opened.job.set_policy(&row, 1);
  BOOST_TEST(opened.job.policy(1) == &row);
  BOOST_TEST(opened.job.policy(2) == nullptr);
}

BOOST_AUTO_TEST_SUITE(WithAGang)

BOOST_AUTO_TEST_CASE(IsDoneWithOneEndOfAnyMember) {
  JobRecord record = MakeTwoStepRecord(3, 1);
  record.spec.steps[0].gang = true;
  OpenedJob opened(record);
  opened.job.OnDone(opened.step(0), 2);
  BOOST_TEST(opened.step(0).Finished());
}

BOOST_AUTO_TEST_CASE(CountsOneFailureForAllMembersOfARun) {
  JobRecord record = MakeTwoStepRecord(3, 1);
  record.spec.steps[0].gang = true;
  OpenedJob opened(record);
  BOOST_TEST(!opened.job.OnFailed(opened.step(0), 0, 1, "e1"));
  BOOST_TEST(!opened.job.OnFailed(opened.step(0), 1, 1, "e2"));
  BOOST_TEST(opened.job.OnFailed(opened.step(0), 1, 2, "e2"));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ThatRecurs)

// A job of one task a second, all of them due.
struct OverdueJob {
  explicit OverdueJob(int occurrences)
      : record(MakeRecord(occurrences)), job("0123456789abcdef", record) {
    job.OpenDueOccurrences(clock.WallNow(), clock.Now());
  }
  JobRecord MakeRecord(int occurrences) {
    JobRecord overdue = MakeTwoStepRecord(1, 1);
    overdue.spec.steps.pop_back();
    overdue.spec.occurrences = occurrences;
    overdue.spec.interval = Millis(1'000);
    overdue.spec.first_start =
        clock.WallNow() - occurrences * overdue.spec.interval;
    return overdue;
  }
  // Completes and removes the first open occurrences.
  void Complete(int occurrences) {
    for (int i = 0; i < occurrences; ++i) {
      job.OnDone(job.open().begin()->second.steps[0], 0);
      for (const int number : job.RemovableOccurrences()) {
        job.RemoveOccurrence(number);
      }
    }
    job.OpenDueOccurrences(clock.WallNow(), clock.Now());
  }
  // The job as a new leader restores it.
  std::unique_ptr<Job> Restored() const {
    auto restored = std::make_unique<Job>("0123456789abcdef", record);
    restored->DecodeProgress(job.EncodeProgress(), clock.WallNow(),
                             clock.Now());
    return restored;
  }

  chivedale::testing::FakeClock clock;
  const JobRecord record;
  Job job;
};

// Regression (review/5, Acks): the progress listed each occurrence that was
// ever due, and was larger than a value of the store.
BOOST_AUTO_TEST_CASE(KeepsItsProgressWithinAValueOfTheStore) {
  OverdueJob overdue(120'000);
  for (int i = 0; i < 5; ++i) {
    BOOST_TEST(overdue.job.open().size() == 2'000U);
    BOOST_TEST(overdue.job.EncodeProgress().size() < kDefaultMaxValueBytes / 4);
    overdue.Complete(1'000);
  }
  BOOST_TEST(overdue.job.open().begin()->first == 5'000);
}

BOOST_AUTO_TEST_CASE(CompletesAfterItsLastOccurrence) {
  OverdueJob overdue(4'100);
  overdue.Complete(2'000);
  overdue.Complete(2'000);
  BOOST_TEST((overdue.job.state() == JobState::kQueued));
  overdue.Complete(100);
  BOOST_TEST((overdue.job.state() == JobState::kCompleted));
  BOOST_TEST((overdue.Restored()->state() == JobState::kCompleted));
}

// A finished occurrence must not be run again by a new leader, whether or not
// the progress lists it.
BOOST_AUTO_TEST_CASE(DoesNotOpenAFinishedOccurrenceAgain) {
  for (const int finished : {100, 3'000}) {
    OverdueJob overdue(5'000);
    overdue.Complete(std::min(finished, 2'000));
    overdue.Complete(finished - std::min(finished, 2'000));
    const std::unique_ptr<Job> restored = overdue.Restored();
    int open = 0;
    for (const auto& [number, occurrence] : restored->open()) {
      BOOST_TEST((number >= finished || occurrence.Finished()));
      open += occurrence.Finished() ? 0 : 1;
    }
    BOOST_TEST(open == 2'000);
    BOOST_TEST(!restored->OpenStartedOccurrence(
        finished - 1, overdue.clock.WallNow(), overdue.clock.Now()));
  }
}

BOOST_AUTO_TEST_CASE(ReadsProgressOfTheVersionThatListsAllOccurrences) {
  OverdueJob overdue(100);
  overdue.Complete(40);
  json value = json::from_msgpack(overdue.job.EncodeProgress());
  value.erase(3);
  std::string earlier;
  json::to_msgpack(value, earlier);
  Job restored("0123456789abcdef", overdue.record);
  restored.DecodeProgress(earlier, overdue.clock.WallNow(),
                          overdue.clock.Now());
  BOOST_TEST(restored.open().size() == 100U);
  BOOST_TEST(restored.RemovableOccurrences().size() == 40U);
}

// A copy of its task may still be running, and refers to it.
BOOST_AUTO_TEST_CASE(KeepsAFinishedOccurrenceThatHasRuns) {
  OverdueJob overdue(10);
  Step& step = overdue.job.open().at(0).steps[0];
  step.live_on["e1"] = 1;
  overdue.job.OnDone(step, 0);
  BOOST_TEST(overdue.job.RemovableOccurrences().empty());
  step.live_on.clear();
  BOOST_TEST((overdue.job.RemovableOccurrences() == std::vector<int>{0}));
}

// What a predecessor opened and did not store is opened by itself: those
// between may be finished or not, and are opened in their turn.
BOOST_AUTO_TEST_CASE(OpensOneOccurrenceThatAPredecessorStarted) {
  OverdueJob overdue(5'000);
  BOOST_TEST(overdue.job.OpenStartedOccurrence(3'500, overdue.clock.WallNow(),
                                               overdue.clock.Now()));
  BOOST_TEST(overdue.job.open().size() == 2'001U);
  overdue.job.OnDone(*overdue.job.FindStep(3'500, 0), 0);
  BOOST_TEST(overdue.job.RemovableOccurrences().empty());
  const std::unique_ptr<Job> restored = overdue.Restored();
  BOOST_REQUIRE(restored->FindStep(3'500, 0) != nullptr);
  BOOST_TEST(restored->FindStep(3'500, 0)->Finished());
  overdue.Complete(2'000);
  overdue.Complete(1'000);
  BOOST_TEST(overdue.job.RemovableOccurrences().empty());
  overdue.Complete(1'000);
  BOOST_TEST(overdue.job.FindStep(3'500, 0) == nullptr);
}

BOOST_AUTO_TEST_CASE(OpensEachOccurrenceWhenItIsDue) {
  chivedale::testing::FakeClock clock;
  JobRecord record = MakeTwoStepRecord(1, 1);
  record.spec.occurrences = 3;
  record.spec.first_start = clock.WallNow() + Millis(1'000);
  record.spec.interval = Millis(500);
  Job job("0123456789abcdef", record);
  BOOST_TEST(!job.OpenDueOccurrences(clock.WallNow(), clock.Now()));
  clock.Advance(Millis(1'600));
  BOOST_TEST(job.OpenDueOccurrences(clock.WallNow(), clock.Now()));
  BOOST_TEST(job.open().size() == 2u);
  clock.Advance(Millis(10'000));
  job.OpenDueOccurrences(clock.WallNow(), clock.Now());
  BOOST_TEST(job.open().size() == 3u);
  BOOST_TEST((job.NextDue() == WallTime::max()));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(InTheStore)

BOOST_AUTO_TEST_CASE(RecordWithAValueOutOfRangeIsRejected) {
  const std::string record = EncodeJobRecord(MakeTwoStepRecord(2, 1));
  const std::pair<const char*, json> changes[] = {
      {"/0/2", 1e300},  // priority
      {"/0/3", 1e300},  // attempts
      {"/0/4", std::nan("")},
      {"/0/5", 1e300},
      {"/0/0", 7},  // name of the queue
      {"/0/6", json::array({1e300, 0, 0})},
      {"/2/0/0", 1e300},  // tasks
      {"/2/0/0", int64_t{1} << 40},
      {"/2/0/1/0", INT64_MAX},  // processors
      {"/2/0/1/1", -1},
      {"/2/0/2", INT64_MAX},  // estimate
      {"/2/0/3", json::array({1e300})},
      {"/2/0/9", 1e300},
      {"/2/0/13", INT64_MAX},
      {"/3", INT64_MAX},  // occurrences
      {"/3", -1},
      {"/4", INT64_MAX},
      {"/5", INT64_MAX},
      {"/6", INT64_MAX},
  };
  for (const auto& [path, value] : changes) {
    BOOST_CHECK_THROW(DecodeJobRecord(Replace(record, path, value)),
                      std::runtime_error);
  }
  for (const std::string& bytes :
       {std::string(), std::string("\xc1"), std::string(100'000, '\x91')}) {
    BOOST_CHECK_THROW(DecodeJobRecord(bytes), std::runtime_error);
    BOOST_TEST(!StoredState(bytes).has_value());
  }
}

BOOST_AUTO_TEST_CASE(ProgressWithAValueOutOfRangeIsRejected) {
  OpenedJob opened(MakeTwoStepRecord(2, 1));
  opened.job.OnFailed(opened.step(0), 1, 3, "e1");
  const std::string progress = opened.job.EncodeProgress();
  const std::pair<const char*, json> changes[] = {
      {"/0", "odd"},
      {"/2/0/0", 20'000.0},  // occurrence
      {"/2/0/0", 20'000},
      {"/2/0/0", -1},
      {"/2/0/1/0/1/0/0", 1e300},  // task
      {"/2/0/1/0/1/0/0", -1},
      {"/2/0/1/0/1/0/0", 2},
      {"/2/0/1/0/1/0/1", json::array({1e300})},  // failed runs
      {"/2/0/1/0/1/0/2", 7},
      {"/2/0/1/0/1/0/2", std::string(70'000, 'c')},
      {"/2", 7},
  };
  for (const auto& [path, value] : changes) {
    Job job("0123456789abcdef", MakeTwoStepRecord(2, 1));
    BOOST_CHECK_THROW(
        job.DecodeProgress(Replace(progress, path, value),
                           opened.clock.WallNow(), opened.clock.Now()),
        std::runtime_error);
  }
  Job job("0123456789abcdef", MakeTwoStepRecord(2, 1));
  BOOST_CHECK_THROW(
      job.DecodeProgress(std::string(100'000, '\x91'), opened.clock.WallNow(),
                         opened.clock.Now()),
      std::runtime_error);
}

// Regression: a job that the version before the limits had accepted was shown
// as queued for ever.
BOOST_AUTO_TEST_CASE(RecordAcceptedBeforeTheLimitsIsReadWithinThem) {
  JobRecord record = MakeTwoStepRecord(2, 1);
  StepSpec& step = record.spec.steps[0];
  record.queue.name = record.queue.pool = step.label = step.preferred_rack =
      step.image = std::string(5'000, 'q');
  for (const int64_t value : {INT64_MIN, int64_t{-1}, INT64_MAX}) {
    const bool low = value < 0;
    record.queue.priority = low ? INT_MIN : INT_MAX;
    record.queue.max_attempts = INT_MAX;
    record.queue.objective_slack = Millis(value);
    record.queue.advice = {Duration(value), Duration(value), Millis(value)};
    JobRecord clamped = record;
    clamped.queue.priority = low ? -kMaxPriority : kMaxPriority;
    clamped.queue.max_attempts = kMaxAttempts;
    clamped.queue.objective_slack = Millis(low ? 0 : kMaxAmount);
    const Millis longest = low ? Millis(0) : kMaxDuration;
    clamped.queue.advice = {longest, longest, longest};
    BOOST_TEST((EncodeJobRecord(DecodeJobRecord(EncodeJobRecord(record))) ==
                EncodeJobRecord(clamped)));
  }
}

RC_BOOST_PROP(CorruptedBytesAreDecodedOrRejected, (uint64_t seed)) {
  util::Random random(seed);
  OpenedJob opened(MakeTwoStepRecord(2, 1));
  opened.job.OnFailed(opened.step(0), 1, 3, "e1");
  std::string record = EncodeJobRecord(opened.job.record());
  std::string progress = opened.job.EncodeProgress();
  for (std::string* bytes : {&record, &progress}) {
    for (int i = 0; i < 2; ++i) {
      (*bytes)[random.UniformInt(bytes->size())] =
          static_cast<char>(random.UniformInt(256));
    }
  }
  try {
    Job job("0123456789abcdef", DecodeJobRecord(record));
    job.DecodeProgress(progress, opened.clock.WallNow(), opened.clock.Now());
  } catch (const std::runtime_error&) {
    RC_SUCCEED("rejected");
  }
}

RC_BOOST_PROP(OddValueIsDecodedOrRejected, (uint64_t seed)) {
  util::Random random(seed);
  OpenedJob opened(MakeTwoStepRecord(2, 1));
  opened.job.OnFailed(opened.step(0), 1, 3, "e1");
  std::string record = EncodeJobRecord(opened.job.record());
  std::string progress = opened.job.EncodeProgress();
  std::string& changed = random.UniformInt(2) == 0 ? record : progress;
  const json odd = testing::WithOddValue(json::from_msgpack(changed), random);
  changed.clear();
  json::to_msgpack(odd, changed);
  try {
    Job job("0123456789abcdef", DecodeJobRecord(record));
    job.DecodeProgress(progress, opened.clock.WallNow(), opened.clock.Now());
    job.OpenDueOccurrences(opened.clock.WallNow(), opened.clock.Now());
    RC_ASSERT(!job.record().spec.steps.empty());
  } catch (const std::runtime_error&) {
    RC_SUCCEED("rejected");
  }
}

// The times of a job are added to the clock.
BOOST_AUTO_TEST_CASE(ProgressOfAnOccurrenceFarFromDueIsRejected) {
  chivedale::testing::FakeClock clock;
  JobRecord record = MakeTwoStepRecord(1, 1);
  record.spec.occurrences = 1'000;
  record.spec.first_start = clock.WallNow();
  record.spec.interval = std::chrono::hours(24 * 365);
  Job ahead("0123456789abcdef", record);
  ahead.OpenDueOccurrences(clock.WallNow(), clock.Now());
  const std::string progress = ahead.EncodeProgress();
  Job job("0123456789abcdef", record);
  BOOST_CHECK_THROW(job.DecodeProgress(Replace(progress, "/2/0/0", 900),
                                       clock.WallNow(), clock.Now()),
                    std::runtime_error);
}

// Regression (found with review/5): neither may keep the progress from being
// stored.
BOOST_AUTO_TEST_CASE(LeavesOutCheckpointsAndFailedRunsThatDoNotFit) {
  JobRecord record = MakeTwoStepRecord(100, 1);
  record.queue.max_attempts = 1'000;
  OpenedJob opened(record);
  Step& step = opened.step(0);
  opened.job.OnDone(step, 0);
  for (int i = 1; i < 100; ++i) {
    step.tasks[static_cast<size_t>(i)].checkpoint = std::string(1'000, 'c');
    opened.job.OnFailed(step, i, 1'001, "e1");
  }
  for (const size_t max_bytes : {200'000, 10'000, 500}) {
    const std::string progress = opened.job.EncodeProgress(max_bytes);
    BOOST_TEST(progress.size() <= max_bytes);
    Job restored("0123456789abcdef", record);
    restored.DecodeProgress(progress, opened.clock.WallNow(),
                            opened.clock.Now());
    const Step& read = *restored.FindStep(0, 0);
    BOOST_TEST(read.done == 1);
    BOOST_TEST(read.tasks[9].checkpoint.empty() == (max_bytes < 200'000));
    BOOST_TEST(read.tasks[9].failed_runs.empty() == (max_bytes < 10'000));
  }
  BOOST_TEST(Job::MaxBareProgressBytes(record.spec) <= 500U);
}

// Regression (found with review/5): the stored progress of a long-running task
// grew with each of its failures.
BOOST_AUTO_TEST_CASE(DoesNotGrowWithTheFailuresOfALongRunningTask) {
  JobRecord record = MakeTwoStepRecord(1, 1);
  record.spec.steps[0].long_running = true;
  OpenedJob opened(record);
  const size_t before = opened.job.EncodeProgress().size();
  for (int run = 1; run < 100; ++run) {
    opened.job.OnFailed(opened.step(0), 0, run, "e1");
  }
  BOOST_TEST(opened.job.EncodeProgress().size() == before);
}

// Also not by the progress of an earlier leader (found with review/2).
BOOST_AUTO_TEST_CASE(NeverTakesALongRunningTaskAsDone) {
  JobRecord record = MakeTwoStepRecord(2, 1);
  OpenedJob other(record);
  other.job.OnDone(other.step(0), 1);
  record.spec.steps[0].long_running = true;
  Job job("0123456789abcdef", record);
  job.DecodeProgress(other.job.EncodeProgress(), other.clock.WallNow(),
                     other.clock.Now());
  Step& step = *job.FindStep(0, 0);
  BOOST_TEST(step.done == 0);
  BOOST_TEST(step.Waiting() == 2);
  BOOST_TEST(!job.OnDone(step, 0));
  BOOST_TEST(!job.OnDone(step, 1));
  BOOST_TEST(!step.Finished());
  BOOST_TEST(step.Waiting() == 2);
  BOOST_TEST((job.state() == JobState::kQueued));
}

RC_BOOST_PROP(DecodesToWhatWasEncoded, (uint64_t seed)) {
  util::Random random(seed);
  JobRecord record =
      MakeTwoStepRecord(1 + static_cast<int>(random.UniformInt(5)),
                        1 + static_cast<int>(random.UniformInt(5)));
  record.spec.steps[0].checkpoints = true;
  record.spec.steps[0].label = random.HexString(4);
  record.queue.advice = AdvicePolicy{Millis(13), Millis(1), Millis(2'000)};
  record.queue.max_attempts = 9;
  const JobRecord read = DecodeJobRecord(EncodeJobRecord(record));
  RC_ASSERT(EncodeJobRecord(read) == EncodeJobRecord(record));

  OpenedJob first(record);
  for (int i = 0; i < 6; ++i) {
    Step& step = first.step(static_cast<int>(random.UniformInt(2)));
    const int task = static_cast<int>(random.UniformInt(step.tasks.size()));
    if (random.UniformInt(2) == 0) {
      first.job.OnDone(step, task);
    } else {
      first.job.OnFailed(step, task,
                         1 + static_cast<int64_t>(random.UniformInt(4)), "e1");
      step.tasks[static_cast<size_t>(task)].checkpoint = random.HexString(6);
    }
  }
  const std::string progress = first.job.EncodeProgress();
  Job second("0123456789abcdef", read);
  second.DecodeProgress(progress, first.clock.WallNow(), first.clock.Now());
  RC_ASSERT(second.state() == first.job.state());
  RC_ASSERT(second.EncodeProgress() == progress);
}

// Nothing else may be thrown; damaged bytes may still decode.
RC_BOOST_PROP(IsRejectedWhenItsBytesAreDamaged, (uint64_t seed)) {
  util::Random random(seed);
  std::string bytes = EncodeJobRecord(MakeTwoStepRecord(2, 2));
  for (int i = 0; i < 3; ++i) {
    bytes[random.UniformInt(bytes.size())] =
        static_cast<char>(random.UniformInt(256));
  }
  bytes.resize(random.UniformInt(bytes.size() + 1));
  try {
    DecodeJobRecord(bytes);
  } catch (const std::runtime_error&) {
    RC_TAG("rejected");
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ATaskName)

BOOST_AUTO_TEST_CASE(IsReadBack) {
  const TaskName name{"5c0e7a21d94b36f8", 2, 1, 17};
  BOOST_TEST(name.Text() == "5c0e7a21d94b36f8.2.1.17");
  const auto read = TaskName::Parse(name.Text());
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->job == name.job);
  BOOST_TEST(read->occurrence == 2);
  BOOST_TEST(read->step == 1);
  BOOST_TEST(read->index == 17);
}

BOOST_AUTO_TEST_CASE(IsRejectedWhenMalformed) {
  for (const char* text : {"", "a", "a.1", "a.1.2", ".1.2.3", "a.1.2.x",
                           "a.-1.2.3", "a.1.2.3x", "a.1..3"}) {
    BOOST_TEST(!TaskName::Parse(text).has_value(), text);
  }
}

// A scheduling pass looks only at the executors in the list of the allowed.
BOOST_AUTO_TEST_SUITE(WithAdviceOnAStep)

BOOST_AUTO_TEST_CASE(ListsTheAllowedExecutorsInOrder) {
  StepAdvice advice;
  for (const size_t executor : {7, 2, 9, 2}) {
    advice.SetGood({executor, "t-" + std::to_string(executor), {}});
  }
  std::vector<size_t> allowed;
  for (const StepTicket& ticket : advice.good()) {
    allowed.push_back(ticket.executor);
  }
  BOOST_TEST((allowed == std::vector<size_t>{2, 7, 9}));
  BOOST_TEST(advice.TicketOf(7)->ticket == "t-7");
}

BOOST_AUTO_TEST_CASE(KeepsNoTicketOfAnExecutorThatIsNotAllowed) {
  StepAdvice advice;
  advice.SetGood({3, "t", {}});
  advice.SetGood({4, "t", {}});
  advice.SetBad(3);
  advice.Forget(4);
  BOOST_TEST(advice.good().empty());
  BOOST_TEST((advice.TicketOf(3) == nullptr));
  BOOST_TEST((advice.KindOf(3) == StepAdvice::Kind::kBad));
  BOOST_TEST((advice.KindOf(4) == StepAdvice::Kind::kUnknown));
  BOOST_TEST((advice.KindOf(100) == StepAdvice::Kind::kUnknown));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
