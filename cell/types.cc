#include "cell/types.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace chivedale::cell {
namespace {

constexpr std::array<std::string_view, 5> kJobStateNames = {
    "queued", "running", "completed", "failed", "cancelled"};
constexpr std::array<std::string_view, 6> kRunEndNames = {
    "done", "failed", "stopped", "lapsed", "broken", "alone"};

bool ParseIndex(std::string_view text, int& value) {
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value >= 0;
}

}  // namespace

const QueuePolicy* QueueTable::FindQueue(std::string_view name) const {
  const auto found =
      std::find_if(queues.begin(), queues.end(),
                   [&](const QueuePolicy& q) { return q.name == name; });
  return found == queues.end() ? nullptr : &*found;
}

const QueuePolicy* QueueTable::Match(std::string_view host,
                                     std::string_view path) const {
  const QueuePolicy* best = nullptr;
  for (const QueuePolicy& queue : queues) {
    if (queue.host == host &&
        path.substr(0, queue.prefix.size()) == queue.prefix &&
        (best == nullptr || queue.prefix.size() > best->prefix.size())) {
      best = &queue;
    }
  }
  return best;
}

const PoolPolicy* QueueTable::FindPool(std::string_view name) const {
  const auto found =
      std::find_if(pools.begin(), pools.end(),
                   [&](const PoolPolicy& p) { return p.name == name; });
  return found == pools.end() ? nullptr : &*found;
}

std::string TaskName::StepText() const {
  return job + "." + std::to_string(occurrence) + "." + std::to_string(step);
}

std::string TaskName::Text() const {
  return StepText() + "." + std::to_string(index);
}

std::optional<TaskName> TaskName::Parse(std::string_view text) {
  std::array<std::string_view, 3> numbers;
  for (size_t i = numbers.size(); i-- > 0;) {
    const size_t dot = text.rfind('.');
    if (dot == std::string_view::npos) {
      return std::nullopt;
    }
    numbers[i] = text.substr(dot + 1);
    text = text.substr(0, dot);
  }
  TaskName name;
  name.job = std::string(text);
  if (text.empty() || !ParseIndex(numbers[0], name.occurrence) ||
      !ParseIndex(numbers[1], name.step) ||
      !ParseIndex(numbers[2], name.index)) {
    return std::nullopt;
  }
  return name;
}

std::string_view JobStateName(JobState state) {
  return kJobStateNames[static_cast<size_t>(state)];
}

std::optional<JobState> ParseJobState(std::string_view name) {
  for (size_t i = 0; i < kJobStateNames.size(); ++i) {
    if (kJobStateNames[i] == name) {
      return static_cast<JobState>(i);
    }
  }
  return std::nullopt;
}

std::string_view RunEndName(RunEnd end) {
  return kRunEndNames[static_cast<size_t>(end)];
}

}  // namespace chivedale::cell
