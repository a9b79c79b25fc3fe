// Internal to peer_link.cc: its outgoing and incoming connections. Each runs on
// its own strand; only members marked as thread-safe may be called from
// elsewhere.
#ifndef CHIVEDALE_PEER_CONNECTION_H_
#define CHIVEDALE_PEER_CONNECTION_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

#include "chivedale/peer_link.h"
#include "util/random.h"

namespace chivedale {

// State shared by all connections of a link.
struct PeerShared : std::enable_shared_from_this<PeerShared> {
  PeerShared(boost::asio::io_context& io_context,
             const util::Clock& time_source,
             EventLog& event_log,
             Metrics& process_metrics,
             const PeerLink::Options& link_options,
             PeerLink::Post post_function,
             PeerLink::OnMessage message_function)
      : io(io_context),
        clock(time_source),
        log(event_log),
        metrics(process_metrics),
        options(link_options),
        post(std::move(post_function)),
        on_message(std::move(message_function)) {}

  boost::asio::io_context& io;
  const util::Clock& clock;
  EventLog& log;
  Metrics& metrics;
  const PeerLink::Options options;
  const PeerLink::Post post;
  const PeerLink::OnMessage on_message;
  // Called when a Hello has shown which member listens at an address.
  std::function<void(const MemberId&, const std::string& address)>
      on_identified;
  PeerLink::DisconnectCallback on_disconnect;  // may be empty

  // Thread-safe.
  void ReportDown(const std::string& address, bool refused);

  std::atomic<bool> closed{false};
  std::atomic<int64_t> received{0};
  std::atomic<int64_t> unknown_types{0};
  std::atomic<int64_t> rejected{0};
  std::atomic<int64_t> connects{0};
  std::atomic<int64_t> misaddressed{0};

  std::mutex mutex;
  MemberInfo self;

  MemberInfo Self();
  void Reject(const std::string& remote, const std::string& reason);
  // Runs on_message and then `handled` on the control thread.
  void Deliver(const MemberId& from,
               Message message,
               std::function<void()> handled);
};

// Appends the length and the frame of `message`. Throws PeerCodecError.
void AppendFrame(const Message& message, std::string& out);

// Reads frames from a socket, one at a time.
class FrameReader {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using OnFrame = std::function<void(std::string frame)>;
  // An empty `error_text` means that the peer closed the connection or the
  // socket failed.
  using OnEnd = std::function<void(const std::string& error_text)>;

  // The callbacks must keep the owner of the socket alive.
  static void ReadOne(Socket& socket, OnFrame on_frame, OnEnd on_end);
};

class OutgoingPeer : public std::enable_shared_from_this<OutgoingPeer> {
 public:
  OutgoingPeer(std::shared_ptr<PeerShared> shared,
               boost::asio::ip::tcp::endpoint endpoint,
               std::string address,
               uint64_t seed);

  // Thread-safe. Returns false if the queue is full.
  bool Send(QueuedMessage message);
  // Thread-safe.
  void Close();
  // Thread-safe.
  int64_t expired() const;

 private:
  enum class State { kIdle, kConnecting, kReady };

  void ProcessQueue();
  void Connect();
  void OnConnected(uint64_t connection);
  void OnHello(uint64_t connection, const std::string& frame);
  void WatchForClose(uint64_t connection);
  void WriteNext();
  // Returns "" if the queue is empty.
  std::string NextBatch();
  void Fail(uint64_t connection);
  void ReconnectAfterBackoff();
  void StartTimeout(Millis after, uint64_t connection);
  void Stop();

  const std::shared_ptr<PeerShared> shared_;
  const boost::asio::ip::tcp::endpoint endpoint_;
  const std::string address_;
  boost::asio::strand<boost::asio::io_context::executor_type> strand_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer flush_timer_;
  util::Random random_;
  State state_ = State::kIdle;
  // Number of the current connection attempt; callbacks of earlier attempts are
  // ignored.
  uint64_t connection_ = 0;
  Millis backoff_{0};
  MemberInfo remote_;
  std::string batch_;
  bool closing_ = false;

  mutable std::mutex mutex_;
  PeerQueue queue_;  // guarded by mutex_
  // A pending handler will process the queue; guarded by mutex_.
  bool handler_pending_ = false;
};

class IncomingPeer : public std::enable_shared_from_this<IncomingPeer> {
 public:
  IncomingPeer(std::shared_ptr<PeerShared> shared,
               boost::asio::ip::tcp::socket socket);

  // `on_hello` runs at most once, when the sender is known. `on_end` runs once.
  void Start(std::function<void(const MemberId&)> on_hello,
             std::function<void()> on_end);
  // Thread-safe.
  void Close();

 private:
  void ReadHello();
  void OnHello(const std::string& frame);
  void ReadNext();
  void OnFrame(const std::string& frame);
  void Deliver(Message message, int64_t bytes);
  // Thread-safe.
  void OnHandled(int64_t bytes);
  bool IsFull() const;
  void Terminate(const std::string& error_text);

  const std::shared_ptr<PeerShared> shared_;
  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  std::string remote_address_;
  MemberInfo remote_;
  std::string hello_;
  std::function<void(const MemberId&)> on_hello_;
  std::function<void()> on_end_;
  bool ended_ = false;
  std::atomic<int64_t> unhandled_{0};
  std::atomic<int64_t> unhandled_bytes_{0};
  std::atomic<bool> paused_{false};
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_CONNECTION_H_
