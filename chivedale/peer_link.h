// Connections to the other members: PeerPort over TCP.
//
//   PeerLink link(io, clock, log, metrics, options, post, on_message);
//   link.Listen("10.0.0.1:7000");
//   link.Start(self);              // self.address holds the real port now
//   link.Send(member, Ping{...});  // control thread
//   link.Close();
//
// Each member opens one connection per peer for what it sends and accepts one
// for what it receives. A frame is a 4-byte big-endian length and that many
// bytes (peer_codec.h). The first frame in each direction is a Hello.
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
    // From the connection to the other side's Hello.
    Millis hello_timeout{2'000};
    // Between connection attempts: doubled from min to max, times 0.5 to 1.
    Millis backoff_min{50};
    Millis backoff_max{1'000};
    // Data that the peer's kernel does not acknowledge for so long ends the
    // connection, so that no frame arrives much later than it was sent.
    Millis unacknowledged{2'000};
    // How long Close() lets queued messages go out.
    Millis close_flush{200};
    // Received but not yet handled by the control thread, per connection;
    // above either, the connection is not read.
    int64_t max_unhandled = 256;
    int64_t max_unhandled_bytes = 16 << 20;
    uint64_t seed = 1;
  };
  struct Counts {
    int64_t received = 0;
    int64_t unknown_types = 0;
    int64_t rejected = 0;  // connections closed because of what they sent
    int64_t connects = 0;  // outgoing connections that got a Hello
    int64_t expired = 0;   // messages dropped by age
    int64_t misaddressed = 0;
  };
  // Runs the function on the control thread.
  using Post = std::function<void(std::function<void()>)>;
  // Runs on the control thread. A Hello is passed on too, once for each
  // connection and direction.
  using OnMessage = std::function<void(const MemberId& from, Message message)>;

  // Runs on the control thread when the connection to an address is lost, or
  // when the address refuses one: then no process listens there.
  using OnDown = std::function<void(const std::string& address, bool refused)>;

  // `io` may be run by several threads and must outlive the link's handlers.
  PeerLink(boost::asio::io_context& io,
           const util::Clock& clock,
           EventLog& log,
           Metrics& metrics,
           const Options& options,
           Post post,
           OnMessage on_message);
  // No call of on_message begins after Close() or the destructor, when these
  // are called on the control thread.
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;

  // Commands.
  // Binds; returns the IP:port bound. Throws Error(kBadSettings).
  std::string Listen(const std::string& address);
  // Accepts and connects from now on, and sends `self` in each Hello. Called
  // again when the own state changes.
  void Start(const MemberInfo& self);
  // Before Start.
  void SetOnDown(OnDown on_down);
  // Stops receiving at once and closes after the queued messages went out or
  // close_flush has passed. Does not wait.
  void Close();

  bool Send(const MemberId& to, const Message& message) override;
  // An empty address forgets the member and closes its connection.
  void SetAddress(const MemberId& member, const std::string& address) override;
  void SendToAddress(const std::string& address,
                     const Message& message) override;

  // Query.
  Counts counts() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_LINK_H_
