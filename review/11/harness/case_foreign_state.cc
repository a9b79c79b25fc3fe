// A member that is started again numbers its calls to the leader from 1 again.
// Answers to the calls of its earlier process, which the leader gives once it
// is awake again, are taken for answers to the calls of the new one.
#include <csignal>
#include <vector>

#include "review/11/harness/cases.h"

namespace chivedale::review {
namespace {

using nlohmann::json;

constexpr int kJobs = 30;  // of each of the two kinds
constexpr Millis kShortTask{100};
constexpr Millis kLongTask{100'000};
constexpr Millis kStartTime{10'000};
constexpr Millis kCallLimit{3'000};
constexpr Millis kReadyTime{300};
// Until the clients whose channels broke ask again.
constexpr Millis kReturnTime{100};
constexpr Millis kAskedBeforeWake{120};
constexpr char kQueue[] = "tally";

struct Client {
  std::string job;
  bool is_long = false;
  std::string state;  // as last answered
};

// All clients ask for the state of their job, in random order.
void AskAll(Lab& lab,
            int daemon,
            std::vector<Client>& clients,
            int& foreign,
            int& answers) {
  for (size_t i = clients.size() - 1; i > 0; --i) {
    std::swap(clients[i], clients[lab.random().UniformInt(i + 1)]);
  }
  for (Client& client : clients) {
    lab.Call(daemon, "GET", std::string("/") + kQueue + "/" + client.job, "",
             kCallLimit,
             [&lab, &foreign, &answers, job = client.job,
              is_long = client.is_long](int status, const json& answer) {
               if (status == 0) {
                 return;
               }
               ++answers;
               if (is_long && answer.is_object() &&
                   answer.value("state", "") == "completed") {
                 ++foreign;
                 lab.Record("BROKEN: job " + job +
                            " is shown as completed, its task runs: " +
                            std::to_string(lab.executors().RunsAnyOf(job)));
               }
             });
  }
}

int FirstFollower(const Lab& lab) {
  for (int i = 0; i < lab.daemons(); ++i) {
    if (i != lab.Leader()) {
      return i;
    }
  }
  return -1;
}

bool WaitUntilReady(Lab& lab, int daemon) {
  bool ready = false;
  bool asked = false;
  return lab.WaitFor(kReadyTime, [&] {
    if (!asked) {
      asked = true;
      lab.AskReady(daemon, [&](bool is_ready) {
        ready = is_ready;
        asked = false;
      });
    }
    return ready;
  });
}

}  // namespace

int RunForeignState(Lab& lab, bool trouble) {
  lab.executors().run_time = [](const cell::TaskName&,
                                const cell::StepSpec& spec) {
    return cell::Duration(spec.estimate);
  };
  for (int i = 0; i < 4; ++i) {
    lab.AddExecutor("e" + std::to_string(i), "pool", {32'000, 64'000, 0, 0});
  }
  lab.WriteTable({kQueue});
  lab.StartAll();
  if (!lab.WaitFor(kStartTime, [&] { return lab.Leader() >= 0; })) {
    return kCannotRun;
  }
  lab.RunFor(Millis(2'000));
  const int leader = lab.Leader();
  const int follower = FirstFollower(lab);
  std::vector<Client> clients;
  int accepted = 0;
  for (int i = 0; i < 2 * kJobs; ++i) {
    const bool is_long = i % 2 == 1;
    Client client{JobId(0x1000 + static_cast<uint64_t>(i)), is_long, ""};
    lab.Submit(leader, kQueue, client.job,
               OneStep(1, is_long ? kLongTask : kShortTask),
               [&](int status) { accepted += status == 200 ? 1 : 0; });
    clients.push_back(client);
  }
  if (!lab.WaitFor(kStartTime, [&] { return accepted == 2 * kJobs; })) {
    return kCannotRun;
  }
  // The short jobs end, the long ones go on for the whole case.
  lab.RunFor(Millis(2'000));
  int foreign = 0;
  int answers = 0;
  if (!trouble) {
    AskAll(lab, follower, clients, foreign, answers);
    lab.RunFor(Millis(100));
    AskAll(lab, follower, clients, foreign, answers);
    lab.RunFor(kCallLimit);
    if (answers < 2 * kJobs) {
      return kCannotRun;
    }
    return foreign > 0 ? kRuleBroken : kRuleHeld;
  }
  lab.Signal(leader, SIGSTOP);
  AskAll(lab, follower, clients, foreign, answers);
  lab.RunFor(Millis(100));
  lab.Kill(follower);
  lab.Start(follower);
  if (!WaitUntilReady(lab, follower)) {
    lab.Signal(leader, SIGCONT);
    return kCannotRun;
  }
  lab.RunFor(kReturnTime);
  // Their channels have broken, so the clients ask again.
  AskAll(lab, follower, clients, foreign, answers);
  lab.RunFor(kAskedBeforeWake);
  lab.Signal(leader, SIGCONT);
  lab.RunFor(kCallLimit);
  if (answers < kJobs) {
    return kCannotRun;
  }
  return foreign > 0 ? kRuleBroken : kRuleHeld;
}

}  // namespace chivedale::review
