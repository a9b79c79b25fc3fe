// Order of a graceful stop: the scheduler drains (/readyz reports not ready
// immediately, for the load balancer), the HTTP server closes its connections,
// queued messages to peers are sent, and the threads end.
#include "chivedale/daemon.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "chivedale/api_server.h"
#include "chivedale/control_loop.h"
#include "chivedale/http_client.h"
#include "chivedale/log4cxx_event_log.h"
#include "chivedale/peer_link.h"
#include "chivedale/scheduler.h"
#include "chivedale/store_client.h"
#include "chivedale/vm_list_client.h"
#include "chivedale/worker_client.h"

namespace chivedale {
namespace {

constexpr Millis kTick{5};
constexpr int kIdDigits = 12;
constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;

uint64_t SeedOf(const Settings& settings) {
  if (settings.seed != 0) {
    return settings.seed;
  }
  std::random_device device;
  return (uint64_t{device()} << 32) | device();
}

}  // namespace

struct Daemon::Impl {
  explicit Impl(const Settings& settings_in)
      : settings(settings_in),
        seed(SeedOf(settings)),
        random(seed),
        self(settings.vm_id + "/" + random.HexString(kIdDigits)),
        log({settings.log_file, settings.log_level}),
        work(boost::asio::make_work_guard(io)),
        loop(metrics, kTick),
        platform_http(io, HttpClient::Options()),
        worker_http(io, HttpClient::Options()),
        store(platform_http, {settings.store_address}, PostToLoop()),
        workers(worker_http, WorkerClient::Options(), PostToLoop()),
        vms(platform_http, {settings.vm_list_address}, PostToLoop()),
        peers(
            io,
            clock,
            log,
            metrics,
            [&] {
              PeerLink::Options options;
              options.seed = seed;
              return options;
            }(),
            PostToLoop(),
            [this](const MemberId& from, const Message& message) {
              scheduler.OnMessage(from, message);
            }),
        scheduler({clock, random, store, workers, peers, vms, metrics, log},
                  settings,
                  self),
        api(io, settings, loop, scheduler, scheduler, metrics, log),
        deadline(io) {
    peers.Listen(settings.peer_address);
  }

  PostFunction PostToLoop() {
    return [this](std::function<void()> run) { loop.Post(std::move(run)); };
  }

  void Stop() {
    if (stopping.exchange(true)) {
      loop.Stop();
      return;
    }
    loop.Post([this] {
      scheduler.Drain();
      deadline.expires_after(settings.stop_deadline);
      deadline.async_wait([this](const boost::system::error_code& aborted) {
        if (!aborted) {
          log.Write(Event::kStopDeadline, {});
          loop.Stop();
        }
      });
    });
  }

  void Tick() {
    scheduler.Tick();
    if (scheduler.stopped() && !closing) {
      closing = true;
      graceful = true;
      api.Close([this] { loop.Post([this] { loop.Stop(); }); });
    }
  }

  int Run() {
    for (int i = 0; i < std::max(1, settings.traffic_threads); ++i) {
      threads.emplace_back([this] { io.run(); });
    }
    loop.Post([this] {
      MemberInfo info;
      info.id = self;
      info.address = settings.peer_address;
      info.data_centre = DataCentreId(settings.data_centre);
      info.region = RegionId(settings.region);
      peers.Start(info);
      scheduler.Start();
    });
    loop.Run([this] { Tick(); });
    if (graceful) {
      peers.Close();
      // PeerLink sends queued messages or drops them within this time.
      std::this_thread::sleep_for(PeerLink::Options().close_flush_timeout);
    }
    io.stop();
    for (std::thread& thread : threads) {
      thread.join();
    }
    return graceful ? kExitOk : kExitFailed;
  }

  const Settings settings;
  const uint64_t seed;
  util::SteadyClock clock;
  util::Random random;
  const MemberId self;
  Metrics metrics;
  Log4cxxEventLog log;
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  // Declared after `io`, so that it is destroyed first: its pending events hold
  // connections that belong to `io`.
  ControlLoop loop;
  HttpClient platform_http;
  HttpClient worker_http;
  StoreClient store;
  WorkerClient workers;
  VmListClient vms;
  PeerLink peers;
  Scheduler scheduler;
  ApiServer api;
  boost::asio::steady_timer deadline;
  std::vector<std::thread> threads;
  std::atomic<bool> stopping{false};
  bool closing = false;
  bool graceful = false;
};

Daemon::Daemon(const Settings& settings)
    : impl_(std::make_unique<Impl>(settings)) {}

Daemon::~Daemon() = default;

int Daemon::Run() {
  return impl_->Run();
}

void Daemon::Stop() {
  impl_->Stop();
}

}  // namespace chivedale
