// Stand-in for the platform's list of VMs over HTTP. Changes become visible
// after `lag`.
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

  // Commands. Set adds or replaces VMs in one new version.
  void Set(const std::vector<Vm>& vms);
  void Set(const Vm& vm) { Set(std::vector<Vm>{vm}); }
  void Remove(const std::string& id);
  void MarkLeaving(const std::string& id);
  // Hides these VMs from the list although they are alive.
  void SetHidden(const std::vector<std::string>& ids);
  void SetLag(Millis lag);
  // Connections are dropped without an answer.
  void SetDown(bool down);

  // Queries. Returns the current list.
  VmListResult Listed() const;
  std::string address() const;  // IP:PORT

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_VM_LIST_STANDIN_H_
