// A small cell for the cases of this review: the daemon of the deploy file as
// separate processes on loopback, beside the project's stand-ins of store and
// executors, and callers. All stand-ins run on the thread of Run().
//
//   Lab lab(directory, record, 3);
//   lab.AddExecutor("e1", "pool", {32'000, 64'000, 0, 0});
//   lab.WriteTable({"tally"});
//   lab.StartAll();
//   if (!lab.WaitFor(Millis(8'000), [&] { return lab.IsSettled(); })) ...
//   lab.Submit(0, "tally", "00000000000000a1", spec, [](int status) { ... });
#ifndef REVIEW_11_HARNESS_LAB_H_
#define REVIEW_11_HARNESS_LAB_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cell/testing/fake_executors.h"
#include "cell/testing/fake_loop.h"
#include "cell/testing/fake_store.h"
#include "chivedale/http_client.h"
#include "platform/testing/platform_server.h"
#include "util/random.h"
#include "util/testing/port_allocator.h"

namespace chivedale::review {

using cell::Millis;

// The daemon as the deploy file starts it.
class Process {
 public:
  Process(std::string settings, std::string log)
      : settings_(std::move(settings)), log_(std::move(log)) {}
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Start();
  void Signal(int signal) const;
  // Ends it with SIGKILL and waits for its end.
  void Kill();
  // Notices an end; returns true if the process has ended by itself.
  bool Reap();
  bool running() const { return pid_ > 0; }

 private:
  const std::string settings_;
  const std::string log_;
  pid_t pid_ = 0;
};

class Lab {
 public:
  // Status of a call; 0: no answer.
  using OnAnswer =
      std::function<void(int status, const nlohmann::json& answer)>;

  // `directory`: for settings and logs of the daemons.
  Lab(const std::string& directory, const std::string& record, int daemons);
  ~Lab();
  Lab(const Lab&) = delete;
  Lab& operator=(const Lab&) = delete;

  // Commands.
  void AddExecutor(const std::string& id,
                   const std::string& pool,
                   const Resources& capacity);
  // One queue for each name, all of pool "pool".
  void WriteTable(const std::vector<std::string>& queues);
  void set_vm_address(const std::string& address) { vm_address_ = address; }
  // Address at which a daemon finds the store, if not the store itself.
  void set_store_address(int daemon, const std::string& address) {
    store_addresses_[daemon] = address;
  }
  void StartAll();
  void Start(int daemon);
  void Kill(int daemon);
  void Signal(int daemon, int signal);
  void RunFor(Millis time);
  // Runs until the condition holds; returns whether it does.
  bool WaitFor(Millis most, const std::function<bool()>& condition);
  void Submit(int daemon,
              const std::string& queue,
              const std::string& job,
              const cell::JobSpec& spec,
              const std::function<void(int status)>& done);
  void Call(int daemon,
            const std::string& method,
            const std::string& target,
            const std::string& body,
            Millis time_limit,
            const OnAnswer& done);
  // Asks a daemon whether it is ready.
  void AskReady(int daemon, const std::function<void(bool)>& done);
  // A line of record.txt, with the time.
  void Record(const std::string& line);

  // Queries.
  // Index of the daemon that holds the leader key; -1: none.
  int Leader() const;
  int daemons() const { return static_cast<int>(members_.size()); }
  bool running(int daemon) const;
  const std::string& peer_address(int daemon) const;
  const std::string& caller_address(int daemon) const;
  std::string real_store_address() const { return platform_.store_address(); }

  boost::asio::io_context& io() { return io_; }
  cell::testing::FakeLoop& loop() { return loop_; }
  cell::testing::FakeStore& store() { return store_; }
  cell::testing::FakeExecutors& executors() { return executors_; }
  util::Random& random() { return random_; }
  std::string FreeAddress() { return util::Loopback(ports_.Next()); }

 private:
  struct Member {
    std::string name;
    std::string caller;
    std::string ready;
    std::string peer;
    std::string metrics;
    std::unique_ptr<Process> process;
  };

  void Pump();
  void WriteSettings(const Member& member, int index) const;

  const std::string directory_;
  std::ofstream record_;
  boost::asio::io_context io_{1};
  util::Random random_;
  util::PortAllocator ports_{io_};
  cell::testing::FakeLoop loop_;
  cell::testing::FakeStore store_;
  cell::testing::FakeExecutors executors_;
  platform::testing::PlatformServer platform_;
  HttpClient http_;
  boost::asio::steady_timer pump_;
  std::chrono::steady_clock::time_point began_;
  cell::TimePoint loop_began_;
  std::vector<Member> members_;
  std::map<int, std::string> store_addresses_;
  std::string vm_address_;
  int64_t version_ = 0;
};

// Body of the request that submits the job.
std::string JobBody(const cell::JobSpec& spec);
// A job of one step.
cell::JobSpec OneStep(int count, Millis estimate);
std::string JobId(uint64_t number);

}  // namespace chivedale::review

#endif  // REVIEW_11_HARNESS_LAB_H_
