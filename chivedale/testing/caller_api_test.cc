// Guards against a wrong outcome reported to a caller, a payload modified in
// transit, out-of-bounds input that is accepted, and a request that gets no
// response or two.
#include "chivedale/caller_api.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "chivedale/json_members.h"
#include "chivedale/testing/fake_scheduler.h"

namespace chivedale {
namespace {

using nlohmann::json;
using testing::RequestTo;

struct Fixture {
  testing::FakeScheduler scheduler;
  NullEventLog log;
  CallerApi api{scheduler, scheduler, scheduler.Threads(), log,
                CallerApi::Options()};

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

RequestResult Ok(const std::string& payload) {
  RequestResult result;
  result.ok = true;
  result.attempts = 2;
  result.payload = std::make_shared<const std::string>(payload);
  return result;
}

RequestResult Failure(ErrorKind kind, Ran ran) {
  RequestResult result;
  result.error = kind;
  result.ran = ran;
  result.detail = "because";
  result.attempts = 1;
  return result;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(Requests, Fixture)

BOOST_AUTO_TEST_CASE(PayloadAndAnswerPassUnchanged) {
  scheduler.result = Ok("{\"n\": 1.10, \"s\":\"}\\\"\"}");
  ApiRequest request = RequestTo(
      "POST", "/v1/requests",
      R"({"payload": {"a": [1.0, "}\"{"], "b":1e2} , "kind":"sort","deadline_ms":5000,"size":{"cpu_milli":250}})");
  request.headers.Add("idempotency-key", "key 1");
  const ApiResponse response = Call(std::move(request));
  BOOST_TEST(response.status == 200);
  BOOST_TEST(*response.body ==
             "{\"request_id\":\"key 1\",\"attempts\":2,\"answer\":"
             "{\"n\": 1.10, \"s\":\"}\\\"\"}}");
  BOOST_TEST(response.headers.Find("Idempotency-Key").value() == "key 1");
  const CallerSubmission& submission = scheduler.submissions.at(0);
  BOOST_TEST(*submission.payload == R"({"a": [1.0, "}\"{"], "b":1e2})");
  BOOST_TEST(submission.id.str() == "key 1");
  BOOST_TEST((submission.deadline == Millis(5'000)));
  BOOST_TEST((submission.size == Resources{250, 0, 0, 0}));
}

BOOST_AUTO_TEST_CASE(AnswersThatAreNoJsonBecomeStrings) {
  scheduler.result = Ok("plain \xff text");
  const ApiResponse response =
      Call("POST", "/v1/requests", R"({"kind":"sort"})");
  BOOST_TEST(BodyOf(response)["answer"] == "plain \xef\xbf\xbd text");
}

BOOST_AUTO_TEST_CASE(GeneratedIdsAreReturnedAndDiffer) {
  scheduler.result = Ok("1");
  const std::string body = R"({"kind":"sort"})";
  const std::string a =
      BodyOf(Call("POST", "/v1/requests", body))["request_id"];
  const std::string b =
      BodyOf(Call("POST", "/v1/requests", body))["request_id"];
  BOOST_TEST(a != b);
  BOOST_TEST(scheduler.submissions[0].id.str() == a);
  // Another process with the same seed must not generate the same ids.
  CallerApi::Options options;
  options.member = "e-2/77";
  CallerApi other(scheduler, scheduler, scheduler.Threads(), log, options);
  other.Handle(RequestTo("POST", "/v1/requests", body),
               [](const ApiResponse&) {});
  BOOST_TEST(scheduler.submissions[2].id.str() != a);
}

BOOST_AUTO_TEST_CASE(ErrorsTellWhetherTheWorkRan) {
  struct Case {
    ErrorKind kind;
    Ran ran;
    int status;
    bool retry;
  };
  for (const Case& c : std::vector<Case>{
           {ErrorKind::kQueueFull, Ran::kNo, 503, true},
           {ErrorKind::kRateLimited, Ran::kNo, 429, true},
           {ErrorKind::kTaskFailed, Ran::kYes, 502, false},
           {ErrorKind::kOutcomeUnknown, Ran::kUnknown, 504, false},
           // The `ran` of the result overrides the default of its kind.
           {ErrorKind::kInternal, Ran::kNo, 500, false}}) {
    scheduler.result = Failure(c.kind, c.ran);
    scheduler.result.retry_after = Millis(1'001);
    const ApiResponse response =
        Call("POST", "/v1/requests", R"({"kind":"sort"})");
    BOOST_TEST(response.status == c.status);
    BOOST_TEST(response.content_type == "application/problem+json");
    const json body = BodyOf(response);
    BOOST_TEST(body["kind"] == InfoForErrorKind(c.kind).name);
    BOOST_TEST(body["ran"] == RanName(c.ran));
    BOOST_TEST(body["retry"] == c.retry);
    BOOST_TEST(body["retry_after_ms"] == 1'001);
    BOOST_TEST(body["detail"] == "because");
    BOOST_TEST(body["attempts"] == 1);
    BOOST_TEST(response.headers.Find("Retry-After").value_or("none") ==
               (c.retry ? "2" : "none"));
  }
}

BOOST_AUTO_TEST_CASE(SubmitWithoutWaitReturnsQueued) {
  scheduler.result = Ok("1");
  const ApiResponse response =
      Call("POST", "/v1/requests?wait=false", R"({"kind":"sort"})");
  BOOST_TEST(response.status == 202);
  BOOST_TEST(BodyOf(response)["phase"] == "queued");
  scheduler.result = Failure(ErrorKind::kNoRow, Ran::kNo);
  BOOST_TEST(
      Call("POST", "/v1/requests?wait=false", R"({"kind":"x"})").status == 422);
}

BOOST_AUTO_TEST_CASE(BadInputIsRefusedBeforeTheScheduler) {
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"", "not valid JSON"},
      {"{", "not valid JSON"},
      {"[]", "not a JSON object"},
      {"{}", "'kind' is missing"},
      {R"({"kind":""})", "'kind'"},
      {R"({"kind":7})", "'kind': 7 is not a string"},
      {"{\"kind\":\"a\\u0001\"}", "'kind'"},
      {R"({"kind":"a","kind":"b"})", "'kind' is given twice"},
      {R"({"kind":"a","deadline_ms":0})", "an integer from 1 to 1800000"},
      {R"({"kind":"a","deadline_ms":1800001})", "an integer from 1 to"},
      {R"({"kind":"a","deadline_ms":1.5})", "1.5 is not an integer"},
      {R"({"kind":"a","deadline_ms":18446744073709551615})", "not an integer"},
      {R"({"kind":"a","size":{}})", "all components are 0"},
      {R"({"kind":"a","size":{"cpu":1}})", "unknown keys: 'cpu'"},
      {R"({"kind":"a","size":{"slots":-1}})", "'slots': -1"},
      {R"({"kind":"a","size":[]})", "not a JSON object"},
      {R"({"kind":"a","deadline":5})", "unknown keys: 'deadline'"},
  };
  for (const auto& [body, detail] : cases) {
    const ApiResponse response = Call("POST", "/v1/requests", body);
    BOOST_TEST(response.status == 400);
    const std::string found = BodyOf(response)["detail"];
    BOOST_TEST(found.find(detail) != std::string::npos, body << ": " << found);
    BOOST_TEST(BodyOf(response)["ran"] == "no");
  }
  BOOST_TEST(
      Call("POST", "/v1/requests?wait=maybe", R"({"kind":"a"})").status == 400);
  BOOST_TEST(Call("POST", "/v1/requests?x=1", R"({"kind":"a"})").status == 400);
  for (const std::string& key :
       {std::string(), std::string(129, 'k'), std::string("a\tb"),
        std::string("\xc3\xa9")}) {
    ApiRequest request = RequestTo("POST", "/v1/requests", R"({"kind":"a"})");
    request.headers.Add("Idempotency-Key", key);
    const ApiResponse response = Call(std::move(request));
    BOOST_TEST(response.status == 400);
  }
  const std::string large(1 << 20, ' ');
  BOOST_TEST(Call("POST", "/v1/requests", large + "{}").status == 413);
  BOOST_TEST(scheduler.submissions.empty());
}

BOOST_AUTO_TEST_CASE(AFullControlQueueIsReportedAsOverload) {
  scheduler.control_queue_full = true;
  const ApiResponse response =
      Call("POST", "/v1/requests", R"({"kind":"sort"})");
  BOOST_TEST(response.status == 503);
  BOOST_TEST(BodyOf(response)["kind"] == "overloaded");
  BOOST_TEST(BodyOf(response)["ran"] == "no");
  BOOST_TEST(response.headers.Find("Retry-After").value() == "1");
}

BOOST_AUTO_TEST_CASE(StateAndCancel) {
  BOOST_TEST(Call("GET", "/v1/requests/a").status == 404);
  RequestView view;
  view.id = RequestId("a/b");
  view.kind = "sort";
  view.phase = RequestPhase::kRunning;
  scheduler.view = view;
  BOOST_TEST(BodyOf(Call("GET", "/v1/requests/a%2Fb"))["phase"] == "running");
  scheduler.view->phase = RequestPhase::kFinished;
  scheduler.view->result = Ok("[1]");
  BOOST_TEST(BodyOf(Call("GET", "/v1/requests/a%2Fb"))["answer"] == json({1}));
  scheduler.view->result = Failure(ErrorKind::kTaskFailed, Ran::kYes);
  BOOST_TEST(BodyOf(Call("GET", "/v1/requests/a%2Fb"))["error"]["kind"] ==
             "task_failed");
  scheduler.result = Failure(ErrorKind::kCancelled, Ran::kNo);
  const ApiResponse response = Call("DELETE", "/v1/requests/a%2Fb");
  BOOST_TEST(response.status == 200);
  BOOST_TEST(BodyOf(response)["ran"] == "no");
  BOOST_TEST(scheduler.cancelled.at(0).str() == "a/b");
  scheduler.result = Failure(ErrorKind::kNotFound, Ran::kNo);
  BOOST_TEST(Call("DELETE", "/v1/requests/x").status == 404);
  BOOST_TEST(Call("GET", "/v1/requests/%zz").status == 400);
  BOOST_TEST(Call("GET", "/v1/requests/%0a").status == 400);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Jobs, Fixture)

BOOST_AUTO_TEST_CASE(SubmitShowScaleCancel) {
  JobStatus status;
  status.spec.id = JobId("j-1");
  status.tasks.push_back({});
  scheduler.job_result.ok = true;
  scheduler.job_result.status = status;
  const ApiResponse response =
      Call("POST", "/v1/jobs",
           R"({"id":"j-1","kind":"erosion","tasks":3,"payload":{"x": 1}})");
  BOOST_TEST(response.status == 201);
  BOOST_TEST(BodyOf(response)["tasks"][0]["phase"] == "waiting");
  BOOST_TEST(scheduler.jobs.at(0).tasks == 3);
  BOOST_TEST(scheduler.jobs.at(0).payload == "{\"x\": 1}");
  BOOST_TEST(Call("GET", "/v1/jobs/j-1").status == 200);
  BOOST_TEST(Call("PUT", "/v1/jobs/j-1/count", R"({"count":5})").status == 200);
  BOOST_TEST(Call("DELETE", "/v1/jobs/j-1").status == 200);
  const std::vector<std::string> expected = {"find j-1", "count j-1 5",
                                             "cancel j-1"};
  BOOST_TEST(scheduler.job_calls == expected, boost::test_tools::per_element());
  scheduler.job_result = JobResult{};
  scheduler.job_result.error = ErrorKind::kNotFound;
  BOOST_TEST(Call("GET", "/v1/jobs/j-2").status == 404);
}

BOOST_AUTO_TEST_CASE(BadInputIsRefused) {
  for (const char* body :
       {"{}", R"({"id":"a/b","kind":"k"})",
        R"({"id":"a","kind":"k","tasks":0})",
        R"({"id":"a","kind":"k","tasks":10001})", R"({"id":"a"})"}) {
    BOOST_TEST(Call("POST", "/v1/jobs", body).status == 400);
  }
  BOOST_TEST(Call("PUT", "/v1/jobs/a/count", R"({"count":-1})").status == 400);
  BOOST_TEST(scheduler.jobs.empty());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Paths, Fixture)

BOOST_AUTO_TEST_CASE(UnknownPathsAndMethods) {
  BOOST_TEST(Call("GET", "/").status == 404);
  BOOST_TEST(Call("GET", "/v1/requests/a/b").status == 404);
  BOOST_TEST(Call("GET", "/v1/requests/").status == 404);
  const ApiResponse response = Call("PUT", "/v1/requests/a");
  BOOST_TEST(response.status == 405);
  BOOST_TEST(response.headers.Find("Allow").value() == "GET, DELETE");
  BOOST_TEST(api.Handles("/v1/jobs/x"));
  BOOST_TEST(!api.Handles("/v1/table"));
}

// Members are found in any JSON object, regardless of the form of their values.
RC_BOOST_PROP(MembersAreFoundInAnyObject,
              (const std::vector<std::string>& texts)) {
  json object = json::object();
  for (size_t i = 0; i < texts.size(); ++i) {
    const std::string text =
        json(texts[i]).dump(-1, ' ', false, json::error_handler_t::replace);
    const json value = json::parse(text);
    object["k" + std::to_string(i)] =
        i % 2 == 0 ? json(value) : json({{"n", {value, 1.5, nullptr}}});
  }
  const std::string text = object.dump(texts.size() % 2 == 0 ? -1 : 2);
  const JsonMembers members(text);
  for (const auto& [key, value] : object.items()) {
    RC_ASSERT(json::parse(members.Find(key).value()) == value);
  }
}

RC_BOOST_PROP(ArbitraryBodiesGetOneAnswer, (const std::string& body)) {
  Fixture fixture;
  fixture.Call("POST", "/v1/requests", body);
  fixture.Call("POST", "/v1/jobs", body);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
