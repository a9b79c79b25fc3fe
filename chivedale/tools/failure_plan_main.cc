// Prints the schedule of a live failure run, one step per line.
#include <getopt.h>

#include <cstdio>
#include <exception>
#include <string>

#include "chivedale/tools/failure_plan.h"

namespace {

constexpr char kUsage[] =
    "usage: failure_plan [--seed N] [--duration MS] [--daemons N]\n"
    "                    [--workers N] [--gpu-workers N]\n"
    "Prints lines of AT_MS begin|end KIND VERB ARGUMENT.\n";

void AddWorkers(std::vector<std::string>& workers,
                const std::string& prefix,
                int count) {
  for (int i = 0; i < count; ++i) {
    workers.push_back(prefix + std::to_string(i));
  }
}

int Run(int argc, char** argv) {
  static const option long_options[] = {
      {"seed", required_argument, nullptr, 's'},
      {"duration", required_argument, nullptr, 'd'},
      {"daemons", required_argument, nullptr, 'n'},
      {"workers", required_argument, nullptr, 'w'},
      {"gpu-workers", required_argument, nullptr, 'g'},
      {nullptr, 0, nullptr, 0}};
  chivedale::testing::FailurePlanOptions options;
  for (int c = 0;
       (c = getopt_long(argc, argv, "", long_options, nullptr)) != -1;) {
    switch (c) {
      case 's':
        options.seed = std::stoull(optarg);
        break;
      case 'd':
        options.duration = chivedale::Millis(std::stoll(optarg));
        break;
      case 'n':
        options.daemons = std::stoi(optarg);
        break;
      case 'w':
        AddWorkers(options.workers, "w-", std::stoi(optarg));
        break;
      case 'g':
        AddWorkers(options.workers, "g-", std::stoi(optarg));
        break;
      default:
        throw std::invalid_argument("unknown option");
    }
  }
  for (const auto& step : chivedale::testing::MakeFailurePlan(options)) {
    std::puts(step.Line().c_str());
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(argc, argv);
  } catch (const std::exception& error) {
    std::fprintf(stderr, "failure_plan: %s\n%s", error.what(), kUsage);
    return 2;
  }
}
