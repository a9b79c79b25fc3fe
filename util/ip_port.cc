#include "util/ip_port.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace chivedale::util {

std::optional<IpPort> ParseIpPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port = text.substr(colon + 1);
  int family = AF_INET;
  if (ip.size() >= 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
    family = AF_INET6;
  }
  IpPort result{std::string(ip), 0};
  std::array<unsigned char, 16> binary{};
  if (result.ip.find('\0') != std::string::npos ||
      inet_pton(family, result.ip.c_str(), binary.data()) != 1) {
    return std::nullopt;
  }
  const char* end = port.data() + port.size();
  const auto parsed = std::from_chars(port.data(), end, result.port);
  if (port.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return result;
}

}  // namespace chivedale::util
