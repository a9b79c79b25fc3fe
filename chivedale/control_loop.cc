// The interval is measured from the end of the previous tick, so a pause of the
// process causes one late tick instead of a burst of missed ones.
#include "chivedale/control_loop.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace chivedale {
namespace {

// The delay is sampled, because reading the clock for each event would cost as
// much as handling a small event.
constexpr int64_t kDelaySampleEvery = 64;

}  // namespace

struct ControlLoop::Impl {
  Impl(Metrics& metrics_in, Millis interval_in)
      : metrics(metrics_in), interval(interval_in), io(1), timer(io) {}

  void ScheduleTick() {
    timer.expires_after(interval);
    timer.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      metrics.Set(Gauge::kControlQueue, waiting.load());
      tick();
      ScheduleTick();
    });
  }

  void Enqueue(std::function<void()> run) {
    const int64_t number = posted.fetch_add(1);
    waiting.fetch_add(1);
    if (number % kDelaySampleEvery != 0) {
      boost::asio::post(io, [this, run = std::move(run)] {
        waiting.fetch_sub(1);
        run();
      });
      return;
    }
    const auto begin = std::chrono::steady_clock::now();
    boost::asio::post(io, [this, run = std::move(run), begin] {
      waiting.fetch_sub(1);
      metrics.Observe(Timer::kControlDelay, "",
                      std::chrono::steady_clock::now() - begin);
      run();
    });
  }

  Metrics& metrics;
  const Millis interval;
  boost::asio::io_context io;
  boost::asio::steady_timer timer;
  std::function<void()> tick;
  std::atomic<int64_t> waiting{0};
  std::atomic<int64_t> posted{0};
};

ControlLoop::ControlLoop(Metrics& metrics, Millis tick)
    : impl_(std::make_unique<Impl>(metrics, tick)) {}

ControlLoop::~ControlLoop() = default;

void ControlLoop::Post(std::function<void()> run) {
  impl_->Enqueue(std::move(run));
}

bool ControlLoop::TryPost(std::function<void()> run) {
  if (impl_->waiting.load() >= kMaxWaiting) {
    impl_->metrics.Count(Counter::kEventsShed);
    return false;
  }
  impl_->Enqueue(std::move(run));
  return true;
}

void ControlLoop::Run(std::function<void()> tick) {
  impl_->tick = std::move(tick);
  impl_->ScheduleTick();
  impl_->io.run();
}

void ControlLoop::Stop() {
  impl_->io.stop();
}

int64_t ControlLoop::waiting() const {
  return impl_->waiting.load();
}

}  // namespace chivedale
