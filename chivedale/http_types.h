// What http_server.h and http_client.h have in common.
#ifndef CHIVEDALE_HTTP_TYPES_H_
#define CHIVEDALE_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chivedale/messages.h"

// Boost stays out of the headers to keep compile times low.
namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace chivedale {

struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

// The value of the first header of this name, in any case; empty when absent.
std::string_view FindHeader(const HttpHeaders& headers, std::string_view name);
// Appends "name: value\r\n" without control characters of the value, so that a
// value from outside cannot start another header.
void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value);

// "IP:PORT" or "IP:PORT/prefix"; IPv6 in brackets.
struct HttpAddress {
  std::string ip;
  uint16_t port = 0;
  std::string prefix;  // empty, or starts with a slash and does not end in one
};
// Throws std::invalid_argument.
HttpAddress ParseHttpAddress(const std::string& text);

// The path and the query values of a request target, percent-decoded.
struct HttpTarget {
  // Segments between slashes, decoded one by one: an encoded slash stays
  // within its segment.
  std::vector<std::string> path;
  std::vector<std::pair<std::string, std::string>> query;

  // Empty when absent.
  std::string Query(std::string_view name) const;
  // `fallback` when absent; throws std::invalid_argument when malformed.
  uint64_t QueryNumber(std::string_view name, uint64_t fallback) const;
};
// Throws std::invalid_argument for a malformed escape.
HttpTarget ParseHttpTarget(std::string_view target);
// Escapes all but unreserved characters, also the slash.
std::string PercentEncode(std::string_view text);

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_TYPES_H_
