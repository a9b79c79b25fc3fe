// StorePort over HTTP. Callbacks run through `post`.
//
//   StoreClient store(http, {"10.0.0.5:7000"}, post);
//   store.Get("table", [](StoreResult result) { ... });
//
// No call is sent twice. Values are UTF-8 text; a Put of invalid UTF-8 is not
// sent and ends with kUnavailable.
#ifndef CHIVEDALE_STORE_CLIENT_H_
#define CHIVEDALE_STORE_CLIENT_H_

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

  HttpClient& http_;
  const Options options_;
  const PostFunction post_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_STORE_CLIENT_H_
