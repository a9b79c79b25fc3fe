#include "chivedale/testing/vm_list_standin.h"

#include <list>
#include <map>
#include <set>

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"
#include "chivedale/testing/standin_host.h"

namespace chivedale::testing {

struct VmListStandin::Impl {
  struct Waiter {
    uint64_t after = 0;
    HttpResponder respond;
  };

  void Handle(const HttpRequest& request, const HttpResponder& respond);
  // Applies a change after the lag and notifies waiting callers.
  void Change(std::function<void()> change);
  VmListResult List() const;
  HttpResponse Answer() const {
    return HttpResponse::Json(200, protocol::EncodeVms(List()));
  }

  std::string ip;
  uint16_t port = 0;
  Millis lag{0};
  bool down = false;
  uint64_t version = 1;
  std::map<std::string, Vm> vms;
  std::set<std::string> hidden;
  std::list<std::shared_ptr<Waiter>> waiters;
  // Declared last, so that its thread ends before the other members are
  // destroyed.
  StandinHost host;
};

VmListResult VmListStandin::Impl::List() const {
  VmListResult result{true, version, {}};
  for (const auto& [id, vm] : vms) {
    if (hidden.count(id) == 0) {
      result.vms.push_back(vm);
    }
  }
  return result;
}

void VmListStandin::Impl::Handle(const HttpRequest& request,
                                 const HttpResponder& respond) {
  if (down) {
    return request.caller->Abort();
  }
  const HttpTarget target = ParseHttpTarget(request.target);
  const uint64_t after = target.QueryNumber(protocol::kAfter, 0);
  if (version > after) {
    return respond(Answer());
  }
  auto waiter = std::make_shared<Waiter>(Waiter{after, respond});
  waiters.push_back(waiter);
  const Millis wait(target.QueryNumber(protocol::kWaitMs, 0));
  host.RunAfter(wait, [this, waiter] {
    waiters.remove(waiter);
    // Has no effect if the waiter was already notified of a change.
    waiter->respond(Answer());
  });
}

void VmListStandin::Impl::Change(std::function<void()> change) {
  const auto apply = [this, change = std::move(change)] {
    change();
    ++version;
    for (const auto& waiter : waiters) {
      waiter->respond(Answer());
    }
    waiters.clear();
  };
  host.Run([&] {
    if (lag == Millis(0)) {
      apply();
    } else {
      host.RunAfter(lag, apply);
    }
  });
}

VmListStandin::VmListStandin(const Options& options)
    : impl_(std::make_unique<Impl>()) {
  HttpServer::Options http;
  http.address = options.ip;
  http.port = options.port;
  impl_->ip = options.ip;
  impl_->lag = options.lag;
  Impl* impl = impl_.get();
  impl_->port = impl_->host.Listen(
      http, [impl](const HttpRequest& request, const HttpResponder& respond) {
        impl->Handle(request, respond);
      });
}

VmListStandin::~VmListStandin() = default;

void VmListStandin::Set(const std::vector<Vm>& vms) {
  impl_->Change([impl = impl_.get(), vms] {
    for (const Vm& vm : vms) {
      impl->vms[vm.id] = vm;
    }
  });
}

void VmListStandin::Remove(const std::string& id) {
  impl_->Change([impl = impl_.get(), id] { impl->vms.erase(id); });
}

void VmListStandin::MarkLeaving(const std::string& id) {
  impl_->Change([impl = impl_.get(), id] {
    const auto it = impl->vms.find(id);
    if (it != impl->vms.end()) {
      it->second.state = VmState::kLeaving;
    }
  });
}

void VmListStandin::SetHidden(const std::vector<std::string>& ids) {
  impl_->Change([impl = impl_.get(), ids] {
    impl->hidden = {ids.begin(), ids.end()};
  });
}

void VmListStandin::SetLag(Millis lag) {
  impl_->host.Run([&] { impl_->lag = lag; });
}

void VmListStandin::SetDown(bool down) {
  impl_->host.Run([&] { impl_->down = down; });
}

VmListResult VmListStandin::Listed() const {
  VmListResult result;
  impl_->host.Run([&] { result = impl_->List(); });
  return result;
}

std::string VmListStandin::address() const {
  return impl_->ip + ":" + std::to_string(impl_->port);
}

}  // namespace chivedale::testing
