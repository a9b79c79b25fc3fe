#include "chivedale/tools/capacity_bench.h"

#include <malloc.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

#include "chivedale/error.h"
#include "chivedale/peer_codec.h"

namespace chivedale::testing {
namespace {

// The samples of one figure of one role, by size.
using Samples = std::map<double, std::vector<double>>;

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Line {
  double base = 0;
  double slope = 0;
  double residual = 0;  // largest distance of a median from the line
};

Line FitLine(const Samples& samples) {
  double n = 0;
  double sx = 0;
  double sy = 0;
  double sxx = 0;
  double sxy = 0;
  for (const auto& [x, values] : samples) {
    const double y = Median(values);
    n += 1;
    sx += x;
    sy += y;
    sxx += x * x;
    sxy += x * y;
  }
  Line line;
  const double spread = n * sxx - sx * sx;
  line.slope = spread > 0 ? (n * sxy - sx * sy) / spread : 0;
  line.base = (sy - line.slope * sx) / n;
  for (const auto& [x, values] : samples) {
    const double off = Median(values) - line.base - line.slope * x;
    line.residual = std::max(line.residual, std::abs(off));
  }
  return line;
}

}  // namespace

std::string ToJsonLine(const CapacityPoint& point) {
  nlohmann::json json;
  json["role"] = point.role;
  json["unit"] = point.unit;
  json["size"] = point.size;
  json["values"] = point.values;
  return json.dump();
}

std::string SummaryOfLines(const std::vector<std::string>& lines) {
  std::map<std::string, std::map<std::string, Samples>> roles;
  try {
    for (const std::string& line : lines) {
      const auto json = nlohmann::json::parse(line);
      const std::string role = json.at("role").get<std::string>() + " by " +
                               json.at("unit").get<std::string>();
      for (const auto& [name, value] : json.at("values").items()) {
        roles[role][name][json.at("size").get<double>()].push_back(
            value.get<double>());
      }
    }
  } catch (const nlohmann::json::exception& error) {
    throw Error(ErrorKind::kBadRequest, error.what());
  }
  std::ostringstream out;
  out << std::setprecision(4);
  for (const auto& [role, figures] : roles) {
    out << role << '\n';
    for (const auto& [name, samples] : figures) {
      const Line line = FitLine(samples);
      out << "  " << name << ": " << line.base << " + " << line.slope
          << " per unit, residual " << line.residual << '\n';
      for (const auto& [size, values] : samples) {
        const auto [least, most] =
            std::minmax_element(values.begin(), values.end());
        out << "    " << size << ": " << Median(values) << " [" << *least
            << ", " << *most << "]\n";
      }
    }
  }
  return out.str();
}

const std::vector<CapacityRole>& CapacityRoles() {
  static const std::vector<CapacityRole> roles = {
      {"owner_idle", MeasureOwnerIdle},
      {"vm_list", MeasureVmList},
      {"owner_tasks", MeasureOwnerTasks},
      {"owner_starts", MeasureOwnerStarts},
      {"entry_rate", MeasureEntryRate},
      {"entry_open", MeasureEntryOpen},
      {"directory_rate", MeasureDirectoryRate},
      {"directory_ids", MeasureDirectoryIds},
      {"record_rate", MeasureRecordRate},
      {"members", MeasureMembers},
      {"demand", MeasureDemand},
      {"table_whole", MeasureTableWhole},
      {"table_delta", MeasureTableDelta},
      {"summaries", MeasureSummaries},
      {"job_rate", MeasureJobRate},
      {"services", MeasureServices},
  };
  return roles;
}

double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) / 1e9;
}

double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

double ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  double total = 0;
  double resident = 0;
  statm >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

void TrafficMeter::Add(const Message& message) {
  Add([&message] { return EncodeMessage(message); });
}

void TrafficMeter::Add(const std::function<std::string()>& encode) {
  const double start = ThreadSeconds();
  messages_ += 1;
  bytes_ += static_cast<double>(encode().size());
  codec_seconds_ += ThreadSeconds() - start;
}

std::vector<MemberInfo> BenchMembers(int count, int regions, int centres) {
  std::vector<MemberInfo> members;
  for (int i = 0; i < count; ++i) {
    const int centre = i % centres;
    MemberInfo member;
    member.id = MemberId("entry-" + std::to_string(i) + "/0123456789abcdef");
    member.address = "10.0.0." + std::to_string(i) + ":7000";
    member.data_centre = DataCentreId("centre-" + std::to_string(centre));
    member.region = RegionId("region-" + std::to_string(centre % regions));
    member.state = MemberState::kLive;
    member.incarnation = 1;
    members.push_back(member);
  }
  return members;
}

Table BenchTable(int rows, int teams) {
  Table table;
  table.revision = 1;
  table.change_id = "change-1";
  table.author = "operator";
  for (int i = 0; i < teams; ++i) {
    Team team;
    team.name = "team-" + std::to_string(i);
    team.quota = {640'000'000, 1'280'000'000, 64'000, 400'000};
    table.teams[team.name] = team;
  }
  for (int i = 0; i < rows; ++i) {
    WorkRow row;
    row.kind = "kind-" + std::to_string(i);
    row.team = "team-" + std::to_string(i % teams);
    row.limits.max_queued = 100'000;
    row.longest_run = Millis(3'600'000);
    table.rows[row.kind] = row;
  }
  return table;
}

}  // namespace chivedale::testing
