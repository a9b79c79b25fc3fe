// For tests over real sockets: a client that waits, and a raw connection.
#ifndef CHIVEDALE_TESTING_HTTP_BENCH_H_
#define CHIVEDALE_TESTING_HTTP_BENCH_H_

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

// A wait that fails the test instead of hanging it.
inline constexpr std::chrono::seconds kPatience{10};

inline bool WaitFor(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(Millis(1));
  }
  return true;
}

// Runs `start` with a callback and waits for the callback's value.
template <typename Result>
Result Await(const std::function<void(std::function<void(Result)>)>& start) {
  auto promise = std::make_shared<std::promise<Result>>();
  auto future = promise->get_future();
  start([promise](Result result) { promise->set_value(std::move(result)); });
  if (future.wait_for(kPatience) != std::future_status::ready) {
    throw std::runtime_error("no callback");
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
  call.head = std::move(body);
  call.timeout = Millis(5'000);
  return call;
}

inline HttpResult CallAndWait(HttpClient& client, HttpCall call) {
  return Await<HttpResult>([&](std::function<void(HttpResult)> done) {
    client.Call(std::move(call), std::move(done));
  });
}

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_HTTP_BENCH_H_
