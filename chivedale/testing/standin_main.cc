// Runs the stand-ins of the platform, i.e. store, VM list and workers, as one
// program. Prints one ready line with all addresses; SIGTERM or SIGINT ends it.
#include <getopt.h>
#include <pthread.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

#include "chivedale/http_types.h"
#include "chivedale/testing/standin_control.h"

namespace chivedale::testing {
namespace {

constexpr char kUsage[] =
    R"(usage: standin [options]
  --store IP:PORT         run the store (port 0: any)
  --vm-list IP:PORT       run the VM list
  --control IP:PORT       run the control interface
  --workers N             workers of 32, 48 and 64 cores and 128 GB in turn
  --gpu-workers N         workers of 64 cores, 512 GB and 8 accelerators
  --base-port PORT        one port per worker from PORT; default one for all
  --data-centres LIST     REGION:DATA_CENTRE,... ; workers take turns
  --entries LIST          ID=IP:PORT@REGION:DATA_CENTRE,... for the VM list
  --list-lag MS           how long the VM list lags
  --no-fencing            workers take starts with any token
  --seed N                of random choices
  --book FILE             write the book of runs there at the end
)";

struct Place {
  std::string region = "r1";
  std::string data_centre = "dc1";
};

struct Settings {
  std::optional<HttpAddress> store;
  std::optional<HttpAddress> vm_list;
  std::optional<HttpAddress> control;
  int workers = 0;
  int gpu_workers = 0;
  int base_port = 0;
  std::vector<Place> places = {Place{}};
  std::vector<Vm> entries;
  Millis list_lag{0};
  bool fencing = true;
  uint64_t seed = 1;
  std::string book;
};

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::istringstream in(text);
  for (std::string part; std::getline(in, part, separator);) {
    parts.push_back(part);
  }
  return parts;
}

Place ParsePlace(const std::string& text) {
  const std::vector<std::string> parts = Split(text, ':');
  if (parts.size() != 2) {
    throw std::invalid_argument("expected REGION:DATA_CENTRE, got '" + text +
                                "'");
  }
  return {parts[0], parts[1]};
}

Vm ParseEntry(const std::string& text) {
  const size_t equals = text.find('=');
  const size_t at = text.find('@');
  if (equals == std::string::npos || at == std::string::npos || at < equals) {
    throw std::invalid_argument("expected ID=IP:PORT@REGION:DC, got '" + text +
                                "'");
  }
  const Place place = ParsePlace(text.substr(at + 1));
  Vm vm;
  vm.id = text.substr(0, equals);
  vm.role = VmRole::kEntry;
  vm.address = text.substr(equals + 1, at - equals - 1);
  vm.data_centre = DataCentreId(place.data_centre);
  vm.region = RegionId(place.region);
  return vm;
}

void ApplyOption(Settings& settings, int option, const std::string& value) {
  switch (option) {
    case 's':
      settings.store = ParseHttpAddress(value);
      break;
    case 'v':
      settings.vm_list = ParseHttpAddress(value);
      break;
    case 'c':
      settings.control = ParseHttpAddress(value);
      break;
    case 'w':
      settings.workers = std::stoi(value);
      break;
    case 'g':
      settings.gpu_workers = std::stoi(value);
      break;
    case 'p':
      settings.base_port = std::stoi(value);
      break;
    case 'd':
      settings.places.clear();
      for (const std::string& part : Split(value, ',')) {
        settings.places.push_back(ParsePlace(part));
      }
      break;
    case 'e':
      for (const std::string& part : Split(value, ',')) {
        settings.entries.push_back(ParseEntry(part));
      }
      break;
    case 'l':
      settings.list_lag = Millis(std::stoi(value));
      break;
    case 'n':
      settings.fencing = false;
      break;
    case 'r':
      settings.seed = std::stoull(value);
      break;
    case 'b':
      settings.book = value;
      break;
    default:
      throw std::invalid_argument("unknown option");
  }
}

Settings ParseSettings(int argc, char** argv) {
  static const option options[] = {
      {"store", required_argument, nullptr, 's'},
      {"vm-list", required_argument, nullptr, 'v'},
      {"control", required_argument, nullptr, 'c'},
      {"workers", required_argument, nullptr, 'w'},
      {"gpu-workers", required_argument, nullptr, 'g'},
      {"base-port", required_argument, nullptr, 'p'},
      {"data-centres", required_argument, nullptr, 'd'},
      {"entries", required_argument, nullptr, 'e'},
      {"list-lag", required_argument, nullptr, 'l'},
      {"no-fencing", no_argument, nullptr, 'n'},
      {"seed", required_argument, nullptr, 'r'},
      {"book", required_argument, nullptr, 'b'},
      {nullptr, 0, nullptr, 0}};
  Settings settings;
  for (int c = 0; (c = getopt_long(argc, argv, "", options, nullptr)) != -1;) {
    ApplyOption(settings, c, optarg == nullptr ? "" : optarg);
  }
  if (optind != argc || settings.places.empty()) {
    throw std::invalid_argument("unexpected argument");
  }
  return settings;
}

Resources CapacityOf(int index, bool gpu) {
  if (gpu) {
    return {64'000, 524'288, 8, 8};
  }
  static constexpr int64_t kCores[] = {32'000, 48'000, 64'000};
  return {kCores[index % 3], 131'072, 0, 8};
}

// Adds the workers and lists them, alternating between the data centres, with
// 20 per rack.
void AddWorkers(const Settings& settings,
                WorkerStandin& workers,
                std::vector<Vm>& vms) {
  constexpr size_t kRackSize = 20;
  const int total = settings.workers + settings.gpu_workers;
  for (int i = 0; i < total; ++i) {
    const bool gpu = i >= settings.workers;
    const auto index = static_cast<size_t>(gpu ? i - settings.workers : i);
    WorkerOptions options;
    options.id = WorkerId((gpu ? "g-" : "w-") + std::to_string(index));
    options.capacity = CapacityOf(static_cast<int>(index), gpu);
    options.fencing = settings.fencing;
    workers.Add(options);
    const size_t places = settings.places.size();
    const Place& place = settings.places[index % places];
    Vm vm;
    vm.id = options.id.str();
    vm.address = workers.AddressOf(options.id);
    vm.data_centre = DataCentreId(place.data_centre);
    vm.region = RegionId(place.region);
    vm.rack = place.data_centre + (gpu ? "/g" : "/r") +
              std::to_string(index / places / kRackSize);
    vms.push_back(vm);
  }
}

int Run(const Settings& settings, const sigset_t& signals) {
  std::optional<StoreStandin> store;
  std::optional<VmListStandin> vm_list;
  std::optional<WorkerStandin> workers;
  std::optional<StandinControl> control;
  std::string ready = "ready";
  if (settings.store) {
    store.emplace(
        StoreStandin::Options{settings.store->ip, settings.store->port});
    ready += " store=" + store->address();
  }
  std::vector<Vm> vms = settings.entries;
  if (settings.workers + settings.gpu_workers > 0) {
    WorkerStandin::Options options;
    options.port = static_cast<uint16_t>(settings.base_port);
    options.own_ports = settings.base_port != 0;
    options.seed = settings.seed;
    workers.emplace(options);
    AddWorkers(settings, *workers, vms);
    ready += " workers=" + std::to_string(workers->Workers().size());
  }
  if (settings.vm_list) {
    vm_list.emplace(VmListStandin::Options{settings.vm_list->ip,
                                           settings.vm_list->port, Millis(0)});
    vm_list->Set(vms);
    vm_list->SetLag(settings.list_lag);
    ready += " vm_list=" + vm_list->address();
  }
  if (settings.control) {
    control.emplace(settings.control->ip, settings.control->port,
                    StandinControl::Targets{store ? &*store : nullptr,
                                            vm_list ? &*vm_list : nullptr,
                                            workers ? &*workers : nullptr});
    ready += " control=" + control->address();
  }
  std::cout << ready << std::endl;
  int signal = 0;
  sigwait(&signals, &signal);
  if (workers && !settings.book.empty()) {
    std::ofstream(settings.book) << TaskRunsJson(*workers) << "\n";
  }
  return 0;
}

}  // namespace
}  // namespace chivedale::testing

int main(int argc, char** argv) {
  // Blocked before any thread starts, so that only sigwait receives them.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  try {
    return chivedale::testing::Run(
        chivedale::testing::ParseSettings(argc, argv), signals);
  } catch (const std::exception& error) {
    std::cerr << "standin: " << error.what() << "\n"
              << chivedale::testing::kUsage;
    return 2;
  }
}
