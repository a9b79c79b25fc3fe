// HTTP interface of the stand-in program, for load tools:
//   GET /violations, GET /counts
//   GET /book            summary; ?task=ID for one task, ?all=1 for all
//   POST /fault          {"target": "store", "down": true, ...}
//
// Faults of "store": down, slow_ms, lose_writes, max_reads_per_s,
// max_writes_per_s; those left out keep their value. Of "vm_list": down,
// lag_ms, leaving [ids], remove [ids], hidden [ids], add [entries as listed].
// Of "worker", with `id`, `ids` or `id` "*": dead, paused, fail_all, straggle,
// late_ms, duplicate, reorder, lose_starts, lose_completions, reboot, leaving
// ("staying", "accepting", "refusing").
#ifndef CHIVEDALE_TESTING_STANDIN_CONTROL_H_
#define CHIVEDALE_TESTING_STANDIN_CONTROL_H_

#include <memory>
#include <string>

#include "chivedale/testing/store_standin.h"
#include "chivedale/testing/vm_list_standin.h"
#include "chivedale/testing/worker_standin.h"

namespace chivedale::testing {

// All recorded task runs as JSON.
std::string TaskRunsJson(const WorkerStandin& workers);

class StandinControl {
 public:
  // Null for a stand-in that is not running; the others must outlive this
  // object.
  struct Targets {
    StoreStandin* store = nullptr;
    VmListStandin* vm_list = nullptr;
    WorkerStandin* workers = nullptr;
  };

  StandinControl(const std::string& ip, uint16_t port, Targets targets);
  ~StandinControl();

  std::string address() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_STANDIN_CONTROL_H_
