// Prints the cost of one role of a daemon at one size as a JSON line, or
// summarises such lines in a table. scripts/capacity.sh runs all roles and
// sizes.
//
//   capacity_bench ROLE SIZE [SECONDS [SEED]]
//   capacity_bench fit <LINES
#include <cstdlib>
#include <exception>
#include <iostream>
#include <string>
#include <vector>

#include "chivedale/tools/capacity_bench.h"

namespace {

int Usage() {
  std::cerr << "usage: capacity_bench ROLE SIZE [SECONDS [SEED]]\n"
            << "       capacity_bench fit <LINES\nroles:";
  for (const auto& role : chivedale::testing::CapacityRoles()) {
    std::cerr << ' ' << role.name;
  }
  std::cerr << '\n';
  return 2;
}

int Fit() {
  std::vector<std::string> lines;
  for (std::string line; std::getline(std::cin, line);) {
    lines.push_back(line);
  }
  std::cout << chivedale::testing::SummaryOfLines(lines);
  return 0;
}

int Run(const std::vector<std::string>& arguments) {
  if (arguments.size() == 1 && arguments[0] == "fit") {
    return Fit();
  }
  if (arguments.size() < 2) {
    return Usage();
  }
  chivedale::testing::CapacitySize size;
  size.value = std::stod(arguments[1]);
  if (arguments.size() > 2) {
    size.seconds = std::stol(arguments[2]);
  }
  if (arguments.size() > 3) {
    size.seed = std::stoull(arguments[3]);
  }
  for (const auto& role : chivedale::testing::CapacityRoles()) {
    if (role.name == arguments[0]) {
      std::cout << ToJsonLine(role.measure(size)) << '\n';
      return 0;
    }
  }
  return Usage();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Run(std::vector<std::string>(argv + 1, argv + argc));
  } catch (const std::exception& error) {
    std::cerr << "capacity_bench: " << error.what() << '\n';
    return 1;
  }
}
