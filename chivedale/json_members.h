// Splits a JSON object into its members without parsing the values, so that a
// payload can be forwarded byte for byte.
//
//   const JsonMembers members(body);  // throws Error(kBadRequest)
//   std::string_view payload = members.Find("payload").value();
#ifndef CHIVEDALE_JSON_MEMBERS_H_
#define CHIVEDALE_JSON_MEMBERS_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chivedale {

class JsonMembers {
 public:
  // Keeps references to `text`, which must outlive this object and the views
  // that Find returns. Throws Error(kBadRequest) if the text is not a JSON
  // object or has a duplicate key.
  explicit JsonMembers(std::string_view text);

  // Returns the text of the value without surrounding whitespace.
  std::optional<std::string_view> Find(std::string_view key) const;
  // Throws Error(kBadRequest) that names each key that is not in `known`.
  void RejectUnknown(const std::vector<std::string_view>& known) const;

  // Return the value of a required member. Throw Error(kBadRequest) that names
  // the key, the value and the bounds.
  std::string RequiredString(std::string_view key, size_t max_size) const;
  int64_t RequiredInteger(std::string_view key, int64_t min, int64_t max) const;

 private:
  struct Member {
    std::string key;
    std::string_view value;
  };

  std::string_view Required(std::string_view key) const;

  std::vector<Member> members_;
};

// True if `text` is a single JSON value in valid UTF-8.
bool IsJson(std::string_view text);
// The first 60 bytes of `text`, for messages.
std::string Excerpt(std::string_view text);

}  // namespace chivedale

#endif  // CHIVEDALE_JSON_MEMBERS_H_
