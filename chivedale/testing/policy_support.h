// Generators and counters shared by the policy tests of the entry role.
#ifndef CHIVEDALE_TESTING_POLICY_SUPPORT_H_
#define CHIVEDALE_TESTING_POLICY_SUPPORT_H_

#include <rapidcheck.h>

#include <iostream>
#include <map>
#include <string>

#include "chivedale/work.h"
#include "util/random.h"

namespace chivedale::testing {

// Counts the events in all histories of one property and prints them at the
// end, so that a property whose histories contain no faults is noticed.
class EventCounts {
 public:
  explicit EventCounts(std::string property) : property_(std::move(property)) {}
  ~EventCounts() {
    std::cout << property_ << ":";
    for (const auto& [name, count] : counts_) {
      std::cout << ' ' << name << '=' << count;
    }
    std::cout << std::endl;
  }
  EventCounts(const EventCounts&) = delete;
  EventCounts& operator=(const EventCounts&) = delete;

  void Add(const std::string& name, int64_t by = 1) { counts_[name] += by; }

 private:
  const std::string property_;
  std::map<std::string, int64_t> counts_;
};

// Random source of one property run; RapidCheck shrinks its seed.
inline util::Random PropertyRandom() {
  return util::Random(*rc::gen::arbitrary<uint32_t>());
}

inline bool Chance(util::Random& random, int percent) {
  return random.UniformInt(100) < static_cast<uint64_t>(percent);
}

inline WorkRow MakeRow(const std::string& kind,
                       Urgency urgency = Urgency::kNormal,
                       double weight = 1) {
  WorkRow row;
  row.kind = kind;
  row.urgency = urgency;
  row.weight = weight;
  return row;
}

inline Table MakeTable(const std::vector<WorkRow>& rows) {
  Table table;
  table.revision = 1;
  for (const WorkRow& row : rows) {
    table.rows[row.kind] = row;
  }
  return table;
}

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_POLICY_SUPPORT_H_
