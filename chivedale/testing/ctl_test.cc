// Guards against a command that does not do what its help says, an exit code
// that misleads scripts, and a change that is sent again under a new id after a
// lost answer.
#include <rapidcheck/boost_test.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <deque>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "chivedale/api_problem.h"
#include "chivedale/burn_json.h"
#include "chivedale/ctl_render.h"
#include "chivedale/ctl_run.h"
#include "chivedale/ctl_table_edit.h"

namespace chivedale {
namespace {

using nlohmann::json;

constexpr char kTable[] =
    R"({"revision":6,"author":"ana","change_id":"c0","changed_at_ms":0,)"
    R"("rows":[{"kind":"page.scan","weight":1},{"kind":"sort"}],)"
    R"("teams":[{"name":"a"}]})";

CallResult Answered(int status, std::string body) {
  return {CallOutcome::kAnswered, status, std::move(body), ""};
}
CallResult Failed(ErrorKind kind, std::optional<Ran> ran = std::nullopt) {
  Problem problem;
  problem.kind = kind;
  problem.ran = ran;
  problem.detail = "because";
  return Answered(InfoForErrorKind(kind).http_status, ProblemToJson(problem));
}
CallResult NotSent() {
  return {CallOutcome::kNotSent, 0, "", "refused"};
}
CallResult Lost() {
  return {CallOutcome::kLost, 0, "", "end of stream"};
}

class FakeTransport final : public CtlTransport {
 public:
  CallResult Call(const util::IpPort& server,
                  const CtlRequest& request,
                  Millis) override {
    calls.emplace_back(server.port, request);
    if (script.empty()) {
      return NotSent();
    }
    CallResult result = script.front();
    script.pop_front();
    return result;
  }

  std::deque<CallResult> script;
  std::vector<std::pair<uint16_t, CtlRequest>> calls;
};

struct Fixture {
  FakeTransport transport;
  util::Random random{1};
  std::ostringstream out;
  std::ostringstream err;

  int Run(const std::vector<std::string>& arguments,
          std::deque<CallResult> script = {}) {
    transport.script = std::move(script);
    transport.calls.clear();
    out.str("");
    err.str("");
    return static_cast<int>(RunCtl(arguments, transport, random, out, err));
  }
};

class TempFile {
 public:
  explicit TempFile(const std::string& text)
      : path_("ctl_test." + std::to_string(::getpid()) + ".tmp") {
    std::ofstream(path_) << text;
  }
  ~TempFile() { std::remove(path_.c_str()); }
  const std::string& path() const { return path_; }
  std::string Read() const {
    std::ostringstream text;
    text << std::ifstream(path_).rdbuf();
    return text.str();
  }

 private:
  std::string path_;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CommandLine, Fixture)

BOOST_AUTO_TEST_CASE(BadUsageExitsWithTwoAndSendsNothing) {
  const std::vector<std::vector<std::string>> cases = {
      {},
      {"tables"},
      {"table"},
      {"status", "now"},
      {"submit"},
      {"job", "scale", "j"},
      {"job", "scale", "j", "-1"},
      {"job", "scale", "j", "many"},
      {"status", "--colour"},
      {"status", "--server"},
      {"status", "--server", "host:1"},
      {"status", "--server", "127.0.0.1:1,"},
      {"status", "--server", "127.0.0.1:0"},
      {"status", "--timeout", "0"},
      {"status", "--html", "x"},
      {"submit", "sort", "--payload", "{"},
      {"submit", "sort", "--payload", "1", "--payload-file", "x"},
      {"submit", "sort", "--payload-file", "/nonexistent"},
      {"submit", "sort", "--deadline", "0"},
      {"submit", "sort", "--id", ""},
      {"table", "edit"},
      {"table", "edit", "sort.weight"},
      {"table", "edit", "weight=1"},
      {"table", "apply", "/nonexistent"},
      {"table", "diff", "/nonexistent"},
      {"table", "history", "--limit", "201"},
      {"drain", "--server", "127.0.0.1:1,127.0.0.1:2"},
  };
  for (const auto& arguments : cases) {
    std::string shown;
    for (const std::string& argument : arguments) {
      shown += argument + " ";
    }
    BOOST_TEST_CONTEXT(shown) {
      BOOST_TEST(Run(arguments) == 2);
      BOOST_TEST(!err.str().empty());
      BOOST_TEST(transport.calls.empty());
    }
  }
}

BOOST_AUTO_TEST_CASE(HelpOnEachVerbNamesTheExitCodes) {
  for (const std::vector<std::string>& verb :
       std::vector<std::vector<std::string>>{{},
                                             {"table", "show"},
                                             {"table", "edit"},
                                             {"table", "apply"},
                                             {"table", "diff"},
                                             {"table", "history"},
                                             {"status"},
                                             {"workers"},
                                             {"queue"},
                                             {"submit"},
                                             {"cancel"},
                                             {"job", "submit"},
                                             {"job", "show"},
                                             {"job", "cancel"},
                                             {"job", "scale"},
                                             {"drain"},
                                             {"report", "burn"}}) {
    std::vector<std::string> arguments = verb;
    arguments.emplace_back("--help");
    BOOST_TEST(Run(arguments) == 0);
    BOOST_TEST(out.str().find("5 outcome unknown") != std::string::npos);
    BOOST_TEST(out.str().find("--server") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(ExitCodes, Fixture)

BOOST_AUTO_TEST_CASE(FollowTheAnswer) {
  struct Case {
    CallResult result;
    int code;
  };
  for (const Case& c :
       std::vector<Case>{{Answered(200, "{}"), 0},
                         {Failed(ErrorKind::kNotFound), 1},
                         {Failed(ErrorKind::kTaskFailed), 1},
                         {Failed(ErrorKind::kOutcomeUnknown), 5},
                         {Failed(ErrorKind::kInternal), 5},
                         {Failed(ErrorKind::kInternal, Ran::kNo), 1},
                         {Failed(ErrorKind::kTableConflict), 4},
                         {Answered(500, "no json"), 1},
                         {NotSent(), 3},
                         {Lost(), 5}}) {
    // The second result is the answer to the repeated send after a lost answer.
    BOOST_TEST(Run({"cancel", "r-1"}, {c.result, c.result}) == c.code);
  }
}

BOOST_AUTO_TEST_CASE(ALostReadLeavesNothingUnknown) {
  BOOST_TEST(Run({"status"}, {Lost()}) == 3);
  BOOST_TEST(Run({"table", "edit", "--add-row", "x"}, {Lost()}) == 3);
}

BOOST_AUTO_TEST_CASE(OtherServersAreAskedInOrder) {
  const std::string servers = "--server=127.0.0.1:1,127.0.0.1:2,[::1]:3";
  BOOST_TEST(Run({"queue", servers}, {NotSent(), Failed(ErrorKind::kDraining),
                                      Answered(200, R"({"rows":[]})")}) == 0);
  BOOST_TEST(transport.calls.at(2).first == 3);
  BOOST_TEST(Run({"queue", servers}) == 3);
  // A refusal that does not depend on the process is final.
  BOOST_TEST(Run({"cancel", "x", servers}, {Failed(ErrorKind::kNotFound)}) ==
             1);
  BOOST_TEST(transport.calls.size() == 1u);
  // An answer takes precedence over a later failure to connect.
  BOOST_TEST(Run({"cancel", "x", servers}, {Failed(ErrorKind::kDraining)}) ==
             1);
}

BOOST_AUTO_TEST_CASE(LostSubmitsAreRepeatedOnceWithTheSameId) {
  const std::string servers = "--server=127.0.0.1:1,127.0.0.1:2";
  BOOST_TEST(Run({"submit", "sort", "--payload", R"({"a": 1.0})", servers},
                 {Lost(), Answered(200, R"({"answer":1})")}) == 0);
  BOOST_REQUIRE_EQUAL(transport.calls.size(), 2u);
  const CtlRequest& first = transport.calls[0].second;
  BOOST_TEST(first.idempotency_key ==
             transport.calls[1].second.idempotency_key);
  BOOST_TEST(!first.idempotency_key.empty());
  BOOST_TEST(first.body.find(R"("payload":{"a": 1.0})") != std::string::npos);
  BOOST_TEST(transport.calls[1].first == 2);
  BOOST_TEST(out.str() == "{\"answer\":1}\n");
  // A refusal by the second process for lack of capacity does not tell whether
  // the first send took effect.
  for (const CallResult& second :
       {Lost(), NotSent(), Failed(ErrorKind::kOverloaded),
        Failed(ErrorKind::kRateLimited)}) {
    BOOST_TEST(Run({"submit", "sort", servers}, {Lost(), second}) == 5);
    BOOST_TEST(transport.calls.size() == 2u);
    BOOST_TEST(err.str().find("--id") != std::string::npos);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(TableVerbs, Fixture)

BOOST_AUTO_TEST_CASE(EditSendsOneChangeOnTheRevisionItRead) {
  BOOST_TEST(Run({"table", "edit", "page.scan.weight=2.5", "sort.team=a",
                  "team:a.slots=7", "--add-row", "new", "new.shape=task",
                  "--author", "rui"},
                 {Answered(200, kTable), Lost(),
                  Answered(200, R"({"revision":7})")}) == 0);
  BOOST_REQUIRE_EQUAL(transport.calls.size(), 3u);
  BOOST_TEST(transport.calls[1].second.body == transport.calls[2].second.body);
  const json body = json::parse(transport.calls[1].second.body);
  BOOST_TEST(body["base_revision"] == 6);
  BOOST_TEST(body["author"] == "rui");
  BOOST_TEST(body["change_id"].get<std::string>().size() == 32u);
  BOOST_TEST(body["rows"][0]["weight"] == 2.5);
  BOOST_TEST(body["rows"][1]["team"] == "a");
  BOOST_TEST(body["rows"][2] == json({{"kind", "new"}, {"shape", "task"}}));
  BOOST_TEST(body["teams"][0]["slots"] == 7);
  BOOST_TEST(out.str() == "revision 7\n");
}

BOOST_AUTO_TEST_CASE(ConflictsAndUnknownOutcomesAreToldApart) {
  const std::vector<std::string> edit = {"table", "edit", "sort.weight=2"};
  BOOST_TEST(Run(edit, {Answered(200, kTable),
                        Failed(ErrorKind::kTableConflict)}) == 4);
  BOOST_TEST(Run(edit, {Answered(200, kTable), Failed(ErrorKind::kBadTable)}) ==
             1);
  BOOST_TEST(Run(edit, {Answered(200, kTable), Lost(), Lost()}) == 5);
  BOOST_TEST(err.str().find("--change-id") != std::string::npos);
  BOOST_TEST(Run(edit, {Answered(200, kTable),
                        Failed(ErrorKind::kStoreDown, Ran::kUnknown)}) == 5);
  for (const char* argument : {"nosuch.weight=1", "team:b.slots=1"}) {
    BOOST_TEST(Run({"table", "edit", argument}, {Answered(200, kTable)}) == 2);
    BOOST_TEST(transport.calls.size() == 1u);
  }
  BOOST_TEST(Run({"table", "edit", "--add-row", "sort"},
                 {Answered(200, kTable)}) == 2);
}

BOOST_AUTO_TEST_CASE(ApplyAndDiffReadTheFile) {
  const TempFile file(
      R"({"revision":5,"rows":[{"kind":"sort","weight":3}],"teams":[]})");
  BOOST_TEST(Run({"table", "apply", file.path()},
                 {Failed(ErrorKind::kTableConflict)}) == 4);
  BOOST_TEST(json::parse(transport.calls[0].second.body)["base_revision"] == 5);
  BOOST_TEST(Run({"table", "diff", file.path()}, {Answered(200, kTable)}) == 0);
  BOOST_TEST(out.str().find("weight") != std::string::npos);
  BOOST_TEST(out.str().find("page.scan") != std::string::npos);
  const TempFile bad(R"({"rows":[{"kind":"sort","colour":3}],"teams":[]})");
  BOOST_TEST(Run({"table", "apply", bad.path()}) == 2);
}

BOOST_AUTO_TEST_CASE(CellsAreSplitAtTheLastDotOfTheName) {
  const CellEdit cell = ParseCellEdit("a.b.weight=x=1.5");
  BOOST_TEST(cell.name == "a.b");
  BOOST_TEST(cell.column == "weight");
  BOOST_TEST(cell.value == "\"x=1.5\"");
  BOOST_TEST(ParseCellEdit("a.team=\"7\"").value == "\"7\"");
}

RC_BOOST_PROP(ArbitraryCellsAreRefusedOrKept, (const std::string& text)) {
  try {
    const CellEdit cell = ParseCellEdit(text);
    RC_ASSERT(json::accept(cell.value));
    RC_ASSERT(!cell.column.empty());
  } catch (const UsageError&) {
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(Output, Fixture)

BOOST_AUTO_TEST_CASE(ColumnsAreAligned) {
  TextTable table({"NAME", "COUNT"});
  table.Add({"a\x1b[2J", "7"});
  table.Add({"\xc3\xa9t\xc3\xa9", "1234"});
  BOOST_TEST(table.Render() ==
             "NAME   COUNT\n"
             "a?[2J      7\n"
             "\xc3\xa9t\xc3\xa9     1234\n");
}

BOOST_AUTO_TEST_CASE(JsonIsTheServersAnswer) {
  BOOST_TEST(Run({"table", "show", "--json"}, {Answered(200, kTable)}) == 0);
  BOOST_TEST(out.str() == std::string(kTable) + "\n");
  BOOST_TEST(Run({"table", "show"}, {Answered(200, kTable)}) == 0);
  BOOST_TEST(out.str().find("page.scan") != std::string::npos);
  BOOST_TEST(Run({"workers"}, {Answered(200, "{}")}) == 1);
}

BOOST_AUTO_TEST_CASE(BurnIsMergedOnceForEachMember) {
  BurnSnapshot snapshot;
  snapshot.member = "e-1/a";
  BurnRowSnapshot& row = snapshot.rows["sort"];
  row.wait_buckets.resize(kBurnWaitBuckets);
  row.windows[0].total = row.windows[3].total = 10;
  const std::string a = BurnSnapshotToJson(snapshot);
  snapshot.member = "e-2/b";
  const std::string b = BurnSnapshotToJson(snapshot);
  const std::string servers =
      "--server=127.0.0.1:1,127.0.0.1:2,127.0.0.1:3,127.0.0.1:4";
  const TempFile page("");
  BOOST_TEST(Run({"report", "burn", servers, "--json", "--html", page.path()},
                 {Answered(200, a), Answered(200, b), Answered(200, a)}) == 0);
  const json report = json::parse(out.str());
  BOOST_TEST(report["rows"][0]["windows"][0]["total"] == 20);
  const std::string gaps = report["gaps"].dump();
  BOOST_TEST(gaps.find("127.0.0.1:4 returned no snapshot") !=
             std::string::npos);
  BOOST_TEST(page.Read().find("127.0.0.1:4 returned no snapshot") !=
             std::string::npos);
  BOOST_TEST(Run({"report", "burn", servers}) == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
