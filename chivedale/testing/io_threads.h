// An io_context and its threads, for tests and simulated services.
#ifndef CHIVEDALE_TESTING_IO_THREADS_H_
#define CHIVEDALE_TESTING_IO_THREADS_H_

#include <memory>

#include "chivedale/http_types.h"

namespace chivedale::testing {

class IoThreads {
 public:
  explicit IoThreads(int threads);
  // Calls Stop.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& io();
  // Discards pending handlers and joins the threads.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_IO_THREADS_H_
