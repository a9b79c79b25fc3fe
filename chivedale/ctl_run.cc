#include "chivedale/ctl_run.h"

#include <algorithm>

#include "chivedale/ctl_commands.h"
#include "chivedale/ctl_queries.h"
#include "chivedale/error.h"

namespace chivedale {
namespace {

constexpr int kAnyArgumentCount = -1;

struct Verb {
  std::vector<std::string> words;
  const char* arguments;  // for the help text
  int argument_count;
  std::vector<std::string_view> options;  // besides the common ones
  ExitCode (*run)(CtlContext&);
  const char* help;
};

constexpr char kExitCodes[] =
    "\nExit codes: 0 done, 1 refused by the server, 2 bad usage or input,\n"
    "3 no server reachable, 4 conflict with another edit, 5 outcome unknown.\n";

const std::vector<std::string_view>& CommonOptions() {
  static const auto& options =
      *new std::vector<std::string_view>{"server", "json", "timeout", "help"};
  return options;
}

const std::vector<Verb>& Verbs() {
  static const auto& verbs = *new std::vector<Verb>{
      {{"table", "show"}, "", 0, {}, &ShowTable, "print the table in force"},
      {{"table", "edit"},
       " [ROW.COLUMN=VALUE | team:NAME.COLUMN=VALUE]...",
       kAnyArgumentCount,
       {"add-row", "remove-row", "add-team", "remove-team", "author",
        "change-id"},
       &EditTable,
       "change cells, rows and teams in one edit"},
      {{"table", "apply"},
       " FILE",
       1,
       {"author", "change-id"},
       &ApplyTable,
       "replace the table by a file based on the current revision"},
      {{"table", "diff"},
       " FILE",
       1,
       {},
       &DiffTable,
       "compare the table in force with a file"},
      {{"table", "history"},
       "",
       0,
       {"limit"},
       &ShowHistory,
       "print revisions with their changes, newest first"},
      {{"status"}, "", 0, {}, &ShowStatus, "print one daemon's state"},
      {{"workers"}, "", 0, {}, &ShowWorkers, "print one daemon's workers"},
      {{"queue"}, "", 0, {}, &ShowQueue, "print one daemon's queue"},
      {{"submit"},
       " KIND",
       1,
       {"id", "payload", "payload-file", "deadline", "no-wait"},
       &SubmitRequest,
       "send a request and print its answer"},
      {{"cancel"}, " ID", 1, {}, &CancelRequest, "cancel a request"},
      {{"job", "submit"},
       " ID KIND",
       2,
       {"tasks", "payload", "payload-file", "author"},
       &SubmitJob,
       "submit a batch job, gang or service"},
      {{"job", "show"}, " ID", 1, {}, &ShowJob, "print a job and its tasks"},
      {{"job", "cancel"}, " ID", 1, {}, &CancelJob, "cancel a job"},
      {{"job", "scale"},
       " ID COUNT",
       2,
       {},
       &ScaleJob,
       "set the number of tasks of a service"},
      {{"drain"},
       "",
       0,
       {},
       &DrainServer,
       "start a planned stop of the daemon that --server names"},
      {{"report", "burn"},
       "",
       0,
       {"html"},
       &ReportBurn,
       "print error-budget burn, merged over all daemons of --server"},
  };
  return verbs;
}

std::string NameOf(const Verb& verb) {
  std::string name;
  for (const std::string& word : verb.words) {
    name += (name.empty() ? "" : " ") + word;
  }
  return name;
}

std::string GeneralHelp() {
  std::string text = "Usage: chivedalectl [OPTIONS] VERB [ARGUMENTS]\n\n";
  for (const Verb& verb : Verbs()) {
    constexpr size_t kColumn = 18;
    std::string line = "  " + NameOf(verb);
    line.resize(std::max(kColumn, line.size() + 2), ' ');
    text += line + verb.help + "\n";
  }
  return text + "\nOptions of every verb:\n" +
         DescribeCtlOptions(CommonOptions()) + kExitCodes +
         "\n'chivedalectl VERB --help' describes one verb.\n";
}

std::string HelpOf(const Verb& verb) {
  std::vector<std::string_view> options = verb.options;
  options.insert(options.end(), CommonOptions().begin(), CommonOptions().end());
  return "Usage: chivedalectl " + NameOf(verb) + verb.arguments +
         " [OPTIONS]\n\n" + verb.help + "\n\nOptions:\n" +
         DescribeCtlOptions(options) + kExitCodes;
}

const Verb* FindVerb(const std::vector<std::string>& words) {
  for (const Verb& verb : Verbs()) {
    if (words.size() >= verb.words.size() &&
        std::equal(verb.words.begin(), verb.words.end(), words.begin())) {
      return &verb;
    }
  }
  return nullptr;
}

bool Allows(const std::vector<std::string_view>& names,
            const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

void CheckUse(const Verb& verb,
              const CtlOptions& options,
              const std::vector<std::string>& arguments) {
  for (const std::string& name : options.given) {
    if (!Allows(verb.options, name) && !Allows(CommonOptions(), name)) {
      throw UsageError(NameOf(verb) + " has no option --" + name);
    }
  }
  if (verb.argument_count != kAnyArgumentCount &&
      arguments.size() != static_cast<size_t>(verb.argument_count)) {
    throw UsageError("usage: chivedalectl " + NameOf(verb) + verb.arguments);
  }
}

ExitCode RunVerb(const CtlOptions& options,
                 CtlTransport& transport,
                 util::Random& random,
                 std::ostream& out,
                 std::ostream& err) {
  const Verb* verb = FindVerb(options.words);
  if (verb == nullptr) {
    if (options.help) {
      out << GeneralHelp();
      return ExitCode::kDone;
    }
    throw UsageError("no such verb; see chivedalectl --help");
  }
  if (options.help) {
    out << HelpOf(*verb);
    return ExitCode::kDone;
  }
  const std::vector<std::string> arguments(
      options.words.begin() + static_cast<std::ptrdiff_t>(verb->words.size()),
      options.words.end());
  CheckUse(*verb, options, arguments);
  CtlClient client(transport, options.servers, options.timeout);
  CtlContext context{client, options, arguments, random, out, err};
  return verb->run(context);
}

}  // namespace

ExitCode RunCtl(const std::vector<std::string>& arguments,
                CtlTransport& transport,
                util::Random& random,
                std::ostream& out,
                std::ostream& err) {
  try {
    return RunVerb(ParseCtlOptions(arguments), transport, random, out, err);
  } catch (const UsageError& error) {
    err << "chivedalectl: " << error.what() << '\n';
    return ExitCode::kBadUsage;
  } catch (const Error& error) {
    err << "chivedalectl: " << error.what() << '\n';
    return ExitCode::kRefused;
  }
}

}  // namespace chivedale
