// Guards against an error kind with a missing or misplaced table entry: callers
// would be told wrongly whether work was run or may be retried.
#include "chivedale/error.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <vector>

#include "chivedale/testing/doc_table.h"

namespace chivedale {

BOOST_AUTO_TEST_SUITE(ErrorKinds)

BOOST_AUTO_TEST_CASE(EachKindHasItsOwnEntry) {
  std::set<std::string> names;
  for (int i = 0; i < kErrorKindCount; ++i) {
    const auto kind = static_cast<ErrorKind>(i);
    const ErrorInfo& info = InfoForErrorKind(kind);
    BOOST_TEST((info.kind == kind));
    BOOST_TEST((ErrorKindFromName(info.name) == kind));
    BOOST_TEST(names.insert(std::string(info.name)).second);
  }
}

BOOST_AUTO_TEST_CASE(RefusalsBeforeStartReportNotRun) {
  for (ErrorKind kind :
       {ErrorKind::kQueueFull, ErrorKind::kRateLimited,
        ErrorKind::kDeadlineUnmet, ErrorKind::kStoreDown, ErrorKind::kDraining,
        ErrorKind::kOverloaded, ErrorKind::kNeverFits}) {
    BOOST_TEST((InfoForErrorKind(kind).ran == Ran::kNo));
  }
  BOOST_TEST(
      (InfoForErrorKind(ErrorKind::kOutcomeUnknown).ran == Ran::kUnknown));
}

BOOST_AUTO_TEST_CASE(DocumentationMatchesTable) {
  const auto rows = testing::ReadDocTable("docs/errors.md");
  BOOST_REQUIRE_EQUAL(rows.size(), static_cast<size_t>(kErrorKindCount));
  for (int i = 0; i < kErrorKindCount; ++i) {
    const ErrorInfo& info = InfoForErrorKind(static_cast<ErrorKind>(i));
    const std::vector<std::string>& row = rows[static_cast<size_t>(i)];
    BOOST_REQUIRE_EQUAL(row.size(), 6u);
    BOOST_TEST(row[0] == info.name);
    BOOST_TEST(row[1] == std::to_string(info.http_status));
    BOOST_TEST(row[2] == RanName(info.ran));
    BOOST_TEST(row[3] == (info.retry ? "yes" : "no"));
    BOOST_TEST(!row[4].empty());
    BOOST_TEST(!row[5].empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale
