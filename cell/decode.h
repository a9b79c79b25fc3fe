// Decoding of JSON and MessagePack that other processes wrote: executors,
// operators, callers, the store and other members. Depth, numbers and texts are
// bounded here, so that values can be added and converted without overflow.
//
//   const nlohmann::json value = ParseMsgpack(item.value);
//   if (auto run = IntegerIn(value[1], 0, kMaxNumber)) ...
#ifndef CELL_DECODE_H_
#define CELL_DECODE_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "cell/types.h"

namespace chivedale::cell {

// The library copies, writes and, from MessagePack, parses nested values
// recursively.
inline constexpr size_t kMaxNesting = 64;
// Limit of amounts of a resource, and of durations in milliseconds.
inline constexpr int64_t kMaxAmount = int64_t{1} << 40;
// Limit of durations that are multiplied by factors or by a number of tasks.
inline constexpr Millis kMaxDuration{int64_t{1} << 31};
// Limit of clocks. Differences of two clocks fit in 64 bits of nanoseconds.
inline constexpr Millis kMaxClock{int64_t{1} << 42};
// Limit of counters, such as revisions and run numbers.
inline constexpr int64_t kMaxNumber = int64_t{1} << 53;
// Limits of a client account's policy.
inline constexpr int64_t kMaxAccountLimit = int64_t{1} << 52;
inline constexpr double kMaxAccountWeight = 1e9;
inline constexpr size_t kMaxSteps = 1'000;
inline constexpr int64_t kMaxTasksPerStep = 10'000;
inline constexpr int64_t kMaxOccurrences = 1'000'000;
inline constexpr int kMaxPriority = 1'000'000;
inline constexpr int kMaxAttempts = 1'000'000;
inline constexpr double kMaxObjectiveFactor = 1'000;
// Limit of IDs, names and labels.
inline constexpr size_t kMaxNameBytes = 256;
// Limit of payloads and of names in the operators' documents.
inline constexpr size_t kMaxTextBytes = 4'096;
// Limit of what executors and the advice service issue, whose length the
// platform does not limit: a running task whose row cannot be read would seem
// lost.
inline constexpr size_t kMaxTokenBytes = 65'536;

// Return a discarded value if the bytes are malformed or nested more than
// kMaxNesting deep.
nlohmann::json ParseJson(std::string_view text);
nlohmann::json ParseMsgpack(std::string_view bytes);

// The number without its fraction; nullopt if the value is not a number or the
// result is not from `min` to `max`.
std::optional<int64_t> IntegerIn(const nlohmann::json& value,
                                 int64_t min,
                                 int64_t max);
// The nearest integer from `min` to `max`; `min` if the value is not a number.
int64_t ClampedInteger(const nlohmann::json& value, int64_t min, int64_t max);
double ClampedNumber(const nlohmann::json& value, double min, double max);
// nullopt if the value is not a string or is longer.
std::optional<std::string> TextIn(const nlohmann::json& value,
                                  size_t max_bytes);

}  // namespace chivedale::cell

#endif  // CELL_DECODE_H_
