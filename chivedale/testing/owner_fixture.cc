// The entry follows the rules of Dispatcher, reimplemented without queue and
// limits.
#include "chivedale/testing/owner_fixture.h"

#include <algorithm>
#include <sstream>

namespace chivedale::testing {
namespace {

constexpr Millis kStep{20};
// Time from a member's death until the others know of it.
constexpr Millis kDetectionTime{2'000};
constexpr Millis kResend{1'000};
constexpr Millis kRetryPause{100};
// Owner lease plus orphan TTL, plus a tenth for clock drift.
constexpr Millis kOrphanTimeout{8'800};
constexpr uint64_t kLongestDelayMs = 4;

}  // namespace

void NodePort::Resume() {
  paused_ = false;
  for (auto& run : std::exchange(waiting_, {})) {
    run();
  }
}

template <typename Result>
std::function<void(Result)> NodePort::DelayWhilePaused(
    std::function<void(Result)> done) {
  return [this, done](Result result) {
    if (paused_) {
      waiting_.push_back([done, result] { done(result); });
    } else {
      done(result);
    }
  };
}

void NodePort::Lease(const WorkerId& worker,
                     const MemberId& owner,
                     const LeaseToken& token,
                     Millis ttl,
                     std::function<void(LeaseResult)> done) {
  workers_.Lease(worker, owner, token, ttl, DelayWhilePaused(std::move(done)));
}

void NodePort::Release(const WorkerId& worker,
                       const MemberId& owner,
                       const LeaseToken& token,
                       std::function<void(WorkerCallStatus)> done) {
  workers_.Release(worker, owner, token, DelayWhilePaused(std::move(done)));
}

void NodePort::List(const WorkerId& worker,
                    std::function<void(TaskList)> done) {
  workers_.List(worker, DelayWhilePaused(std::move(done)));
}

void NodePort::Start(const WorkerId& worker,
                     const StartRequest& request,
                     std::function<void(StartOutcome)> done) {
  const Millis hold = std::exchange(start_pause_, Millis(0));
  if (hold > Millis(0)) {
    queue_.Post(std::exchange(pause_, nullptr));
  }
  queue_.Post(
      [this, worker, request, gated = DelayWhilePaused(std::move(done))] {
        workers_.Start(worker, request, gated);
      },
      hold);
}

void NodePort::Completions(const WorkerId& worker,
                           const CompletionsRequest& request,
                           std::function<void(CompletionsResult)> done) {
  workers_.Completions(worker, request, DelayWhilePaused(std::move(done)));
}

void NodePort::Control(const WorkerId& worker,
                       const LeaseToken& token,
                       const TaskKey& key,
                       TaskControl control,
                       std::function<void(WorkerCallStatus)> done) {
  workers_.Control(worker, token, key, control,
                   DelayWhilePaused(std::move(done)));
}

struct OwnerFixture::Node final : OwnerListener {
  Node(OwnerFixture& w, MemberInfo member, uint64_t seed)
      : fixture(w),
        info(std::move(member)),
        random(seed),
        port(w.queue_, w.workers_),
        agent(std::make_unique<OwnerAgent>(w.clock_,
                                           random,
                                           port,
                                           *this,
                                           info,
                                           w.options_.agent)) {}

  void SendToMember(const MemberId& to, const Message& message) override {
    fixture.Deliver(info.id, to, message);
  }
  void OnCapacityFreed() override {}
  void OnRunTime(const std::string&, Millis) override {}
  void SendToHolder(const Register& registration) override {
    fixture.other_messages_.emplace_back(info.id, registration);
  }

  OwnerFixture& fixture;
  MemberInfo info;
  util::Random random;
  NodePort port;
  std::unique_ptr<OwnerAgent> agent;
  bool paused = false;
  std::vector<Message> inbox;  // while paused
};

WorkerId OwnerFixture::WorkerIdOf(size_t i) {
  return WorkerId("w-" + std::to_string(i));
}

OwnerFixture::OwnerFixture(Options options)
    : options_(options),
      queue_(clock_, options.seed),
      workers_(queue_),
      random_(options.seed + 1) {
  workers_.set_delay(Millis(1));
  for (int i = 0; i < options.workers; ++i) {
    WorkerOptions worker;
    worker.id = WorkerIdOf(static_cast<size_t>(i));
    worker.capacity = options.capacity;
    worker.fencing = options.fencing;
    workers_.Add(worker);
  }
  for (int i = 0; i < options.nodes; ++i) {
    AddNode();
  }
}

OwnerFixture::~OwnerFixture() = default;

void OwnerFixture::AddNode() {
  MemberInfo info;
  info.id = MemberId("n" + std::to_string(nodes_.size()) + "/1");
  info.region = RegionId("r");
  info.state = MemberState::kLive;
  nodes_.push_back(std::make_unique<Node>(*this, info, random_.Next()));
  std::vector<Vm> vms;
  for (int i = 0; i < options_.workers; ++i) {
    Vm vm;
    vm.id = WorkerIdOf(static_cast<size_t>(i)).str();
    vm.region = RegionId("r");
    vm.data_centre = DataCentreId("dc-" + std::to_string(i % 2));
    vm.rack = "rack-" + std::to_string(i);
    vms.push_back(vm);
  }
  nodes_.back()->agent->SetVms(vms);
  NotifyMembers();
}

OwnerAgent& OwnerFixture::agent(size_t node) {
  return *nodes_.at(node)->agent;
}

NodePort& OwnerFixture::port(size_t node) {
  return nodes_.at(node)->port;
}

MemberId OwnerFixture::node_id(size_t node) const {
  return nodes_.at(node)->info.id;
}

bool OwnerFixture::alive(size_t node) const {
  return nodes_.at(node)->agent != nullptr;
}

void OwnerFixture::NotifyMembers() {
  std::vector<MemberInfo> members;
  for (const auto& node : nodes_) {
    if (dead_.count(node->info.id) == 0) {
      members.push_back(node->info);
    }
  }
  MemberInfo entry;
  entry.id = entry_id();
  entry.state = MemberState::kStarting;
  members.push_back(entry);
  for (const auto& node : nodes_) {
    if (node->agent != nullptr && !node->paused) {
      node->agent->SetMembers(members);
    }
  }
}

void OwnerFixture::MarkDead(const MemberId& member) {
  dead_.insert(member);
  NotifyMembers();
  for (auto& [id, task] : tasks_) {
    if (task.owner == member && task.owner_lost == util::TimePoint()) {
      task.owner_lost = clock_.Now();
    }
  }
}

void OwnerFixture::CrashNode(size_t node) {
  nodes_.at(node)->agent.reset();
  queue_.Post([this, id = node_id(node)] { MarkDead(id); }, kDetectionTime);
}

void OwnerFixture::PauseNode(size_t node, Millis time) {
  Node& paused = *nodes_.at(node);
  paused.paused = true;
  paused.port.Pause();
  if (time > kDetectionTime) {
    queue_.Post([this, node] { MarkDead(node_id(node)); }, kDetectionTime);
  }
  queue_.Post(
      [this, node] {
        Node& resumed = *nodes_.at(node);
        resumed.paused = false;
        resumed.port.Resume();
        dead_.erase(resumed.info.id);
        for (const Message& message : std::exchange(resumed.inbox, {})) {
          ToNode(resumed.info.id, message);
        }
        NotifyMembers();
      },
      time);
}

void OwnerFixture::DrainNode(size_t node) {
  nodes_.at(node)->info.state = MemberState::kDraining;
  agent(node).Drain();
  NotifyMembers();
}

void OwnerFixture::LoseMessages(Millis time) {
  lossy_until_ = clock_.Now() + time;
}

void OwnerFixture::DuplicateMessages(Millis time) {
  duplicating_until_ = clock_.Now() + time;
}

void OwnerFixture::Reboot(size_t i) {
  worker(i).Reboot();
  rebooted_.insert(WorkerIdOf(i));
}

TaskId OwnerFixture::AddTask(Dispatch dispatch, const std::string& script) {
  TaskId id("r/" + std::to_string(next_task_++));
  dispatch.key = {id, 0};
  dispatch.entry = entry_id();
  dispatch.payload = std::make_shared<const std::string>(script);
  tasks_[id].dispatch = std::move(dispatch);
  return id;
}

void OwnerFixture::Run(Millis time) {
  for (Millis done{0}; done < time && first_violation_.empty(); done += kStep) {
    Step(kStep);
  }
}

void OwnerFixture::Step(Millis step) {
  queue_.Advance(step);
  for (size_t i = 0; i < nodes_.size(); ++i) {
    if (nodes_[i]->agent != nullptr && !nodes_[i]->paused) {
      nodes_[i]->agent->Tick();
    }
  }
  TickEntry();
  Check();
}

void OwnerFixture::Send(size_t node, const Message& message) {
  ToNode(node_id(node), message);
}

void OwnerFixture::Deliver(const MemberId& from,
                           const MemberId& to,
                           const Message& message) {
  if (clock_.Now() < lossy_until_) {
    ++faults_["message lost"];
    return;
  }
  const int copies = clock_.Now() < duplicating_until_ ? 2 : 1;
  faults_["message duplicated"] += copies - 1;
  for (int i = 0; i < copies; ++i) {
    const Millis delay(random_.UniformInt(kLongestDelayMs + 1));
    queue_.Post(
        [this, from, to, message] {
          const bool is_node = std::any_of(
              nodes_.begin(), nodes_.end(),
              [&](const auto& node) { return node->info.id == to; });
          if (to == entry_id()) {
            ToEntry(from, message);
          } else if (is_node) {
            ToNode(to, message);
          } else {
            other_messages_.emplace_back(to, message);
          }
        },
        delay);
  }
}

void OwnerFixture::ToNode(const MemberId& to, const Message& message) {
  for (auto& node : nodes_) {
    if (node->info.id != to || node->agent == nullptr) {
      continue;
    }
    if (node->paused) {
      node->inbox.push_back(message);
    } else if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
      node->agent->OnDispatch(*dispatch);
    } else if (const auto* ack = std::get_if<AnswerAck>(&message)) {
      node->agent->OnAnswerAck(*ack);
    } else if (const auto* handover = std::get_if<Handover>(&message)) {
      node->agent->OnHandover(*handover);
    } else if (const auto* taken = std::get_if<WorkerTaken>(&message)) {
      node->agent->OnWorkerTakenOver(*taken);
    } else if (const auto* cancel = std::get_if<Cancel>(&message)) {
      node->agent->OnCancel(*cancel);
    } else {
      other_messages_.emplace_back(to, message);
    }
  }
}

void OwnerFixture::ToEntry(const MemberId& from, const Message& message) {
  if (const auto* reply = std::get_if<DispatchReply>(&message)) {
    OnReply(from, *reply);
  } else if (const auto* answer = std::get_if<Answer>(&message)) {
    OnAnswer(from, *answer);
  } else if (const auto* taken = std::get_if<WorkerTaken>(&message)) {
    OnTaken(*taken);
  } else {
    other_messages_.emplace_back(entry_id(), message);
  }
}

OwnerFixture::TaskState* OwnerFixture::FindSent(const TaskKey& key) {
  auto it = tasks_.find(key.task);
  if (it == tasks_.end() || it->second.dispatch.key != key ||
      (it->second.phase != TaskState::Phase::kSent &&
       it->second.phase != TaskState::Phase::kRunning)) {
    return nullptr;
  }
  return &it->second;
}

void OwnerFixture::OnReply(const MemberId& from, const DispatchReply& reply) {
  TaskState* task = FindSent(reply.key);
  if (task == nullptr || task->owner != from ||
      task->dispatch.sequence != reply.sequence ||
      task->phase != TaskState::Phase::kSent) {
    return;
  }
  switch (reply.outcome) {
    case DispatchOutcome::kAccepted:
      task->phase = TaskState::Phase::kRunning;
      [[fallthrough]];
    case DispatchOutcome::kUnknown:
      task->worker = reply.worker;
      task->token = reply.token;
      task->boot_id = reply.boot_id;
      task->sent = clock_.Now();
      return;
    case DispatchOutcome::kInsufficientCapacity:
    case DispatchOutcome::kRefused:
      not_run_.insert(reply.key);
      task->phase = TaskState::Phase::kIdle;
      task->not_before = clock_.Now() + kRetryPause;
      return;
  }
}

void OwnerFixture::OnAnswer(const MemberId& from, const Answer& answer) {
  if (answer.error != ErrorKind::kOutcomeUnknown || answer.ok) {
    answered_.insert(answer.key);
  }
  if (TaskState* task = FindSent(answer.key)) {
    task->answer = answer;
    if (!answer.ok && answer.ran == Ran::kNo) {
      not_run_.insert(answer.key);
      task->phase = TaskState::Phase::kIdle;
    } else if (answer.ok || answer.error == ErrorKind::kTaskFailed ||
               answer.error == ErrorKind::kCancelledRunning ||
               answer.error == ErrorKind::kTimedOut) {
      task->phase = TaskState::Phase::kDone;
    } else {
      EndLost(*task);
    }
  }
  ToNode(from, AnswerAck{answer.key});
}

void OwnerFixture::EndLost(TaskState& task) {
  task.phase = task.dispatch.repeatable ? TaskState::Phase::kIdle
                                        : TaskState::Phase::kGivenUp;
}

void OwnerFixture::OnTaken(const WorkerTaken& taken) {
  for (const TaskKey& key : taken.running) {
    if (TaskState* task = FindSent(key)) {
      task->phase = TaskState::Phase::kRunning;
      task->owner = taken.owner;
      task->worker = taken.worker;
      task->token = taken.token;
      task->boot_id = taken.boot_id;
      task->owner_lost = util::TimePoint();
    }
  }
  for (auto& [id, task] : tasks_) {
    if (FindSent(task.dispatch.key) == nullptr || task.worker != taken.worker ||
        task.owner == taken.owner) {
      continue;
    }
    if (task.boot_id != taken.boot_id) {
      if (task.owner_lost == util::TimePoint()) {
        task.owner_lost = clock_.Now();
      }
    } else if (task.token < taken.token) {
      EndLost(task);
    }
  }
}

void OwnerFixture::TickEntry() {
  const util::TimePoint now = clock_.Now();
  for (auto& [id, task] : tasks_) {
    if (task.phase == TaskState::Phase::kIdle) {
      if (now < task.not_before) {
        continue;
      }
      const auto& node = nodes_[random_.UniformInt(nodes_.size())];
      if (dead_.count(node->info.id) != 0 || node->agent == nullptr) {
        continue;
      }
      ++task.dispatch.key.attempt;
      task.dispatch.sequence = ++sequence_;
      task.phase = TaskState::Phase::kSent;
      task.owner = node->info.id;
      task.worker = WorkerId();
      task.owner_lost = util::TimePoint();
      task.sent = now;
      Deliver(entry_id(), task.owner, task.dispatch);
    } else if (FindSent(task.dispatch.key) == nullptr) {
      continue;
    } else if (task.owner_lost != util::TimePoint()) {
      if (now - task.owner_lost >= kOrphanTimeout) {
        EndLost(task);
      }
    } else if (dead_.count(task.owner) != 0) {
      task.owner_lost = now;
    } else if (task.phase == TaskState::Phase::kSent &&
               now - task.sent >= kResend) {
      task.sent = now;
      Deliver(entry_id(), task.owner, task.dispatch);
    }
  }
}

void OwnerFixture::ReportViolation(const std::string& what) {
  if (first_violation_.empty()) {
    first_violation_ = what;
  }
}

void OwnerFixture::Check() {
  const Violations& violations = workers_.task_runs().violations();
  if (violations.total() != 0) {
    ReportViolation(violations.details.front());
  }
  for (const auto& [task, runs] : workers_.task_runs().runs()) {
    for (const TaskRun& run : runs) {
      const TaskKey key{TaskId(task), run.attempt};
      if (not_run_.count(key) != 0) {
        std::ostringstream text;
        text << key << " ran, and was reported as not run";
        ReportViolation(text.str());
      }
    }
  }
}

std::string OwnerFixture::Unfinished() const {
  std::ostringstream text;
  for (const auto& [id, task] : tasks_) {
    if (task.phase != TaskState::Phase::kDone &&
        task.phase != TaskState::Phase::kGivenUp) {
      text << task.dispatch.key << " is not done, owner " << task.owner
           << " worker " << task.worker << "; ";
    }
  }
  for (const auto& [id, runs] : workers_.task_runs().runs()) {
    for (const TaskRun& run : runs) {
      if (run.ended && run.outcome == "ok" &&
          rebooted_.count(run.worker) == 0 &&
          answered_.count({TaskId(id), run.attempt}) == 0) {
        text << id << '#' << run.attempt << " ended on " << run.worker
             << " and was not answered; ";
      }
    }
  }
  return text.str();
}

int64_t OwnerFixture::owned() const {
  int64_t owned = 0;
  for (const auto& node : nodes_) {
    owned += node->agent == nullptr ? 0 : node->agent->owned_workers();
  }
  return owned;
}

}  // namespace chivedale::testing
