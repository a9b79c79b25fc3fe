// IP addresses with a port, as settings and command lines give them.
//
//   std::optional<util::IpPort> address = util::ParseIpPort("10.0.0.1:7000");
#ifndef UTIL_IP_PORT_H_
#define UTIL_IP_PORT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chivedale::util {

struct IpPort {
  std::string ip;
  uint16_t port = 0;
};

// "IPV4:PORT" or "[IPV6]:PORT"; nothing for host names and other text.
std::optional<IpPort> ParseIpPort(std::string_view text);

}  // namespace chivedale::util

#endif  // UTIL_IP_PORT_H_
