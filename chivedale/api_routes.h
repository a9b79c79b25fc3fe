// Tables of routes: method and path to a member function of an API class.
#ifndef CHIVEDALE_API_ROUTES_H_
#define CHIVEDALE_API_ROUTES_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "chivedale/api_problem.h"
#include "chivedale/api_types.h"

namespace chivedale {

// How a handler reaches the other threads.
struct ApiThreads {
  // False when the queue of the control thread is full: the function will not
  // run.
  std::function<bool(std::function<void()>)> to_control;
  // Rendering runs there.
  std::function<void(std::function<void()>)> to_traffic;
};

// One request on its way through a handler.
struct ApiCall {
  ApiRequest request;
  // What stands for '*' in the path, percent-decoded.
  std::string id;
  ApiRespond respond;
};

template <typename Api>
struct ApiRoute {
  std::string_view method;
  std::string_view path;  // at most one '*', which stands for one segment
  void (Api::*handle)(const ApiCall& call);
};

// Nothing when the path does not match the pattern. Throws Error(kBadRequest)
// for a malformed percent escape.
std::optional<std::string> MatchPath(std::string_view pattern,
                                     std::string_view path);
// The value of `key` in a query string, percent-decoded; throws
// Error(kBadRequest) for any other key.
std::optional<std::string> OnlyQuery(std::string_view query,
                                     std::string_view key);
// Throws Error(kBadRequest) when there is a query string.
void RejectQuery(const ApiRequest& request);
// Throws Error(kBadRequest) unless `text` has 1 to 128 printable ASCII
// characters.
void CheckPrintable(std::string_view what, const std::string& text);

// Whether any route has this path.
template <typename Api>
bool HasPath(const std::vector<ApiRoute<Api>>& routes, std::string_view path) {
  for (const ApiRoute<Api>& route : routes) {
    if (MatchPath(route.path, path)) {
      return true;
    }
  }
  return false;
}

// Calls the handler, or answers 404 or 405. An Error that the handler throws is
// answered as a problem.
template <typename Api>
void RouteCall(Api& api,
               const std::vector<ApiRoute<Api>>& routes,
               ApiRequest request,
               ApiRespond respond) {
  try {
    std::string allow;
    for (const ApiRoute<Api>& route : routes) {
      std::optional<std::string> id = MatchPath(route.path, request.path);
      if (!id) {
        continue;
      }
      if (route.method == request.method) {
        (api.*route.handle)({std::move(request), std::move(*id), respond});
        return;
      }
      allow += (allow.empty() ? "" : ", ") + std::string(route.method);
    }
    if (!allow.empty()) {
      respond(MethodNotAllowed(allow));
      return;
    }
    throw Error(ErrorKind::kNotFound, "no such path");
  } catch (const Error& error) {
    respond(ProblemResponse(ProblemOf(error)));
  }
}

// Runs `run` on the control thread; answers `overloaded` when its queue is
// full, and an Error that `run` throws as a problem.
void RunOnControl(const ApiThreads& threads,
                  const ApiRespond& respond,
                  std::function<void()> run);

}  // namespace chivedale

#endif  // CHIVEDALE_API_ROUTES_H_
