// Command-line options of chivedalectl.
#ifndef CHIVEDALE_CTL_OPTIONS_H_
#define CHIVEDALE_CTL_OPTIONS_H_

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "chivedale/work.h"
#include "util/ip_port.h"

namespace chivedale {

// Documented in docs/OPERATIONS.md.
enum class ExitCode {
  kDone = 0,
  kRefused = 1,
  kBadUsage = 2,
  kUnreachable = 3,
  kConflict = 4,
  kUnknown = 5,
};

class UsageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct CtlOptions {
  std::vector<util::IpPort> servers;
  bool json = false;
  bool help = false;
  Millis timeout{10'000};
  std::vector<std::string> add_rows;
  std::vector<std::string> remove_rows;
  std::vector<std::string> add_teams;
  std::vector<std::string> remove_teams;
  std::string author;
  std::string change_id;
  std::string id;
  std::optional<std::string> payload;
  std::string payload_file;
  std::string html;
  std::optional<int64_t> deadline_ms;
  std::optional<int64_t> tasks;
  std::optional<int64_t> limit;
  bool no_wait = false;
  // Names of all options given, without the leading dashes.
  std::vector<std::string> given;
  // Verb and arguments.
  std::vector<std::string> words;
};

// Throws UsageError. Options and words may appear in any order.
CtlOptions ParseCtlOptions(const std::vector<std::string>& arguments);
// Returns one line of --help text per option in `names`.
std::string DescribeCtlOptions(const std::vector<std::string_view>& names);
// Throws UsageError.
int64_t ParseCtlInteger(std::string_view what,
                        const std::string& text,
                        int64_t min,
                        int64_t max);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_OPTIONS_H_
