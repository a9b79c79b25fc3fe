// Reads the Markdown tables in a page of docs/, for tests that compare a page
// with the code.
#ifndef CHIVEDALE_TESTING_DOC_TABLE_H_
#define CHIVEDALE_TESTING_DOC_TABLE_H_

#include <string>
#include <vector>

namespace chivedale::testing {

// Returns the rows of all tables without heading and delimiter rows; cells are
// stripped of surrounding spaces and backquotes. `page` is relative to the
// source tree. Throws std::runtime_error if it cannot be read.
std::vector<std::vector<std::string>> ReadDocTable(const std::string& page);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_DOC_TABLE_H_
