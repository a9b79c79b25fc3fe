// One table describes each option, for getopt_long, for assigning its value and
// for the help text.
#include "chivedale/ctl_options.h"

#include <getopt.h>

#include <charconv>
#include <functional>
#include <variant>

namespace chivedale {
namespace {

constexpr int64_t kMaxMillis = 3'600'000;
constexpr int64_t kMaxTasks = 1'000'000;
constexpr int64_t kMaxLimit = 200;

struct Flag {
  bool CtlOptions::*member;
};
struct Text {
  std::string CtlOptions::*member;
};
struct OptionalText {
  std::optional<std::string> CtlOptions::*member;
};
struct TextList {
  std::vector<std::string> CtlOptions::*member;
};
struct Integer {
  std::optional<int64_t> CtlOptions::*member;
  int64_t min;
  int64_t max;
};
struct Timeout {};
struct Servers {};

struct Option {
  const char* name;
  const char* argument;  // for the help text; null if the option takes none
  std::variant<Flag, Text, OptionalText, TextList, Integer, Timeout, Servers>
      target;
  const char* help;
};

const std::vector<Option>& AllOptions() {
  using O = CtlOptions;
  static const auto& options = *new std::vector<Option>{
      {"server", "IP:PORT[,IP:PORT...]", Servers{},
       "daemons, asked in this order (default 127.0.0.1:8080)"},
      {"json", nullptr, Flag{&O::json}, "print the answer as JSON"},
      {"timeout", "MS", Timeout{}, "timeout of one call (default 10000)"},
      {"help", nullptr, Flag{&O::help}, "print this text"},
      {"add-row", "KIND", TextList{&O::add_rows}, "add a row with defaults"},
      {"remove-row", "KIND", TextList{&O::remove_rows}, "remove a row"},
      {"add-team", "NAME", TextList{&O::add_teams}, "add a team"},
      {"remove-team", "NAME", TextList{&O::remove_teams}, "remove a team"},
      {"author", "NAME", Text{&O::author},
       "author of the edit (default: the environment variable USER)"},
      {"change-id", "ID", Text{&O::change_id},
       "id of the change; repeat it to send the change again (default: new)"},
      {"id", "ID", Text{&O::id},
       "request id; a repeated id is run once (default: a new id)"},
      {"payload", "JSON", OptionalText{&O::payload}, "payload of the work"},
      {"payload-file", "FILE", Text{&O::payload_file},
       "read the payload from a file"},
      {"deadline", "MS", Integer{&O::deadline_ms, 1, kMaxMillis},
       "time limit for the answer (default 60000)"},
      {"no-wait", nullptr, Flag{&O::no_wait},
       "return once the request is queued"},
      {"tasks", "N", Integer{&O::tasks, 1, kMaxTasks},
       "number of tasks (default 1)"},
      {"limit", "N", Integer{&O::limit, 1, kMaxLimit},
       "number of revisions (default 20)"},
      {"html", "FILE", Text{&O::html}, "write the report as one HTML page"},
  };
  return options;
}

std::vector<util::IpPort> ParseServers(const std::string& text) {
  std::vector<util::IpPort> servers;
  size_t begin = 0;
  while (begin <= text.size()) {
    const size_t end = std::min(text.find(',', begin), text.size());
    const std::string part = text.substr(begin, end - begin);
    const std::optional<util::IpPort> server = util::ParseIpPort(part);
    if (!server || server->port == 0) {
      throw UsageError("--server: '" + part + "' is not IP:PORT");
    }
    servers.push_back(*server);
    begin = end + 1;
  }
  return servers;
}

struct Assign {
  const Option& option;
  std::string value;
  CtlOptions& options;

  std::string Name() const { return std::string("--") + option.name; }

  void operator()(const Flag& flag) const { options.*flag.member = true; }
  void operator()(const Text& text) const {
    if (value.empty()) {
      throw UsageError(Name() + ": empty");
    }
    options.*text.member = value;
  }
  void operator()(const OptionalText& text) const {
    options.*text.member = value;
  }
  void operator()(const TextList& list) const {
    (options.*list.member).push_back(value);
  }
  void operator()(const Integer& integer) const {
    options.*integer.member =
        ParseCtlInteger(Name(), value, integer.min, integer.max);
  }
  void operator()(const Timeout&) const {
    options.timeout = Millis(ParseCtlInteger(Name(), value, 1, kMaxMillis));
  }
  void operator()(const Servers&) const {
    options.servers = ParseServers(value);
  }
};

std::vector<option> GetoptTable() {
  // getopt_long expects a zeroed element at the end.
  std::vector<option> table(AllOptions().size() + 1);
  for (size_t i = 0; i < AllOptions().size(); ++i) {
    const Option& each = AllOptions()[i];
    table[i] = {each.name, each.argument ? required_argument : no_argument,
                nullptr, 0};
  }
  return table;
}

}  // namespace

int64_t ParseCtlInteger(std::string_view what,
                        const std::string& text,
                        int64_t min,
                        int64_t max) {
  int64_t value = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (text.empty() || parsed.ptr != end || parsed.ec != std::errc() ||
      value < min || value > max) {
    throw UsageError(std::string(what) + ": '" + text +
                     "' is not an integer from " + std::to_string(min) +
                     " to " + std::to_string(max));
  }
  return value;
}

CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments) {
  std::vector<std::string> copies = arguments;
  copies.insert(copies.begin(), "chivedalectl");
  std::vector<char*> argv;
  argv.reserve(copies.size() + 1);
  for (std::string& copy : copies) {
    argv.push_back(copy.data());
  }
  argv.push_back(nullptr);
  const std::vector<option> table = GetoptTable();
  CtlOptions options;
  optind = 0;  // resets the scan of glibc, for repeated calls in a process
  opterr = 0;
  const int argc = static_cast<int>(copies.size());
  int index = 0;
  int found = 0;
  while ((found = getopt_long(argc, argv.data(), ":", table.data(), &index)) !=
         -1) {
    if (found == ':') {
      throw UsageError(std::string(argv[static_cast<size_t>(optind) - 1]) +
                       ": the argument is missing");
    }
    if (found != 0) {
      throw UsageError("unknown option '" +
                       std::string(argv[static_cast<size_t>(optind) - 1]) +
                       "'");
    }
    const Option& each = AllOptions()[static_cast<size_t>(index)];
    options.given.emplace_back(each.name);
    std::visit(Assign{each, optarg ? optarg : "", options}, each.target);
  }
  for (int i = optind; i < argc; ++i) {
    options.words.emplace_back(argv[static_cast<size_t>(i)]);
  }
  if (options.servers.empty()) {
    options.servers.push_back({"127.0.0.1", 8080});
  }
  return options;
}

std::string DescribeCtlOptions(const std::vector<std::string_view>& names) {
  constexpr size_t kColumn = 32;
  std::string text;
  for (std::string_view name : names) {
    for (const Option& each : AllOptions()) {
      if (each.name != name) {
        continue;
      }
      std::string line = std::string("  --") + each.name;
      if (each.argument != nullptr) {
        line += std::string(" ") + each.argument;
      }
      line.resize(std::max(kColumn, line.size() + 2), ' ');
      text += line + each.help + "\n";
    }
  }
  return text;
}

}  // namespace chivedale
