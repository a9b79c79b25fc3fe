// A submission gets no answer of the store, and so a 504. Its caller cancels
// the job and is told that there is no such job. The store then carries out the
// write of the submission, late, and the job runs.
#include <map>
#include <string>

#include "review/11/harness/cases.h"

namespace chivedale::review {
namespace {

using nlohmann::json;

// The disruption, as platform_lost with `late`: 0.35 of the writes get no
// answer and are done 1 to 6 s later, for 4.5 s.
constexpr double kLateShare = 0.35;
constexpr Millis kLostTime{4'500};
constexpr uint64_t kMinLateMs = 1'000;
constexpr uint64_t kMaxLateMs = 6'000;
// Bounds of the deployment.
constexpr Millis kCancelTime{3'000};
constexpr Millis kContactTime{3'000};

constexpr Millis kStartTime{10'000};
constexpr Millis kSettleTime{4'000};
constexpr Millis kSubmitInterval{10};
constexpr Millis kCallLimit{3'000};
constexpr Millis kTask{100};
// After the last write that is done late.
constexpr Millis kMargin{2'000};
// The disruption comes up to this often, as few submissions are lost so near to
// its end that their late writes fall into the calm after it.
constexpr int kRounds = 7;
constexpr int kOk = 200;
constexpr int kGone = 410;
constexpr char kQueue[] = "tally";

struct Submission {
  bool accepted = false;
  cell::TimePoint cancelled{};  // when the cancellation was answered
  bool start_counted = false;
};

class LateSubmissions {
 public:
  explicit LateSubmissions(Lab& lab) : lab_(lab) {}

  // One time of the disruption, with it or without, and the calm after it.
  void RunRound(bool trouble) {
    lab_.executors().on_start = [this](const cell::JobId& job,
                                       const Resources&) { OnStart(job); };
    lost_until_ = cell::TimePoint();
    constexpr int kCalls = kLostTime / kSubmitInterval;
    for (int i = 0; i < kCalls; ++i) {
      if (trouble) {
        lab_.store().faults.late_writes = kLateShare;
        lab_.store().faults.late_by = Millis(
            kMinLateMs + lab_.random().UniformInt(kMaxLateMs - kMinLateMs));
      }
      Submit();
      lab_.RunFor(kSubmitInterval);
    }
    lab_.store().faults.late_writes = 0;
    lost_until_ = Now();
    lab_.Record("the store answers all calls again");
    lab_.RunFor(Millis(kMaxLateMs) + kMargin);
  }

  int accepted() const { return accepted_; }
  int cancelled() const { return cancelled_; }
  int broken() const { return broken_; }

 private:
  cell::TimePoint Now() { return lab_.loop().clock().Now(); }
  int RandomDaemon() {
    return static_cast<int>(
        lab_.random().UniformInt(static_cast<uint64_t>(lab_.daemons())));
  }

  void Submit() {
    constexpr uint64_t kFirstJob = 0x10000;
    const std::string job = JobId(kFirstJob + submissions_.size());
    submissions_[job];
    lab_.Submit(RandomDaemon(), kQueue, job, OneStep(1, kTask),
                [this, job](int status) {
                  if (status == kOk) {
                    submissions_.at(job).accepted = true;
                    ++accepted_;
                  } else {
                    Cancel(job);
                  }
                });
  }

  void Cancel(const std::string& job) {
    lab_.Call(RandomDaemon(), "DELETE", std::string("/") + kQueue + "/" + job,
              "", kCallLimit, [this, job](int status, const json&) {
                if (status == kOk || status == kGone) {
                  submissions_.at(job).cancelled = Now();
                  ++cancelled_;
                }
              });
  }

  void OnStart(const std::string& job) {
    lab_.Record("start on an executor: a task of " + job);
    Submission& submission = submissions_.at(job);
    const cell::TimePoint now = Now();
    const bool cancelled = submission.cancelled != cell::TimePoint() &&
                           now - submission.cancelled > kCancelTime;
    const bool in_touch =
        lost_until_ != cell::TimePoint() && now - lost_until_ > kContactTime;
    if (cancelled && in_touch && !submission.start_counted) {
      submission.start_counted = true;
      ++broken_;
      lab_.Record("BROKEN: job " + job +
                  " starts, its cancellation was answered ms before: " +
                  std::to_string((now - submission.cancelled) / Millis(1)));
    }
  }

  Lab& lab_;
  std::map<std::string, Submission> submissions_;
  cell::TimePoint lost_until_{};
  int accepted_ = 0;
  int cancelled_ = 0;
  int broken_ = 0;
};

}  // namespace

int RunLateSubmission(Lab& lab, bool trouble) {
  for (int i = 0; i < 4; ++i) {
    lab.AddExecutor("e" + std::to_string(i), "pool", {32'000, 64'000, 0, 0});
  }
  lab.WriteTable({kQueue});
  lab.StartAll();
  if (!lab.WaitFor(kStartTime, [&] { return lab.Leader() >= 0; })) {
    return kCannotRun;
  }
  lab.RunFor(kSettleTime);
  LateSubmissions submissions(lab);
  for (int i = 0; i < kRounds && submissions.broken() == 0; ++i) {
    submissions.RunRound(trouble);
  }
  lab.Record("accepted: " + std::to_string(submissions.accepted()) +
             ", cancelled without having been accepted: " +
             std::to_string(submissions.cancelled()) +
             ", started all the same: " + std::to_string(submissions.broken()));
  if (submissions.accepted() == 0) {
    return kCannotRun;
  }
  return submissions.broken() > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace chivedale::review
