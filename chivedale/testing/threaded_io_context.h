// An io_context and its threads, for tests and simulated services.
#ifndef CHIVEDALE_TESTING_THREADED_IO_CONTEXT_H_
#define CHIVEDALE_TESTING_THREADED_IO_CONTEXT_H_

#include <memory>

#include "chivedale/http_types.h"

namespace chivedale::testing {

class ThreadedIoContext {
 public:
  explicit ThreadedIoContext(int threads);
  // Calls Stop.
  ~ThreadedIoContext();
  ThreadedIoContext(const ThreadedIoContext&) = delete;
  ThreadedIoContext& operator=(const ThreadedIoContext&) = delete;

  boost::asio::io_context& io();
  // Discards pending handlers and joins the threads.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_THREADED_IO_CONTEXT_H_
