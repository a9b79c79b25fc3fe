// Targets are split before decoding, so that an encoded "/" or "&" does not end
// a segment or value.
#include "chivedale/http_types.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <stdexcept>

namespace chivedale {
namespace {

char ToLower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool EqualsIgnoreCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(),
                    [](char x, char y) { return ToLower(x) == ToLower(y); });
}

template <typename Number>
Number ParseNumber(std::string_view text, int base = 10) {
  Number number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number, base);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw std::invalid_argument("invalid number: '" + std::string(text) + "'");
  }
  return number;
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  out.reserve(text.size());
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (i + 2 >= text.size()) {
      throw std::invalid_argument("truncated percent escape in '" +
                                  std::string(text) + "'");
    }
    out += static_cast<char>(ParseNumber<uint8_t>(text.substr(i + 1, 2), 16));
    i += 2;
  }
  return out;
}

// Calls `each` with every part of `text` between separators.
template <typename Each>
void Split(std::string_view text, char separator, Each each) {
  while (!text.empty()) {
    const size_t end = text.find(separator);
    each(text.substr(0, end));
    text = end == std::string_view::npos ? "" : text.substr(end + 1);
  }
}

}  // namespace

std::string_view FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoreCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

void AppendHeader(std::string& out,
                  std::string_view name,
                  std::string_view value) {
  out.append(name).append(": ");
  for (char c : value) {
    if (static_cast<unsigned char>(c) >= 0x20 && c != 0x7f) {
      out += c;
    }
  }
  out += "\r\n";
}

HttpAddress ParseHttpAddress(const std::string& text) {
  HttpAddress address;
  const size_t slash = text.find('/');
  const std::string host_port = text.substr(0, slash);
  if (slash != std::string::npos) {
    address.prefix = text.substr(slash);
    while (!address.prefix.empty() && address.prefix.back() == '/') {
      address.prefix.pop_back();
    }
  }
  const size_t colon = host_port.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("address has no port: '" + text + "'");
  }
  address.ip = host_port.substr(0, colon);
  if (address.ip.size() > 2 && address.ip.front() == '[' &&
      address.ip.back() == ']') {
    address.ip = address.ip.substr(1, address.ip.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(address.ip, error);
  if (error) {
    throw std::invalid_argument("not an IP address: '" + text + "'");
  }
  address.port =
      ParseNumber<uint16_t>(std::string_view(host_port).substr(colon + 1));
  return address;
}

std::string HttpTarget::Query(std::string_view name) const {
  for (const auto& [key, value] : query) {
    if (key == name) {
      return value;
    }
  }
  return {};
}

uint64_t HttpTarget::QueryNumber(std::string_view name,
                                 uint64_t fallback) const {
  const std::string text = Query(name);
  return text.empty() ? fallback : ParseNumber<uint64_t>(text);
}

HttpTarget ParseHttpTarget(std::string_view target) {
  HttpTarget result;
  const size_t query_start = target.find('?');
  std::string_view path = target.substr(0, query_start);
  if (!path.empty() && path.front() == '/') {
    path.remove_prefix(1);
  }
  Split(path, '/', [&](std::string_view segment) {
    result.path.push_back(PercentDecode(segment));
  });
  if (query_start != std::string_view::npos) {
    Split(target.substr(query_start + 1), '&', [&](std::string_view part) {
      const size_t equals = part.find('=');
      const std::string_view value = equals == std::string_view::npos
                                         ? std::string_view()
                                         : part.substr(equals + 1);
      result.query.emplace_back(PercentDecode(part.substr(0, equals)),
                                PercentDecode(value));
    });
  }
  return result;
}

std::string PercentEncode(std::string_view text) {
  static constexpr char kDigits[] = "0123456789ABCDEF";
  std::string out;
  out.reserve(text.size());
  for (char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool unreserved = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                            (c >= '0' && c <= '9') || c == '-' || c == '.' ||
                            c == '_' || c == '~';
    if (unreserved) {
      out += c;
    } else {
      out += '%';
      out += kDigits[byte >> 4];
      out += kDigits[byte & 15];
    }
  }
  return out;
}

}  // namespace chivedale
