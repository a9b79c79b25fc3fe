// Serves many workers of the platform over HTTP on one thread. Each worker has
// its own port, or all share one port and each has the path prefix /w/ID.
//
//   WorkerStandin workers({});
//   workers.Add({WorkerId("w-1")});
//   client.SetAddress(WorkerId("w-1"), workers.AddressOf(WorkerId("w-1")));
//   workers.Change(WorkerId("w-1"), [](WorkerModel& w) {
//     w.faults().lose_starts = 1;
//   });
//   BOOST_TEST(workers.violations().total() == 0);
#ifndef CHIVEDALE_TESTING_WORKER_STANDIN_H_
#define CHIVEDALE_TESTING_WORKER_STANDIN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/testing/worker_model.h"

namespace chivedale::testing {

class WorkerStandin {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    // The shared port, or the port of the first worker; 0 selects free ports.
    uint16_t port = 0;
    bool own_ports = false;
    // Maximum number of connections (calls, on a shared port) per worker.
    size_t max_connections = 64;
    uint64_t seed = 1;
  };

  explicit WorkerStandin(const Options& options);
  ~WorkerStandin();

  // Commands.
  void Add(const WorkerOptions& options);
  // Runs `change` on the stand-in's thread; throws std::out_of_range for an
  // unknown worker.
  void Change(const WorkerId& worker,
              const std::function<void(WorkerModel&)>& change);
  // Ends the pause and answers the calls that arrived during it.
  void Resume(const WorkerId& worker);

  // Queries.
  std::string AddressOf(const WorkerId& worker) const;
  std::vector<WorkerId> Workers() const;
  Violations violations() const;
  // Calls refused because a worker had too many at the same time.
  int64_t connection_overflows() const;
  // Runs `read` with the recorded task runs on the stand-in's thread.
  void ReadTaskRuns(const std::function<void(const TaskRunLog&)>& read) const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_WORKER_STANDIN_H_
