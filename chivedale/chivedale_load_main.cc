// Sends the requests of a load profile to a cell on loopback and compares the
// results of callers with the run records of the workers. Exits with 0 only
// without losses and contradictions.
#include <getopt.h>

#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <exception>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>

#include "chivedale/error.h"
#include "chivedale/http_client.h"
#include "chivedale/load_caller.h"
#include "chivedale/load_plan.h"
#include "chivedale/load_results.h"
#include "chivedale/request_ledger.h"
#include "chivedale/table_codec.h"
#include "chivedale/testing/worker_model.h"

namespace chivedale {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

constexpr char kUsage[] =
    "usage: chivedale_load --entries IP:PORT[,...] --profile FILE\n"
    "                      [--table FILE] [--book IP:PORT] [--seed N]\n"
    "                      [--label TEXT] [--json FILE] [--unanswered FILE]\n"
    "\n"
    "  --entries   entry addresses, chosen at random for each send\n"
    "  --profile   load profile in JSON (examples/load_demo.json)\n"
    "  --table     table in JSON; tells which kinds are unrepeatable\n"
    "  --book      control address of the stand-ins, for the run records\n"
    "  --seed      seed of the plan (default 1)\n"
    "  --label     label in the JSON lines (default load)\n"
    "  --json      append one JSON line per kind to this file\n"
    "  --unanswered  write a line for each send without an answer: time in\n"
    "              ms since 1970, entry, not_sent or cut_off, reason\n"
    "\n"
    "Exit codes: 0 no loss, mixed-up answer, contradiction or violation by a\n"
    "worker; 1 otherwise; 2 bad usage, or a failure to read or fetch.\n";

struct Arguments {
  std::vector<std::string> entries;
  std::string profile;
  std::string table;
  std::string book;
  std::string label = "load";
  std::string json;
  std::string unanswered;
  uint64_t seed = 1;
};

std::vector<std::string> Split(const std::string& text) {
  std::vector<std::string> parts;
  std::stringstream in(text);
  for (std::string part; std::getline(in, part, ',');) {
    parts.push_back(part);
  }
  return parts;
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    throw Error(ErrorKind::kBadRequest, "cannot read '" + path + "'");
  }
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

bool Parse(int argc, char** argv, Arguments& arguments) {
  static constexpr option kOptions[] = {
      {"entries", required_argument, nullptr, 'e'},
      {"profile", required_argument, nullptr, 'p'},
      {"table", required_argument, nullptr, 't'},
      {"book", required_argument, nullptr, 'b'},
      {"seed", required_argument, nullptr, 's'},
      {"label", required_argument, nullptr, 'l'},
      {"json", required_argument, nullptr, 'j'},
      {"unanswered", required_argument, nullptr, 'u'},
      {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "", kOptions, nullptr)) != -1) {
    switch (choice) {
      case 'e':
        arguments.entries = Split(optarg);
        break;
      case 'p':
        arguments.profile = optarg;
        break;
      case 't':
        arguments.table = optarg;
        break;
      case 'b':
        arguments.book = optarg;
        break;
      case 's':
        arguments.seed = std::stoull(optarg);
        break;
      case 'l':
        arguments.label = optarg;
        break;
      case 'j':
        arguments.json = optarg;
        break;
      case 'u':
        arguments.unanswered = optarg;
        break;
      default:
        return false;
    }
  }
  return !arguments.entries.empty() && !arguments.profile.empty();
}

std::map<std::string, bool> UnrepeatableKinds(const std::string& path) {
  std::map<std::string, bool> kinds;
  if (!path.empty()) {
    for (const auto& [kind, row] : ParseTable(ReadFile(path)).rows) {
      kinds[kind] = !row.repeatable;
    }
  }
  return kinds;
}

// Runs the io_context until the answer has arrived.
nlohmann::json Fetch(const std::string& address, const std::string& target) {
  boost::asio::io_context io(1);
  HttpClient client(io, HttpClient::Options());
  HttpResult result;
  client.Call({address, "GET", target, {}, "", nullptr, Millis(10'000)},
              [&](HttpResult answer) {
                result = std::move(answer);
                io.stop();
              });
  io.run();
  if (result.status != CallStatus::kAnswered) {
    throw Error(ErrorKind::kNotFound, "no answer from " + address + target);
  }
  return nlohmann::json::parse(*result.body);
}

WorkerRunRecords FetchRunRecords(const std::string& address) {
  WorkerRunRecords records;
  const nlohmann::json records_json = Fetch(address, "/book?all=1");
  for (const auto& [task, runs] : records_json["runs"].items()) {
    const RequestId id = RequestOfTask(TaskId(task));
    WorkerRunRecord& entry = records[id.str()];
    for (const nlohmann::json& run : runs) {
      ++entry.runs;
      entry.completed += run.value("outcome", "") == "ok" ? 1 : 0;
    }
  }
  return records;
}

bool SameAnswer(const std::string& id,
                const std::string& payload,
                const std::string& answer) {
  const std::string expected =
      testing::ExpectedAnswer(TaskOfRequest(RequestId(id)), payload);
  return nlohmann::json::parse(expected) == nlohmann::json::parse(answer);
}

int Report(const Arguments& arguments, const LoadResults& results) {
  std::printf("%s", results.TableText().c_str());
  if (!arguments.json.empty()) {
    std::ofstream(arguments.json, std::ios::app)
        << results.JsonLines(arguments.label);
  }
  const int64_t lost = results.Count(LoadOutcome::kLost);
  const int64_t mixed = results.Count(LoadOutcome::kMixedUp);
  LoadContradictions found;
  int64_t violations = 0;
  if (!arguments.book.empty()) {
    found = results.Compare(FetchRunRecords(arguments.book),
                            UnrepeatableKinds(arguments.table));
    const nlohmann::json counted = Fetch(arguments.book, "/violations");
    violations = counted.value("total", int64_t{0});
    std::printf("violations counted by workers: %s\n", counted.dump().c_str());
  }
  for (const std::string& detail : found.details) {
    std::printf("  %s\n", detail.c_str());
  }
  std::printf(
      "sent %zu, answered %lld, refused %lld, unknown %lld, lost %lld, "
      "mixed up %lld, unrepeatable run twice %lld, run though reported as not "
      "run %lld, answered without a run %lld, worker violations %lld\n",
      results.requests().size(),
      static_cast<long long>(results.Count(LoadOutcome::kOk)),
      static_cast<long long>(results.Count(LoadOutcome::kRefused)),
      static_cast<long long>(results.Count(LoadOutcome::kUnknown)),
      static_cast<long long>(lost), static_cast<long long>(mixed),
      static_cast<long long>(found.unrepeatable_run_twice),
      static_cast<long long>(found.run_but_reported_not_run),
      static_cast<long long>(found.answered_without_run),
      static_cast<long long>(violations));
  const bool right = lost + mixed + found.total() + violations == 0;
  std::printf("%s\n", right ? "RIGHT" : "WRONG");
  return right ? kExitOk : kExitViolation;
}

int64_t EpochMillis() {
  return std::chrono::duration_cast<Millis>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

int Run(const Arguments& arguments) {
  LoadPlan plan(ParseLoadProfile(ReadFile(arguments.profile)), arguments.seed);
  const util::SteadyClock clock;
  boost::asio::io_context io(1);
  HttpClient::Options http;
  // Large enough that the client itself neither refuses nor delays arrivals.
  http.max_connections_per_address = 2'000;
  http.max_waiting_per_address = 100'000;
  HttpClient client(io, http);
  LoadCaller::Options options;
  options.entries = arguments.entries;
  std::ofstream unanswered(arguments.unanswered);
  options.unanswered = [&unanswered](const std::string& entry,
                                     const HttpResult& result) {
    unanswered << EpochMillis() << " " << entry
               << (result.status == CallStatus::kNotSent ? " not_sent "
                                                         : " cut_off ")
               << result.error << "\n";
  };
  LoadCaller caller(io, client, clock, plan, arguments.seed, options,
                    SameAnswer);
  caller.Start([&io] { io.stop(); });
  io.run();
  return Report(arguments, caller.results());
}

}  // namespace
}  // namespace chivedale

int main(int argc, char** argv) {
  chivedale::Arguments arguments;
  try {
    if (!chivedale::Parse(argc, argv, arguments)) {
      std::fputs(chivedale::kUsage, stderr);
      return chivedale::kExitUsage;
    }
    return chivedale::Run(arguments);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "chivedale_load: %s\n", error.what());
    return chivedale::kExitUsage;
  }
}
