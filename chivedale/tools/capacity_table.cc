// Measures TableReplica while it receives changes from a peer, as whole tables
// or as changed rows, and passes them on.
#include <memory>

#include "chivedale/table_codec.h"
#include "chivedale/table_replica.h"
#include "chivedale/testing/fake_callback_queue.h"
#include "chivedale/testing/fake_store.h"
#include "chivedale/tools/capacity_bench.h"

namespace chivedale::testing {
namespace {

constexpr int kTeams = 460;

CapacityPoint MeasureTable(const CapacitySize& rows, bool whole) {
  FakeClock clock;
  FakeCallbackQueue queue(clock, rows.seed);
  FakeStore store(queue);
  const auto members = BenchMembers(7, 2, 3);
  TrafficMeter meter;
  TableReplica replica(
      clock, store, members[0],
      [&meter](const MemberId&, const Message& message) { meter.Add(message); },
      [](const Table&) {});
  Table table = BenchTable(static_cast<int>(rows.value), kTeams);
  replica.ApplyIfNewer(table);
  // Ten changes per second of the measurement.
  const int64_t changes = rows.seconds * 10;
  double make_s = 0;
  double serve_s = 0;
  double apply_s = 0;
  for (int64_t i = 0; i < changes; ++i) {
    const Table before = table;
    table.revision += 1;
    table.change_id = "change-" + std::to_string(table.revision);
    auto row = table.rows.begin();
    std::advance(row, i % static_cast<int64_t>(table.rows.size()));
    row->second.weight += 1;
    TableData data;
    data.revision = table.revision;
    const double made = ThreadSeconds();
    data.base_revision = whole ? 0 : before.revision;
    data.json = whole ? TableToJson(table) : TableDeltaToJson(before, table);
    const double applied = ThreadSeconds();
    replica.OnData(data);
    const double served = ThreadSeconds();
    const double codec = meter.codec_seconds();
    replica.OnPull(members[1].id, TablePull{whole ? 0 : before.revision});
    const double end = ThreadSeconds();
    make_s += applied - made;
    apply_s += served - applied;
    serve_s += end - served - (meter.codec_seconds() - codec);
  }
  const auto count = static_cast<double>(changes);
  CapacityPoint point;
  point.role = whole ? "table_whole" : "table_delta";
  point.unit = "rows, 460 teams";
  point.size = rows.value;
  point.values["make_us_per_change"] = make_s * 1e6 / count;
  point.values["apply_us_per_change"] = apply_s * 1e6 / count;
  point.values["serve_us_per_change"] = serve_s * 1e6 / count;
  point.values["bytes_per_change"] = meter.bytes() / count;
  point.values["in_force"] = replica.table().revision == table.revision ? 1 : 0;
  return point;
}

}  // namespace

CapacityPoint MeasureTableWhole(const CapacitySize& rows) {
  return MeasureTable(rows, true);
}

CapacityPoint MeasureTableDelta(const CapacitySize& rows) {
  return MeasureTable(rows, false);
}

}  // namespace chivedale::testing
