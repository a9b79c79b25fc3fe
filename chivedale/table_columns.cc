// Each column is one entry of a list that is used for reading, writing,
// checking and comparing, so that none of the four can omit a column.
#include "chivedale/table_columns.h"

#include <algorithm>
#include <limits>
#include <sstream>
#include <type_traits>

#include "chivedale/table_codec.h"

namespace chivedale {
namespace {

using nlohmann::json;

constexpr size_t kMaxNameSize = 64;
constexpr int64_t kLongestMillis = int64_t{366} * 24 * 3600 * 1000;

constexpr const char* kShapes[] = {"request", "task", "gang", "service"};
constexpr const char* kUrgencies[] = {"urgent", "normal", "batch"};
constexpr const char* kRegionRules[] = {"home", "prefer_home", "any"};

template <typename T, typename Field>
Column<T> IntegerColumn(const char* name,
                        Field field,
                        int64_t low,
                        int64_t high) {
  Column<T> column;
  column.name = name;
  column.get = [field](const T& row) { return json(int64_t{field(row)}); };
  column.check = [field, low, high](const T& row) {
    const int64_t value = field(row);
    return value < low || value > high
               ? OutOfBounds(std::to_string(value), std::to_string(low),
                             std::to_string(high))
               : std::string();
  };
  column.set = [field, low, high](T& row, const json& value) {
    const bool huge =
        value.is_number_unsigned() &&
        value.get<uint64_t>() > static_cast<uint64_t>(kMaxInteger);
    if (!value.is_number_integer()) {
      return "value " + Shortened(value) + " is not an integer";
    }
    if (huge || value.get<int64_t>() < low || value.get<int64_t>() > high) {
      return OutOfBounds(Shortened(value), std::to_string(low),
                         std::to_string(high));
    }
    using Value = std::remove_reference_t<decltype(field(row))>;
    field(row) = static_cast<Value>(value.get<int64_t>());
    return std::string();
  };
  return column;
}

template <typename Field>
Column<WorkRow> MillisColumn(const char* name,
                             Field field,
                             int64_t low,
                             int64_t high) {
  Column<WorkRow> column;
  column.name = name;
  column.get = [field](const WorkRow& row) { return json(field(row).count()); };
  column.check = [field, low, high](const WorkRow& row) {
    const int64_t value = field(row).count();
    return value < low || value > high
               ? OutOfBounds(std::to_string(value) + " ms", std::to_string(low),
                             std::to_string(high) + " ms")
               : std::string();
  };
  column.set = [field, low, high](WorkRow& row, const json& value) {
    struct Number {
      int64_t value = 0;
    } number;
    const auto integer = IntegerColumn<Number>(
        "", [](auto& n) -> auto& { return n.value; }, low, high);
    std::string fault = integer.set(number, value);
    if (fault.empty()) {
      field(row) = Millis(number.value);
    }
    return fault;
  };
  return column;
}

template <typename Field>
Column<WorkRow> RealColumn(const char* name,
                           Field field,
                           double low,
                           double high) {
  Column<WorkRow> column;
  column.name = name;
  column.get = [field](const WorkRow& row) { return json(field(row)); };
  column.check = [field, low, high](const WorkRow& row) {
    const double value = field(row);
    // Written so that NaN is out of bounds.
    return value >= low && value <= high
               ? std::string()
               : OutOfBounds(NumberText(value), NumberText(low),
                             NumberText(high));
  };
  column.set = [field, check = column.check](WorkRow& row, const json& value) {
    if (!value.is_number()) {
      return "value " + Shortened(value) + " is not a number";
    }
    field(row) = value.get<double>();
    return check(row);
  };
  return column;
}

template <typename Field>
Column<WorkRow> BooleanColumn(const char* name, Field field) {
  Column<WorkRow> column;
  column.name = name;
  column.get = [field](const WorkRow& row) { return json(field(row)); };
  column.check = [](const WorkRow&) { return std::string(); };
  column.set = [field](WorkRow& row, const json& value) {
    if (!value.is_boolean()) {
      return "value " + Shortened(value) + " is neither true nor false";
    }
    field(row) = value.get<bool>();
    return std::string();
  };
  return column;
}

template <typename Field, size_t N>
Column<WorkRow> EnumColumn(const char* name,
                           Field field,
                           const char* const (&names)[N]) {
  std::string list;
  for (const char* each : names) {
    list += (list.empty() ? "" : ", ") + std::string(each);
  }
  Column<WorkRow> column;
  column.name = name;
  column.get = [field, &names](const WorkRow& row) {
    const auto i = static_cast<size_t>(field(row));
    return json(i < N ? names[i] : "?");
  };
  column.check = [field, list](const WorkRow& row) {
    return static_cast<size_t>(field(row)) < N ? std::string()
                                               : "value is not one of " + list;
  };
  column.set = [field, &names, list](WorkRow& row, const json& value) {
    for (size_t i = 0; i < N; ++i) {
      if (value == names[i]) {
        field(row) = static_cast<std::decay_t<decltype(field(row))>>(i);
        return std::string();
      }
    }
    return "value " + Shortened(value) + " is not one of " + list;
  };
  return column;
}

std::string CheckName(const std::string& name, bool may_be_empty) {
  const bool good = std::all_of(name.begin(), name.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' ||
           c == '.' || c == '-';
  });
  if (good && name.size() <= kMaxNameSize && (may_be_empty || !name.empty())) {
    return std::string();
  }
  return "value " + Shortened(json(name)) + " is not " +
         (may_be_empty ? "0" : "1") + " to " + std::to_string(kMaxNameSize) +
         " characters of a-z 0-9 _ . -";
}

template <typename T, typename Field>
Column<T> NameColumn(const char* name, Field field, bool may_be_empty) {
  Column<T> column;
  column.name = name;
  column.get = [field](const T& row) { return json(field(row)); };
  column.check = [field, may_be_empty](const T& row) {
    return CheckName(field(row), may_be_empty);
  };
  column.set = [field, may_be_empty](T& row, const json& value) {
    if (!value.is_string()) {
      return "value " + Shortened(value) + " is not a string";
    }
    field(row) = value.get<std::string>();
    return CheckName(field(row), may_be_empty);
  };
  return column;
}

// Returns a reference to a field of a const or non-const row. The member name
// cannot be put in parentheses.
// NOLINTBEGIN(bugprone-macro-parentheses)
#define CHIVEDALE_FIELD(path) \
  [](auto& row) -> auto& {    \
    return row.path;          \
  }
// NOLINTEND(bugprone-macro-parentheses)

}  // namespace

std::string NumberText(double value) {
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::max_digits10);
  out << value;
  return out.str();
}

std::string Shortened(const json& value) {
  constexpr size_t kShown = 60;
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  if (text.size() > kShown) {
    text = text.substr(0, kShown) + "...";
  }
  return text;
}

std::string OutOfBounds(const std::string& value,
                        const std::string& low,
                        const std::string& high) {
  return "value " + value + " is outside " + low + " to " + high;
}

const std::vector<Column<WorkRow>>& RowColumns() {
  static const std::vector<Column<WorkRow>> columns = {
      NameColumn<WorkRow>("kind", CHIVEDALE_FIELD(kind), false),
      EnumColumn("shape", CHIVEDALE_FIELD(shape), kShapes),
      EnumColumn("urgency", CHIVEDALE_FIELD(urgency), kUrgencies),
      RealColumn("weight", CHIVEDALE_FIELD(weight), 0.001, 1000),
      RealColumn("guaranteed_share", CHIVEDALE_FIELD(guaranteed_share), 0, 1),
      IntegerColumn<WorkRow>("max_running", CHIVEDALE_FIELD(limits.max_running),
                             0, 10'000'000),
      IntegerColumn<WorkRow>("max_queued", CHIVEDALE_FIELD(limits.max_queued),
                             0, 10'000'000),
      RealColumn("max_rate_per_s", CHIVEDALE_FIELD(limits.max_rate_per_s), 0,
                 1e6),
      IntegerColumn<WorkRow>("cpu_milli", CHIVEDALE_FIELD(size.cpu_milli), 0,
                             1'000'000),
      IntegerColumn<WorkRow>("memory_mb", CHIVEDALE_FIELD(size.memory_mb), 0,
                             16'000'000),
      IntegerColumn<WorkRow>("accelerators", CHIVEDALE_FIELD(size.accelerators),
                             0, 64),
      IntegerColumn<WorkRow>("slots", CHIVEDALE_FIELD(size.slots), 0, 1024),
      MillisColumn("expected_run_ms", CHIVEDALE_FIELD(expected_run), 1,
                   kLongestMillis),
      MillisColumn("longest_run_ms", CHIVEDALE_FIELD(longest_run), 1,
                   kLongestMillis),
      IntegerColumn<WorkRow>("max_retries", CHIVEDALE_FIELD(max_retries), 0,
                             20),
      BooleanColumn("repeatable", CHIVEDALE_FIELD(repeatable)),
      BooleanColumn("checkpoint", CHIVEDALE_FIELD(checkpoint)),
      EnumColumn("region", CHIVEDALE_FIELD(region), kRegionRules),
      NameColumn<WorkRow>("team", CHIVEDALE_FIELD(team), true),
      MillisColumn("objective_wait_ms", CHIVEDALE_FIELD(objective.wait), 0,
                   kLongestMillis),
      RealColumn("objective_share", CHIVEDALE_FIELD(objective.share), 0,
                 0.99999),
  };
  return columns;
}

const std::vector<Column<Team>>& TeamColumns() {
  static const std::vector<Column<Team>> columns = {
      NameColumn<Team>("name", CHIVEDALE_FIELD(name), false),
      IntegerColumn<Team>("cpu_milli", CHIVEDALE_FIELD(quota.cpu_milli), 0,
                          kMaxInteger),
      IntegerColumn<Team>("memory_mb", CHIVEDALE_FIELD(quota.memory_mb), 0,
                          kMaxInteger),
      IntegerColumn<Team>("accelerators", CHIVEDALE_FIELD(quota.accelerators),
                          0, kMaxInteger),
      IntegerColumn<Team>("slots", CHIVEDALE_FIELD(quota.slots), 0,
                          kMaxInteger),
  };
  return columns;
}

#undef CHIVEDALE_FIELD

std::string ShapeName(WorkShape shape) {
  return kShapes[static_cast<size_t>(shape)];
}

std::string UrgencyName(Urgency urgency) {
  return kUrgencies[static_cast<size_t>(urgency)];
}

std::string RegionRuleName(RegionRule rule) {
  return kRegionRules[static_cast<size_t>(rule)];
}

}  // namespace chivedale
