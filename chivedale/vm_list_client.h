// VmListPort over HTTP. Callbacks run through `post`.
#ifndef CHIVEDALE_VM_LIST_CLIENT_H_
#define CHIVEDALE_VM_LIST_CLIENT_H_

#include <string>

#include "chivedale/platform_call.h"
#include "chivedale/ports.h"

namespace chivedale {

class VmListClient final : public VmListPort {
 public:
  struct Options {
    std::string address;
    // Added to the wait of the call.
    Millis margin{2'000};
  };

  // `http` must outlive this object.
  VmListClient(HttpClient& http, Options options, PostFunction post);

  void Fetch(uint64_t after,
             Millis wait,
             std::function<void(VmListResult)> done) override;

 private:
  HttpClient& http_;
  const Options options_;
  const PostFunction post_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_VM_LIST_CLIENT_H_
