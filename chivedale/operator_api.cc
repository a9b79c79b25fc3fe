// The JSON text of the table is cached per revision: the table is read far more
// often than it changes, and copying it would block the control thread.
#include "chivedale/operator_api.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "chivedale/burn_json.h"
#include "chivedale/json_members.h"
#include "chivedale/table_codec.h"

namespace chivedale {
namespace {

using Json = nlohmann::ordered_json;

constexpr int kAccepted = 202;
constexpr int kNotModified = 304;
constexpr int kDefaultHistory = 20;
constexpr int kMaxHistory = 200;
constexpr size_t kMaxName = 128;

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Json ToJson(const Resources& resources) {
  return {{"cpu_milli", resources.cpu_milli},
          {"memory_mb", resources.memory_mb},
          {"accelerators", resources.accelerators},
          {"slots", resources.slots}};
}

Json ToJson(const RoomSummary& room) {
  return {{"workers", room.workers},
          {"capacity", ToJson(room.capacity)},
          {"free", ToJson(room.free)},
          {"largest_free", ToJson(room.largest)}};
}

std::string_view StateName(MemberState state) {
  static constexpr std::string_view kNames[] = {"starting", "live", "suspect",
                                                "draining", "dead", "left"};
  return kNames[static_cast<size_t>(state)];
}

Json ToJson(const MemberInfo& member) {
  return {{"id", member.id.str()},
          {"address", member.address},
          {"data_centre", member.data_centre.str()},
          {"region", member.region.str()},
          {"state", StateName(member.state)},
          {"incarnation", member.incarnation}};
}

Json HeadOf(const Table& table) {
  return {{"revision", table.revision},
          {"change_id", table.change_id},
          {"author", table.author},
          {"changed_at_ms", table.changed_at.time_since_epoch().count()}};
}

Json ChangesOf(const Table& before, const Table& after) {
  static constexpr std::string_view kKinds[] = {"added", "removed", "changed"};
  Json changes = Json::array();
  for (const TableChange& change : DiffTables(before, after)) {
    changes.push_back({{"kind", kKinds[static_cast<size_t>(change.kind)]},
                       {"row", change.row},
                       {"column", change.column},
                       {"before", change.before},
                       {"after", change.after}});
  }
  return changes;
}

std::string ETag(uint64_t revision) {
  return "\"" + std::to_string(revision) + "\"";
}

int ParseLimit(const std::string& query) {
  const std::optional<std::string> text =
      FindOnlyQueryParameter(query, "limit");
  if (!text) {
    return kDefaultHistory;
  }
  int limit = 0;
  const char* end = text->data() + text->size();
  const auto parsed = std::from_chars(text->data(), end, limit);
  if (text->empty() || parsed.ptr != end || parsed.ec != std::errc() ||
      limit < 1 || limit > kMaxHistory) {
    throw Error(ErrorKind::kBadRequest,
                "query: 'limit' is not an integer from 1 to " +
                    std::to_string(kMaxHistory));
  }
  return limit;
}

ApiResponse NotReady(const StatusReport& report) {
  Problem problem;
  problem.kind = report.lifecycle == "draining" ? ErrorKind::kDraining
                                                : ErrorKind::kNotReady;
  problem.detail = report.not_ready_reason;
  return ProblemResponse(problem);
}

}  // namespace

TableEdit ParseTableEdit(const std::string& body) {
  const JsonMembers members(body);
  members.RejectUnknown(
      {"base_revision", "change_id", "author", "rows", "teams"});
  TableEdit edit;
  edit.base_revision = static_cast<uint64_t>(
      members.RequiredInteger("base_revision", 0, int64_t{1} << 53));
  edit.change_id = members.RequiredString("change_id", kMaxName);
  edit.author = members.RequiredString("author", kMaxName);
  CheckPrintable("'change_id'", edit.change_id);
  const auto rows = members.Find("rows");
  const auto teams = members.Find("teams");
  if (!rows || !teams) {
    throw Error(ErrorKind::kBadRequest, "'rows' and 'teams' must be given");
  }
  edit.table = ParseTable("{\"rows\":" + std::string(*rows) +
                          ",\"teams\":" + std::string(*teams) + "}");
  return edit;
}

ApiResponse RenderEdit(const EditResult& result) {
  if (result.ok && result.table) {
    ApiResponse response = JsonResponse(200, Dump(HeadOf(*result.table)));
    response.headers.Add("ETag", ETag(result.table->revision));
    return response;
  }
  Problem problem;
  problem.kind = result.error;
  problem.detail = result.detail;
  // Without an answer of the store, the edit may have taken effect.
  if (result.error == ErrorKind::kStoreDown) {
    problem.ran = Ran::kUnknown;
  }
  if (result.table) {
    problem.revision = result.table->revision;
  }
  return ProblemResponse(problem);
}

ApiResponse RenderHistory(StoreStatus status,
                          const std::vector<Table>& tables,
                          int limit) {
  if (status != StoreStatus::kOk && status != StoreStatus::kNotFound) {
    Problem problem;
    problem.kind = ErrorKind::kStoreDown;
    problem.detail = "the history is unavailable: the store does not answer";
    return ProblemResponse(problem);
  }
  Json history = Json::array();
  for (size_t i = 0; i < tables.size() && i < static_cast<size_t>(limit); ++i) {
    Json entry = HeadOf(tables[i]);
    // The oldest one has no predecessor to compare with.
    entry["changes"] = i + 1 < tables.size()
                           ? ChangesOf(tables[i + 1], tables[i])
                           : Json(nullptr);
    history.push_back(std::move(entry));
  }
  return JsonResponse(200, Dump({{"history", std::move(history)}}));
}

ApiResponse RenderStatus(const StatusReport& report) {
  Json members = Json::array();
  for (const MemberInfo& member : report.members) {
    members.push_back(ToJson(member));
  }
  return JsonResponse(
      200, Dump({{"self", ToJson(report.self)},
                 {"lifecycle", report.lifecycle},
                 {"ready", report.ready},
                 {"not_ready_reason", report.not_ready_reason},
                 {"members", std::move(members)},
                 {"table_revision", report.table_revision},
                 {"rejected_table_revision", report.rejected_table_revision},
                 {"rejected_table_reason", report.rejected_table_reason},
                 {"store_up", report.store_up},
                 {"vm_list_doubted", report.vm_list_doubted},
                 {"owned_workers", report.owned_workers},
                 {"queued", report.queued},
                 {"open_requests", report.open_requests},
                 {"room",
                  {{"plain", ToJson(report.summary.plain)},
                   {"accelerated", ToJson(report.summary.accelerated)}}}}));
}

ApiResponse RenderWorkers(const std::vector<WorkerStatus>& workers) {
  Json list = Json::array();
  for (const WorkerStatus& worker : workers) {
    list.push_back({{"id", worker.id.str()},
                    {"lease", worker.lease},
                    {"data_centre", worker.data_centre},
                    {"rack", worker.rack},
                    {"capacity", ToJson(worker.capacity)},
                    {"committed", ToJson(worker.committed)},
                    {"used", ToJson(worker.used)},
                    {"running", worker.running},
                    {"leaving", worker.leaving},
                    {"failure_rate", worker.failure_rate}});
  }
  return JsonResponse(200, Dump({{"workers", std::move(list)}}));
}

ApiResponse RenderQueue(const std::vector<RowQueueState>& rows) {
  Json list = Json::array();
  for (const RowQueueState& row : rows) {
    list.push_back(
        {{"kind", row.kind},
         {"queued", row.queued},
         {"oldest_wait_ms",
          std::chrono::duration_cast<Millis>(row.oldest_wait).count()},
         {"virtual_time", row.virtual_time}});
  }
  return JsonResponse(200, Dump({{"rows", std::move(list)}}));
}

OperatorApi::OperatorApi(SchedulerCommands& commands,
                         SchedulerQueries& queries,
                         const Metrics& metrics,
                         ApiThreads threads)
    : commands_(commands),
      queries_(queries),
      metrics_(metrics),
      threads_(std::move(threads)) {}

const std::vector<ApiRoute<OperatorApi>>& OperatorApi::Routes() {
  static const auto& routes = *new std::vector<ApiRoute<OperatorApi>>{
      {"GET", "/v1/table", &OperatorApi::GetTable},
      {"PUT", "/v1/table", &OperatorApi::PutTable},
      {"GET", "/v1/table/history", &OperatorApi::GetHistory},
      {"GET", "/v1/status", &OperatorApi::GetStatus},
      {"GET", "/v1/workers", &OperatorApi::GetWorkers},
      {"GET", "/v1/queue", &OperatorApi::GetQueue},
      {"GET", "/v1/burn", &OperatorApi::GetBurn},
      {"POST", "/v1/drain", &OperatorApi::Drain},
      {"GET", "/healthz", &OperatorApi::GetHealth},
      {"GET", "/readyz", &OperatorApi::GetReady},
      {"GET", "/metrics", &OperatorApi::GetMetrics},
  };
  return routes;
}

void OperatorApi::Handle(ApiRequest request, ApiRespond respond) {
  RouteCall(*this, Routes(), std::move(request), std::move(respond));
}

bool OperatorApi::Handles(const std::string& path) const {
  return HasPath(Routes(), path);
}

template <typename Read, typename Render>
void OperatorApi::Answer(const ApiCall& call, Read read, Render render) {
  RejectQuery(call.request);
  RunOnControlThread(
      threads_, call.respond,
      [to_traffic = threads_.to_traffic, respond = call.respond, read, render] {
        to_traffic(
            [respond, render, value = read()] { respond(render(value)); });
      });
}

OperatorApi::TableText OperatorApi::CachedTable() {
  const std::lock_guard lock(mutex_);
  return table_;
}

void OperatorApi::GetTable(const ApiCall& call) {
  const auto read = [this] {
    const Table& table = queries_.CurrentTable();
    const bool cached =
        table.revision != 0 && CachedTable().revision == table.revision;
    return cached ? std::optional<Table>() : std::optional<Table>(table);
  };
  const std::string known =
      call.request.headers.Find("If-None-Match").value_or("");
  const auto render = [this, known](const std::optional<Table>& table) {
    TableText text = CachedTable();
    if (table) {
      text = {table->revision,
              std::make_shared<const std::string>(TableToJson(*table))};
      const std::lock_guard lock(mutex_);
      table_ = text;
    }
    ApiResponse response;
    response.headers.Add("ETag", ETag(text.revision));
    if (known == ETag(text.revision)) {
      response.status = kNotModified;
    } else {
      response.body = text.json;
    }
    return response;
  };
  Answer(call, read, render);
}

void OperatorApi::PutTable(const ApiCall& call) {
  RejectQuery(call.request);
  const TableEdit edit =
      ParseTableEdit(call.request.body ? *call.request.body : "");
  const auto done = [to_traffic = threads_.to_traffic,
                     respond = call.respond](const EditResult& result) {
    to_traffic([respond, result] { respond(RenderEdit(result)); });
  };
  RunOnControlThread(threads_, call.respond,
                     [this, edit, done] { commands_.EditTable(edit, done); });
}

void OperatorApi::GetHistory(const ApiCall& call) {
  const int limit = ParseLimit(call.request.query);
  const auto done = [to_traffic = threads_.to_traffic, respond = call.respond,
                     limit](StoreStatus status,
                            const std::vector<Table>& tables) {
    to_traffic([respond, status, tables, limit] {
      respond(RenderHistory(status, tables, limit));
    });
  };
  // Reads one table more than requested, to compute the changes of the oldest
  // one that is returned.
  RunOnControlThread(threads_, call.respond, [this, limit, done] {
    queries_.TableHistory(limit + 1, done);
  });
}

void OperatorApi::GetStatus(const ApiCall& call) {
  Answer(
      call, [this] { return queries_.Status(); }, RenderStatus);
}

void OperatorApi::GetWorkers(const ApiCall& call) {
  Answer(
      call, [this] { return queries_.Workers(); }, RenderWorkers);
}

void OperatorApi::GetQueue(const ApiCall& call) {
  Answer(
      call, [this] { return queries_.Queue(); }, RenderQueue);
}

void OperatorApi::GetBurn(const ApiCall& call) {
  Answer(
      call, [this] { return queries_.Burn(); },
      [](const BurnSnapshot& snapshot) {
        return JsonResponse(200, BurnSnapshotToJson(snapshot));
      });
}

void OperatorApi::Drain(const ApiCall& call) {
  RejectQuery(call.request);
  RunOnControlThread(threads_, call.respond, [this, respond = call.respond] {
    commands_.Drain();
    respond(JsonResponse(kAccepted, R"({"draining":true})"));
  });
}

// Does not use the control thread: a process that sheds load is alive.
void OperatorApi::GetHealth(const ApiCall& call) {
  call.respond(JsonResponse(200, R"({"alive":true})"));
}

void OperatorApi::GetReady(const ApiCall& call) {
  Answer(
      call,
      [this] {
        return queries_.Ready()
                   ? std::optional<StatusReport>()
                   : std::optional<StatusReport>(queries_.Status());
      },
      [](const std::optional<StatusReport>& report) {
        return report ? NotReady(*report)
                      : JsonResponse(200, R"({"ready":true})");
      });
}

void OperatorApi::GetMetrics(const ApiCall& call) {
  RejectQuery(call.request);
  ApiResponse response = JsonResponse(200, metrics_.PrometheusText());
  response.content_type = "text/plain; version=0.0.4; charset=utf-8";
  call.respond(std::move(response));
}

}  // namespace chivedale
