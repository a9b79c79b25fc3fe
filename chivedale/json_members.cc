// The JSON library validates the text first. Matching quotes and brackets is
// then sufficient to find the end of each member.
#include "chivedale/json_members.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kWhitespace = " \t\r\n";

// Scans text that is known to be valid JSON.
class Cursor {
 public:
  explicit Cursor(std::string_view text) : text_(text) {}

  char Peek() {
    at_ = std::min(text_.find_first_not_of(kWhitespace, at_), text_.size());
    return at_ < text_.size() ? text_[at_] : '\0';
  }
  void Skip() { ++at_; }

  std::string_view TakeValue() {
    const char first = Peek();
    const size_t begin = at_;
    if (first == '"') {
      SkipString();
    } else if (first == '{' || first == '[') {
      SkipNested();
    } else {
      at_ = std::min(text_.find_first_of(",}] \t\r\n", at_), text_.size());
    }
    return text_.substr(begin, at_ - begin);
  }

 private:
  void SkipString() {
    for (++at_; text_[at_] != '"'; ++at_) {
      at_ += text_[at_] == '\\' ? 1 : 0;
    }
    ++at_;
  }
  void SkipNested() {
    int depth = 0;
    do {
      const char c = text_[at_];
      if (c == '"') {
        SkipString();
        continue;
      }
      depth += c == '{' || c == '[' ? 1 : 0;
      depth -= c == '}' || c == ']' ? 1 : 0;
      ++at_;
    } while (depth > 0);
  }

  std::string_view text_;
  size_t at_ = 0;
};

[[noreturn]] void ThrowBadRequest(const std::string& detail) {
  throw Error(ErrorKind::kBadRequest, detail);
}

}  // namespace

JsonMembers::JsonMembers(std::string_view text) {
  if (!IsJson(text)) {
    ThrowBadRequest("the body is not valid JSON");
  }
  Cursor cursor(text);
  if (cursor.Peek() != '{') {
    ThrowBadRequest("the body is not a JSON object");
  }
  cursor.Skip();
  while (cursor.Peek() != '}') {
    if (cursor.Peek() == ',') {
      cursor.Skip();
    }
    std::string key = Json::parse(cursor.TakeValue()).get<std::string>();
    cursor.Peek();
    cursor.Skip();  // the colon
    const std::string_view value = cursor.TakeValue();
    if (Find(key)) {
      ThrowBadRequest("'" + Excerpt(key) + "' is given twice");
    }
    members_.push_back({std::move(key), value});
  }
}

std::optional<std::string_view> JsonMembers::Find(std::string_view key) const {
  for (const Member& member : members_) {
    if (member.key == key) {
      return member.value;
    }
  }
  return std::nullopt;
}

void JsonMembers::RejectUnknown(
    const std::vector<std::string_view>& known) const {
  std::string unknown;
  for (const Member& member : members_) {
    if (std::find(known.begin(), known.end(), member.key) == known.end()) {
      unknown += (unknown.empty() ? "'" : ", '") + Excerpt(member.key) + "'";
    }
  }
  if (!unknown.empty()) {
    ThrowBadRequest("unknown keys: " + unknown);
  }
}

std::string_view JsonMembers::Required(std::string_view key) const {
  const std::optional<std::string_view> value = Find(key);
  if (!value) {
    ThrowBadRequest("'" + std::string(key) + "' is missing");
  }
  return *value;
}

std::string JsonMembers::RequiredString(std::string_view key,
                                        size_t max_size) const {
  const std::string_view raw = Required(key);
  std::string text;
  if (raw.front() == '"') {
    text = Json::parse(raw).get<std::string>();
  }
  if (text.empty() || text.size() > max_size) {
    ThrowBadRequest("'" + std::string(key) + "': " + Excerpt(raw) +
                    " is not a string of 1 to " + std::to_string(max_size) +
                    " bytes");
  }
  return text;
}

int64_t JsonMembers::RequiredInteger(std::string_view key,
                                     int64_t min,
                                     int64_t max) const {
  const std::string_view raw = Required(key);
  const Json value = Json::parse(raw);
  const bool fits = value.is_number_integer() &&
                    (!value.is_number_unsigned() ||
                     value.get<uint64_t>() <= static_cast<uint64_t>(max));
  if (!fits || value.get<int64_t>() < min || value.get<int64_t>() > max) {
    ThrowBadRequest("'" + std::string(key) + "': " + Excerpt(raw) +
                    " is not an integer from " + std::to_string(min) + " to " +
                    std::to_string(max));
  }
  return value.get<int64_t>();
}

bool IsJson(std::string_view text) {
  return Json::accept(text);
}

std::string Excerpt(std::string_view text) {
  constexpr size_t kMaxShownBytes = 60;
  std::string excerpt(text.substr(0, kMaxShownBytes));
  // This may cut a UTF-8 sequence; the JSON library replaces the incomplete
  // part.
  return text.size() > kMaxShownBytes ? excerpt + "..." : excerpt;
}

}  // namespace chivedale
