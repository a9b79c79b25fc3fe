// Runs three daemons in one process with real sockets and stand-ins for the
// platform. Guards the integration of the components, the states of a daemon
// that a load balancer sees, and the refusal of bad input.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "chivedale/error.h"
#include "chivedale/testing/daemon_cell.h"

namespace chivedale::testing {
namespace {

using boost::asio::ip::tcp;
using Json = nlohmann::json;

// Sends `text` over a new connection and returns what it reads until the end.
std::string SendRaw(const std::string& address,
                    const std::string& text,
                    bool close_immediately) {
  boost::asio::io_context io;
  tcp::socket socket(io);
  const HttpAddress parsed = ParseHttpAddress(address);
  socket.connect({boost::asio::ip::make_address(parsed.ip), parsed.port});
  boost::asio::write(socket, boost::asio::buffer(text));
  std::string answer;
  if (!close_immediately) {
    boost::system::error_code ignored;
    boost::asio::read(socket, boost::asio::dynamic_buffer(answer), ignored);
  }
  return answer;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(ACellOverSockets, Cell)

// A load balancer polls /readyz, which must change while requests are still
// running.
BOOST_AUTO_TEST_CASE(ADrainingDaemonIsNotReadyAndRefusesNewWork) {
  StartAll();
  std::atomic<bool> answered{false};
  HttpCall call = MakeCall(callers[1], "POST", "/v1/requests",
                           R"({"kind":"sort","payload":{"run_ms":1500}})");
  call.headers = {{"Idempotency-Key", "long"}};
  client.Call(std::move(call), [&](const HttpResult& result) {
    answered = result.http_status == 200;
  });
  BOOST_REQUIRE(WaitUntil([&] {
    return Json::parse(*Call(1, "GET", "/v1/status").body)
               .value("open_requests", int64_t{0}) == 1;
  }));
  daemons[1]->Stop();
  BOOST_TEST(WaitUntil([&] { return !IsReady(1); }));
  BOOST_TEST(!answered);
  const HttpResult refused =
      Call(1, "POST", "/v1/requests", R"({"kind":"sort","payload":{}})",
           {{"Idempotency-Key", "late"}});
  BOOST_TEST(refused.http_status == 503);
  BOOST_TEST(KindOf(refused) == "draining");
  BOOST_TEST(daemons[1]->Join() == 0);
  BOOST_TEST(answered);
}

// The replacement uses the addresses of the daemon that it replaces.
BOOST_AUTO_TEST_CASE(AReplacementAtTheSameAddressesJoins) {
  StartAll();
  daemons[2]->Stop();
  BOOST_TEST(daemons[2]->Join() == 0);
  Settings settings = SettingsOf(2);
  settings.vm_id = "entry-2-2";
  daemons[2] = std::make_unique<RunningDaemon>(settings);
  BOOST_REQUIRE(WaitUntil([&] { return IsReady(2); }));
  Callers load(*this);
  for (int i = 0; i < 60; ++i) {
    load.Send(i);
  }
  BOOST_TEST(WaitUntil([&] { return load.right + load.wrong == 60; }));
  BOOST_TEST(load.right == 60);
  BOOST_TEST(workers.violations().total() == 0);
}

BOOST_AUTO_TEST_CASE(ADaemonThatStartsWithTheStoreDownIsNotReady) {
  StoreStandin::Faults down;
  down.down = true;
  store.SetFaults(down);
  Start(0);
  BOOST_REQUIRE(
      WaitUntil([&] { return Call(0, "GET", "/healthz").http_status == 200; }));
  const HttpResult ready = Call(0, "GET", "/readyz");
  BOOST_TEST(ready.http_status == 503);
  // Must not be `no_row`, which would tell callers not to retry.
  const HttpResult refused =
      Call(0, "POST", "/v1/requests", R"({"kind":"sort","payload":{}})",
           {{"Idempotency-Key", "early"}});
  BOOST_TEST(refused.http_status == 503);
  BOOST_TEST(KindOf(refused) == "not_ready");
  const HttpResult edit = Call(0, "PUT", "/v1/table", kTable);
  BOOST_TEST(edit.http_status == 503);
  BOOST_TEST(KindOf(edit) == "store_down");
  store.SetFaults({});
  BOOST_TEST(WaitUntil(
      [&] { return Call(0, "PUT", "/v1/table", kTable).http_status == 200; }));
  BOOST_TEST(WaitUntil([&] { return IsReady(0); }));
}

BOOST_AUTO_TEST_SUITE(RefusesBadInput)

BOOST_AUTO_TEST_CASE(OfCallersAndOperators) {
  StartAll();
  struct Case {
    const char* method;
    const char* target;
    std::string body;
    int status;
    const char* kind;
  };
  const Case cases[] = {
      {"POST", "/v1/requests", "{", 400, "bad_request"},
      {"POST", "/v1/requests", R"({"kind":"none","payload":{}})", 422,
       "no_row"},
      {"POST", "/v1/requests", std::string(size_t{2} << 20, 'x'), 413,
       "body_too_large"},
      {"PUT", "/v1/table",
       R"({"base_revision":0,"change_id":"c","author":"a","rows":[{"kind":"x","weight":-1}],"teams":[]})",
       422, "bad_table"},
      {"PUT", "/v1/table", "{", 400, "bad_request"},
      {"GET", "/v1/none", "", 404, "not_found"}};
  for (const Case& c : cases) {
    BOOST_TEST_CONTEXT(c.method << " " << c.target << " " << c.kind) {
      const HttpResult result =
          Call(0, c.method, c.target, c.body, {{"Idempotency-Key", "bad"}});
      BOOST_TEST(result.http_status == c.status);
      BOOST_TEST(KindOf(result) == c.kind);
    }
  }
  // The table in force is unchanged.
  BOOST_TEST(
      Json::parse(*Call(0, "GET", "/v1/table").body).value("revision", 0) == 1);
  workers.ReadTaskRuns([](const TaskRunLog& task_runs) {
    BOOST_TEST(task_runs.runs().empty());
  });
}

BOOST_AUTO_TEST_CASE(AnIncompleteRequestIsNotRunAndIsReleased) {
  StartAll();
  const std::string head =
      "POST /v1/requests HTTP/1.1\r\nHost: x\r\nIdempotency-Key: half\r\n";
  SendRaw(
      callers[0],
      head + "Content-Length: 100\r\n\r\n{\"kind\":\"sort\",\"payload\":{}}",
      true);
  SendRaw(callers[0], head.substr(0, 20), true);
  BOOST_TEST(SendRaw(callers[0], "no http\r\n\r\n", false).find(" 400 ") !=
             std::string::npos);
  BOOST_TEST(Json::parse(*Call(0, "GET", "/v1/status").body)
                 .value("open_requests", int64_t{-1}) == 0);
  workers.ReadTaskRuns([](const TaskRunLog& task_runs) {
    BOOST_TEST(task_runs.runs().empty());
  });
  daemons[0]->Stop();
  BOOST_TEST(daemons[0]->Join() == 0);
}

BOOST_AUTO_TEST_CASE(OfSettings) {
  Start(0);
  Settings taken = SettingsOf(1);
  taken.caller_address = callers[0];
  BOOST_CHECK_EXCEPTION(Daemon daemon(taken), Error, [](const Error& error) {
    return error.kind() == ErrorKind::kBadSettings;
  });
  taken = SettingsOf(1);
  taken.peer_address = peers[0];
  BOOST_CHECK_EXCEPTION(Daemon daemon(taken), Error, [](const Error& error) {
    return error.kind() == ErrorKind::kBadSettings;
  });
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
