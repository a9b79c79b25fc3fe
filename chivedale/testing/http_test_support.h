// Helpers for tests over real sockets: blocking calls and waits with a timeout.
#ifndef CHIVEDALE_TESTING_HTTP_TEST_SUPPORT_H_
#define CHIVEDALE_TESTING_HTTP_TEST_SUPPORT_H_

#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>

#include "chivedale/http_client.h"

namespace chivedale::testing {

inline Body MakeBody(std::string text) {
  return std::make_shared<const std::string>(std::move(text));
}

// Limit of waits, so that a test fails instead of hanging.
inline constexpr std::chrono::seconds kWaitTimeout{10};

inline bool WaitUntil(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return true;
}

// Calls `start` with a callback and returns the value passed to the callback.
template <typename Result>
Result CallAndGet(
    const std::function<void(std::function<void(Result)>)>& start) {
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  start([promise](Result result) { promise->set_value(std::move(result)); });
  if (future.wait_for(kWaitTimeout) != std::future_status::ready) {
    throw std::runtime_error(
        "the callback was not called within the time limit");
  }
  return future.get();
}

inline HttpCall MakeCall(const std::string& address,
                         std::string method,
                         std::string target,
                         std::string body = "") {
  HttpCall call;
  call.address = address;
  call.method = std::move(method);
  call.target = std::move(target);
  call.body_prefix = std::move(body);
  call.timeout = Millis(5'000);
  return call;
}

inline HttpResult CallAndWait(HttpClient& client, HttpCall call) {
  return CallAndGet<HttpResult>([&](std::function<void(HttpResult)> done) {
    client.Call(std::move(call), std::move(done));
  });
}

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_HTTP_TEST_SUPPORT_H_
