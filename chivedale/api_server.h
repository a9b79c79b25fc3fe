// The HTTP server of a daemon on the caller address. It serves the caller API,
// the operator API, health checks and metrics.
#ifndef CHIVEDALE_API_SERVER_H_
#define CHIVEDALE_API_SERVER_H_

#include <functional>
#include <memory>

#include "chivedale/control_loop.h"
#include "chivedale/event_log.h"
#include "chivedale/metrics.h"
#include "chivedale/scheduler_api.h"
#include "chivedale/settings.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace chivedale {

class ApiServer {
 public:
  // Throws Error(kBadSettings) if the caller address cannot be bound.
  ApiServer(boost::asio::io_context& io,
            const Settings& settings,
            ControlLoop& loop,
            SchedulerCommands& commands,
            SchedulerQueries& queries,
            Metrics& metrics,
            EventLog& log);
  ~ApiServer();

  // Command. Completes the requests in progress; `closed` runs on a traffic
  // thread once the last connection is closed.
  void Close(std::function<void()> closed);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_API_SERVER_H_
