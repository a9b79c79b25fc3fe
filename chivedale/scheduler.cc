// Messages to this member itself go through a local queue rather than a direct
// call, so that a role is never re-entered in the middle of an event. The queue
// is drained at the end of each event.
#include "chivedale/scheduler.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "chivedale/scheduler_parts.h"

namespace chivedale {
namespace {

constexpr Millis kSummaryInterval{200};
constexpr Millis kRemoteSummaryInterval{2'000};
// Coalesces the summaries that are sent when an owner has room again.
constexpr Millis kRoomSummaryDelay{5};
constexpr Millis kSlowTickInterval{20};
constexpr Millis kVmListWait{10'000};
constexpr Millis kVmListRetry{1'000};

}  // namespace

Scheduler::Scheduler(Deps deps, const Settings& settings, MemberId self)
    : deps_(deps), settings_(settings), self_([&] {
        MemberInfo info;
        info.id = std::move(self);
        info.address = settings.peer_address;
        info.data_centre = DataCentreId(settings.data_centre);
        info.region = RegionId(settings.region);
        return info;
      }()) {
  parts_ = std::make_unique<Parts>(*this);
}

Scheduler::~Scheduler() = default;

void Scheduler::Start() {
  for (const std::string& seed : settings_.seeds) {
    if (seed != settings_.peer_address) {
      parts_->membership.AddSeed(seed);
    }
  }
  RefreshMembers();
  FetchVms();
  deps_.log.Write(Event::kStarted, {{"member", self_.id.str()},
                                    {"data_centre", settings_.data_centre},
                                    {"region", settings_.region},
                                    {"peer", settings_.peer_address}});
  Flush();
}

void Scheduler::Tick() {
  Parts& parts = *parts_;
  const util::TimePoint now = deps_.clock.Now();
  parts.records.Tick();
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickInterval;
    parts.membership.Tick();
    parts.replica.Tick();
    parts.directory.Tick();
    parts.registrar.Tick();
    parts.owner.Tick();
    parts.dispatcher.Tick();
    parts.entry.Tick();
    parts.jobs.Tick();
    parts.vm_list.Tick();
    ApplyVms();
    SetGauges();
  }
  SendSummaries();
  AdvanceDrain();
  Flush();
}

bool Scheduler::stopped() const {
  return parts_->lifecycle.state() == LifecycleState::kStopped;
}

void Scheduler::Submit(const CallerSubmission& submission,
                       ResultCallback accepted,
                       ResultCallback finished) {
  parts_->entry.Submit(submission, std::move(accepted), std::move(finished));
  Flush();
}

void Scheduler::Cancel(const RequestId& id, ResultCallback done) {
  parts_->entry.Cancel(id, std::move(done));
  Flush();
}

void Scheduler::SubmitJob(const JobSpec& spec, JobCallback done) {
  parts_->jobs.Submit(spec, std::move(done));
  Flush();
}

void Scheduler::CancelJob(const JobId& id, JobCallback done) {
  parts_->jobs.Cancel(id, std::move(done));
  Flush();
}

void Scheduler::SetJobCount(const JobId& id, int64_t count, JobCallback done) {
  parts_->jobs.SetCount(id, count, std::move(done));
  Flush();
}

void Scheduler::EditTable(const TableEdit& edit,
                          std::function<void(EditResult)> done) {
  parts_->editor.Apply(edit, [this, edit,
                              done = std::move(done)](EditResult result) {
    if (result.table) {
      parts_->replica.ApplyIfNewer(*result.table);
    }
    deps_.log.Write(
        result.ok ? Event::kTableEdited : Event::kTableConflict,
        {{"author", edit.author},
         {"change", edit.change_id},
         {"base", std::to_string(edit.base_revision)},
         {"error",
          result.ok ? "" : std::string(InfoForErrorKind(result.error).name)}});
    done(std::move(result));
    Flush();
  });
  Flush();
}

void Scheduler::Drain() {
  parts_->lifecycle.OnDrain();
  Flush();
}

void Scheduler::FindRequest(
    const RequestId& id,
    std::function<void(std::optional<RequestView>)> done) {
  parts_->entry.FindRequest(id, done);
  Flush();
}

void Scheduler::FindJob(const JobId& id, JobCallback done) {
  parts_->jobs.Get(id, std::move(done));
  Flush();
}

void Scheduler::TableHistory(
    int limit,
    std::function<void(StoreStatus, std::vector<Table>)> done) {
  parts_->editor.History(limit, std::move(done));
}

const Table& Scheduler::CurrentTable() const {
  return parts_->replica.table();
}

StatusReport Scheduler::Status() const {
  const Parts& parts = *parts_;
  StatusReport report;
  report.self = parts.membership.self();
  report.lifecycle = parts.lifecycle.name();
  report.ready = Ready();
  if (!report.ready) {
    report.not_ready_reason = parts.replica.ready()
                                  ? "the process is " + report.lifecycle
                                  : "no table yet";
  }
  report.members = parts.membership.Members();
  report.table_revision = parts.replica.table().revision;
  report.rejected_table_revision = parts.replica.rejected_revision();
  report.rejected_table_reason = parts.replica.rejected_reason();
  report.store_up = parts.store.up();
  report.vm_list_doubted = parts.vm_list.loss_unconfirmed();
  report.owned_workers = parts.owner.owned_workers();
  report.queued = parts.queue.size();
  report.open_requests = parts.ledger.open();
  report.summary = parts.owner.CachedSummary();
  return report;
}

std::vector<WorkerStatus> Scheduler::Workers() const {
  return parts_->owner.Workers();
}

std::vector<RowQueueState> Scheduler::Queue() const {
  return parts_->queue.Rows();
}

BurnSnapshot Scheduler::Burn() const {
  return parts_->burn.Snapshot(self_.id.str());
}

bool Scheduler::Ready() const {
  return parts_->lifecycle.state() == LifecycleState::kServing;
}

bool Scheduler::SendToMember(const MemberId& to, const Message& message) {
  if (to == self_.id) {
    local_messages_.emplace_back(to, message);
    return true;
  }
  return deps_.peers.Send(to, message);
}

void Scheduler::OnMemberChanged(const MemberInfo& member) {
  static const std::map<MemberState, Event> events = {
      {MemberState::kLive, Event::kMemberNew},
      {MemberState::kSuspect, Event::kMemberSuspect},
      {MemberState::kDead, Event::kMemberDead},
      {MemberState::kLeft, Event::kMemberLeft}};
  auto event = events.find(member.state);
  if (event != events.end()) {
    deps_.log.Write(event->second,
                    {{"member", member.id.str()}, {"address", member.address}});
  }
  members_changed_ = true;
  if (member.id == self_.id) {
    return;
  }
  deps_.peers.SetAddress(member.id, member.address);
  if (member.state == MemberState::kDead ||
      member.state == MemberState::kLeft) {
    // Ids are registered with their new holders before the report is sent that
    // completes the list for the dead member.
    RefreshMembers();
    if (member.state == MemberState::kLeft) {
      parts_->directory.OnMemberLeft(member.id);
    } else {
      parts_->directory.OnMemberDead(member.id);
    }
    parts_->owner.OnMemberDead(member.id);
    parts_->dispatcher.OnMemberDead(member.id);
    parts_->entry.OnMemberDead(member.id);
  }
}

void Scheduler::RefreshMembers() {
  members_changed_ = false;
  Parts& parts = *parts_;
  const std::vector<MemberInfo> members = parts.membership.Members();
  std::vector<MemberId> ids;
  ids.reserve(members.size());
  for (const MemberInfo& member : members) {
    ids.push_back(member.id);
  }
  parts.directory.SetMembers(members);
  parts.registrar.OnMembersChanged();
  parts.routing.SetMembers(members);
  parts.limits.SetMembers(ids);
  parts.replica.SetMembers(members);
  parts.owner.SetMembers(members);
  parts.dispatcher.SetMembers(members);
  parts.entry.SetMembers(members);
  parts.jobs.SetMembers(members);
}

void Scheduler::OnTableApplied(const Table& table) {
  Parts& parts = *parts_;
  parts.queue.SetTable(table);
  parts.limits.SetTable(table);
  parts.entry.SetTable(table);
  parts.lifecycle.OnTable();
  deps_.log.Write(Event::kTableApplied,
                  {{"revision", std::to_string(table.revision)},
                   {"author", table.author},
                   {"rows", std::to_string(table.rows.size())}});
}

void Scheduler::OnLifecycle(LifecycleState state) {
  Parts& parts = *parts_;
  switch (state) {
    case LifecycleState::kStarting:
      return;
    case LifecycleState::kServing:
      parts.membership.SetSelfState(MemberState::kLive);
      deps_.log.Write(Event::kReady, {{"member", self_.id.str()}});
      break;
    case LifecycleState::kDraining:
      parts.membership.SetSelfState(MemberState::kDraining);
      parts.entry.Drain();
      deps_.log.Write(Event::kDraining,
                      {{"open_requests", std::to_string(parts.ledger.open())}});
      break;
    case LifecycleState::kHandingOver:
      // A drain before the first table gets here without kDraining.
      parts.entry.Drain();
      parts.owner.Drain();
      break;
    case LifecycleState::kStopped:
      parts.membership.Leave();
      deps_.log.Write(Event::kStopped, {{"member", self_.id.str()}});
      break;
  }
  members_changed_ = true;
}

void Scheduler::FetchVms() {
  deps_.vms.Fetch(vm_version_, kVmListWait, [this](const VmListResult& result) {
    if (result.ok) {
      vm_version_ = result.version;
      parts_->vm_list.OnList(result);
      parts_->vms_changed = true;
      ApplyVms();
      next_vm_fetch_ = deps_.clock.Now();
    } else {
      deps_.log.Write(Event::kVmListDown, {});
      next_vm_fetch_ = deps_.clock.Now() + kVmListRetry;
    }
    parts_->vm_fetch_pending = false;
    Flush();
  });
  parts_->vm_fetch_pending = true;
}

void Scheduler::ApplyVms() {
  Parts& parts = *parts_;
  if (!parts.vm_fetch_pending && deps_.clock.Now() >= next_vm_fetch_) {
    FetchVms();
  }
  if (parts.vm_list.loss_unconfirmed() != parts.vms_doubted) {
    parts.vms_doubted = parts.vm_list.loss_unconfirmed();
    parts.vms_changed = true;
    deps_.log.Write(Event::kVmListDoubted,
                    {{"doubted", parts.vms_doubted ? "yes" : "no"}});
  }
  if (!parts.vms_changed) {
    return;
  }
  parts.vms_changed = false;
  const std::vector<Vm> endpoints = parts.vm_list.Endpoints();
  for (const Vm& vm : endpoints) {
    deps_.workers.SetAddress(WorkerId(vm.id), vm.address);
  }
  parts.owner.SetVms(endpoints);
  parts.routing.SetListedWorkers(endpoints.size());
  for (const Vm& vm : parts.vm_list.Entries()) {
    if (vm.address != settings_.peer_address) {
      parts.membership.AddSeed(vm.address);
    }
  }
}

void Scheduler::SendSummaries() {
  const util::TimePoint now = deps_.clock.Now();
  const bool report_room = room_changed_ && now >= next_room_summary_;
  if (!report_room && now < next_summary_) {
    return;
  }
  const bool include_remote = now >= next_remote_summary_;
  room_changed_ = false;
  next_room_summary_ = now + kRoomSummaryDelay;
  next_summary_ = now + kSummaryInterval;
  if (include_remote) {
    next_remote_summary_ = now + kRemoteSummaryInterval;
  }
  const Summary summary = parts_->owner.LatestSummary();
  parts_->routing.OnSummary(summary);
  for (const MemberInfo& member : parts_->membership.Members()) {
    if (member.id == self_.id ||
        (member.region != self_.region && !include_remote)) {
      continue;
    }
    deps_.peers.Send(member.id, summary);
  }
}

void Scheduler::AdvanceDrain() {
  Parts& parts = *parts_;
  if (parts.lifecycle.state() == LifecycleState::kDraining &&
      parts.entry.drained()) {
    parts.lifecycle.OnRequestsEnded();
  }
  if (parts.lifecycle.state() == LifecycleState::kHandingOver &&
      parts.owner.drained()) {
    parts.lifecycle.OnHandedOver();
  }
}

void Scheduler::SetGauges() {
  const Parts& parts = *parts_;
  Metrics& metrics = deps_.metrics;
  metrics.Set(Gauge::kQueued, parts.queue.size());
  metrics.Set(Gauge::kRunning, parts.dispatcher.sent());
  metrics.Set(Gauge::kOwnedWorkers, parts.owner.owned_workers());
  metrics.Set(Gauge::kMembers,
              static_cast<int64_t>(parts.membership.Members().size()));
  metrics.Set(Gauge::kTableRevision,
              static_cast<int64_t>(parts.replica.table().revision));
  metrics.Set(Gauge::kOpenRequests, parts.ledger.open());
  metrics.Set(Gauge::kRetainedBytes, parts.ledger.retained_bytes());
}

void Scheduler::Flush() {
  if (flushing_) {
    return;
  }
  flushing_ = true;
  if (members_changed_) {
    RefreshMembers();
  }
  parts_->dispatcher.DispatchQueued();
  while (!local_messages_.empty()) {
    const std::pair<MemberId, Message> next =
        std::move(local_messages_.front());
    local_messages_.pop_front();
    parts_->Handle(next.first, next.second);
    if (local_messages_.empty()) {
      parts_->dispatcher.DispatchQueued();
    }
  }
  flushing_ = false;
}

void Scheduler::OnMessage(const MemberId& from, const Message& message) {
  parts_->Handle(from, message);
  Flush();
}

}  // namespace chivedale
