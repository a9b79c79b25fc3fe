// Send() only queues: encoding and writing run on the traffic threads, so that
// a large payload costs the control thread nothing. Connections are keyed by
// address, because a seed has no member id yet; each queued message carries
// the id it is meant for and is dropped when another process answers at the
// address.
#include "chivedale/peer_link.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

#include "chivedale/error.h"
#include "chivedale/peer_codec.h"
#include "chivedale/peer_connection.h"
#include "util/ip_port.h"
#include "util/random.h"

namespace chivedale {
namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

// Several times the largest number of members; bounds what a misconfigured
// client can hold open.
constexpr size_t kMaxIncoming = 1'024;
constexpr Millis kAcceptRetry{50};

std::optional<Tcp::endpoint> EndpointOf(const std::string& address) {
  const std::optional<util::IpPort> parsed = util::ParseIpPort(address);
  ErrorCode error;
  if (!parsed) {
    return std::nullopt;
  }
  const auto ip = asio::ip::make_address(parsed->ip, error);
  if (error) {
    return std::nullopt;
  }
  return Tcp::endpoint(ip, parsed->port);
}

std::string AddressOf(const Tcp::endpoint& endpoint) {
  const std::string ip = endpoint.address().to_string();
  return (endpoint.address().is_v6() ? "[" + ip + "]" : ip) + ":" +
         std::to_string(endpoint.port());
}

}  // namespace

struct PeerLink::Impl : std::enable_shared_from_this<Impl> {
  Impl(asio::io_context& io,
       const util::Clock& clock,
       EventLog& log,
       Metrics& metrics,
       const Options& options,
       Post post,
       OnMessage on_message)
      : shared(std::make_shared<PeerShared>(io,
                                            clock,
                                            log,
                                            metrics,
                                            options,
                                            std::move(post),
                                            std::move(on_message))),
        strand(asio::make_strand(io)),
        acceptor(strand),
        accept_timer(strand),
        random(options.seed) {}

  std::shared_ptr<OutgoingPeer> OutgoingAt(const std::string& address) {
    const std::lock_guard lock(mutex);
    if (shared->closed) {
      return nullptr;
    }
    const auto found = outgoing.find(address);
    if (found != outgoing.end()) {
      return found->second;
    }
    const std::optional<Tcp::endpoint> endpoint = EndpointOf(address);
    if (!endpoint || endpoint->port() == 0) {
      return nullptr;
    }
    auto peer = std::make_shared<OutgoingPeer>(shared, *endpoint, address,
                                               random.Next());
    outgoing.emplace(address, peer);
    return peer;
  }

  bool SendTo(const std::string& address,
              const MemberId& to,
              const Message& message) {
    const std::shared_ptr<OutgoingPeer> peer = OutgoingAt(address);
    return peer != nullptr &&
           peer->Send(
               {to, message, EstimateFrameBytes(message), shared->clock.Now()});
  }

  // Must be called on the strand.
  void Accept() {
    acceptor.async_accept(asio::make_strand(shared->io),
                          [self = shared_from_this()](const ErrorCode& error,
                                                      Tcp::socket socket) {
                            if (self->shared->closed) {
                              return;
                            }
                            if (error) {
                              self->AcceptLater();
                              return;
                            }
                            self->Admit(std::move(socket));
                            self->Accept();
                          });
  }

  // Out of file descriptors, for example.
  void AcceptLater() {
    accept_timer.expires_after(kAcceptRetry);
    accept_timer.async_wait([self = shared_from_this()](const ErrorCode& e) {
      if (!e && !self->shared->closed) {
        self->Accept();
      }
    });
  }

  void Admit(Tcp::socket socket) {
    auto peer = std::make_shared<IncomingPeer>(shared, std::move(socket));
    {
      const std::lock_guard lock(mutex);
      if (shared->closed || incoming.size() >= kMaxIncoming) {
        return;
      }
      incoming.insert(peer);
    }
    // Weak, because the link holds the connection.
    const std::weak_ptr<Impl> link = weak_from_this();
    const std::weak_ptr<IncomingPeer> weak = peer;
    peer->Start(
        [link, weak](const MemberId& id) {
          if (const auto self = link.lock()) {
            self->ReplaceIncoming(id, weak);
          }
        },
        [link, weak] {
          if (const auto self = link.lock()) {
            const std::lock_guard lock(self->mutex);
            self->incoming.erase(weak.lock());
          }
        });
  }

  // Of two connections from one member the later is the valid one.
  void ReplaceIncoming(const MemberId& id,
                       const std::weak_ptr<IncomingPeer>& peer) {
    const std::lock_guard lock(mutex);
    std::weak_ptr<IncomingPeer>& present = incoming_of[id];
    if (const auto earlier = present.lock()) {
      earlier->Close();
    }
    present = peer;
    for (auto it = incoming_of.begin(); it != incoming_of.end();) {
      it = it->second.expired() ? incoming_of.erase(it) : std::next(it);
    }
  }

  // From a Hello: whoever was known at the address before is gone.
  void Learn(const MemberId& member, const std::string& address) {
    const std::lock_guard lock(mutex);
    for (auto it = addresses.begin(); it != addresses.end();) {
      const bool gone = it->second == address && it->first != member;
      it = gone ? addresses.erase(it) : std::next(it);
    }
    addresses[member] = address;
  }

  void Forget(const MemberId& member) {
    const std::lock_guard lock(mutex);
    const auto found = addresses.find(member);
    if (found == addresses.end()) {
      return;
    }
    const std::string address = found->second;
    addresses.erase(found);
    const bool used =
        std::any_of(addresses.begin(), addresses.end(),
                    [&](const auto& entry) { return entry.second == address; });
    const auto peer = outgoing.find(address);
    if (!used && peer != outgoing.end()) {
      peer->second->Close();
      outgoing.erase(peer);
    }
  }

  std::string AddressFor(const MemberId& member) {
    const std::lock_guard lock(mutex);
    const auto found = addresses.find(member);
    return found == addresses.end() ? "" : found->second;
  }

  const std::shared_ptr<PeerShared> shared;
  asio::strand<asio::io_context::executor_type> strand;
  Tcp::acceptor acceptor;
  asio::steady_timer accept_timer;

  std::mutex mutex;
  util::Random random;
  std::map<MemberId, std::string> addresses;
  std::map<std::string, std::shared_ptr<OutgoingPeer>> outgoing;
  std::set<std::shared_ptr<IncomingPeer>> incoming;
  std::map<MemberId, std::weak_ptr<IncomingPeer>> incoming_of;
  bool started = false;
};

PeerLink::PeerLink(asio::io_context& io,
                   const util::Clock& clock,
                   EventLog& log,
                   Metrics& metrics,
                   const Options& options,
                   Post post,
                   OnMessage on_message)
    : impl_(std::make_shared<Impl>(io,
                                   clock,
                                   log,
                                   metrics,
                                   options,
                                   std::move(post),
                                   std::move(on_message))) {
  const std::weak_ptr<Impl> weak = impl_;
  impl_->shared->learn = [weak](const MemberId& member,
                                const std::string& address) {
    if (const auto impl = weak.lock()) {
      impl->Learn(member, address);
    }
  };
}

PeerLink::~PeerLink() {
  Close();
}

std::string PeerLink::Listen(const std::string& address) {
  const std::optional<Tcp::endpoint> endpoint = EndpointOf(address);
  if (!endpoint) {
    throw Error(ErrorKind::kBadSettings,
                "peer_address: '" + address + "' is not IP:port");
  }
  ErrorCode error;
  impl_->acceptor.open(endpoint->protocol(), error);
  if (!error) {
    impl_->acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    impl_->acceptor.bind(*endpoint, error);
  }
  if (!error) {
    impl_->acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw Error(ErrorKind::kBadSettings, "peer_address: cannot listen on '" +
                                             address + "': " + error.message());
  }
  return AddressOf(impl_->acceptor.local_endpoint());
}

void PeerLink::Start(const MemberInfo& self) {
  {
    const std::lock_guard lock(impl_->shared->mutex);
    impl_->shared->self = self;
  }
  if (!std::exchange(impl_->started, true) && impl_->acceptor.is_open()) {
    asio::post(impl_->strand, [impl = impl_] { impl->Accept(); });
  }
}

void PeerLink::SetOnDown(OnDown on_down) {
  impl_->shared->on_down = std::move(on_down);
}

void PeerLink::Close() {
  if (impl_->shared->closed.exchange(true)) {
    return;
  }
  asio::post(impl_->strand, [impl = impl_] {
    ErrorCode ignored;
    impl->acceptor.close(ignored);
    impl->accept_timer.cancel();
  });
  const std::lock_guard lock(impl_->mutex);
  for (const auto& peer : impl_->incoming) {
    peer->Close();
  }
  for (const auto& [address, peer] : impl_->outgoing) {
    peer->Close();
  }
}

bool PeerLink::Send(const MemberId& to, const Message& message) {
  const std::string address = impl_->AddressFor(to);
  return !address.empty() && impl_->SendTo(address, to, message);
}

void PeerLink::SetAddress(const MemberId& member, const std::string& address) {
  if (address.empty()) {
    impl_->Forget(member);
    return;
  }
  const std::lock_guard lock(impl_->mutex);
  impl_->addresses[member] = address;
}

void PeerLink::SendToAddress(const std::string& address,
                             const Message& message) {
  impl_->SendTo(address, MemberId(), message);
}

PeerLink::Counts PeerLink::counts() const {
  const PeerShared& shared = *impl_->shared;
  Counts counts;
  counts.received = shared.received;
  counts.unknown_types = shared.unknown_types;
  counts.rejected = shared.rejected;
  counts.connects = shared.connects;
  counts.misaddressed = shared.misaddressed;
  const std::lock_guard lock(impl_->mutex);
  for (const auto& [address, peer] : impl_->outgoing) {
    counts.expired += peer->expired();
  }
  return counts;
}

}  // namespace chivedale
