// An io_context and the threads that run it, for tests and stand-ins.
#ifndef CHIVEDALE_TESTING_IO_THREADS_H_
#define CHIVEDALE_TESTING_IO_THREADS_H_

#include <memory>

#include "chivedale/http_types.h"

namespace chivedale::testing {

class IoThreads {
 public:
  explicit IoThreads(int threads);
  // Stops and joins.
  ~IoThreads();
  IoThreads(const IoThreads&) = delete;
  IoThreads& operator=(const IoThreads&) = delete;

  boost::asio::io_context& io();
  // Drops what is pending; returns when the threads have ended.
  void Stop();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_IO_THREADS_H_
