#include "chivedale/testing/threaded_io_context.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <thread>

namespace chivedale::testing {

struct ThreadedIoContext::Impl {
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      guard{io.get_executor()};
  std::vector<std::thread> threads;
};

ThreadedIoContext::ThreadedIoContext(int threads)
    : impl_(std::make_unique<Impl>()) {
  for (int i = 0; i < threads; ++i) {
    impl_->threads.emplace_back([this] { impl_->io.run(); });
  }
}

ThreadedIoContext::~ThreadedIoContext() {
  Stop();
}

boost::asio::io_context& ThreadedIoContext::io() {
  return impl_->io;
}

void ThreadedIoContext::Stop() {
  impl_->io.stop();
  for (std::thread& thread : impl_->threads) {
    if (thread.joinable()) {
      thread.join();
    }
  }
}

}  // namespace chivedale::testing
