#include "chivedale/testing/doc_table.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace chivedale::testing {
namespace {

std::string Trimmed(const std::string& cell) {
  const size_t first = cell.find_first_not_of(" `");
  const size_t last = cell.find_last_not_of(" `");
  return first == std::string::npos ? "" : cell.substr(first, last - first + 1);
}

}  // namespace

std::vector<std::vector<std::string>> ReadDocTable(const std::string& page) {
  std::ifstream file(std::string(CHIVEDALE_SOURCE_DIR) + "/" + page);
  if (!file) {
    throw std::runtime_error("cannot read " + page);
  }
  std::vector<std::vector<std::string>> rows;
  std::string line;
  int line_of_table = 0;
  while (std::getline(file, line)) {
    line_of_table = line.rfind('|', 0) == 0 ? line_of_table + 1 : 0;
    if (line_of_table < 3) {
      continue;
    }
    std::istringstream cells(line.substr(1));
    rows.emplace_back();
    for (std::string cell; std::getline(cells, cell, '|');) {
      rows.back().push_back(Trimmed(cell));
    }
  }
  return rows;
}

}  // namespace chivedale::testing
