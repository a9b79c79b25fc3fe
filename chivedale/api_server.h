// The HTTP side of a daemon: one server on the caller address that serves the
// caller API, the operator API, health and metrics.
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
  // Throws Error(kBadSettings) when the caller address cannot be bound.
  ApiServer(boost::asio::io_context& io,
            const Settings& settings,
            ControlLoop& loop,
            SchedulerCommands& commands,
            SchedulerQueries& queries,
            Metrics& metrics,
            EventLog& log);
  ~ApiServer();

  // Command. Answers what is in progress; `closed` runs on a traffic thread
  // when the last connection is closed.
  void Close(std::function<void()> closed);

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_API_SERVER_H_
