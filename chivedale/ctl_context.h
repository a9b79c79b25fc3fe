// The argument of each verb of chivedalectl, and functions that several verbs
// share.
#ifndef CHIVEDALE_CTL_CONTEXT_H_
#define CHIVEDALE_CTL_CONTEXT_H_

#include <functional>
#include <ostream>
#include <string>
#include <vector>

#include "chivedale/ctl_client.h"
#include "chivedale/ctl_options.h"
#include "util/random.h"

namespace chivedale {

struct CtlContext {
  CtlClient& client;
  const CtlOptions& options;
  // The arguments after the verb.
  std::vector<std::string> arguments;
  util::Random& random;
  std::ostream& out;
  std::ostream& err;
};

// Prints the answer, as JSON or with `render`, or the reason for the failure.
// `what` names the call in messages. `render` may be empty only if the call
// failed.
ExitCode FinishCall(
    CtlContext& context,
    const CallResult& result,
    const std::string& what,
    const std::function<std::string(const std::string&)>& render);

// Percent-encodes a path segment.
std::string EncodeSegment(const std::string& text);
// Throws UsageError.
std::string ReadTextFile(const std::string& path);

}  // namespace chivedale

#endif  // CHIVEDALE_CTL_CONTEXT_H_
