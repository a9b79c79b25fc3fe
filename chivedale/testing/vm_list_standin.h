// The platform's list of VMs over HTTP. Changes show after `lag`.
//
//   VmListStandin list({});
//   list.Set(vm);
//   list.SetHidden({"w-1"});  // wrongly missing
#ifndef CHIVEDALE_TESTING_VM_LIST_STANDIN_H_
#define CHIVEDALE_TESTING_VM_LIST_STANDIN_H_

#include <memory>
#include <string>
#include <vector>

#include "chivedale/ports.h"

namespace chivedale::testing {

class VmListStandin {
 public:
  struct Options {
    std::string ip = "127.0.0.1";
    uint16_t port = 0;
    Millis lag{0};
  };

  explicit VmListStandin(const Options& options);
  ~VmListStandin();

  // Commands. Adds or replaces, in one version.
  void Set(const std::vector<Vm>& vms);
  void Set(const Vm& vm) { Set(std::vector<Vm>{vm}); }
  void Remove(const std::string& id);
  void MarkLeaving(const std::string& id);
  // These entries are missing from the list though the VMs are alive.
  void SetHidden(const std::vector<std::string>& ids);
  void SetLag(Millis lag);
  // Connections are dropped without an answer.
  void SetDown(bool down);

  // Queries. What is listed now.
  VmListResult Listed() const;
  std::string address() const;  // IP:PORT

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_VM_LIST_STANDIN_H_
