// A daemon: settings in, sockets and threads up, runs until it is told to stop.
// Several may run in one process.
//
//   Daemon daemon(settings);
//   StopSignals signals([&] { daemon.Stop(); });
//   return daemon.Run();  // until the graceful stop
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

  // The calling thread is the control thread. Returns the exit code: 0 after a
  // graceful stop, 1 otherwise.
  int Run();
  // From any thread. The first call starts a graceful stop; a second one or
  // the stop deadline ends Run at once.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_DAEMON_H_
