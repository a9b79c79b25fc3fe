// Parses an IP address with a port, as in settings and on command lines.
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

// Accepts "IPV4:PORT" and "[IPV6]:PORT". Returns nullopt for anything else,
// including host names.
std::optional<IpPort> ParseIpPort(std::string_view text);

}  // namespace chivedale::util

#endif  // UTIL_IP_PORT_H_
