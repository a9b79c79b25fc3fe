#include "chivedale/api_routes.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace chivedale {
namespace {

constexpr size_t kMaxPrintable = 128;

std::string Decode(std::string_view text) {
  std::string decoded;
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i];
      continue;
    }
    unsigned value = 0;
    const std::string_view digits = text.substr(i + 1, 2);
    const char* end = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), end, value, 16);
    if (digits.size() != 2 || parsed.ptr != end || parsed.ec != std::errc()) {
      throw Error(ErrorKind::kBadRequest, "malformed percent escape");
    }
    decoded += static_cast<char>(value);
    i += 2;
  }
  return decoded;
}

// Removes and returns the text before the separator in `rest`.
std::string_view TakeUntil(std::string_view& rest, char separator) {
  const size_t end = std::min(rest.find(separator), rest.size());
  const std::string_view part = rest.substr(0, end);
  rest.remove_prefix(std::min(end + 1, rest.size()));
  return part;
}

}  // namespace

std::optional<std::string> MatchPath(std::string_view pattern,
                                     std::string_view path) {
  if (std::count(pattern.begin(), pattern.end(), '/') !=
      std::count(path.begin(), path.end(), '/')) {
    return std::nullopt;
  }
  std::string id;
  while (!pattern.empty() || !path.empty()) {
    const std::string_view expected = TakeUntil(pattern, '/');
    const std::string_view found = TakeUntil(path, '/');
    if (expected == "*" && !found.empty()) {
      id = Decode(found);
    } else if (expected != found) {
      return std::nullopt;
    }
  }
  return id;
}

std::optional<std::string> FindOnlyQueryParameter(std::string_view query,
                                                  std::string_view key) {
  std::optional<std::string> value;
  while (!query.empty()) {
    std::string_view rest = TakeUntil(query, '&');
    const std::string name = Decode(TakeUntil(rest, '='));
    if (name != key || value) {
      throw Error(ErrorKind::kBadRequest, "query: only '" + std::string(key) +
                                              "' is allowed, and only once");
    }
    value = Decode(rest);
  }
  return value;
}

void RejectQuery(const ApiRequest& request) {
  if (!request.query.empty()) {
    throw Error(ErrorKind::kBadRequest, "query: not allowed for this path");
  }
}

void CheckPrintable(std::string_view what, const std::string& text) {
  const bool printable = std::all_of(
      text.begin(), text.end(), [](char c) { return c >= ' ' && c <= '~'; });
  if (!printable || text.empty() || text.size() > kMaxPrintable) {
    throw Error(ErrorKind::kBadRequest, std::string(what) +
                                            ": must have 1 to " +
                                            std::to_string(kMaxPrintable) +
                                            " printable ASCII characters");
  }
}

void RunOnControlThread(const ApiThreads& threads,
                        const ApiRespond& respond,
                        std::function<void()> run) {
  const bool queued = threads.to_control([respond, run = std::move(run)] {
    try {
      run();
    } catch (const Error& error) {
      respond(ProblemResponse(ProblemOf(error)));
    }
  });
  if (!queued) {
    Problem problem;
    problem.kind = ErrorKind::kOverloaded;
    problem.detail = "the control queue is full";
    respond(ProblemResponse(problem));
  }
}

}  // namespace chivedale
