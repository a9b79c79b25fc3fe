// Common parts of the stand-ins: one thread that owns all their state,
// listeners whose handlers run on it, and timers.
#ifndef CHIVEDALE_TESTING_STANDIN_HOST_H_
#define CHIVEDALE_TESTING_STANDIN_HOST_H_

#include <functional>
#include <memory>
#include <string>

#include "chivedale/http_server.h"

namespace chivedale::testing {

class StandinHost {
 public:
  StandinHost();
  ~StandinHost();

  // Starts listening and returns the port. The handler runs on the thread.
  uint16_t Listen(const HttpServer::Options& options, HttpHandler handler);
  // Runs `run` on the thread after the delay. Can be called from any thread.
  void RunAfter(util::Duration delay, std::function<void()> run);
  // Runs `run` on the thread and waits for it. Must be called from another
  // thread.
  void Run(const std::function<void()>& run);
  // Stops the thread; nothing runs after this.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_STANDIN_HOST_H_
