#include "chivedale/vm_list.h"

#include <algorithm>
#include <utility>

// Additions and leaving states of a list with an unconfirmed loss are applied
// immediately; only its losses are delayed. A leaving VM must stop getting new
// work within seconds, and a VM that was wrongly added fails to get a lease.
namespace chivedale {

VmList::VmList(const util::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

void VmList::OnList(const VmListResult& result) {
  if (!result.ok) {
    return;
  }
  version_ = result.version;
  Vms list;
  for (const Vm& vm : result.vms) {
    list[vm.id] = vm;
  }
  if (LossIn(list) <= options_.max_loss) {
    Accept(std::move(list));
    return;
  }
  if (!loss_unconfirmed_) {
    loss_unconfirmed_ = true;
    unconfirmed_since_ = clock_.Now();
  }
  for (const auto& [id, vm] : list) {
    accepted_[id] = vm;
  }
  pending_ = std::move(list);
  Tick();
}

double VmList::LossIn(const Vms& list) const {
  if (listed_.empty()) {
    return 0;
  }
  const auto lost = std::count_if(
      listed_.begin(), listed_.end(),
      [&list](const auto& item) { return list.count(item.first) == 0; });
  return static_cast<double>(lost) / static_cast<double>(listed_.size());
}

void VmList::Accept(Vms list) {
  loss_unconfirmed_ = false;
  pending_.clear();
  listed_ = std::move(list);
  for (const auto& [id, vm] : listed_) {
    accepted_[id] = vm;
  }
  unlisted_.clear();
  for (const auto& [id, vm] : accepted_) {
    if (listed_.count(id) == 0) {
      unlisted_.insert(id);
    }
  }
  DropUnlisted();
}

// Called often, so it must not iterate over the listed VMs.
void VmList::DropUnlisted() {
  const util::TimePoint oldest_contact = clock_.Now() - options_.doubt_period;
  for (auto it = unlisted_.begin(); it != unlisted_.end();) {
    auto contact = contact_.find(*it);
    if (contact != contact_.end() && contact->second > oldest_contact) {
      ++it;
      continue;
    }
    if (contact != contact_.end()) {
      contact_.erase(contact);
    }
    accepted_.erase(*it);
    it = unlisted_.erase(it);
  }
}

void VmList::OnContact(const std::string& vm) {
  if (accepted_.count(vm) != 0) {
    contact_[vm] = clock_.Now();
  }
}

void VmList::Tick() {
  if (loss_unconfirmed_) {
    if (clock_.Now() - unconfirmed_since_ >= options_.doubt_period) {
      Accept(std::exchange(pending_, {}));
    }
    return;
  }
  DropUnlisted();
}

std::vector<Vm> VmList::WithRole(VmRole role) const {
  std::vector<Vm> vms;
  for (const auto& [id, vm] : accepted_) {
    if (vm.role == role) {
      vms.push_back(vm);
    }
  }
  return vms;
}

std::vector<Vm> VmList::Endpoints() const {
  return WithRole(VmRole::kEndpoint);
}

std::vector<Vm> VmList::Entries() const {
  return WithRole(VmRole::kEntry);
}

bool VmList::loss_unconfirmed() const {
  return loss_unconfirmed_;
}

uint64_t VmList::version() const {
  return version_;
}

}  // namespace chivedale
