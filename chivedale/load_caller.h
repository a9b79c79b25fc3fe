// The callers of a load run: sends a plan's requests to random entries as the
// balancer would, sends again under the same id after a lost connection or a
// refusal that allows it, and checks each answer.
#ifndef CHIVEDALE_LOAD_CALLER_H_
#define CHIVEDALE_LOAD_CALLER_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "chivedale/http_client.h"
#include "chivedale/load_plan.h"
#include "chivedale/load_results.h"
#include "util/clock.h"
#include "util/random.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace chivedale {

class LoadCaller {
 public:
  // Runs for each send that got no answer.
  using Unanswered =
      std::function<void(const std::string& entry, const HttpResult& result)>;
  struct Options {
    std::vector<std::string> entries;  // IP:PORT each
    // One send without an answer is given up after this and sent again.
    Millis send_timeout{15'000};
    // After its deadline a request is given up as lost after this.
    Millis patience{45'000};
    Millis send_again{100};
    Unanswered unanswered;
  };
  // Whether `answer` (JSON text) is the answer to this request.
  using Check = std::function<bool(const std::string& id,
                                   const std::string& payload,
                                   const std::string& answer)>;

  LoadCaller(boost::asio::io_context& io,
             HttpClient& client,
             const util::Clock& clock,
             LoadPlan& plan,
             uint64_t seed,
             Options options,
             Check check);
  ~LoadCaller();

  // Command. `io` must be run by one thread; `ended` runs on it when the plan
  // is over and the last request has ended.
  void Start(std::function<void()> ended);

  // Query.
  const LoadResults& results() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_LOAD_CALLER_H_
