// Implements PeerPort over TCP connections between members.
//
//   PeerLink link(io, clock, log, metrics, options, post, on_message);
//   link.Listen("10.0.0.1:7000");
//   link.Start(self);              // self.address must hold the bound port
//   link.Send(member, Ping{...});  // control thread
//   link.Close();
//
// A member sends to a peer over a connection that it opens for the first
// message, and receives over the connection that the peer opened. A frame
// (peer_codec.h) is preceded by its length as a 4-byte big-endian integer. The
// first frame in each direction is a Hello.
#ifndef CHIVEDALE_PEER_LINK_H_
#define CHIVEDALE_PEER_LINK_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "chivedale/event_log.h"
#include "chivedale/messages.h"
#include "chivedale/metrics.h"
#include "chivedale/peer_queue.h"
#include "chivedale/ports.h"
#include "util/clock.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace chivedale {

class PeerLink final : public PeerPort {
 public:
  struct Options {
    PeerQueue::Options queue;
    Millis connect_timeout{1'000};
    // From the established connection to the Hello of the peer.
    Millis hello_timeout{2'000};
    // Delay between connection attempts: doubles from min to max and is
    // multiplied by a random factor from 0.5 to 1.
    Millis backoff_min{50};
    Millis backoff_max{1'000};
    // The connection is closed if the peer's kernel does not acknowledge data
    // for this long, so that no frame arrives much later than it was sent.
    Millis unacknowledged_timeout{2'000};
    // Time that Close() allows for sending queued messages.
    Millis close_flush_timeout{200};
    // Limits, per connection, of messages received but not yet handled by the
    // control thread. At either limit, reading pauses.
    int64_t max_unhandled = 256;
    int64_t max_unhandled_bytes = 16 << 20;
    uint64_t seed = 1;
  };
  struct Counts {
    int64_t received = 0;
    int64_t unknown_types = 0;
    int64_t rejected = 0;      // connections closed for invalid input
    int64_t connects = 0;      // outgoing connections that received a Hello
    int64_t expired = 0;       // messages dropped by age
    int64_t misaddressed = 0;  // dropped: another member has the address
  };
  // Runs the function on the control thread.
  using Post = std::function<void(std::function<void()>)>;
  // Runs on the control thread. Also receives the peer's Hello of each incoming
  // and outgoing connection.
  using OnMessage = std::function<void(const MemberId& from, Message message)>;

  // Runs on the control thread when an established connection to an address is
  // lost, or when a connection is refused (`refused` is true): no process
  // listens there. Timeouts while connecting are not reported.
  using DisconnectCallback =
      std::function<void(const std::string& address, bool refused)>;

  // `io` may be run by several threads and must outlive all handlers that the
  // link has posted to it.
  PeerLink(boost::asio::io_context& io,
           const util::Clock& clock,
           EventLog& log,
           Metrics& metrics,
           const Options& options,
           Post post,
           OnMessage on_message);
  // If Close() or the destructor is called on the control thread, on_message is
  // not called afterwards.
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Binds the address and returns the bound IP:port. Throws Error(kBadSettings)
  // if it is invalid or cannot be bound.
  std::string Listen(const std::string& address);
  // Starts to accept connections. `self` is sent in each Hello. Call again if
  // the state of this member changes.
  void Start(const MemberInfo& self);
  // Call before Start.
  void SetDisconnectCallback(DisconnectCallback on_disconnect);
  // Closes incoming connections at once, and outgoing ones after their queued
  // messages were sent or after close_flush_timeout. Does not block.
  void Close();

  bool Send(const MemberId& to, const Message& message) override;
  // An empty address removes the member and closes its connection.
  void SetAddress(const MemberId& member, const std::string& address) override;
  void SendToAddress(const std::string& address,
                     const Message& message) override;

  Counts counts() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_LINK_H_
