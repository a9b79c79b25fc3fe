// How chivedalectl calls the daemons: one call at a time, with another server
// when one does not answer.
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
  kNotSent,  // no connection: certainly not done
  kLost,     // sent, no answer: may have been done
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

  // Servers in order until one answers; a process that is starting or stopping
  // does not count while another one is left.
  CallResult Read(const CtlRequest& request) const;
  // The same, but after a lost answer the change is sent once more, to the next
  // server. It must be one that a repetition does not do twice. kLost when the
  // outcome stays unknown.
  CallResult Change(const CtlRequest& request) const;
  // One server only.
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
