// Live and leaving VMs as the platform lists them. The list lags and may be
// wrong: if more than the fraction `max_loss` of the known VMs disappears at
// once, the loss is accepted only once it has lasted for `doubt_period`.
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
    // Also the time for which a VM that is no longer listed is kept after its
    // last answer.
    Millis doubt_period{30'000};
  };

  VmList(const util::Clock& clock, Options options);

  // Commands.
  void OnList(const VmListResult& result);
  // Records that a worker answered. It counts as alive for `doubt_period` even
  // if it is no longer listed. Workers that were never listed are ignored.
  void OnContact(const std::string& vm);
  void Tick();

  // Queries.
  // Returns the endpoints to claim or to keep a lease on; leaving ones are
  // marked.
  std::vector<Vm> Endpoints() const;
  std::vector<Vm> Entries() const;
  bool loss_unconfirmed() const;
  uint64_t version() const;

 private:
  using Vms = std::map<std::string, Vm>;

  // Returns the fraction of the VMs in the last accepted list that `list`
  // lacks.
  double LossIn(const Vms& list) const;
  void Accept(Vms list);
  void DropUnlisted();
  std::vector<Vm> WithRole(VmRole role) const;

  const util::Clock& clock_;
  const Options options_;
  // The VMs assumed to exist: those of `listed_`, the additions of a list with
  // an unconfirmed loss, and unlisted VMs that answered recently.
  Vms accepted_;
  // The last list whose losses were accepted, and the one whose losses are not
  // yet accepted.
  Vms listed_;
  Vms pending_;
  // VMs kept only because they answered; recomputed with each accepted list.
  std::set<std::string> unlisted_;
  std::map<std::string, util::TimePoint> contact_;
  util::TimePoint unconfirmed_since_{};
  bool loss_unconfirmed_ = false;
  uint64_t version_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_VM_LIST_H_
