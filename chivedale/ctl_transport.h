// Makes each HTTP call over its own connection and blocks until it ends.
#ifndef CHIVEDALE_CTL_TRANSPORT_H_
#define CHIVEDALE_CTL_TRANSPORT_H_

#include "chivedale/ctl_client.h"

namespace chivedale {

class TcpCtlTransport final : public CtlTransport {
 public:
  CallResult Call(const util::IpPort& server,
                  const CtlRequest& request,
                  Millis timeout) override;
};

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_TRANSPORT_H_
