// Command-line tool for operators.
#include <iostream>
#include <random>
#include <string>
#include <vector>

#include "chivedale/ctl_run.h"
#include "chivedale/ctl_transport.h"
#include "util/random.h"

int main(int argc, char** argv) {
  std::random_device device;
  chivedale::util::Random random(uint64_t{device()} << 32 | device());
  chivedale::TcpCtlTransport transport;
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const chivedale::ExitCode code =
      chivedale::RunCtl(arguments, transport, random, std::cout, std::cerr);
  return static_cast<int>(code);
}
