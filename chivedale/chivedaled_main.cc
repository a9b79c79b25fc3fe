#include <getopt.h>

#include <cstdio>
#include <exception>
#include <string>

#include "chivedale/daemon.h"
#include "chivedale/error.h"
#include "chivedale/settings.h"
#include "chivedale/stop_signals.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

constexpr char kUsage[] =
    "usage: chivedaled --config FILE [--check-config]\n"
    "\n"
    "  --config FILE     settings in JSON (docs/OPERATIONS.md)\n"
    "  --check-config    check the settings and exit\n"
    "  --help            this text\n"
    "  --version         version\n"
    "\n"
    "SIGTERM stops gracefully; a second one stops at once.\n"
    "Exit codes: 0 stopped gracefully, 1 failed, 2 bad usage or settings.\n";

struct Arguments {
  std::string config;
  bool check_only = false;
};

// Returns the exit code if the process must exit after parsing, else -1.
int Parse(int argc, char** argv, Arguments& arguments) {
  static constexpr option kOptions[] = {
      {"config", required_argument, nullptr, 'c'},
      {"check-config", no_argument, nullptr, 'k'},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, 'v'},
      {nullptr, 0, nullptr, 0}};
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "c:", kOptions, nullptr)) != -1) {
    switch (choice) {
      case 'c':
        arguments.config = optarg;
        break;
      case 'k':
        arguments.check_only = true;
        break;
      case 'h':
        std::fputs(kUsage, stdout);
        return kExitOk;
      case 'v':
        std::puts("chivedaled " CHIVEDALE_VERSION);
        return kExitOk;
      default:
        std::fputs(kUsage, stderr);
        return kExitUsage;
    }
  }
  if (arguments.config.empty() || optind != argc) {
    std::fputs(kUsage, stderr);
    return kExitUsage;
  }
  return -1;
}

}  // namespace

int main(int argc, char** argv) {
  Arguments arguments;
  const int parsed = Parse(argc, argv, arguments);
  if (parsed >= 0) {
    return parsed;
  }
  try {
    const chivedale::Settings settings =
        chivedale::LoadSettings(arguments.config);
    if (arguments.check_only) {
      std::printf("%s: settings are valid\n", arguments.config.c_str());
      return kExitOk;
    }
    chivedale::Daemon daemon(settings);
    const chivedale::StopSignals signals([&daemon] { daemon.Stop(); });
    return daemon.Run();
  } catch (const chivedale::Error& error) {
    std::fprintf(stderr, "chivedaled: %s\n", error.what());
    return error.kind() == chivedale::ErrorKind::kBadSettings ? kExitUsage
                                                              : kExitFailed;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "chivedaled: %s\n", error.what());
    return kExitFailed;
  }
}
