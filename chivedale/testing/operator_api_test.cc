// Guards against an edit that loses a field or its base revision, a stale table
// in a response, and a process that reports ready when it is not.
#include "chivedale/operator_api.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/burn_json.h"
#include "chivedale/testing/fake_scheduler.h"

namespace chivedale {
namespace {

using nlohmann::json;
using testing::RequestTo;

constexpr char kRows[] = R"([{"kind":"sort","weight":2.5,"team":"a"}])";
constexpr char kTeams[] = R"([{"name":"a","cpu_milli":100}])";

struct Fixture {
  testing::FakeScheduler scheduler;
  Metrics metrics;
  OperatorApi api{scheduler, scheduler, metrics, scheduler.Threads()};

  ApiResponse Call(ApiRequest request) {
    int answers = 0;
    ApiResponse answer;
    api.Handle(std::move(request), [&](ApiResponse response) {
      ++answers;
      answer = std::move(response);
    });
    BOOST_TEST(answers == 1);
    return answer;
  }
  ApiResponse Call(const std::string& method,
                   const std::string& target,
                   const std::string& body = "") {
    return Call(RequestTo(method, target, body));
  }
};

json BodyOf(const ApiResponse& response) {
  return response.body ? json::parse(*response.body) : json();
}

Table TableAt(uint64_t revision, double weight) {
  Table table;
  table.revision = revision;
  table.author = "ana";
  table.rows["sort"].kind = "sort";
  table.rows["sort"].weight = weight;
  return table;
}

std::string Edit(const std::string& head,
                 const std::string& rows = kRows,
                 const std::string& teams = kTeams) {
  return "{" + head + R"(,"rows":)" + rows + R"(,"teams":)" + teams + "}";
}
constexpr char kHead[] =
    R"("base_revision":6,"change_id":"c-1","author":"ana")";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(TableOverHttp, Fixture)

BOOST_AUTO_TEST_CASE(GetHasAnETagAndFollowsTheTable) {
  scheduler.table = TableAt(7, 1);
  ApiResponse response = Call("GET", "/v1/table");
  BOOST_TEST(response.headers.Find("ETag").value() == "\"7\"");
  BOOST_TEST(BodyOf(response)["rows"][0]["weight"] == 1);
  ApiRequest request = RequestTo("GET", "/v1/table");
  request.headers.Add("If-None-Match", "\"7\"");
  response = Call(request);
  BOOST_TEST(response.status == 304);
  BOOST_TEST((response.body == nullptr));
  scheduler.table = TableAt(8, 2);
  response = Call(request);
  BOOST_TEST(response.status == 200);
  BOOST_TEST(BodyOf(response)["rows"][0]["weight"] == 2);
  BOOST_TEST(BodyOf(Call("GET", "/v1/table"))["revision"] == 8);
}

BOOST_AUTO_TEST_CASE(EditsKeepTheirBaseAndChangeId) {
  scheduler.edit_result.ok = true;
  scheduler.edit_result.table = TableAt(7, 2.5);
  const ApiResponse response = Call("PUT", "/v1/table", Edit(kHead));
  BOOST_TEST(response.status == 200);
  BOOST_TEST(BodyOf(response)["revision"] == 7);
  const TableEdit& edit = scheduler.edits.at(0);
  BOOST_TEST(edit.base_revision == 6u);
  BOOST_TEST(edit.change_id == "c-1");
  BOOST_TEST(edit.author == "ana");
  BOOST_TEST(edit.table.rows.at("sort").weight == 2.5);
  BOOST_TEST(edit.table.teams.at("a").quota.cpu_milli == 100);
}

BOOST_AUTO_TEST_CASE(ConflictsNameTheCurrentRevision) {
  scheduler.edit_result.error = ErrorKind::kTableConflict;
  scheduler.edit_result.table = TableAt(9, 1);
  const ApiResponse response = Call("PUT", "/v1/table", Edit(kHead));
  BOOST_TEST(response.status == 409);
  BOOST_TEST(BodyOf(response)["kind"] == "table_conflict");
  BOOST_TEST(BodyOf(response)["revision"] == 9);
}

BOOST_AUTO_TEST_CASE(AnEditWithoutTheStoresAnswerIsUnknown) {
  scheduler.edit_result.error = ErrorKind::kStoreDown;
  const json body = BodyOf(Call("PUT", "/v1/table", Edit(kHead)));
  BOOST_TEST(body["kind"] == "store_down");
  BOOST_TEST(body["ran"] == "unknown");
}

BOOST_AUTO_TEST_CASE(BadEditsAreRefused) {
  const std::vector<std::pair<std::string, int>> cases = {
      {"", 400},
      {"{}", 400},
      {Edit(R"("change_id":"c","author":"a")"), 400},
      {Edit(R"("base_revision":-1,"change_id":"c","author":"a")"), 400},
      {Edit(R"("base_revision":1,"author":"a")"), 400},
      {Edit(R"("base_revision":1,"change_id":"","author":"a")"), 400},
      {Edit(R"("base_revision":1,"change_id":"c")"), 400},
      {Edit(std::string(kHead) + R"(,"revision":9)"), 400},
      {std::string("{") + kHead + "}", 400},
      {Edit(kHead, "{}"), 422},
      {Edit(kHead, R"([{"kind":"sort","colour":1}])"), 422},
      {Edit(kHead, kRows, "[]"), 422},
  };
  for (const auto& [body, status] : cases) {
    BOOST_TEST_CONTEXT(body) {
      BOOST_TEST(Call("PUT", "/v1/table", body).status == status);
    }
  }
  BOOST_TEST(scheduler.edits.empty());
}

BOOST_AUTO_TEST_CASE(HistoryShowsTheChanges) {
  scheduler.history = {TableAt(9, 3), TableAt(8, 2), TableAt(7, 1)};
  const json history =
      BodyOf(Call("GET", "/v1/table/history?limit=2"))["history"];
  BOOST_TEST(scheduler.history_limit == 3);
  BOOST_REQUIRE_EQUAL(history.size(), 2u);
  BOOST_TEST(history[1]["revision"] == 8);
  BOOST_TEST(history[1]["changes"][0]["column"] == "weight");
  scheduler.history_status = StoreStatus::kUnavailable;
  BOOST_TEST(Call("GET", "/v1/table/history").status == 503);
  for (const char* limit : {"0", "201", "x", "", "5x"}) {
    BOOST_TEST(
        Call("GET", std::string("/v1/table/history?limit=") + limit).status ==
        400);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(State, Fixture)

BOOST_AUTO_TEST_CASE(ReadinessGivesItsReason) {
  scheduler.status.lifecycle = "starting";
  scheduler.status.not_ready_reason = "no table yet";
  ApiResponse response = Call("GET", "/readyz");
  BOOST_TEST(response.status == 503);
  BOOST_TEST(BodyOf(response)["kind"] == "not_ready");
  BOOST_TEST(BodyOf(response)["detail"] == "no table yet");
  scheduler.status.lifecycle = "draining";
  BOOST_TEST(BodyOf(Call("GET", "/readyz"))["kind"] == "draining");
  scheduler.status.ready = true;
  BOOST_TEST(Call("GET", "/readyz").status == 200);
  // A full control queue makes the process not ready, but it remains healthy.
  scheduler.control_queue_full = true;
  BOOST_TEST(Call("GET", "/readyz").status == 503);
  BOOST_TEST(Call("GET", "/healthz").status == 200);
}

BOOST_AUTO_TEST_CASE(ListsAreComplete) {
  scheduler.status.members.resize(2);
  scheduler.status.rejected_table_reason = "bad \xff";
  scheduler.workers.resize(3);
  scheduler.workers[1].id = WorkerId("w-1");
  scheduler.queue.resize(1);
  scheduler.queue[0].oldest_wait = std::chrono::milliseconds(1'500);
  scheduler.burn.member = "e-1/1";
  BOOST_TEST(BodyOf(Call("GET", "/v1/status"))["members"].size() == 2u);
  BOOST_TEST(BodyOf(Call("GET", "/v1/workers"))["workers"][1]["id"] == "w-1");
  BOOST_TEST(BodyOf(Call("GET", "/v1/queue"))["rows"][0]["oldest_wait_ms"] ==
             1'500);
  const ApiResponse burn = Call("GET", "/v1/burn");
  BOOST_TEST(ParseBurnSnapshot(*burn.body).member == "e-1/1");
}

BOOST_AUTO_TEST_CASE(DrainMetricsAndMethods) {
  BOOST_TEST(Call("GET", "/v1/drain").status == 405);
  BOOST_TEST(!scheduler.drained);
  BOOST_TEST(Call("POST", "/v1/drain").status == 202);
  BOOST_TEST(scheduler.drained);
  const ApiResponse response = Call("GET", "/metrics");
  BOOST_TEST(response.body->find("# TYPE chivedale_queued gauge") !=
             std::string::npos);
  BOOST_TEST(Call("POST", "/v1/table").headers.Find("Allow").value() ==
             "GET, PUT");
  BOOST_TEST(Call("GET", "/v1/status?x=1").status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
