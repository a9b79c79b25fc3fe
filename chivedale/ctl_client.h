// HTTP client of chivedalectl: makes one call at a time and tries the next
// server if one does not answer.
//
//   CtlClient client(transport, servers, timeout);
//   CallResult result = client.Read({"GET", "/v1/status"});
#ifndef CHIVEDALE_CTL_CLIENT_H_
#define CHIVEDALE_CTL_CLIENT_H_

#include <string>
#include <vector>

#include "chivedale/work.h"
#include "util/ip_port.h"

namespace chivedale {

struct CtlRequest {
  std::string method;
  std::string target;
  std::string body;
  std::string idempotency_key;  // empty: no such header
};

enum class CallOutcome {
  kAnswered,
  kNotSent,  // no connection; the call had no effect
  kLost,     // sent without an answer; may have taken effect
};

struct CallResult {
  CallOutcome outcome = CallOutcome::kNotSent;
  int status = 0;
  std::string body;
  std::string error;  // unless kAnswered
};

class CtlTransport {
 public:
  virtual ~CtlTransport() = default;
  virtual CallResult Call(const util::IpPort& server,
                          const CtlRequest& request,
                          Millis timeout) = 0;
};

class CtlClient {
 public:
  // `servers` must not be empty.
  CtlClient(CtlTransport& transport,
            std::vector<util::IpPort> servers,
            Millis timeout);

  // Tries the servers in order until one answers. The answer of a process that
  // is starting or stopping is used only if no other server is left.
  CallResult Read(const CtlRequest& request) const;
  // Like Read(), but after a lost answer the change is sent once more, to the
  // next server or, after the last one, to the first, so it must be idempotent.
  // Returns kLost if the outcome remains unknown.
  CallResult Change(const CtlRequest& request) const;
  // Calls one server only.
  CallResult CallOne(size_t server, const CtlRequest& request) const;

  const std::vector<util::IpPort>& servers() const { return servers_; }
  void set_timeout(Millis timeout) { timeout_ = timeout; }

 private:
  CtlTransport& transport_;
  const std::vector<util::IpPort> servers_;
  Millis timeout_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_CLIENT_H_
