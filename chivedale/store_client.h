// StorePort over HTTP. Callbacks run through `post`.
//
//   StoreClient store(http, {"10.0.0.5:7000"}, post);
//   store.Get("table", [](StoreResult result) { ... });
//
// No call is sent twice. A read that its caller repeats after a failure has
// twice the time of the first one; it is received as long as data arrives.
// Values are UTF-8 text; a Put of invalid UTF-8 is not sent and ends with
// kUnavailable.
#ifndef CHIVEDALE_STORE_CLIENT_H_
#define CHIVEDALE_STORE_CLIENT_H_

#include <memory>
#include <string>

#include "chivedale/platform_call.h"
#include "chivedale/ports.h"

namespace chivedale {

class StoreClient final : public StorePort {
 public:
  struct Options {
    std::string address;
    Millis timeout{2'000};
    // Added to the wait of a watch.
    Millis watch_margin{2'000};
  };

  // `http` must outlive this object.
  StoreClient(HttpClient& http, Options options, PostFunction post);

  void Get(const std::string& key, Done done) override;
  void Put(const std::string& key,
           const std::string& value,
           uint64_t expected,
           Done done) override;
  void Delete(const std::string& key, uint64_t expected, Done done) override;
  void List(const std::string& prefix, Done done) override;
  void Watch(const std::string& prefix,
             uint64_t after,
             Millis wait,
             Done done) override;

 private:
  void Call(HttpCall call,
            std::function<StoreResult(const HttpResult&)> parse,
            Done done);
  // Calls with the limits of a read. `read` names what is read, for the limit
  // of its repetition. `wait`: the store's wait for a change; `limit`: for the
  // response to begin after that.
  void Read(HttpCall call,
            const std::string& read,
            Millis wait,
            Millis limit,
            std::function<StoreResult(const HttpResult&)> parse,
            Done done);

  class ReadLimits;

  HttpClient& http_;
  const Options options_;
  const PostFunction post_;
  // Shared with callbacks, which may run after the destructor.
  const std::shared_ptr<ReadLimits> limits_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_STORE_CLIENT_H_
