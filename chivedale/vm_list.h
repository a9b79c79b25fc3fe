// Live and leaving VMs as the platform lists them. The list lags and may be
// wrong: one that loses more than `max_loss` of the known VMs at once is not
// believed for `doubt` unless it stays that way.
#ifndef CHIVEDALE_VM_LIST_H_
#define CHIVEDALE_VM_LIST_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "chivedale/ports.h"
#include "util/clock.h"

namespace chivedale {

class VmList {
 public:
  struct Options {
    double max_loss = 0.2;
    Millis doubt{30'000};
  };

  VmList(const util::Clock& clock, Options options);

  // Commands.
  void OnList(const VmListResult& result);
  // A worker that answers is alive whatever the list says.
  void OnContact(const std::string& vm);
  void Tick();

  // Queries.
  // Endpoints to keep a lease on or claim, with leaving ones marked.
  std::vector<Vm> Endpoints() const;
  std::vector<Vm> Entries() const;
  bool doubted() const;
  uint64_t version() const;

 private:
  using Vms = std::map<std::string, Vm>;

  // Part of the VMs in the last believed list that `list` lacks.
  double LossIn(const Vms& list) const;
  void Believe(Vms list);
  void DropUnlisted();
  std::vector<Vm> WithRole(VmRole role) const;

  const util::Clock& clock_;
  const Options options_;
  // The believed list, and VMs outside it that answered lately.
  Vms believed_;
  // The last list that was believed, and the one that is doubted.
  Vms listed_;
  Vms pending_;
  // Believed for their answers alone; known anew with each believed list.
  std::set<std::string> unlisted_;
  std::map<std::string, util::TimePoint> contact_;
  util::TimePoint doubted_since_{};
  bool doubted_ = false;
  uint64_t version_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_VM_LIST_H_
