#include "chivedale/api_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <string>
#include <utility>

#include "chivedale/api_types.h"
#include "chivedale/caller_api.h"
#include "chivedale/error.h"
#include "chivedale/http_server.h"
#include "chivedale/operator_api.h"

namespace chivedale {
namespace {

ApiRequest ToApi(const HttpRequest& http) {
  ApiRequest request;
  request.method = http.method;
  const size_t mark = http.target.find('?');
  request.path = http.target.substr(0, mark);
  if (mark != std::string::npos) {
    request.query = http.target.substr(mark + 1);
  }
  for (const HttpHeader& header : http.headers) {
    request.headers.Add(header.name, header.value);
  }
  request.body = http.body;
  request.remote = http.remote;
  return request;
}

HttpResponse ToHttp(const ApiResponse& api) {
  HttpResponse response;
  response.status = api.status;
  response.content_type = api.content_type;
  for (const ApiField& field : api.headers.fields()) {
    response.headers.push_back({field.name, field.value});
  }
  response.body = api.body;
  return response;
}

HttpServer::Options ServerOptions(const Settings& settings) {
  const HttpAddress address = ParseHttpAddress(settings.caller_address);
  HttpServer::Options options;
  options.address = address.ip;
  options.port = address.port;
  options.max_connections = static_cast<size_t>(settings.max_connections);
  options.max_body_bytes = static_cast<size_t>(settings.max_body_bytes);
  options.idle_timeout = settings.caller_idle_timeout;
  return options;
}

}  // namespace

struct ApiServer::Impl {
  Impl(boost::asio::io_context& io,
       const Settings& settings,
       ControlLoop& loop,
       SchedulerCommands& commands,
       SchedulerQueries& queries,
       Metrics& metrics,
       EventLog& log)
      : threads{[&loop](std::function<void()> run) {
                  return loop.TryPost(std::move(run));
                },
                [&io](std::function<void()> run) {
                  boost::asio::post(io, std::move(run));
                }},
        callers(commands,
                queries,
                threads,
                log,
                [&] {
                  CallerApi::Options options;
                  options.limits.max_deadline = settings.max_deadline;
                  options.max_body_bytes = settings.max_body_bytes;
                  options.member = settings.vm_id;
                  options.seed = settings.seed;
                  return options;
                }()),
        operators(commands, queries, metrics, threads),
        server(io,
               ServerOptions(settings),
               [this](const HttpRequest& request, HttpResponder respond) {
                 Handle(request, std::move(respond));
               }) {}

  void Handle(const HttpRequest& http, HttpResponder respond) {
    ApiRequest request = ToApi(http);
    ApiRespond answer = [respond =
                             std::move(respond)](const ApiResponse& response) {
      respond(ToHttp(response));
    };
    if (operators.Handles(request.path)) {
      operators.Handle(std::move(request), std::move(answer));
    } else {
      callers.Handle(std::move(request), std::move(answer));
    }
  }

  const ApiThreads threads;
  CallerApi callers;
  OperatorApi operators;
  HttpServer server;
};

ApiServer::ApiServer(boost::asio::io_context& io,
                     const Settings& settings,
                     ControlLoop& loop,
                     SchedulerCommands& commands,
                     SchedulerQueries& queries,
                     Metrics& metrics,
                     EventLog& log) {
  try {
    impl_ = std::make_unique<Impl>(io, settings, loop, commands, queries,
                                   metrics, log);
  } catch (const std::runtime_error& error) {
    throw Error(
        ErrorKind::kBadSettings,
        "caller_address '" + settings.caller_address + "': " + error.what());
  }
}

ApiServer::~ApiServer() = default;

void ApiServer::Close(std::function<void()> closed) {
  impl_->server.Close(std::move(closed));
}

}  // namespace chivedale
