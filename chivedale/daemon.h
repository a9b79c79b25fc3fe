// A daemon: settings in, sockets and threads up, runs until it is told to stop.
//
//   Daemon daemon(settings);
//   return daemon.Run();  // until SIGTERM and the graceful stop
#ifndef CHIVEDALE_DAEMON_H_
#define CHIVEDALE_DAEMON_H_

#include <memory>

#include "chivedale/settings.h"

namespace chivedale {

class Daemon {
 public:
  // Throws Error(kBadSettings) when an address cannot be bound.
  explicit Daemon(const Settings& settings);
  ~Daemon();

  // The first SIGTERM or SIGINT starts a graceful stop; a second one or the
  // stop deadline ends the process at once. Returns the exit code: 0 after a
  // graceful stop, 1 otherwise.
  int Run();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_DAEMON_H_
