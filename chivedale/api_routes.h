// Routing tables: each maps a method and a path to a member function of an API
// class.
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

// Functions with which a handler runs code on other threads.
struct ApiThreads {
  // Returns false if the queue of the control thread is full; the function does
  // not run in that case.
  std::function<bool(std::function<void()>)> to_control;
  // Runs the function on a traffic thread. Used for rendering.
  std::function<void(std::function<void()>)> to_traffic;
};

// The argument of a handler: one request.
struct ApiCall {
  ApiRequest request;
  // The path segment that matched '*', percent-decoded.
  std::string id;
  ApiRespond respond;
};

template <typename Api>
struct ApiRoute {
  std::string_view method;
  std::string_view path;  // at most one '*', which matches one segment
  void (Api::*handle)(const ApiCall& call);
};

// Returns the segment that matches '*', or nullopt if the path does not match
// the pattern. Throws Error(kBadRequest) for a malformed percent escape.
std::optional<std::string> MatchPath(std::string_view pattern,
                                     std::string_view path);
// Returns the value of `key` in a query string, percent-decoded. Throws
// Error(kBadRequest) if another key is present or `key` is repeated.
std::optional<std::string> FindOnlyQueryParameter(std::string_view query,
                                                  std::string_view key);
// Throws Error(kBadRequest) if the query string is not empty.
void RejectQuery(const ApiRequest& request);
// Throws Error(kBadRequest) unless `text` has 1 to 128 printable ASCII
// characters.
void CheckPrintable(std::string_view what, const std::string& text);

// Returns whether any route matches this path.
template <typename Api>
bool HasPath(const std::vector<ApiRoute<Api>>& routes, std::string_view path) {
  for (const ApiRoute<Api>& route : routes) {
    if (MatchPath(route.path, path)) {
      return true;
    }
  }
  return false;
}

// Calls the handler of the matching route, or responds with 404 or 405. An
// Error thrown by the handler becomes a problem response.
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

// Runs `run` on the control thread. Responds with `overloaded` if its queue is
// full, and with a problem if `run` throws an Error.
void RunOnControlThread(const ApiThreads& threads,
                        const ApiRespond& respond,
                        std::function<void()> run);

}  // namespace chivedale

#endif  // CHIVEDALE_API_ROUTES_H_
