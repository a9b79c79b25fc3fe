// Types shared by http_server.h and http_client.h.
#ifndef CHIVEDALE_HTTP_TYPES_H_
#define CHIVEDALE_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivedale/messages.h"

// Forward declaration: headers don't include Boost, to keep compile times low.
namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace chivedale {

struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

// Returns the value of the first header with this name (case-insensitive), or
// an empty view if there is none.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);
// Appends "name: value\r\n". Control characters in the value are dropped, so
// that untrusted input cannot inject another header.
void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value);

// "IP:PORT" or "IP:PORT/prefix"; IPv6 in brackets.
struct HttpAddress {
  std::string ip;
  uint16_t port = 0;
  std::string prefix;  // empty, or starts with a slash and does not end in one
};
// Throws std::invalid_argument if `text` is malformed.
HttpAddress ParseHttpAddress(const std::string& text);

// The percent-decoded path and query of a request target.
struct HttpTarget {
  // Split at slashes before decoding, so an encoded slash stays in its segment.
  std::vector<std::string> path;
  std::vector<std::pair<std::string, std::string>> query;

  // Returns "" if absent.
  std::string Query(std::string_view name) const;
  // Returns `fallback` if absent. Throws std::invalid_argument if malformed.
  uint64_t QueryNumber(std::string_view name, uint64_t fallback) const;
};
// Throws std::invalid_argument for a malformed escape.
HttpTarget ParseHttpTarget(std::string_view target);
// Escapes all characters except unreserved ones; also escapes slashes.
std::string PercentEncode(std::string_view text);

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_TYPES_H_
