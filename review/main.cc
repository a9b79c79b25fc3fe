// rig SCENARIO DAEMON RECORD DIRECTORY: one case of this review. Exits with 1
// if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0
// leaves the disruption out. wave_may_miss has no folder: REPORT.md tells why.
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <map>
#include <string>

#include "review/scenarios.h"

int main(int argc, char** argv) {
  constexpr int kBroken = 1;
  constexpr int kNotRun = 2;
  using chivedale::review::Rig;
  static const std::map<std::string, bool (*)(Rig&)> scenarios = {
      {"lasting_done", chivedale::review::LastingTaskEndsDone},
      {"wave_new_machine", chivedale::review::WaveNamesNewMachine},
      {"wave_leader_killed", chivedale::review::LeaderKilledInWave},
      {"wave_may_miss", chivedale::review::WaveStopsTooMany},
      {"long_schedule", chivedale::review::LongSchedule},
  };
  if (argc != 5 || scenarios.count(argv[1]) == 0) {
    std::fprintf(stderr, "usage: rig SCENARIO DAEMON RECORD DIRECTORY\n");
    return kNotRun;
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    Rig rig({argv[2], argv[3], argv[4],
             trouble == nullptr || std::string(trouble) != "0"});
    const bool held = scenarios.at(argv[1])(rig);
    rig.Record(held ? "the rule held" : "the rule was broken");
    return held ? 0 : kBroken;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "rig: %s\n", error.what());
    return kNotRun;
  }
}
