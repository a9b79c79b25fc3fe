// Clients and stand-ins share this codec, so that their field names cannot
// differ. The names are defined in platform_protocol.h.
#include "chivedale/platform_codec.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "chivedale/platform_protocol.h"

namespace chivedale::protocol {
namespace {

using Json = nlohmann::json;

Json Parse(std::string_view text) {
  return Json::parse(text.begin(), text.end());
}

int64_t Count(Millis time) {
  return time.count();
}

// Limits durations from outside to a range in which sums with clock readings in
// nanoseconds cannot overflow.
constexpr int64_t kMaxMillis = int64_t{365} * 24 * 3'600'000;

Millis Time(const Json& json, const char* field) {
  return Millis(
      std::clamp(json.value(field, int64_t{0}), int64_t{0}, kMaxMillis));
}

std::string Text(const Json& json, const char* field) {
  return json.value(field, std::string());
}

Json ToJson(const Resources& r) {
  return {{kCpuMilli, r.cpu_milli},
          {kMemoryMb, r.memory_mb},
          {kAccelerators, r.accelerators},
          {kSlots, r.slots}};
}

Resources ToResources(const Json& json, const char* field) {
  const Json& r = json.at(field);
  return {r.value(kCpuMilli, int64_t{0}), r.value(kMemoryMb, int64_t{0}),
          r.value(kAccelerators, int64_t{0}), r.value(kSlots, int64_t{0})};
}

void Add(Json& json, const LeaseToken& token) {
  json[kToken] = token.token;
  json[kBootId] = token.boot_id;
}

LeaseToken ToToken(const Json& json) {
  return {json.at(kToken).get<uint64_t>(), Text(json, kBootId)};
}

Json ToJson(const TaskKey& key) {
  return {{kTask, key.task.str()}, {kAttempt, key.attempt}};
}

TaskKey ToKey(const Json& json) {
  return {TaskId(json.at(kTask).get<std::string>()),
          json.at(kAttempt).get<uint32_t>()};
}

// Splits off the JSON line and the payload at the start of `body`.
std::pair<Json, Body> TakeLineAndPayload(std::string_view& body) {
  const size_t end = body.find('\n');
  if (end == std::string_view::npos) {
    throw std::invalid_argument("body has no newline after the JSON line");
  }
  Json json = Parse(body.substr(0, end));
  const auto bytes = json.at(kBytes).get<size_t>();
  body.remove_prefix(end + 1);
  if (bytes > body.size()) {
    throw std::invalid_argument("payload is shorter than its declared size");
  }
  auto payload = std::make_shared<const std::string>(body.substr(0, bytes));
  body.remove_prefix(bytes);
  return {std::move(json), std::move(payload)};
}

Ran RanFromName(const std::string& name) {
  for (const Ran ran : {Ran::kNo, Ran::kYes, Ran::kUnknown}) {
    if (RanName(ran) == name) {
      return ran;
    }
  }
  throw std::invalid_argument("unknown value of 'ran'");
}

struct OutcomeName {
  StartOutcome outcome;
  const char* name;
  int http_status;
};
constexpr OutcomeName kOutcomes[] = {
    {StartOutcome::kAccepted, kAccepted, 202},
    {StartOutcome::kStaleToken, kStaleToken, 409},
    {StartOutcome::kAttemptKnown, kAlreadyThere, 409},
    {StartOutcome::kInsufficientCapacity, kNoRoom, 507},
    {StartOutcome::kLeaving, kRefusesLeaving, 503},
};

const OutcomeName& NameOf(StartOutcome outcome) {
  for (const OutcomeName& each : kOutcomes) {
    if (each.outcome == outcome) {
      return each;
    }
  }
  throw std::invalid_argument("start outcome cannot be sent by a worker");
}

}  // namespace

std::string EncodeLeaseCall(const LeaseCall& call) {
  Json json = {{kOwner, call.owner.str()}, {kTtlMs, Count(call.ttl)}};
  Add(json, call.token);
  return json.dump();
}

LeaseCall DecodeLeaseCall(std::string_view body) {
  const Json json = Parse(body);
  return {MemberId(json.at(kOwner).get<std::string>()), ToToken(json),
          Time(json, kTtlMs)};
}

std::string EncodeStart(const StartRequest& request) {
  Json json = ToJson(request.key);
  Add(json, request.token);
  json[kKind] = request.kind;
  json[kSize] = ToJson(request.size);
  json[kEntry] = request.entry.str();
  json[kRepeatable] = request.repeatable;
  json[kLongestRunMs] = Count(request.longest_run);
  json[kBytes] = request.payload ? request.payload->size() : 0;
  return json.dump() + "\n";
}

StartRequest DecodeStart(std::string_view body) {
  const auto [json, payload] = TakeLineAndPayload(body);
  StartRequest request;
  request.key = ToKey(json);
  request.token = ToToken(json);
  request.kind = Text(json, kKind);
  request.size = ToResources(json, kSize);
  request.entry = MemberId(Text(json, kEntry));
  request.repeatable = json.value(kRepeatable, true);
  request.longest_run = Time(json, kLongestRunMs);
  request.payload = payload;
  if (!request.size.IsValid() || !body.empty()) {
    throw std::invalid_argument(
        "negative size or trailing bytes after the payload");
  }
  return request;
}

std::string EncodePoll(const CompletionsRequest& request) {
  Json json = {{kAfter, request.after},
               {kAcks, request.acks},
               {kWaitMs, Count(request.wait)}};
  Add(json, request.token);
  return json.dump();
}

CompletionsRequest DecodePoll(std::string_view body) {
  const Json json = Parse(body);
  return {ToToken(json), json.at(kAfter).get<uint64_t>(),
          json.value(kAcks, std::vector<uint64_t>()), Time(json, kWaitMs)};
}

std::string EncodeControl(const ControlCall& call) {
  Json json = {{kAttempt, call.attempt}};
  Add(json, call.token);
  return json.dump();
}

ControlCall DecodeControl(std::string_view body) {
  const Json json = Parse(body);
  return {ToToken(json), json.at(kAttempt).get<uint32_t>()};
}

std::string EncodeLeaseResult(const LeaseResult& result) {
  const WorkerReport& report = result.report;
  Json json = {{kReport,
                {{kCapacity, ToJson(report.capacity)},
                 {kUsed, ToJson(report.used)},
                 {kLagMs, Count(report.lag)},
                 {kLeaving, report.leaving},
                 {kFencing, report.fencing}}}};
  if (result.status == WorkerCallStatus::kOk) {
    Add(json, result.token);
    json[kTtlMs] = Count(result.ttl);
  } else {
    json[kHolder] = result.holder.str();
    json[kRemainingMs] = Count(result.remaining);
  }
  return json.dump();
}

LeaseResult DecodeLeaseResult(std::string_view body, WorkerCallStatus status) {
  const Json json = Parse(body);
  LeaseResult result;
  result.status = status;
  if (status == WorkerCallStatus::kOk) {
    result.token = ToToken(json);
    result.ttl = Time(json, kTtlMs);
  } else {
    result.holder = MemberId(Text(json, kHolder));
    result.remaining = Time(json, kRemainingMs);
  }
  const Json& report = json.at(kReport);
  result.report.capacity = ToResources(report, kCapacity);
  result.report.used = ToResources(report, kUsed);
  result.report.lag = Time(report, kLagMs);
  result.report.leaving = report.value(kLeaving, false);
  result.report.fencing = report.value(kFencing, true);
  return result;
}

std::string EncodeTasks(const std::vector<RunningTask>& tasks) {
  Json list = Json::array();
  for (const RunningTask& task : tasks) {
    Json json = ToJson(task.key);
    json[kKind] = task.kind;
    json[kSize] = ToJson(task.size);
    json[kEntry] = task.entry.str();
    json[kRepeatable] = task.repeatable;
    json[kRunningMs] = Count(task.running_for);
    json[kUsed] = ToJson(task.used);
    list.push_back(std::move(json));
  }
  return Json{{kTasks, std::move(list)}}.dump();
}

std::vector<RunningTask> DecodeTasks(std::string_view body) {
  std::vector<RunningTask> tasks;
  const Json json = Parse(body);
  for (const Json& each : json.at(kTasks)) {
    tasks.push_back({ToKey(each), Text(each, kKind), ToResources(each, kSize),
                     MemberId(Text(each, kEntry)),
                     each.value(kRepeatable, true), Time(each, kRunningMs),
                     ToResources(each, kUsed)});
  }
  return tasks;
}

std::string EncodeOutcome(StartOutcome outcome) {
  return Json{{kOutcome, NameOf(outcome).name}}.dump();
}

StartOutcome DecodeOutcome(std::string_view body) {
  const auto name = Parse(body).at(kOutcome).get<std::string>();
  for (const OutcomeName& each : kOutcomes) {
    if (name == each.name) {
      return each.outcome;
    }
  }
  throw std::invalid_argument("unknown start outcome");
}

int HttpStatusOf(StartOutcome outcome) {
  return NameOf(outcome).http_status;
}

std::string EncodeCompletions(const std::vector<Completion>& completions) {
  std::string body;
  for (const Completion& completion : completions) {
    Json json = ToJson(completion.key);
    json[kSequence] = completion.sequence;
    json[kEntry] = completion.entry.str();
    json[kRepeatable] = completion.repeatable;
    json[kOk] = completion.ok;
    if (!completion.ok) {
      json[kError] = InfoForErrorKind(completion.error).name;
      json[kRan] = RanName(completion.ran);
    }
    json[kCheckpointed] = completion.checkpointed;
    json[kRunMs] = Count(completion.run_time);
    json[kPeakUsed] = ToJson(completion.peak_used);
    json[kBytes] = completion.payload ? completion.payload->size() : 0;
    body += json.dump();
    body += '\n';
    if (completion.payload) {
      body += *completion.payload;
    }
  }
  return body;
}

std::vector<Completion> DecodeCompletions(std::string_view body) {
  std::vector<Completion> completions;
  while (!body.empty()) {
    const auto [json, payload] = TakeLineAndPayload(body);
    Completion completion;
    completion.sequence = json.at(kSequence).get<uint64_t>();
    completion.key = ToKey(json);
    completion.entry = MemberId(Text(json, kEntry));
    completion.repeatable = json.value(kRepeatable, true);
    completion.ok = json.at(kOk).get<bool>();
    if (!completion.ok) {
      completion.error = ErrorKindFromName(Text(json, kError));
      completion.ran = RanFromName(Text(json, kRan));
    }
    completion.checkpointed = json.value(kCheckpointed, false);
    completion.run_time = Time(json, kRunMs);
    completion.peak_used = ToResources(json, kPeakUsed);
    completion.payload = payload;
    completions.push_back(std::move(completion));
  }
  return completions;
}

std::string EncodePut(const PutCall& call) {
  Json json = {{kValue, call.value}, {kExpected, call.expected}};
  if (!call.lease.empty()) {
    json[kLease] = call.lease;
  }
  return json.dump();
}

PutCall DecodePut(std::string_view body) {
  const Json json = Parse(body);
  return {json.at(kValue).get<std::string>(),
          json.at(kExpected).get<uint64_t>(), Text(json, kLease)};
}

std::string EncodeEntry(const StoreEntry& entry) {
  return Json{
      {kKey, entry.key}, {kValue, entry.value}, {kRevision, entry.revision}}
      .dump();
}

StoreEntry DecodeEntry(std::string_view body) {
  const Json json = Parse(body);
  return {Text(json, kKey), json.at(kValue).get<std::string>(),
          json.at(kRevision).get<uint64_t>()};
}

std::string EncodeRevision(uint64_t revision) {
  return Json{{kRevision, revision}}.dump();
}

uint64_t DecodeRevision(std::string_view body) {
  return Parse(body).at(kRevision).get<uint64_t>();
}

std::string EncodeEntries(const StoreResult& result) {
  Json entries = Json::array();
  for (const StoreEntry& entry : result.entries) {
    entries.push_back({{kKey, entry.key},
                       {kValue, entry.value},
                       {kRevision, entry.revision}});
  }
  return Json{{kRevision, result.revision}, {kEntries, std::move(entries)}}
      .dump();
}

StoreResult DecodeEntries(std::string_view body) {
  const Json json = Parse(body);
  StoreResult result{StoreStatus::kOk, {}, json.at(kRevision).get<uint64_t>()};
  for (const Json& each : json.at(kEntries)) {
    result.entries.push_back({each.at(kKey).get<std::string>(),
                              each.at(kValue).get<std::string>(),
                              each.at(kRevision).get<uint64_t>()});
  }
  return result;
}

std::string EncodeVms(const VmListResult& result) {
  Json vms = Json::array();
  for (const Vm& vm : result.vms) {
    vms.push_back(
        {{kId, vm.id},
         {kRole, vm.role == VmRole::kEntry ? kRoleEntry : kRoleEndpoint},
         {kAddress, vm.address},
         {kDataCentre, vm.data_centre.str()},
         {kRegion, vm.region.str()},
         {kRack, vm.rack},
         {kState, vm.state == VmState::kLive ? kStateLive : kStateLeaving}});
  }
  return Json{{kVersion, result.version}, {kVms, std::move(vms)}}.dump();
}

VmListResult DecodeVms(std::string_view body) {
  const Json json = Parse(body);
  VmListResult result{true, json.at(kVersion).get<uint64_t>(), {}};
  for (const Json& each : json.at(kVms)) {
    Vm vm;
    vm.id = each.at(kId).get<std::string>();
    vm.role =
        Text(each, kRole) == kRoleEntry ? VmRole::kEntry : VmRole::kEndpoint;
    vm.address = each.at(kAddress).get<std::string>();
    vm.data_centre = DataCentreId(Text(each, kDataCentre));
    vm.region = RegionId(Text(each, kRegion));
    vm.rack = Text(each, kRack);
    vm.state = Text(each, kState) == kStateLeaving ? VmState::kLeaving
                                                   : VmState::kLive;
    result.vms.push_back(std::move(vm));
  }
  return result;
}

}  // namespace chivedale::protocol
