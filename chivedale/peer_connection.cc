#include "chivedale/peer_connection.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "chivedale/peer_codec.h"

namespace chivedale {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr size_t kLengthBytes = 4;
// Small frames are written in batches of about this size, to save system calls.
constexpr size_t kMaxBatchBytes = size_t{64} * 1024;
// Bounds the data buffered in the kernel, which delays the next control
// message: by 70 ms on the link between regions (30 Mbit/s).
constexpr int kSendBufferBytes = 256 * 1024;

void SetOption(Tcp::socket& socket, int level, int name, int value) {
  // Errors are ignored: without the option, the kernel's own timeouts apply.
  ::setsockopt(socket.native_handle(), level, name, &value, sizeof(value));
}

void SetCommonOptions(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  socket.set_option(asio::socket_base::keep_alive(true), ignored);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, 10);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, 5);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 3);
}

void CloseSocket(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.shutdown(Tcp::socket::shutdown_both, ignored);
  socket.close(ignored);
}

// Throws PeerCodecError if `frame` is not a valid Hello.
Hello ParseHello(const std::string& frame) {
  Message message = DecodeMessage(frame);
  Hello* hello = std::get_if<Hello>(&message);
  if (hello == nullptr) {
    throw PeerCodecError(CodecFault::kWrongType,
                         "the first message is not a Hello");
  }
  if (hello->protocol != kPeerProtocol) {
    throw PeerCodecError(CodecFault::kWrongVersion,
                         "Hello has the unsupported protocol version " +
                             std::to_string(hello->protocol));
  }
  if (hello->sender.id.empty()) {
    throw PeerCodecError(CodecFault::kMissingField, "Hello has no member id");
  }
  return std::move(*hello);
}

}  // namespace

MemberInfo PeerShared::Self() {
  const std::lock_guard lock(mutex);
  return self;
}

void PeerShared::Reject(const std::string& remote, const std::string& reason) {
  ++rejected;
  log.Write(Event::kPeerRejected, {{"remote", remote}, {"reason", reason}});
}

void PeerShared::Deliver(const MemberId& from,
                         Message message,
                         std::function<void()> handled) {
  auto shared_message = std::make_shared<Message>(std::move(message));
  post([shared = shared_from_this(), from,
        shared_message = std::move(shared_message),
        handled = std::move(handled)] {
    if (!shared->closed) {
      shared->on_message(from, std::move(*shared_message));
    }
    handled();
  });
}

void PeerShared::ReportDown(const std::string& address, bool refused) {
  if (!on_disconnect || closed) {
    return;
  }
  post([self = shared_from_this(), address, refused] {
    if (!self->closed) {
      self->on_disconnect(address, refused);
    }
  });
}

void AppendFrame(const Message& message, std::string& out) {
  const std::string frame = EncodeMessage(message);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((frame.size() >> shift) & 0xff));
  }
  out += frame;
}

void FrameReader::ReadOne(Socket& socket, OnFrame on_frame, OnEnd on_end) {
  struct State {
    std::array<unsigned char, kLengthBytes> length{};
    std::string frame;
    OnFrame on_frame;
    OnEnd on_end;
  };
  auto state = std::make_shared<State>();
  state->on_frame = std::move(on_frame);
  state->on_end = std::move(on_end);
  const auto on_body = [state](const ErrorCode& error, size_t) {
    if (error) {
      state->on_end("");
    } else {
      state->on_frame(std::move(state->frame));
    }
  };
  asio::async_read(socket, asio::buffer(state->length),
                   [state, on_body, &socket](const ErrorCode& error, size_t) {
                     if (error) {
                       state->on_end("");
                       return;
                     }
                     size_t length = 0;
                     for (unsigned char byte : state->length) {
                       length = length << 8 | byte;
                     }
                     if (length == 0 || length > kMaxFrameBytes) {
                       state->on_end("invalid frame length of " +
                                     std::to_string(length) + " bytes");
                       return;
                     }
                     state->frame.resize(length);
                     asio::async_read(socket, asio::buffer(state->frame),
                                      on_body);
                   });
}

OutgoingPeer::OutgoingPeer(std::shared_ptr<PeerShared> shared,
                           Tcp::endpoint endpoint,
                           std::string address,
                           uint64_t seed)
    : shared_(std::move(shared)),
      endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      strand_(asio::make_strand(shared_->io)),
      socket_(strand_),
      timer_(strand_),
      flush_timer_(strand_),
      random_(seed),
      queue_(shared_->options.queue) {}

bool OutgoingPeer::Send(QueuedMessage message) {
  const std::lock_guard lock(mutex_);
  if (!queue_.Push(std::move(message))) {
    return false;
  }
  if (!handler_pending_) {
    handler_pending_ = true;
    asio::post(strand_, [self = shared_from_this()] { self->ProcessQueue(); });
  }
  return true;
}

int64_t OutgoingPeer::expired() const {
  const std::lock_guard lock(mutex_);
  return queue_.expired();
}

void OutgoingPeer::Close() {
  asio::post(strand_, [self = shared_from_this()] {
    self->closing_ = true;
    {
      const std::lock_guard lock(self->mutex_);
      if (!self->handler_pending_) {
        self->Stop();
        return;
      }
    }
    self->flush_timer_.expires_after(
        self->shared_->options.close_flush_timeout);
    self->flush_timer_.async_wait([self](const ErrorCode&) { self->Stop(); });
  });
}

void OutgoingPeer::Stop() {
  ++connection_;
  state_ = State::kIdle;
  timer_.cancel();
  flush_timer_.cancel();
  CloseSocket(socket_);
}

void OutgoingPeer::ProcessQueue() {
  if (state_ == State::kIdle) {
    Connect();
  } else if (state_ == State::kReady) {
    WriteNext();
  }
  // While connecting, the completion of the attempt continues with the queue.
}

void OutgoingPeer::Connect() {
  const uint64_t connection = ++connection_;
  state_ = State::kConnecting;
  ErrorCode ignored;
  socket_.close(ignored);
  StartTimeout(shared_->options.connect_timeout, connection);
  socket_.async_connect(endpoint_, [self = shared_from_this(),
                                    connection](const ErrorCode& error) {
    if (error) {
      if (error == asio::error::connection_refused) {
        self->shared_->ReportDown(self->address_, true);
      }
      self->Fail(connection);
    } else {
      self->OnConnected(connection);
    }
  });
}

void OutgoingPeer::StartTimeout(Millis after, uint64_t connection) {
  timer_.expires_after(after);
  timer_.async_wait(
      [self = shared_from_this(), connection](const ErrorCode& error) {
        if (!error && self->state_ == State::kConnecting) {
          self->Fail(connection);
        }
      });
}

void OutgoingPeer::OnConnected(uint64_t connection) {
  if (connection != connection_) {
    return;
  }
  SetCommonOptions(socket_);
  SetOption(socket_, SOL_SOCKET, SO_SNDBUF, kSendBufferBytes);
  SetOption(socket_, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(shared_->options.unacknowledged_timeout.count()));
  StartTimeout(shared_->options.hello_timeout, connection);
  batch_.clear();
  AppendFrame(Hello{shared_->Self(), kPeerProtocol}, batch_);
  asio::async_write(
      socket_, asio::buffer(batch_),
      [self = shared_from_this(), connection](const ErrorCode& error, size_t) {
        if (error) {
          self->Fail(connection);
        }
      });
  const auto on_frame = [self = shared_from_this(),
                         connection](const std::string& frame) {
    self->OnHello(connection, frame);
  };
  const auto on_end = [self = shared_from_this(),
                       connection](const std::string& error_text) {
    if (!error_text.empty() && connection == self->connection_) {
      self->shared_->Reject(self->address_, error_text);
    }
    self->Fail(connection);
  };
  FrameReader::ReadOne(socket_, on_frame, on_end);
}

void OutgoingPeer::OnHello(uint64_t connection, const std::string& frame) {
  if (connection != connection_) {
    return;
  }
  try {
    Hello hello = ParseHello(frame);
    remote_ = hello.sender;
    timer_.cancel();
    state_ = State::kReady;
    backoff_ = Millis(0);
    ++shared_->connects;
    shared_->on_identified(remote_.id, address_);
    shared_->Deliver(remote_.id, std::move(hello), [] {});
  } catch (const PeerCodecError& error) {
    shared_->Reject(address_, error.what());
    Fail(connection);
    return;
  }
  WatchForClose(connection);
  WriteNext();
}

void OutgoingPeer::WatchForClose(uint64_t connection) {
  const auto on_end = [self = shared_from_this(), connection](
                          const std::string&) { self->Fail(connection); };
  // The peer sends nothing after its Hello; any further frame is an error.
  FrameReader::ReadOne(
      socket_, [on_end](const std::string&) { on_end(""); }, on_end);
}

std::string OutgoingPeer::NextBatch() {
  const MemberInfo self = shared_->Self();
  const std::lock_guard lock(mutex_);
  std::string batch;
  while (batch.size() < kMaxBatchBytes) {
    std::optional<QueuedMessage> next = queue_.Pop(shared_->clock.Now());
    if (!next) {
      break;
    }
    if (!next->to.empty() && next->to != remote_.id) {
      // Another process now has the address.
      ++shared_->misaddressed;
      continue;
    }
    const size_t before = batch.size();
    try {
      AppendFrame(next->message, batch);
    } catch (const PeerCodecError& error) {
      batch.resize(before);
      shared_->log.Write(Event::kInternalError,
                         {{"message", std::string(MessageName(next->message))},
                          {"reason", error.what()}});
      continue;
    }
    const auto bytes = static_cast<int64_t>(batch.size() - before);
    shared_->metrics.Count(Counter::kPeerMessagesSent);
    shared_->metrics.Count(Counter::kPeerBytesSent, bytes);
    if (remote_.region != self.region) {
      shared_->metrics.Count(Counter::kPeerBytesCrossRegion, bytes);
    }
  }
  handler_pending_ = !batch.empty();
  return batch;
}

void OutgoingPeer::WriteNext() {
  batch_ = NextBatch();
  if (batch_.empty()) {
    if (closing_) {
      Stop();
    }
    return;
  }
  asio::async_write(socket_, asio::buffer(batch_),
                    [self = shared_from_this(), connection = connection_](
                        const ErrorCode& error, size_t) {
                      if (error) {
                        self->Fail(connection);
                      } else if (connection == self->connection_) {
                        self->WriteNext();
                      }
                    });
}

void OutgoingPeer::Fail(uint64_t connection) {
  if (connection != connection_) {
    return;
  }
  ++connection_;
  timer_.cancel();
  CloseSocket(socket_);
  if (state_ == State::kReady) {
    shared_->ReportDown(address_, false);
  }
  state_ = State::kConnecting;
  ReconnectAfterBackoff();
}

void OutgoingPeer::ReconnectAfterBackoff() {
  const PeerLink::Options& options = shared_->options;
  backoff_ = std::clamp(backoff_ * 2, options.backoff_min, options.backoff_max);
  // Jitter prevents members from reconnecting to a restarted peer
  // simultaneously.
  const double jitter = 0.5 + random_.UniformReal() / 2;
  timer_.expires_after(std::chrono::duration_cast<util::Duration>(
      std::chrono::duration<double, std::milli>(
          static_cast<double>(backoff_.count()) * jitter)));
  timer_.async_wait([self = shared_from_this(),
                     connection = connection_](const ErrorCode& error) {
    if (error || connection != self->connection_) {
      return;
    }
    {
      const std::lock_guard lock(self->mutex_);
      self->queue_.DropExpired(self->shared_->clock.Now());
      self->handler_pending_ = !self->queue_.empty();
      if (!self->handler_pending_) {
        self->state_ = State::kIdle;
        return;
      }
    }
    self->Connect();
  });
}

IncomingPeer::IncomingPeer(std::shared_ptr<PeerShared> shared,
                           Tcp::socket socket)
    : shared_(std::move(shared)),
      socket_(std::move(socket)),
      timer_(socket_.get_executor()) {
  ErrorCode ignored;
  const Tcp::endpoint remote = socket_.remote_endpoint(ignored);
  remote_address_ =
      remote.address().to_string(ignored) + ":" + std::to_string(remote.port());
}

void IncomingPeer::Start(std::function<void(const MemberId&)> on_hello,
                         std::function<void()> on_end) {
  on_hello_ = std::move(on_hello);
  on_end_ = std::move(on_end);
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->ReadHello(); });
}

void IncomingPeer::Close() {
  asio::post(socket_.get_executor(),
             [self = shared_from_this()] { self->Terminate(""); });
}

void IncomingPeer::ReadHello() {
  if (ended_) {
    return;
  }
  SetCommonOptions(socket_);
  timer_.expires_after(shared_->options.hello_timeout);
  timer_.async_wait([self = shared_from_this()](const ErrorCode& error) {
    if (!error && self->remote_.id.empty()) {
      self->Terminate("no Hello within the time limit");
    }
  });
  FrameReader::ReadOne(
      socket_,
      [self = shared_from_this()](const std::string& frame) {
        self->OnHello(frame);
      },
      [self = shared_from_this()](const std::string& error_text) {
        self->Terminate(error_text);
      });
}

void IncomingPeer::OnHello(const std::string& frame) {
  if (ended_) {
    return;
  }
  try {
    Hello hello = ParseHello(frame);
    remote_ = hello.sender;
    timer_.cancel();
    on_hello_(remote_.id);
    Deliver(std::move(hello), static_cast<int64_t>(frame.size()));
  } catch (const PeerCodecError& error) {
    Terminate(error.what());
    return;
  }
  AppendFrame(Hello{shared_->Self(), kPeerProtocol}, hello_);
  asio::async_write(
      socket_, asio::buffer(hello_),
      [self = shared_from_this()](const ErrorCode& error, size_t) {
        if (error) {
          self->Terminate("");
        }
      });
  ReadNext();
}

void IncomingPeer::ReadNext() {
  if (ended_) {
    return;
  }
  FrameReader::ReadOne(
      socket_,
      [self = shared_from_this()](const std::string& frame) {
        self->OnFrame(frame);
      },
      [self = shared_from_this()](const std::string& error_text) {
        self->Terminate(error_text);
      });
}

void IncomingPeer::OnFrame(const std::string& frame) {
  if (ended_) {
    return;
  }
  try {
    Deliver(DecodeMessage(frame), static_cast<int64_t>(frame.size()));
  } catch (const PeerCodecError& error) {
    if (error.fault() != CodecFault::kUnknownType) {
      Terminate(error.what());
      return;
    }
    ++shared_->unknown_types;
  }
  if (!IsFull()) {
    ReadNext();
    return;
  }
  paused_ = true;
  // The control thread may have handled the messages before it saw the flag.
  if (!IsFull() && paused_.exchange(false)) {
    ReadNext();
  }
}

void IncomingPeer::Deliver(Message message, int64_t bytes) {
  ++shared_->received;
  ++unhandled_;
  unhandled_bytes_ += bytes;
  shared_->Deliver(
      remote_.id, std::move(message),
      [self = shared_from_this(), bytes] { self->OnHandled(bytes); });
}

void IncomingPeer::OnHandled(int64_t bytes) {
  --unhandled_;
  unhandled_bytes_ -= bytes;
  if (!IsFull() && paused_.exchange(false)) {
    asio::post(socket_.get_executor(),
               [self = shared_from_this()] { self->ReadNext(); });
  }
}

bool IncomingPeer::IsFull() const {
  return unhandled_ >= shared_->options.max_unhandled ||
         unhandled_bytes_ >= shared_->options.max_unhandled_bytes;
}

void IncomingPeer::Terminate(const std::string& error_text) {
  if (ended_) {
    return;
  }
  ended_ = true;
  if (!error_text.empty()) {
    shared_->Reject(remote_address_, error_text);
  }
  timer_.cancel();
  CloseSocket(socket_);
  on_end_();
  // The callbacks hold references to the link.
  on_hello_ = nullptr;
  on_end_ = nullptr;
}

}  // namespace chivedale
