// Accepts connections; http_session.cc serves them.
//
// Connections in the backlog at the time of Close are already established for
// the peer. They are accepted and served before the listener is closed, because
// closing it would reset them.
#include "chivedale/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "chivedale/http_session.h"

namespace chivedale {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Delay after a failed accept, for example for lack of file descriptors.
constexpr Millis kAcceptRetryDelay{50};

}  // namespace

HttpResponse HttpResponse::Json(int status, std::string text) {
  HttpResponse response;
  response.status = status;
  response.content_type = "application/json";
  response.body = std::make_shared<const std::string>(std::move(text));
  return response;
}

HttpResponse HttpResponse::Problem(ErrorKind kind, const std::string& detail) {
  const ErrorInfo& info = InfoForErrorKind(kind);
  const nlohmann::json body = {
      {"kind", info.name},          {"title", info.title},
      {"status", info.http_status}, {"detail", detail},
      {"ran", RanName(info.ran)},   {"retry", info.retry}};
  // The detail may quote input that is not valid UTF-8.
  HttpResponse response =
      Json(info.http_status,
           body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
  response.content_type = "application/problem+json";
  return response;
}

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl> {
  Impl(asio::io_context& io, const Options& options, HttpHandler handler)
      : io_(io),
        strand_(asio::make_strand(io)),
        acceptor_(strand_),
        retry_timer_(strand_),
        state_(std::make_shared<HttpServerState>(options, std::move(handler))) {
    const tcp::endpoint endpoint(asio::ip::make_address(options.address),
                                 options.port);
    error_code error;
    acceptor_.open(endpoint.protocol(), error);
    acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) {
      acceptor_.bind(endpoint, error);
    }
    if (!error) {
      acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      throw std::runtime_error("cannot listen on " + options.address + ":" +
                               std::to_string(options.port) + ": " +
                               error.message());
    }
    acceptor_.non_blocking(true);
    port_ = acceptor_.local_endpoint().port();
  }

  void Accept() {
    acceptor_.async_accept(
        asio::make_strand(io_),
        [self = shared_from_this()](error_code error, tcp::socket socket) {
          self->OnAccept(error, std::move(socket));
        });
  }

  void OnAccept(error_code error, tcp::socket socket) {
    if (!acceptor_.is_open()) {
      return;
    }
    if (error) {
      retry_timer_.expires_after(kAcceptRetryDelay);
      retry_timer_.async_wait(
          [self = shared_from_this()](error_code cancelled) {
            if (!cancelled) {
              self->Accept();
            }
          });
      return;
    }
    ServeHttpConnection(state_, std::move(socket));
    Accept();
  }

  void AcceptPending() {
    error_code error;
    while (!error) {
      tcp::socket socket = acceptor_.accept(asio::make_strand(io_), error);
      if (!error) {
        ServeHttpConnection(state_, std::move(socket));
      }
    }
  }

  void StopListening() {
    if (acceptor_.is_open()) {
      AcceptPending();
      acceptor_.close();
    }
    retry_timer_.cancel();
  }

  asio::io_context& io_;
  asio::strand<asio::io_context::executor_type> strand_;
  tcp::acceptor acceptor_;
  asio::steady_timer retry_timer_;
  std::shared_ptr<HttpServerState> state_;
  uint16_t port_ = 0;
};

HttpServer::HttpServer(asio::io_context& io,
                       const Options& options,
                       HttpHandler handler)
    : impl_(std::make_shared<Impl>(io, options, std::move(handler))) {
  asio::post(impl_->strand_, [impl = impl_] { impl->Accept(); });
}

HttpServer::~HttpServer() {
  Abort();
  // If `io` has stopped, the functions that Abort posted will not run.
  impl_->state_->Release();
}

void HttpServer::Close(std::function<void()> on_idle) {
  asio::post(impl_->strand_, [impl = impl_, on_idle = std::move(on_idle)] {
    impl->StopListening();
    impl->state_->Drain([impl, on_idle] { asio::post(impl->io_, on_idle); });
  });
}

void HttpServer::Abort() {
  impl_->state_->Abort();
  asio::post(impl_->strand_, [impl = impl_] {
    impl->StopListening();
    impl->state_->Abort();
  });
}

uint16_t HttpServer::port() const {
  return impl_->port_;
}

HttpServer::Counts HttpServer::counts() const {
  return impl_->state_->ReadCounts();
}

}  // namespace chivedale
