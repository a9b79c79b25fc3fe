// The callers of a load run. Sends the requests of a plan to random entry VMs,
// as a load balancer would, resends with the same id after a lost connection or
// a retryable refusal, and checks each answer.
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
  // Called for each send that failed or got no answer.
  using Unanswered =
      std::function<void(const std::string& entry, const HttpResult& result)>;
  struct Options {
    std::vector<std::string> entries;  // IP:PORT each
    // A send without an answer is abandoned after this and repeated.
    Millis send_timeout{15'000};
    // Resends end this long after the deadline of the request. It then gets the
    // outcome of its last answer, or kLost if the last send got none.
    Millis result_grace{45'000};
    Millis resend_delay{100};
    Unanswered unanswered;
  };
  // Returns whether `answer` (JSON text) belongs to this request.
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

  // Command. `io` must be run by one thread; `ended` runs on it once the plan
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
