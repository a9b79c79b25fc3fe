// Internal to store_client.cc, worker_client.cc and vm_list_client.cc: delivers
// an HTTP response from a traffic thread to a callback on the control thread.
#ifndef CHIVEDALE_PLATFORM_CALL_H_
#define CHIVEDALE_PLATFORM_CALL_H_

#include <functional>
#include <memory>
#include <utility>

#include "chivedale/http_client.h"

namespace chivedale {

// Runs a function on the control thread.
using PostFunction = std::function<void(std::function<void()>)>;

// `parse` runs on the traffic thread. If it throws, the response was malformed
// and `done` receives `malformed`.
template <typename Result>
HttpClient::Done DeliverOn(PostFunction post,
                           std::function<Result(const HttpResult&)> parse,
                           Result malformed,
                           std::function<void(Result)> done) {
  return [post = std::move(post), parse = std::move(parse),
          malformed = std::move(malformed),
          done = std::move(done)](const HttpResult& http) {
    auto result = std::make_shared<Result>(malformed);
    try {
      *result = parse(http);
    } catch (const std::exception&) {
      *result = malformed;
    }
    post([done, result] { done(std::move(*result)); });
  };
}

}  // namespace chivedale

#endif  // CHIVEDALE_PLATFORM_CALL_H_
