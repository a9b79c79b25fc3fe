#include "chivedale/vm_list_client.h"

#include "chivedale/platform_codec.h"
#include "chivedale/platform_protocol.h"

namespace chivedale {

VmListClient::VmListClient(HttpClient& http, Options options, PostFunction post)
    : http_(http), options_(std::move(options)), post_(std::move(post)) {}

void VmListClient::Fetch(uint64_t after,
                         Millis wait,
                         std::function<void(VmListResult)> done) {
  HttpCall call;
  call.address = options_.address;
  call.method = "GET";
  call.target = std::string(protocol::kVmsPath) + "?" + protocol::kAfter + "=" +
                std::to_string(after) + "&" + protocol::kWaitMs + "=" +
                std::to_string(wait.count());
  call.timeout = wait + options_.margin;
  const auto parse = [](const HttpResult& http) {
    return http.http_status == 200 ? protocol::DecodeVms(*http.body)
                                   : VmListResult();
  };
  http_.Call(
      std::move(call),
      DeliverOn<VmListResult>(post_, parse, VmListResult(), std::move(done)));
}

}  // namespace chivedale
