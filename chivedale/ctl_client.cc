#include "chivedale/ctl_client.h"

#include <utility>

namespace chivedale {
namespace {

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;

bool IsAnswered(const CallResult& result) {
  return result.outcome == CallOutcome::kAnswered;
}

// True if the call had no effect and another process may accept it.
bool ShouldTryNextServer(const CallResult& result) {
  return result.outcome == CallOutcome::kNotSent ||
         (result.status == kUnavailable &&
          (result.body.find("\"kind\":\"draining\"") != std::string::npos ||
           result.body.find("\"kind\":\"not_ready\"") != std::string::npos));
}

// A refusal for lack of capacity does not tell whether the earlier send took
// effect.
bool ResolvesEarlierSend(const CallResult& result) {
  return IsAnswered(result) && result.status != kUnavailable &&
         result.status != kTooManyRequests;
}

}  // namespace

CtlClient::CtlClient(CtlTransport& transport,
                     std::vector<util::IpPort> servers,
                     Millis timeout)
    : transport_(transport), servers_(std::move(servers)), timeout_(timeout) {}

CallResult CtlClient::CallOne(size_t server, const CtlRequest& request) const {
  return transport_.Call(servers_[server % servers_.size()], request, timeout_);
}

CallResult CtlClient::Read(const CtlRequest& request) const {
  CallResult best;
  for (size_t i = 0; i < servers_.size(); ++i) {
    CallResult result = CallOne(i, request);
    if (IsAnswered(result) && !ShouldTryNextServer(result)) {
      return result;
    }
    if (i == 0 || IsAnswered(result)) {
      best = std::move(result);
    }
  }
  return best;
}

CallResult CtlClient::Change(const CtlRequest& request) const {
  CallResult best;
  for (size_t i = 0; i < servers_.size(); ++i) {
    CallResult result = CallOne(i, request);
    if (result.outcome == CallOutcome::kLost) {
      CallResult second = CallOne(i + 1, request);
      return ResolvesEarlierSend(second) ? second : result;
    }
    if (!ShouldTryNextServer(result)) {
      return result;
    }
    if (i == 0 || IsAnswered(result)) {
      best = std::move(result);
    }
  }
  return best;
}

}  // namespace chivedale
