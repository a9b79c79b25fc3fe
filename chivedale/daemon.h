// The scheduler daemon. Opens sockets and starts threads according to the
// settings and runs until it is stopped. Several daemons may run in one
// process.
//
//   Daemon daemon(settings);
//   StopSignals signals([&] { daemon.Stop(); });
//   return daemon.Run();  // returns after the graceful stop
#ifndef CHIVEDALE_DAEMON_H_
#define CHIVEDALE_DAEMON_H_

#include <memory>

#include "chivedale/settings.h"

namespace chivedale {

class Daemon {
 public:
  // Throws Error(kBadSettings) if an address cannot be bound.
  explicit Daemon(const Settings& settings);
  ~Daemon();

  // The calling thread is the control thread. Returns the exit code: 0 after a
  // graceful stop, 1 otherwise.
  int Run();
  // May be called from any thread. The first call starts a graceful stop; a
  // second call or the stop deadline ends Run() immediately.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_DAEMON_H_
