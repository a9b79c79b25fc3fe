// HTTP request and response types that do not depend on sockets or on the HTTP
// library.
//
//   std::optional<std::string> key = request.headers.Find("idempotency-key");
#ifndef CHIVEDALE_API_TYPES_H_
#define CHIVEDALE_API_TYPES_H_

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

struct ApiField {
  std::string name;
  std::string value;
};

// Ordered header fields with case-insensitive names.
class ApiHeaders {
 public:
  // Commands.
  void Add(std::string name, std::string value) {
    fields_.push_back({std::move(name), std::move(value)});
  }

  // Queries.
  // Returns the value of the first field with that name.
  std::optional<std::string> Find(std::string_view name) const {
    for (const ApiField& field : fields_) {
      if (EqualsIgnoringCase(field.name, name)) {
        return field.value;
      }
    }
    return std::nullopt;
  }
  const std::vector<ApiField>& fields() const { return fields_; }

 private:
  std::vector<ApiField> fields_;
};

struct ApiRequest {
  std::string method;  // upper case
  std::string path;    // path of the target, percent escapes not decoded
  std::string query;   // after '?', without it; may be empty
  ApiHeaders headers;
  std::shared_ptr<const std::string> body;  // null: no body
  std::string remote;                       // IP:port
};

struct ApiResponse {
  int status = 200;
  std::string content_type = "application/json";
  ApiHeaders headers;
  std::shared_ptr<const std::string> body;  // null: no body
};

// Must be called once per request; may be called from any thread.
using ApiRespond = std::function<void(ApiResponse)>;
using ApiHandler = std::function<void(ApiRequest, ApiRespond)>;

}  // namespace chivedale

#endif  // CHIVEDALE_API_TYPES_H_
