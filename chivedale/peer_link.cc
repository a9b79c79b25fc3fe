// Send() only queues the message. It is encoded and written on the traffic
// threads, so a large payload does not block the control thread. Connections
// are keyed by address, because the member id of a seed is not known yet. Each
// queued message has the id of its receiver and is dropped if another process
// listens at the address.
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

// Several times the maximum number of members. Bounds the connections of
// misconfigured clients.
constexpr size_t kMaxIncomingConnections = 1'024;
constexpr Millis kAcceptRetryDelay{50};

std::optional<Tcp::endpoint> ParseEndpoint(const std::string& address) {
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

std::string FormatAddress(const Tcp::endpoint& endpoint) {
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

  std::shared_ptr<OutgoingPeer> FindOrCreateOutgoing(
      const std::string& address) {
    const std::lock_guard lock(mutex);
    if (shared->closed) {
      return nullptr;
    }
    const auto found = outgoing.find(address);
    if (found != outgoing.end()) {
      return found->second;
    }
    const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(address);
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
    const std::shared_ptr<OutgoingPeer> peer = FindOrCreateOutgoing(address);
    return peer != nullptr &&
           peer->Send(
               {to, message, EstimateFrameBytes(message), shared->clock.Now()});
  }

  // Requires the strand.
  void Accept() {
    acceptor.async_accept(asio::make_strand(shared->io),
                          [self = shared_from_this()](const ErrorCode& error,
                                                      Tcp::socket socket) {
                            if (self->shared->closed) {
                              return;
                            }
                            if (error) {
                              self->RetryAccept();
                              return;
                            }
                            self->AddIncoming(std::move(socket));
                            self->Accept();
                          });
  }

  // After an error, for example for lack of file descriptors.
  void RetryAccept() {
    accept_timer.expires_after(kAcceptRetryDelay);
    accept_timer.async_wait([self = shared_from_this()](const ErrorCode& e) {
      if (!e && !self->shared->closed) {
        self->Accept();
      }
    });
  }

  void AddIncoming(Tcp::socket socket) {
    auto peer = std::make_shared<IncomingPeer>(shared, std::move(socket));
    {
      const std::lock_guard lock(mutex);
      if (shared->closed || incoming.size() >= kMaxIncomingConnections) {
        return;
      }
      incoming.insert(peer);
    }
    // Weak references, because the link owns the connection.
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

  // Closes an earlier connection from the same member.
  void ReplaceIncoming(const MemberId& id,
                       const std::weak_ptr<IncomingPeer>& peer) {
    const std::lock_guard lock(mutex);
    std::weak_ptr<IncomingPeer>& current = incoming_by_member[id];
    if (const auto earlier = current.lock()) {
      earlier->Close();
    }
    current = peer;
    for (auto it = incoming_by_member.begin();
         it != incoming_by_member.end();) {
      it = it->second.expired() ? incoming_by_member.erase(it) : std::next(it);
    }
  }

  // Called for a Hello: any other member recorded at the address is gone.
  void RecordAddress(const MemberId& member, const std::string& address) {
    const std::lock_guard lock(mutex);
    for (auto it = addresses.begin(); it != addresses.end();) {
      const bool gone = it->second == address && it->first != member;
      it = gone ? addresses.erase(it) : std::next(it);
    }
    addresses[member] = address;
  }

  void RemoveMember(const MemberId& member) {
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

  std::string FindAddress(const MemberId& member) {
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
  std::map<MemberId, std::weak_ptr<IncomingPeer>> incoming_by_member;
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
  impl_->shared->on_identified = [weak](const MemberId& member,
                                        const std::string& address) {
    if (const auto impl = weak.lock()) {
      impl->RecordAddress(member, address);
    }
  };
}

PeerLink::~PeerLink() {
  Close();
}

std::string PeerLink::Listen(const std::string& address) {
  const std::optional<Tcp::endpoint> endpoint = ParseEndpoint(address);
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
  return FormatAddress(impl_->acceptor.local_endpoint());
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

void PeerLink::SetDisconnectCallback(DisconnectCallback on_disconnect) {
  impl_->shared->on_disconnect = std::move(on_disconnect);
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
  const std::string address = impl_->FindAddress(to);
  return !address.empty() && impl_->SendTo(address, to, message);
}

void PeerLink::SetAddress(const MemberId& member, const std::string& address) {
  if (address.empty()) {
    impl_->RemoveMember(member);
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
