// The columns of rows and teams, and how each is read, written and checked.
// Used by table_codec.cc only; table_columns.cc also defines the functions of
// table_codec.h that name enum values.
#ifndef CHIVEDALE_TABLE_COLUMNS_H_
#define CHIVEDALE_TABLE_COLUMNS_H_

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "chivedale/work.h"

namespace chivedale {

// Larger integers lose precision in programs that read JSON numbers as double.
inline constexpr int64_t kMaxInteger = int64_t{1} << 53;

// One column of a row or team. `set` converts, checks and stores a value;
// `check` checks the stored value. Both return a fault, or "" if there is none.
template <typename T>
struct Column {
  std::string name;
  std::function<nlohmann::json(const T&)> get;
  std::function<std::string(T&, const nlohmann::json&)> set;
  std::function<std::string(const T&)> check;
};

// The first column is the name.
const std::vector<Column<WorkRow>>& RowColumns();
const std::vector<Column<Team>>& TeamColumns();

// Helpers for fault messages.
std::string Shortened(const nlohmann::json& value);
std::string NumberText(double value);
std::string OutOfBounds(const std::string& value,
                        const std::string& low,
                        const std::string& high);

}  // namespace chivedale

#endif  // CHIVEDALE_TABLE_COLUMNS_H_
