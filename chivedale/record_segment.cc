// Ids are stored as text rather than as hashes, so that an operator can find
// one in the store.
#include "chivedale/record_segment.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "util/random.h"

namespace chivedale {
namespace {

using nlohmann::json;

// Makes this hash independent of other hashes of the same ids.
constexpr uint64_t kKeySeed = 0x7265636f7264;
// The store orders keys as text; zero padding makes that the numeric order.
constexpr size_t kSequenceDigits = 16;

// Ids are arbitrary bytes, which JSON strings cannot represent.
std::string Escape(const std::string& text) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte > 0x20 && byte < 0x7f && c != '%' && c != '"' && c != '\\') {
      out.push_back(c);
      continue;
    }
    out.push_back('%');
    out.push_back(kDigits[byte >> 4]);
    out.push_back(kDigits[byte & 15]);
  }
  return out;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out.push_back(text[i]);
      continue;
    }
    out.push_back(
        static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16)));
    i += 2;
  }
  return out;
}

}  // namespace

// 64 bits bound the memory per id. After a collision a new id is refused as
// already recorded, which is safe; with 4 million retained ids the probability
// is below one in a million.
uint64_t RecordKey(const std::string& id) {
  return util::Hash64(id, kKeySeed);
}

std::string SegmentPrefix(int group) {
  return "records/" + std::to_string(group) + "/";
}

std::string SegmentName(int group, uint64_t sequence) {
  std::string digits = std::to_string(sequence);
  digits.insert(0, kSequenceDigits - std::min(kSequenceDigits, digits.size()),
                '0');
  return SegmentPrefix(group) + digits;
}

size_t SegmentBytes(const RequestId& id) {
  constexpr size_t kQuotesAndComma = 3;
  return Escape(id.str()).size() + kQuotesAndComma;
}

std::string SegmentText(const std::string& nonce,
                        util::WallTime written,
                        const std::vector<RequestId>& ids) {
  json list = json::array();
  for (const RequestId& id : ids) {
    list.push_back(Escape(id.str()));
  }
  return json{{"nonce", nonce},
              {"written_ms", written.time_since_epoch().count()},
              {"ids", std::move(list)}}
      .dump();
}

RecordSegment ParseSegment(const StoreEntry& entry) {
  RecordSegment segment;
  const size_t slash = entry.key.rfind('/');
  segment.sequence = std::stoull(entry.key.substr(slash + 1));
  segment.revision = entry.revision;
  const json value = json::parse(entry.value);
  segment.nonce = value.at("nonce").get<std::string>();
  segment.written =
      util::WallTime(Millis(value.at("written_ms").get<int64_t>()));
  for (const json& id : value.at("ids")) {
    segment.keys.push_back(RecordKey(Unescape(id.get<std::string>())));
  }
  return segment;
}

}  // namespace chivedale
