// A session repeats receive, handle and send on one strand. While a handler
// runs, one read is pending: it detects that the peer has closed, or receives
// the first bytes of a pipelined request. It may still be pending when the next
// request is due, so its completion handles both cases. No read is started
// while the buffer holds bytes, so there is never more than one.
//
// Each phase has a deadline: a slow peer occupies one buffer for a bounded
// time. The single timer is rescheduled only when it fires or when a deadline
// is earlier than its expiry, so a fast peer causes few timer operations.
#include "chivedale/http_session.h"

#include <array>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace chivedale {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr size_t kReadChunkBytes = size_t{16} << 10;
// Size of the receive buffer beyond the largest header; bodies pass through it.
constexpr size_t kBufferSlack = size_t{64} << 10;
// Time for the peer to read the last response: closing with unread input would
// reset the connection and lose the response.
constexpr Millis kLingerTimeout{1'000};

enum class Phase {
  kIdle,
  kReceiving,
  kHandling,
  kSending,
  kLingering,
  kClosed
};

std::string RemoteAddress(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint endpoint = socket.remote_endpoint(error);
  return error ? std::string()
               : endpoint.address().to_string() + ":" +
                     std::to_string(endpoint.port());
}

std::string ResponseHeader(const HttpResponse& response,
                           size_t length,
                           bool close) {
  const auto reason = http::obsolete_reason(
      http::int_to_status(static_cast<unsigned>(response.status)));
  std::string out = "HTTP/1.1 " + std::to_string(response.status) + " ";
  out.append(reason.data(), reason.size()).append("\r\n");
  if (!response.content_type.empty()) {
    AppendHeader(out, "Content-Type", response.content_type);
  }
  for (const HttpHeader& header : response.headers) {
    AppendHeader(out, header.name, header.value);
  }
  if (response.status != 204 && response.status != 304) {
    AppendHeader(out, "Content-Length", std::to_string(length));
  }
  if (close) {
    AppendHeader(out, "Connection", "close");
  }
  return out += "\r\n";
}

class Caller final : public HttpRequestContext {
 public:
  explicit Caller(std::function<void()> abort) : abort_(std::move(abort)) {}

  bool closed() const override { return closed_; }
  void OnClosed(std::function<void()> run) override {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      if (!closed_) {
        if (!responded_) {
          on_closed_.push_back(std::move(run));
        }
        return;
      }
    }
    run();
  }
  void Abort() override { abort_(); }

  void SetClosed() {
    std::vector<std::function<void()>> run;
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
      run.swap(on_closed_);
    }
    for (const auto& each : run) {
      each();
    }
  }
  void DiscardCallbacks() {
    std::vector<std::function<void()>> discarded;
    const std::lock_guard<std::mutex> lock(mutex_);
    responded_ = true;
    discarded.swap(on_closed_);
  }

 private:
  const std::function<void()> abort_;
  std::mutex mutex_;
  std::atomic<bool> closed_{false};
  bool responded_ = false;
  std::vector<std::function<void()>> on_closed_;
};

class Session final : public HttpSession,
                      public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<HttpServerState> state, tcp::socket socket)
      : state_(std::move(state)),
        socket_(std::move(socket)),
        timer_(socket_.get_executor()),
        remote_(RemoteAddress(socket_)),
        buffer_(state_->options.max_header_bytes + kBufferSlack) {}
  ~Session() override { ReleaseReservation(); }

  void Run() {
    asio::dispatch(socket_.get_executor(), [self = shared_from_this()] {
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->Next();
    });
  }
  void Drain() override {
    asio::post(socket_.get_executor(), [self = shared_from_this()] {
      if (self->phase_ == Phase::kIdle) {
        self->SetDeadline(self->state_->options.close_linger);
      }
    });
  }
  void Abort() override {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->CloseNow(); });
  }
  void Respond(HttpResponse response, uint64_t number) {
    asio::dispatch(
        socket_.get_executor(), [self = shared_from_this(), number,
                                 response = std::move(response)]() mutable {
          if (self->phase_ == Phase::kHandling && self->number_ == number) {
            self->Send(std::move(response));
          }
        });
  }

 private:
  using Parser = http::request_parser<http::string_body>;

  void SetDeadline(Millis after) {
    deadline_ = std::chrono::steady_clock::now() + after;
    if (!timer_armed_ || deadline_ < timer_.expiry()) {
      ArmTimer();
    }
  }
  void ClearDeadline() { deadline_ = SteadyTime::max(); }
  void ArmTimer() {
    timer_armed_ = true;
    timer_.expires_at(deadline_);
    timer_.async_wait([self = shared_from_this()](error_code error) {
      if (!error) {
        self->OnTimer();
      }
    });
  }
  void OnTimer() {
    timer_armed_ = false;
    if (phase_ == Phase::kClosed || deadline_ == SteadyTime::max()) {
      return;
    }
    if (std::chrono::steady_clock::now() < deadline_) {
      return ArmTimer();
    }
    if (phase_ == Phase::kReceiving) {
      ++state_->cut_off;
    }
    if (phase_ == Phase::kReceiving || phase_ == Phase::kSending) {
      ++state_->timeouts;
    }
    CloseNow();
  }

  void CloseNow() {
    if (phase_ == Phase::kClosed) {
      return;
    }
    phase_ = Phase::kClosed;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
    if (caller_) {
      caller_->SetClosed();
      caller_.reset();
    }
    ReleaseReservation();
    state_->Remove(this);
  }

  void Next() {
    phase_ = Phase::kIdle;
    parser_.reset();
    if (buffer_.size() > 0) {
      return Receive();
    }
    SetDeadline(state_->draining() ? state_->options.close_linger
                                   : state_->options.idle_timeout);
    ReadSome();
  }

  void ReadSome() {
    if (reading_) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
        buffer_.prepare(kReadChunkBytes),
        [self = shared_from_this()](error_code error, size_t bytes) {
          self->OnReadSome(error, bytes);
        });
  }
  void OnReadSome(error_code error, size_t bytes) {
    reading_ = false;
    buffer_.commit(bytes);
    switch (phase_) {
      case Phase::kIdle:
        return error ? CloseNow() : Receive();
      case Phase::kHandling:
        if (error) {
          peer_closed_ = true;
          // A callback may send the response, which resets caller_.
          const std::shared_ptr<Caller> caller = caller_;
          caller->SetClosed();
        }
        return;
      case Phase::kSending:
        peer_closed_ = peer_closed_ || error;
        return;
      case Phase::kLingering:
        buffer_.clear();
        return error ? CloseNow() : ReadSome();
      case Phase::kReceiving:
      case Phase::kClosed:
        return;
    }
  }

  void Receive() {
    phase_ = Phase::kReceiving;
    SetDeadline(state_->options.receive_timeout);
    parser_.emplace();
    parser_->header_limit(state_->options.max_header_bytes);
    parser_->body_limit(state_->options.max_body_bytes);
    http::async_read_header(
        socket_, buffer_, *parser_,
        [self = shared_from_this()](error_code error, size_t) {
          self->OnHeader(error);
        });
  }
  void OnHeader(error_code error) {
    if (phase_ == Phase::kClosed) {
      return;
    }
    if (error) {
      return OnReceiveError(error);
    }
    // The length of a chunked body is not known in advance: reserve the limit.
    const auto length = parser_->content_length();
    const size_t bytes = length               ? static_cast<size_t>(*length)
                         : parser_->chunked() ? state_->options.max_body_bytes
                                              : 0;
    if (!state_->Reserve(bytes)) {
      return Refuse(
          ErrorKind::kOverloaded,
          "request bodies being received would exceed max_receiving_bytes");
    }
    reserved_ = bytes;
    if (beast::iequals(parser_->get()[http::field::expect], "100-continue")) {
      return SendContinue();
    }
    ReceiveBody();
  }
  void SendContinue() {
    static constexpr char kContinue[] = "HTTP/1.1 100 Continue\r\n\r\n";
    asio::async_write(socket_, asio::buffer(kContinue, sizeof kContinue - 1),
                      [self = shared_from_this()](error_code error, size_t) {
                        if (error) {
                          return self->OnReceiveError(error);
                        }
                        self->ReceiveBody();
                      });
  }
  void ReceiveBody() {
    if (phase_ == Phase::kClosed) {
      return;
    }
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this()](error_code error, size_t) {
                       self->OnBody(error);
                     });
  }
  void OnBody(error_code error) {
    ReleaseReservation();
    if (phase_ == Phase::kClosed) {
      return;
    }
    if (error) {
      return OnReceiveError(error);
    }
    Handle();
  }
  void OnReceiveError(error_code error) {
    if (phase_ == Phase::kClosed) {
      return;
    }
    if (error == http::error::body_limit) {
      return Refuse(ErrorKind::kBodyTooLarge,
                    "the request body exceeds the limit of " +
                        std::to_string(state_->options.max_body_bytes) +
                        " bytes");
    }
    const bool parse_error =
        error.category() ==
            http::make_error_code(http::error::bad_method).category() &&
        error != http::error::partial_message &&
        error != http::error::end_of_stream;
    if (parse_error) {
      return Refuse(ErrorKind::kBadRequest, error.message());
    }
    ++state_->cut_off;
    CloseNow();
  }
  void ReleaseReservation() {
    state_->Unreserve(reserved_);
    reserved_ = 0;
  }
  // Responds without calling the handler and ends the connection, because the
  // start of the next request is unknown.
  void Refuse(ErrorKind kind, const std::string& detail) {
    ++state_->refused;
    ReleaseReservation();
    keep_alive_ = false;
    head_only_ = false;
    HttpResponse response = HttpResponse::Problem(kind, detail);
    Send(std::move(response));
  }

  void Handle() {
    ++state_->requests;
    phase_ = Phase::kHandling;
    ClearDeadline();
    auto message = parser_->release();
    parser_.reset();
    keep_alive_ = message.keep_alive() && message.version() == 11;
    head_only_ = message.method() == http::verb::head;
    caller_ = std::make_shared<Caller>([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        // Runs before a response that the handler may still send.
        asio::dispatch(self->socket_.get_executor(),
                       [self] { self->CloseNow(); });
      }
    });
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto& field : message) {
      request.headers.push_back(
          {std::string(field.name_string()), std::string(field.value())});
    }
    request.body =
        std::make_shared<const std::string>(std::move(message.body()));
    request.remote = remote_;
    request.caller = caller_;
    if (buffer_.size() == 0) {
      ReadSome();
    }
    CallHandler(std::move(request));
  }
  void CallHandler(HttpRequest request);

  void Send(HttpResponse response) {
    phase_ = Phase::kSending;
    if (caller_) {
      caller_->DiscardCallbacks();
      caller_.reset();
    }
    keep_alive_ = keep_alive_ && !state_->draining() && !peer_closed_;
    const size_t length = response.body ? response.body->size() : 0;
    header_ = ResponseHeader(response, length, !keep_alive_);
    body_ = std::move(response.body);
    const bool bodiless =
        head_only_ || response.status == 204 || response.status == 304;
    const std::array<asio::const_buffer, 2> buffers = {
        asio::buffer(header_),
        body_ && !bodiless ? asio::buffer(*body_) : asio::const_buffer()};
    SetDeadline(state_->options.send_timeout);
    asio::async_write(socket_, buffers,
                      [self = shared_from_this()](error_code error, size_t) {
                        self->OnSent(error);
                      });
  }
  void OnSent(error_code error) {
    body_.reset();
    header_.clear();
    if (phase_ == Phase::kClosed) {
      return;
    }
    state_->responses += error ? 0 : 1;
    if (error || peer_closed_) {
      return CloseNow();
    }
    if (keep_alive_) {
      return Next();
    }
    phase_ = Phase::kLingering;
    SetDeadline(kLingerTimeout);
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    buffer_.clear();
    ReadSome();
  }

  const std::shared_ptr<HttpServerState> state_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  const std::string remote_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  std::shared_ptr<Caller> caller_;
  std::string header_;
  Body body_;
  Phase phase_ = Phase::kIdle;
  SteadyTime deadline_ = SteadyTime::max();
  // Number of the request being handled. Late responses to earlier requests are
  // ignored.
  uint64_t number_ = 0;
  size_t reserved_ = 0;
  bool timer_armed_ = false;
  bool reading_ = false;
  bool keep_alive_ = true;
  bool head_only_ = false;
  bool peer_closed_ = false;
};

// Responds with an error if the handler destroys its respond function without a
// call. Holds the session weakly, since a handler may outlive the server.
class Responder {
 public:
  Responder(std::weak_ptr<Session> session, uint64_t number)
      : session_(std::move(session)), number_(number) {}
  ~Responder() {
    if (!used_) {
      Respond(HttpResponse::Problem(ErrorKind::kInternal,
                                    "the handler sent no response"));
    }
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Respond(HttpResponse response) {
    const std::shared_ptr<Session> session = session_.lock();
    if (!used_.exchange(true) && session) {
      session->Respond(std::move(response), number_);
    }
  }

 private:
  const std::weak_ptr<Session> session_;
  const uint64_t number_;
  std::atomic<bool> used_{false};
};

void Session::CallHandler(HttpRequest request) {
  auto responder = std::make_shared<Responder>(weak_from_this(), ++number_);
  const HttpResponder respond = [responder](HttpResponse response) {
    responder->Respond(std::move(response));
  };
  responder.reset();
  try {
    state_->handler(std::move(request), respond);
  } catch (const Error& error) {
    respond(HttpResponse::Problem(error.kind(), error.what()));
  } catch (const std::exception& error) {
    respond(HttpResponse::Problem(ErrorKind::kInternal, error.what()));
  }
}

}  // namespace

void ServeHttpConnection(const std::shared_ptr<HttpServerState>& state,
                         tcp::socket socket) {
  ++state->accepted;
  auto session = std::make_shared<Session>(state, std::move(socket));
  if (!state->Add(session)) {
    // Closed without a response: nothing of the request has been read.
    ++state->rejected;
    return;
  }
  session->Run();
}

}  // namespace chivedale
