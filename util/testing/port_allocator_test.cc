// Guards against tests that fail because a daemon cannot listen: its port was
// free when the test chose it and taken before the daemon started.
#include "util/testing/port_allocator.h"

#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>

namespace chivedale::util {

constexpr int kPorts = 50;

struct Ports {
  boost::asio::io_context io;
  PortAllocator allocator{io};
};

BOOST_FIXTURE_TEST_SUITE(PortsForDaemons, Ports)

// The system gives ephemeral ports to any socket that names no port.
BOOST_AUTO_TEST_CASE(AreNotEphemeral) {
  std::ifstream range("/proc/sys/net/ipv4/ip_local_port_range");
  int first = 0;
  int last = 0;
  BOOST_REQUIRE((range >> first >> last));
  for (int i = 0; i < kPorts; ++i) {
    const int port = allocator.Next();
    BOOST_TEST((port < first || port > last), port);
  }
}

BOOST_AUTO_TEST_CASE(AreNotGivenToAnotherTest) {
  PortAllocator other(io);
  std::set<int> seen;
  for (int i = 0; i < kPorts; ++i) {
    seen.insert(allocator.Next());
    seen.insert(other.Next());
  }
  BOOST_TEST(seen.size() == size_t{2} * kPorts);
}

BOOST_AUTO_TEST_CASE(AreGivenAgainAfterTheTestThatHadThem) {
  for (int i = 0; i < 1'000; ++i) {
    BOOST_TEST(PortAllocator(io).Next() > 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::util
