#include "chivedale/testing/standin_host.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <future>

#include "chivedale/testing/threaded_io_context.h"

namespace chivedale::testing {

struct StandinHost::Impl {
  ThreadedIoContext threads{1};
  std::vector<std::unique_ptr<HttpServer>> servers;
};

StandinHost::StandinHost() : impl_(std::make_unique<Impl>()) {}

StandinHost::~StandinHost() {
  Stop();
}

uint16_t StandinHost::Listen(const HttpServer::Options& options,
                             HttpHandler handler) {
  impl_->servers.push_back(std::make_unique<HttpServer>(
      impl_->threads.io(), options, std::move(handler)));
  return impl_->servers.back()->port();
}

void StandinHost::RunAfter(util::Duration delay, std::function<void()> run) {
  auto timer =
      std::make_shared<boost::asio::steady_timer>(impl_->threads.io(), delay);
  timer->async_wait(
      [timer, run = std::move(run)](boost::system::error_code error) {
        if (!error) {
          run();
        }
      });
}

void StandinHost::Run(const std::function<void()>& run) {
  std::promise<void> done;
  boost::asio::post(impl_->threads.io(), [&] {
    try {
      run();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

void StandinHost::Stop() {
  impl_->threads.Stop();
}

}  // namespace chivedale::testing
