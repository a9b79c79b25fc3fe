// What the stand-ins have in common: one thread that owns all their state,
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

  // Listens; returns the port. The handler runs on the thread.
  uint16_t Listen(const HttpServer::Options& options, HttpHandler handler);
  // Runs on the thread after the delay. From any thread.
  void After(util::Duration delay, std::function<void()> run);
  // Runs on the thread and waits for it. From other threads.
  void Run(const std::function<void()>& run);
  // Ends the thread; nothing runs after this.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_STANDIN_HOST_H_
