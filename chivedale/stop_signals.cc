#include "chivedale/stop_signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <utility>

namespace chivedale {

struct StopSignals::Impl {
  explicit Impl(std::function<void()> stop_in)
      : stop(std::move(stop_in)), io(1), signals(io, SIGTERM, SIGINT) {
    WaitForSignal();
    thread = std::thread([this] { io.run(); });
  }
  ~Impl() {
    io.stop();
    thread.join();
  }

  void WaitForSignal() {
    signals.async_wait([this](const boost::system::error_code& error, int) {
      if (!error) {
        stop();
        WaitForSignal();
      }
    });
  }

  const std::function<void()> stop;
  boost::asio::io_context io;
  boost::asio::signal_set signals;
  std::thread thread;
};

StopSignals::StopSignals(std::function<void()> stop)
    : impl_(std::make_unique<Impl>(std::move(stop))) {}

StopSignals::~StopSignals() = default;

}  // namespace chivedale
