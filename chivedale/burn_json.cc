#include "chivedale/burn_json.h"

#include <nlohmann/json.hpp>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::ordered_json;

Json ToJson(const Objective& objective) {
  return {{"wait_ms", objective.wait.count()}, {"share", objective.share}};
}

Objective ObjectiveFrom(const Json& json) {
  return {Millis(json.at("wait_ms").get<int64_t>()),
          json.at("share").get<double>()};
}

Json ToJson(const BurnWindow& window) {
  Json causes = Json::object();
  for (int i = 0; i < kBurnCauseCount; ++i) {
    const std::string name(BurnCauseName(static_cast<BurnCause>(i)));
    causes[name] = window.causes[static_cast<size_t>(i)];
  }
  return {{"total", window.total},
          {"bad", window.bad},
          {"causes", std::move(causes)}};
}

BurnWindow WindowFrom(const Json& json) {
  BurnWindow window;
  window.total = json.at("total").get<int64_t>();
  window.bad = json.at("bad").get<int64_t>();
  for (int i = 0; i < kBurnCauseCount; ++i) {
    const std::string name(BurnCauseName(static_cast<BurnCause>(i)));
    window.causes[static_cast<size_t>(i)] =
        json.at("causes").value(name, int64_t{0});
  }
  return window;
}

template <typename Windows>
Json WindowsToJson(const Windows& windows) {
  Json array = Json::array();
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    Json window = ToJson(windows[i]);
    window["window_ms"] = kBurnWindows[i].count();
    array.push_back(std::move(window));
  }
  return array;
}

BurnRowSnapshot RowFrom(const Json& json) {
  BurnRowSnapshot row;
  row.objective = ObjectiveFrom(json.at("objective"));
  const Json& windows = json.at("windows");
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    row.windows[i] = WindowFrom(windows.at(i));
  }
  row.wait_buckets = json.at("wait_buckets").get<std::vector<int64_t>>();
  if (row.wait_buckets.size() != kBurnWaitBuckets) {
    throw Error(ErrorKind::kBadRequest,
                "burn snapshot: " + std::to_string(row.wait_buckets.size()) +
                    " wait buckets, not " + std::to_string(kBurnWaitBuckets));
  }
  return row;
}

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

std::string BurnSnapshotToJson(const BurnSnapshot& snapshot) {
  Json rows = Json::object();
  for (const auto& [kind, row] : snapshot.rows) {
    rows[kind] = {{"objective", ToJson(row.objective)},
                  {"windows", WindowsToJson(row.windows)},
                  {"wait_buckets", row.wait_buckets}};
  }
  return Dump({{"member", snapshot.member},
               {"covers_ms", snapshot.covers.count()},
               {"rows", std::move(rows)}});
}

BurnSnapshot ParseBurnSnapshot(const std::string& text) {
  try {
    const Json json = Json::parse(text);
    BurnSnapshot snapshot;
    snapshot.member = json.at("member").get<std::string>();
    snapshot.covers = Millis(json.at("covers_ms").get<int64_t>());
    for (const auto& [kind, row] : json.at("rows").items()) {
      snapshot.rows.emplace(kind, RowFrom(row));
    }
    return snapshot;
  } catch (const Json::exception& error) {
    throw Error(ErrorKind::kBadRequest,
                std::string("burn snapshot: ") + error.what());
  }
}

std::string BurnReportToJson(const BurnReport& report) {
  Json rows = Json::array();
  for (const BurnRow& row : report.rows) {
    rows.push_back({{"kind", row.kind},
                    {"objective", ToJson(row.objective)},
                    {"burn_rate", row.burn_rate},
                    {"windows", WindowsToJson(row.windows)},
                    {"page", row.page},
                    {"ticket", row.ticket},
                    {"exhausted", row.exhausted},
                    {"time_to_exhaustion_ms", row.time_to_exhaustion.count()},
                    {"wait_p50_ms", row.wait_p50_ms},
                    {"wait_p99_ms", row.wait_p99_ms},
                    {"largest_cause", BurnCauseName(row.largest_cause)}});
  }
  return Dump({{"rows", std::move(rows)}, {"gaps", report.gaps}});
}

}  // namespace chivedale
