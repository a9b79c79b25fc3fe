// Finds free ports on loopback for daemons under test.
//
//   PortAllocator ports(io);
//   std::string address = Loopback(ports.Next());
#ifndef UTIL_TESTING_PORT_ALLOCATOR_H_
#define UTIL_TESTING_PORT_ALLOCATOR_H_

#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <stdexcept>
#include <string>

namespace chivedale::util {

// Reserves a block of ports for as long as it lives, so that no other allocator
// on the machine returns them. The ports are below the range of ephemeral
// ports: an outgoing connection, or a server on a port chosen by the system,
// could otherwise take the port of a daemon that is not running.
class PortAllocator {
 public:
  // Throws std::runtime_error if all blocks are reserved.
  explicit PortAllocator(boost::asio::io_context& io) : io_(io), reserved_(io) {
    // The first attempt depends on the process id, since a port that was in use
    // a moment ago may have connections in TIME_WAIT.
    const int first = static_cast<int>(getpid()) % kBlocks;
    for (int i = 0; i < kBlocks; ++i) {
      first_port_ = kFirstPort + (first + i) % kBlocks * kPortsPerBlock;
      // Without reuse_address, so that the port can be bound only once.
      if (Bind(reserved_, first_port_, false)) {
        return;
      }
    }
    throw std::runtime_error("no free block of ports on loopback");
  }

  // Throws std::runtime_error if no port of the block is left.
  uint16_t Next() {
    while (++last_ < kPortsPerBlock) {
      boost::asio::ip::tcp::acceptor probe(io_);
      // Connections of an earlier run in TIME_WAIT do not block a daemon's
      // port.
      if (Bind(probe, first_port_ + last_, true)) {
        return static_cast<uint16_t>(first_port_ + last_);
      }
    }
    throw std::runtime_error("no free port in the block");
  }

 private:
  // Below the ports of scripts/cell.sh.
  static constexpr int kFirstPort = 10'000;
  static constexpr int kPortsPerBlock = 200;
  static constexpr int kBlocks = 55;

  // Returns false, and leaves the acceptor closed, if the port is in use.
  static bool Bind(boost::asio::ip::tcp::acceptor& acceptor,
                   int port,
                   bool reuse_address) {
    acceptor.open(boost::asio::ip::tcp::v4());
    acceptor.set_option(boost::asio::socket_base::reuse_address(reuse_address));
    boost::system::error_code error;
    acceptor.bind(
        {boost::asio::ip::address_v4::loopback(), static_cast<uint16_t>(port)},
        error);
    if (error) {
      acceptor.close();
    }
    return !error;
  }

  boost::asio::io_context& io_;
  // Bound to the first port of the block.
  boost::asio::ip::tcp::acceptor reserved_;
  int first_port_ = 0;
  int last_ = 0;  // offset of the last port returned
};

inline std::string Loopback(uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

}  // namespace chivedale::util

#endif  // UTIL_TESTING_PORT_ALLOCATOR_H_
