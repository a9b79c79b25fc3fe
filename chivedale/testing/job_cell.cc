#include "chivedale/testing/job_cell.h"

#include <algorithm>
#include <utility>

#include "chivedale/ports.h"

namespace chivedale::testing {
namespace {

constexpr Millis kLeaseTtl{2'000};
constexpr Millis kOrphanTtl{6'000};
constexpr Millis kAnswerResend{1'000};
constexpr Millis kOrphanTimeout{6'600};

}  // namespace

// In-memory store with compare-and-swap. The effect of a call and its answer
// are separate events; an answer may be lost, and the effect may come after
// that.
class JobCell::Store final : public StorePort {
 public:
  explicit Store(JobCell& cell) : cell_(cell) {}

  void Get(const std::string& key, Done done) override {
    Call(false, done, [this, key] {
      StoreResult result;
      auto it = data.find(key);
      result.status =
          it == data.end() ? StoreStatus::kNotFound : StoreStatus::kOk;
      if (it != data.end()) {
        result.entries.push_back(it->second);
        result.revision = it->second.revision;
      }
      return result;
    });
  }
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override {
    ++cell_.writes;
    Call(true, done, [this, key, value, expected] {
      StoreResult result;
      auto it = data.find(key);
      const uint64_t present = it == data.end() ? 0 : it->second.revision;
      result.status =
          present == expected ? StoreStatus::kOk : StoreStatus::kConflict;
      if (present == expected) {
        data[key] = {key, value, ++revision_};
      }
      result.revision = present == expected ? revision_ : present;
      return result;
    });
  }
  void Delete(const std::string& key, uint64_t expected, Done done) override {
    Call(true, done, [this, key, expected] {
      StoreResult result;
      auto it = data.find(key);
      result.status = it == data.end() ? StoreStatus::kNotFound
                      : it->second.revision == expected
                          ? StoreStatus::kOk
                          : StoreStatus::kConflict;
      if (result.status == StoreStatus::kOk) {
        data.erase(it);
      }
      return result;
    });
  }
  void List(const std::string& prefix, Done done) override {
    Call(false, done, [this, prefix] {
      StoreResult result;
      result.status = StoreStatus::kOk;
      for (const auto& [key, entry] : data) {
        if (key.rfind(prefix, 0) == 0) {
          result.entries.push_back(entry);
        }
      }
      return result;
    });
  }
  void Watch(const std::string&, uint64_t, Millis, Done) override {}

  // The member whose code is running; its callbacks are delayed while it is
  // paused.
  MemberId caller;
  std::map<std::string, StoreEntry> data;

 private:
  void Call(bool write,
            const Done& done,
            const std::function<StoreResult()>& effect) {
    const MemberId to = caller;
    const auto answer = [this, to, done](const StoreResult& result) {
      cell_.PostTo(to, cell_.Delay(), [done, result] { done(result); });
    };
    if (cell_.faults.store_down) {
      cell_.counts_.Add("store_calls_while_down");
      answer({});
      return;
    }
    if (Chance(cell_.random_, cell_.faults.lost_write_percent)) {
      cell_.counts_.Add(write ? "lost_write_answers" : "lost_read_answers");
      const bool late = Chance(cell_.random_, 30);
      if (Chance(cell_.random_, 60)) {
        cell_.counts_.Add("effects_without_answer", write ? 1 : 0);
        cell_.Post(Millis(late ? 200 : 1), [effect] { effect(); });
      }
      cell_.Post(Millis(50), [answer] { answer({}); });
      return;
    }
    cell_.Post(cell_.Delay(), [effect, answer] { answer(effect()); });
  }

  JobCell& cell_;
  uint64_t revision_ = 0;
};

struct JobCell::Member {
  MemberInfo info;
  util::TimePoint paused_until{};
  bool was_paused = false;
  // Tasks that the member owned at the start of a pause longer than the orphan
  // wait. It reports them as lost when it resumes, whichever member owns them
  // by then.
  std::vector<std::pair<TaskKey, MemberId>> presumed_ended;
  std::vector<std::function<void()>> inbox;  // while paused
  std::set<MemberId> view;
  std::map<MemberId, util::TimePoint> missing_since;
  std::unique_ptr<JobListener> listener;
  std::unique_ptr<JobManager> jobs;
  // Entry role: waiting and sent dispatches.
  std::vector<std::pair<util::TimePoint, Dispatch>> queue;
  struct Sent {
    Dispatch dispatch;
    MemberId owner;
    util::TimePoint lost{};
    bool awaiting_reply = true;  // no reply yet
  };
  std::map<TaskKey, Sent> sent;
  // Owner role.
  std::map<JobId, uint64_t> epochs;
};

class JobCell::Listener final : public JobListener {
 public:
  Listener(JobCell& cell, Member& member) : cell_(cell), member_(member) {}

  void Enqueue(const Dispatch& dispatch, util::TimePoint not_before) override {
    member_.queue.emplace_back(not_before, dispatch);
  }
  void CancelAttempt(const TaskKey& key, const MemberId& owner) override {
    if (Take(key)) {
      DispatchReply reply;
      reply.key = key;
      reply.outcome = DispatchOutcome::kRefused;
      cell_.PostTo(member_.info.id, Millis(0), [this, reply] {
        member_.jobs->OnDispatchReply(member_.info.id, reply);
      });
      return;
    }
    auto sent = member_.sent.find(key);
    const MemberId to = !owner.empty()               ? owner
                        : sent != member_.sent.end() ? sent->second.owner
                                                     : MemberId();
    if (!to.empty()) {
      cell_.Send(member_.info.id, to, chivedale::Cancel{key, false});
    }
  }
  void SendToMember(const MemberId& to, const Message& message) override {
    cell_.Send(member_.info.id, to, message);
  }
  const WorkRow* FindRow(const std::string& kind) const override {
    return cell_.table_.FindRow(kind);
  }
  void RemoveFromQueue(const TaskKey& key) override { Take(key); }
  std::vector<Summary> Summaries() const override { return cell_.Summaries(); }

 private:
  bool Take(const TaskKey& key) {
    auto& queue = member_.queue;
    auto it = std::find_if(queue.begin(), queue.end(), [&](const auto& item) {
      return item.second.key == key;
    });
    if (it == queue.end()) {
      return false;
    }
    queue.erase(it);
    return true;
  }

  JobCell& cell_;
  Member& member_;
};

int64_t JobCell::Worker::Free() const {
  int64_t free = slots - static_cast<int64_t>(running.size());
  for (const auto& [id, hold] : holds) {
    free -= hold.first;
  }
  return down ? 0 : free;
}

JobCell::JobCell(util::Random& random, EventCounts& counts)
    : random_(random),
      counts_(counts),
      store_(std::make_unique<Store>(*this)) {}
JobCell::~JobCell() = default;

void JobCell::AddWorkers(int count, int per_rack) {
  for (int i = 0; i < count; ++i) {
    Worker worker;
    worker.id = WorkerId("w" + std::to_string(i));
    worker.rack = "rack" + std::to_string(i / per_rack);
    worker.data_centre = "dc" + std::to_string((i / per_rack) % 2);
    workers[worker.id] = worker;
  }
}

MemberId JobCell::StartMember(const std::string& name) {
  auto member = std::make_unique<Member>();
  member->info.id = MemberId(name + "/" + std::to_string(++member_count_));
  member->info.state = MemberState::kLive;
  member->info.data_centre =
      DataCentreId("dc" + std::to_string(member_count_ % 2));
  member->listener = std::make_unique<Listener>(*this, *member);
  member->jobs =
      std::make_unique<JobManager>(clock, random_, *store_, *member->listener,
                                   member->info.id, JobManager::Options());
  MemberId id = member->info.id;
  members_[id] = std::move(member);
  return id;
}

void JobCell::Crash(const MemberId& id) {
  counts_.Add("member_crashes");
  members_.erase(id);
}

void JobCell::Pause(const MemberId& id, Millis time) {
  counts_.Add("member_pauses");
  members_[id]->paused_until = clock.Now() + time;
  members_[id]->was_paused = true;
  if (time < kOrphanTimeout) {
    return;
  }
  for (const auto& [worker_id, worker] : workers) {
    if (worker.owner != id) {
      continue;
    }
    for (const auto& [key, running] : worker.running) {
      members_[id]->presumed_ended.emplace_back(key, running.entry);
    }
  }
}

void JobCell::FailRack(const std::string& rack) {
  counts_.Add("rack_failures");
  for (auto& [id, worker] : workers) {
    if (worker.rack == rack) {
      worker.down = true;
      worker.running.clear();
      worker.completions.clear();
      ++worker.boot;
    }
  }
}

void JobCell::Post(Millis delay, std::function<void()> run) {
  events_.emplace(clock.Now() + delay, std::move(run));
}

void JobCell::PostTo(const MemberId& to,
                     Millis delay,
                     std::function<void()> run) {
  Post(delay, [this, to, run = std::move(run)] {
    auto it = members_.find(to);
    if (it == members_.end()) {
      return;
    }
    if (clock.Now() < it->second->paused_until || it->second->was_paused) {
      it->second->inbox.push_back(run);
      return;
    }
    store_->caller = to;
    run();
  });
}

void JobCell::Send(const MemberId& from,
                   const MemberId& to,
                   const Message& message) {
  // The entry resends dispatches and replies until they are answered, so these
  // are not lost here.
  const bool repeated = std::holds_alternative<Dispatch>(message) ||
                        std::holds_alternative<DispatchReply>(message);
  if (!repeated && Chance(random_, faults.lost_percent)) {
    counts_.Add("lost_messages");
    return;
  }
  PostTo(to, Delay(),
         [this, from, to, message] { Receive(*members_[to], from, message); });
}

void JobCell::Receive(Member& member,
                      const MemberId& from,
                      const Message& message) {
  JobManager& jobs = *member.jobs;
  if (const auto* dispatch = std::get_if<Dispatch>(&message)) {
    OnDispatch(member, *dispatch);
  } else if (const auto* reply = std::get_if<DispatchReply>(&message)) {
    auto sent = member.sent.find(reply->key);
    if (reply->outcome == DispatchOutcome::kInsufficientCapacity &&
        sent != member.sent.end()) {
      member.queue.emplace_back(clock.Now() + Millis(20),
                                sent->second.dispatch);
      member.sent.erase(sent);
      return;
    }
    if (sent != member.sent.end()) {
      sent->second.awaiting_reply = reply->outcome == DispatchOutcome::kUnknown;
    }
    jobs.OnDispatchReply(from, *reply);
  } else if (const auto* answer = std::get_if<chivedale::Answer>(&message)) {
    member.sent.erase(answer->key);
    jobs.OnAnswer(from, *answer);
  } else if (const auto* ack = std::get_if<AnswerAck>(&message)) {
    for (auto& [id, worker] : workers) {
      if (worker.owner == member.info.id) {
        worker.completions.erase(ack->key);
      }
    }
  } else if (const auto* cancel = std::get_if<chivedale::Cancel>(&message)) {
    Cancel(member, cancel->key);
  } else if (const auto* taken = std::get_if<WorkerTaken>(&message)) {
    for (const TaskKey& key : taken->running) {
      member.sent.erase(key);
    }
    jobs.OnWorkerTaken(*taken);
  } else if (const auto* hold = std::get_if<Hold>(&message)) {
    OnHold(member, from, *hold);
  } else if (const auto* held = std::get_if<HoldReply>(&message)) {
    jobs.OnHoldReply(from, *held);
  } else if (const auto* release = std::get_if<HoldRelease>(&message)) {
    for (auto& [id, worker] : workers) {
      if (worker.owner == member.info.id) {
        worker.holds.erase(release->hold);
      }
    }
  } else if (const auto* query = std::get_if<JobQuery>(&message)) {
    OnQuery(member, from, *query);
  } else if (const auto* found = std::get_if<JobQueryReply>(&message)) {
    jobs.OnJobQueryReply(from, *found);
  } else if (const auto* changed = std::get_if<JobChanged>(&message)) {
    jobs.OnJobChanged(*changed);
  }
}

void JobCell::OnDispatch(Member& owner, const Dispatch& dispatch) {
  DispatchReply reply;
  reply.key = dispatch.key;
  const JobId job = ParseJobTaskId(dispatch.key.task)->job;
  if (dispatch.job_epoch < owner.epochs[job]) {
    counts_.Add("old_epoch_refused");
    reply.outcome = DispatchOutcome::kRefused;
    Send(owner.info.id, dispatch.entry, reply);
    return;
  }
  const std::set<std::string> avoid(dispatch.avoid.begin(),
                                    dispatch.avoid.end());
  Worker* best = nullptr;
  size_t best_avoided = 0;
  for (auto& [id, worker] : workers) {
    const bool held = dispatch.hold != 0 && dispatch.worker == id &&
                      worker.holds.count(dispatch.hold) > 0;
    const bool room = dispatch.hold != 0 ? held : worker.Free() > 0;
    if (worker.owner != owner.info.id || !room || worker.down ||
        dispatch.size.cpu_milli > worker.slots * 1000) {
      continue;
    }
    const size_t avoided = 4 * avoid.count(worker.data_centre) +
                           2 * avoid.count(worker.rack) + avoid.count(id.str());
    if (best == nullptr || avoided < best_avoided) {
      best = &worker;
      best_avoided = avoided;
    }
  }
  if (best == nullptr) {
    Send(owner.info.id, dispatch.entry, reply);
    return;
  }
  if (dispatch.hold != 0 && --best->holds[dispatch.hold].first == 0) {
    best->holds.erase(dispatch.hold);
  }
  reply.worker = best->id;
  reply.token = best->token;
  reply.boot_id = best->boot_id();
  reply.rack = best->rack;
  reply.data_centre = best->data_centre;
  reply.outcome = DispatchOutcome::kAccepted;
  if (!Chance(random_, faults.unknown_percent)) {
    Start(*best, dispatch);
    Send(owner.info.id, dispatch.entry, reply);
    return;
  }
  // The owner learns later whether the start reached the worker.
  counts_.Add("unknown_starts");
  const bool started = Chance(random_, 50);
  if (started) {
    Start(*best, dispatch);
  }
  reply.outcome = DispatchOutcome::kUnknown;
  Send(owner.info.id, dispatch.entry, reply);
  const MemberId id = owner.info.id;
  reply.outcome = DispatchOutcome::kAccepted;
  PostTo(id, Millis(700), [this, id, dispatch, reply, started] {
    if (started) {
      Send(id, dispatch.entry, reply);
      return;
    }
    chivedale::Answer answer;
    answer.key = dispatch.key;
    answer.ran = Ran::kNo;
    Send(id, dispatch.entry, answer);
  });
}

void JobCell::Start(Worker& worker, const Dispatch& dispatch) {
  for (const auto& [id, other] : workers) {
    for (const auto& [key, running] : other.running) {
      RC_ASSERT(key.task != dispatch.key.task);  // no task runs in two places
    }
  }
  const int64_t starts = ++starts_[dispatch.key.task];
  RC_ASSERT(dispatch.repeatable || starts == 1);
  counts_.Add("starts");
  const auto run =
      Millis(200 + static_cast<int64_t>(random_.UniformInt(
                       static_cast<uint64_t>(dispatch.expected_run.count()))));
  worker.running[dispatch.key] = {dispatch.entry, clock.Now() + run};
}

void JobCell::OnQuery(Member& owner,
                      const MemberId& from,
                      const JobQuery& query) {
  uint64_t& epoch = owner.epochs[query.job];
  if (query.epoch < epoch) {
    return;
  }
  epoch = query.epoch;
  JobQueryReply reply;
  reply.job = query.job;
  reply.epoch = query.epoch;
  reply.round = query.round;
  for (const JobAttempt& attempt : query.attempts) {
    bool present = false;
    for (auto& [id, worker] : workers) {
      if (worker.owner != owner.info.id) {
        continue;
      }
      auto running = worker.running.find(attempt.key);
      auto ended = worker.completions.find(attempt.key);
      if (running != worker.running.end()) {
        running->second.entry = query.manager;
      } else if (ended != worker.completions.end()) {
        ended->second.second = query.manager;
        worker.answer_sent.erase(attempt.key);
      } else {
        continue;
      }
      present = true;
      reply.present.push_back({attempt.key, id});
    }
    auto recorded = workers.find(attempt.worker);
    if (!present && recorded != workers.end() &&
        recorded->second.owner == owner.info.id) {
      reply.absent.push_back(attempt.key);
    }
  }
  Send(owner.info.id, from, reply);
}

void JobCell::OnHold(Member& owner, const MemberId& from, const Hold& hold) {
  HoldReply reply;
  reply.hold = hold.hold;
  reply.job = hold.job;
  for (auto& [id, worker] : workers) {
    if (worker.owner != owner.info.id) {
      continue;
    }
    auto& [count, expires] = worker.holds[hold.hold];
    while (static_cast<int64_t>(reply.workers.size()) + count < hold.count &&
           worker.Free() > 0) {
      ++count;
    }
    expires = clock.Now() + hold.ttl;
    reply.workers.insert(reply.workers.end(), static_cast<size_t>(count), id);
    if (count == 0) {
      worker.holds.erase(hold.hold);
    }
  }
  Send(owner.info.id, from, reply);
}

void JobCell::Cancel(Member& owner, const TaskKey& key) {
  for (auto& [id, worker] : workers) {
    if (worker.owner == owner.info.id && worker.running.count(key) > 0) {
      counts_.Add("cancelled_running");
      End(worker, key, false, ErrorKind::kCancelledRunning);
    }
  }
}

void JobCell::End(Worker& worker,
                  const TaskKey& key,
                  bool ok,
                  ErrorKind error) {
  chivedale::Answer answer;
  answer.key = key;
  answer.worker = worker.id;
  answer.ok = ok;
  answer.error = error;
  worker.completions[key] = {answer, worker.running[key].entry};
  worker.running.erase(key);
}

void JobCell::TickEntry(Member& member) {
  for (size_t n = member.queue.size(); n > 0; --n) {
    const auto [not_before, dispatch] = member.queue.front();
    member.queue.erase(member.queue.begin());
    std::vector<MemberId> owners;
    for (const auto& [id, worker] : workers) {
      if (worker.Free() > 0 && member.view.count(worker.owner) > 0) {
        owners.push_back(worker.owner);
      }
    }
    if (not_before > clock.Now() || owners.empty()) {
      member.queue.emplace_back(not_before, dispatch);
      continue;
    }
    const MemberId owner = owners[random_.UniformInt(owners.size())];
    member.sent[dispatch.key] = {dispatch, owner, {}, true};
    Send(member.info.id, owner, dispatch);
  }
  // As in Dispatcher: an attempt without a reply is reported lost some time
  // after the death of its owner.
  std::vector<chivedale::Answer> lost;
  for (auto it = member.sent.begin(); it != member.sent.end();) {
    Member::Sent& sent = it->second;
    const bool gone = member.view.count(sent.owner) == 0;
    if (sent.awaiting_reply && gone && sent.lost == util::TimePoint{}) {
      sent.lost = clock.Now();
    }
    if (!sent.awaiting_reply || (sent.lost != util::TimePoint{} &&
                                 clock.Now() - sent.lost >= kOrphanTimeout)) {
      if (sent.awaiting_reply) {
        counts_.Add("dispatches_lost_with_owner");
        chivedale::Answer answer;
        answer.key = it->first;
        answer.error = ErrorKind::kOutcomeUnknown;
        answer.ran = Ran::kUnknown;
        lost.push_back(answer);
      }
      it = member.sent.erase(it);
    } else {
      ++it;
    }
  }
  for (const chivedale::Answer& answer : lost) {
    member.jobs->OnAnswer(member.info.id, answer);
  }
}

void JobCell::Claim(Worker& worker) {
  std::vector<MemberId> candidates;
  for (const auto& [id, member] : members_) {
    if (clock.Now() >= member->paused_until) {
      candidates.push_back(id);
    }
  }
  if (candidates.empty() || worker.down) {
    return;
  }
  const bool first = worker.owner.empty() && worker.token == 1;
  worker.owner = candidates[random_.UniformInt(candidates.size())];
  worker.owner_seen = clock.Now();
  ++worker.token;
  worker.holds.clear();
  if (first) {
    return;
  }
  counts_.Add("workers_taken_over");
  WorkerTaken taken;
  taken.worker = worker.id;
  taken.owner = worker.owner;
  taken.token = worker.token;
  taken.boot_id = worker.boot_id();
  std::set<MemberId> entries;
  for (const auto& [key, running] : worker.running) {
    taken.running.push_back(key);
    entries.insert(running.entry);
  }
  for (const auto& [key, completion] : worker.completions) {
    taken.running.push_back(key);
    entries.insert(completion.second);
  }
  for (const auto& [id, member] : members_) {
    entries.insert(id);
  }
  for (const MemberId& entry : entries) {
    Send(worker.owner, entry, taken);
  }
}

void JobCell::TickWorkers() {
  for (auto& [id, worker] : workers) {
    auto owner = members_.find(worker.owner);
    const bool renewed = owner != members_.end() &&
                         clock.Now() >= owner->second->paused_until &&
                         !worker.down;
    if (renewed) {
      worker.owner_seen = clock.Now();
    }
    if (clock.Now() - worker.owner_seen >= kLeaseTtl) {
      worker.owner = MemberId();
      if (Chance(random_, 2)) {
        Claim(worker);
      }
    }
    if (clock.Now() - worker.owner_seen >= kOrphanTtl) {
      counts_.Add("orphans_stopped",
                  static_cast<int64_t>(worker.running.size()));
      worker.running.clear();
    }
    const auto running = worker.running;
    for (const auto& [key, run] : running) {
      if (run.ends <= clock.Now()) {
        const bool ok = !Chance(random_, faults.failing_percent);
        counts_.Add(ok ? "tasks_done" : "tasks_failed");
        End(worker, key, ok, ErrorKind::kTaskFailed);
      }
    }
    for (const auto& [key, completion] : worker.completions) {
      util::TimePoint& sent = worker.answer_sent[key];
      if (!worker.owner.empty() && clock.Now() - sent >= kAnswerResend) {
        sent = clock.Now();
        Send(worker.owner, completion.second, completion.first);
      }
    }
    for (auto it = worker.holds.begin(); it != worker.holds.end();) {
      it = it->second.second <= clock.Now() ? worker.holds.erase(it)
                                            : std::next(it);
    }
  }
}

// Members detect a death or pause after 1.5 to 2.5 s, and a new member after up
// to 0.5 s.
void JobCell::UpdateViews() {
  for (auto& [id, member] : members_) {
    if (clock.Now() < member->paused_until) {
      continue;
    }
    std::set<MemberId> view = member->view;
    for (const auto& [other_id, other] : members_) {
      const bool up = clock.Now() >= other->paused_until;
      if (up && (other_id == id || Chance(random_, 5))) {
        view.insert(other_id);
        member->missing_since.erase(other_id);
      }
    }
    for (const MemberId& seen : member->view) {
      auto other = members_.find(seen);
      const bool up =
          other != members_.end() && clock.Now() >= other->second->paused_until;
      if (up) {
        member->missing_since.erase(seen);
        continue;
      }
      const util::TimePoint since =
          member->missing_since.try_emplace(seen, clock.Now()).first->second;
      const auto missing = clock.Now() - since;
      if (missing > Millis(2'500) ||
          (missing > Millis(1'500) && Chance(random_, 2))) {
        view.erase(seen);
      }
    }
    if (view == member->view) {
      continue;
    }
    member->view = view;
    std::vector<MemberInfo> infos;
    for (const MemberId& seen : view) {
      MemberInfo info;
      info.id = seen;
      info.state = MemberState::kLive;
      info.data_centre = DataCentreId("dc0");
      infos.push_back(info);
    }
    store_->caller = id;
    member->jobs->SetMembers(infos);
  }
}

std::vector<Summary> JobCell::Summaries() const {
  std::map<MemberId, Summary> summaries;
  for (const auto& [id, member] : members_) {
    summaries[id].owner = id;
  }
  for (const auto& [id, worker] : workers) {
    auto it = summaries.find(worker.owner);
    if (it == summaries.end()) {
      continue;
    }
    RoomSummary& room = it->second.plain;
    const int64_t free = worker.Free();
    ++room.workers;
    room.capacity += {worker.slots * 1000, 100'000, 0, worker.slots};
    room.free += {free * 1000, 100'000, 0, free};
    room.largest = {std::max(room.largest.cpu_milli, free * 1000), 100'000, 0,
                    std::max(room.largest.slots, free)};
    room.largest_worker = {4000, 100'000, 0, 4};
  }
  std::vector<Summary> list;
  list.reserve(summaries.size());
  for (const auto& [id, summary] : summaries) {
    list.push_back(summary);
  }
  return list;
}

void JobCell::Run(Millis time) {
  const util::TimePoint end = clock.Now() + time;
  while (clock.Now() < end) {
    clock.Advance(Millis(10));
    while (!events_.empty() && events_.begin()->first <= clock.Now()) {
      const auto run = std::move(events_.begin()->second);
      events_.erase(events_.begin());
      run();
    }
    TickWorkers();
    UpdateViews();
    for (const MemberId& id : live()) {
      Member& member = *members_[id];
      if (clock.Now() < member.paused_until) {
        continue;
      }
      store_->caller = id;
      member.was_paused = false;
      for (const auto& run : std::exchange(member.inbox, {})) {
        run();
      }
      for (const auto& [key, entry] :
           std::exchange(member.presumed_ended, {})) {
        counts_.Add("reported_lost_by_a_paused_owner");
        chivedale::Answer answer;
        answer.key = key;
        answer.error = ErrorKind::kOutcomeUnknown;
        answer.ran = Ran::kUnknown;
        Send(id, entry, answer);
      }
      TickEntry(member);
      if (Chance(random_, 20)) {
        member.jobs->Tick();
      }
    }
  }
}

bool JobCell::RunUntil(const std::function<bool()>& done, Millis limit) {
  const util::TimePoint end = clock.Now() + limit;
  while (!done()) {
    if (clock.Now() >= end) {
      return false;
    }
    Run(Millis(100));
  }
  return true;
}

JobManager& JobCell::manager(const MemberId& id) {
  store_->caller = id;
  return *members_.at(id)->jobs;
}

std::vector<MemberId> JobCell::live() const {
  std::vector<MemberId> ids;
  ids.reserve(members_.size());
  for (const auto& [id, member] : members_) {
    ids.push_back(id);
  }
  return ids;
}

std::optional<JobRecord> JobCell::Stored(const JobId& id) const {
  auto it = store_->data.find(JobKey(id));
  return it == store_->data.end()
             ? std::nullopt
             : std::make_optional(ParseJobRecord(it->second.value));
}

int64_t JobCell::StartsOf(const TaskId& task) const {
  auto it = starts_.find(task);
  return it == starts_.end() ? 0 : it->second;
}

int64_t JobCell::RunningOf(const JobId& id) const {
  int64_t running = 0;
  for (const auto& [worker_id, worker] : workers) {
    for (const auto& [key, run] : worker.running) {
      running += ParseJobTaskId(key.task)->job == id ? 1 : 0;
    }
  }
  return running;
}

}  // namespace chivedale::testing
