// Strongly typed ids. Ids of different types cannot be compared or converted.
//
//   WorkerId worker("w-17");
//   std::unordered_map<WorkerId, Resources> committed;
#ifndef CHIVEDALE_IDS_H_
#define CHIVEDALE_IDS_H_

#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace chivedale {

template <typename Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string text) : text_(std::move(text)) {}

  const std::string& str() const { return text_; }
  bool empty() const { return text_.empty(); }

  friend bool operator==(const Id& a, const Id& b) {
    return a.text_ == b.text_;
  }
  friend bool operator!=(const Id& a, const Id& b) { return !(a == b); }
  friend bool operator<(const Id& a, const Id& b) { return a.text_ < b.text_; }
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.text_;
  }

 private:
  std::string text_;
};

using WorkerId = Id<struct WorkerTag>;
// One process of a daemon: "VM_ID/BOOT_ID", where the boot id is random and new
// at each start.
using MemberId = Id<struct MemberTag>;
// The caller's Idempotency-Key.
using RequestId = Id<struct RequestTag>;
using JobId = Id<struct JobTag>;
// A task on a worker: "r/REQUEST" or "j/JOB/INDEX".
using TaskId = Id<struct TaskTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RegionId = Id<struct RegionTag>;

// One attempt to run a task. Each retry increments the attempt number.
struct TaskKey {
  TaskId task;
  uint32_t attempt = 0;

  friend bool operator==(const TaskKey& a, const TaskKey& b) {
    return a.attempt == b.attempt && a.task == b.task;
  }
  friend bool operator!=(const TaskKey& a, const TaskKey& b) {
    return !(a == b);
  }
  friend bool operator<(const TaskKey& a, const TaskKey& b) {
    return a.task != b.task ? a.task < b.task : a.attempt < b.attempt;
  }
  friend std::ostream& operator<<(std::ostream& out, const TaskKey& key) {
    return out << key.task << '#' << key.attempt;
  }
};

}  // namespace chivedale

template <typename Tag>
struct std::hash<chivedale::Id<Tag>> {
  size_t operator()(const chivedale::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.str());
  }
};

template <>
struct std::hash<chivedale::TaskKey> {
  size_t operator()(const chivedale::TaskKey& key) const noexcept {
    return std::hash<std::string>()(key.task.str()) * 31 + key.attempt;
  }
};

#endif  // CHIVEDALE_IDS_H_
