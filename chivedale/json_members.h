// The members of a JSON object as pieces of its text, so that a payload can be
// passed on byte for byte.
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
  // Refers to `text`, which must outlive it. Throws Error(kBadRequest) when
  // the text is no JSON object or has a key twice.
  explicit JsonMembers(std::string_view text);

  // Queries.
  // The value's text, without surrounding blanks.
  std::optional<std::string_view> Find(std::string_view key) const;
  // Throws Error(kBadRequest) naming each key that is not in `known`.
  void RejectUnknown(const std::vector<std::string_view>& known) const;

  // Typed values. Throw Error(kBadRequest) naming key, value and bound.
  std::string Text(std::string_view key, size_t max_size) const;
  int64_t Integer(std::string_view key, int64_t min, int64_t max) const;

 private:
  struct Member {
    std::string key;
    std::string_view value;
  };

  std::string_view Required(std::string_view key) const;

  std::vector<Member> members_;
};

// Whether `text` is one JSON value in valid UTF-8.
bool IsJson(std::string_view text);
// At most a few dozen bytes of `text`, for messages.
std::string Excerpt(std::string_view text);

}  // namespace chivedale

#endif  // CHIVEDALE_JSON_MEMBERS_H_
