// Reads the rows of the Markdown tables in a page of docs/, for tests that
// compare a page with the code.
#ifndef CHIVEDALE_TESTING_DOC_TABLE_H_
#define CHIVEDALE_TESTING_DOC_TABLE_H_

#include <string>
#include <vector>

namespace chivedale::testing {

// Cells without surrounding blanks and backquotes; without the heading and
// ruler. `page` is relative to the source tree. Throws std::runtime_error when
// it cannot be read.
std::vector<std::vector<std::string>> ReadDocTable(const std::string& page);

}  // namespace chivedale::testing

#endif  // CHIVEDALE_TESTING_DOC_TABLE_H_
