// Plays a scripted case: cases CASE DIRECTORY RECORD
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>

#include "review/11/harness/cases.h"

namespace {

using chivedale::review::Lab;

struct Case {
  int daemons;
  std::function<int(Lab&, bool)> run;
};

const std::map<std::string, Case>& Cases() {
  static const auto& cases = *new std::map<std::string, Case>{
      {"foreign-state", {3, chivedale::review::RunForeignState}},
      {"unanswered-start", {3, chivedale::review::RunUnansweredStart}},
      {"replaced-cell", {6, chivedale::review::RunReplacedCell}},
      {"late-submission", {7, chivedale::review::RunLateSubmission}},
  };
  return cases;
}

}  // namespace

int main(int argc, char** argv) {
  constexpr int kArguments = 4;
  const auto found = argc == kArguments ? Cases().find(argv[1]) : Cases().end();
  if (found == Cases().end()) {
    std::cerr << "usage: cases CASE DIRECTORY RECORD" << std::endl;
    return chivedale::review::kCannotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    Lab lab(argv[2], argv[3], found->second.daemons);
    const int result = found->second.run(
        lab, trouble == nullptr || trouble != std::string("0"));
    lab.Record("result: " + std::to_string(result));
    return result;
  } catch (const std::exception& error) {
    std::cerr << error.what() << std::endl;
    return chivedale::review::kCannotRun;
  }
}
