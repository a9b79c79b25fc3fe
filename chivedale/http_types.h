// One HTTP request and its answer, free of sockets and of the HTTP library.
//
//   std::optional<std::string> key = request.headers.Find("idempotency-key");
#ifndef CHIVEDALE_HTTP_TYPES_H_
#define CHIVEDALE_HTTP_TYPES_H_

#include <algorithm>
#include <cctype>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chivedale {

inline bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

struct HttpField {
  std::string name;
  std::string value;
};

// Header fields in order; names are compared without regard to case.
class HttpHeaders {
 public:
  // Commands.
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }

  // Queries.
  // The first field of that name.
  std::optional<std::string> Find(std::string_view name) const {
    for (const HttpField& field : fields_) {
      if (EqualsIgnoringCase(field.name, name)) {
        return field.value;
      }
    }
    return std::nullopt;
  }
  const std::vector<HttpField>& fields() const { return fields_; }

 private:
  std::vector<HttpField> fields_;
};

struct HttpRequest {
  std::string method;  // upper case
  std::string path;    // of the target, percent escapes left as sent
  std::string query;   // after '?', without it; may be empty
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;  // null: no body
  std::string remote;                       // IP:port
};

struct HttpResponse {
  int status = 200;
  std::string content_type = "application/json";
  HttpHeaders headers;
  std::shared_ptr<const std::string> body;  // null: no body
};

// Callable from any thread, once per request.
using HttpRespond = std::function<void(HttpResponse)>;
using HttpHandler = std::function<void(HttpRequest, HttpRespond)>;

}  // namespace chivedale

#endif  // CHIVEDALE_HTTP_TYPES_H_
