// Arrivals are a Poisson process whose rate varies; it is drawn by thinning: at
// the highest rate, keeping each arrival with the probability rate/highest.
#include "chivedale/load_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <nlohmann/json.hpp>
#include <utility>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;

[[noreturn]] void Reject(const std::string& key, const std::string& why) {
  throw Error(ErrorKind::kBadRequest, "load profile: '" + key + "' " + why);
}

// A key of the profile and the member that it sets.
template <typename T>
struct LoadField {
  const char* name;
  std::function<void(T&, const Json&)> set;
};

template <typename T, typename V>
LoadField<T> Number(const char* name, V T::*member) {
  return {name, [name, member](T& target, const Json& value) {
            if (!value.is_number() || value.get<double>() < 0) {
              Reject(name, "must be a number of at least 0");
            }
            if constexpr (std::is_same_v<V, Millis>) {
              target.*member = Millis(value.get<int64_t>());
            } else {
              target.*member = value.get<V>();
            }
          }};
}

template <typename T>
void SetFields(T& target,
               const Json& json,
               const std::vector<LoadField<T>>& fields,
               const std::string& other_key) {
  if (!json.is_object()) {
    Reject(other_key, "must hold objects");
  }
  for (const auto& [key, value] : json.items()) {
    auto field = std::find_if(fields.begin(), fields.end(),
                              [&key = key](const LoadField<T>& candidate) {
                                return key == candidate.name;
                              });
    if (field != fields.end()) {
      field->set(target, value);
    } else if (key != other_key) {
      Reject(key, "is not a known key");
    }
  }
}

LoadKind ParseKind(const Json& json) {
  static const std::vector<LoadField<LoadKind>> columns = {
      Number("share", &LoadKind::share),
      Number("run_mean_ms", &LoadKind::run_mean),
      Number("straggler_share", &LoadKind::straggler_share),
      Number("straggler_factor", &LoadKind::straggler_factor),
      Number("payload_bytes", &LoadKind::payload_bytes),
      Number("answer_bytes", &LoadKind::answer_bytes),
      Number("deadline_ms", &LoadKind::deadline),
      Number("cancel_share", &LoadKind::cancel_share),
      Number("repeat_share", &LoadKind::repeat_share)};
  LoadKind kind;
  SetFields(kind, json, columns, "kind");
  if (!json.contains("kind") || !json["kind"].is_string()) {
    Reject("kind", "must be the name of a row");
  }
  kind.kind = json["kind"].get<std::string>();
  return kind;
}

}  // namespace

LoadProfile ParseLoadProfile(const std::string& text) {
  static const std::vector<LoadField<LoadProfile>> columns = {
      Number("rate_per_s", &LoadProfile::rate_per_s),
      Number("duration_ms", &LoadProfile::duration),
      Number("crest_factor", &LoadProfile::crest_factor),
      Number("crest_at_ms", &LoadProfile::crest_at),
      Number("crest_rise_ms", &LoadProfile::crest_rise),
      Number("crest_length_ms", &LoadProfile::crest_length),
      Number("cancel_at_ms", &LoadProfile::cancel_at)};
  Json json;
  try {
    json = Json::parse(text);
  } catch (const Json::exception& error) {
    Reject("", std::string("is not JSON: ") + error.what());
  }
  LoadProfile profile;
  SetFields(profile, json, columns, "kinds");
  if (!json.contains("kinds") || !json["kinds"].is_array() ||
      json["kinds"].empty()) {
    Reject("kinds", "must be a list with at least one kind of work");
  }
  for (const Json& kind : json["kinds"]) {
    profile.kinds.push_back(ParseKind(kind));
  }
  return profile;
}

LoadPlan::LoadPlan(LoadProfile profile, uint64_t seed)
    : profile_(std::move(profile)), random_(seed), prefix_(random_.Hex(8)) {
  for (const LoadKind& kind : profile_.kinds) {
    total_share_ += kind.share;
  }
}

double LoadPlan::RateAt(util::Duration at) const {
  if (profile_.crest_factor <= 1 || profile_.crest_length.count() == 0 ||
      at < profile_.crest_at) {
    return profile_.rate_per_s;
  }
  const util::Duration into = at - profile_.crest_at;
  if (into >= profile_.crest_rise + profile_.crest_length) {
    return profile_.rate_per_s;
  }
  const double risen =
      profile_.crest_rise.count() == 0
          ? 1.0
          : std::min(1.0,
                     std::chrono::duration<double>(into) /
                         std::chrono::duration<double>(profile_.crest_rise));
  return profile_.rate_per_s * (1 + (profile_.crest_factor - 1) * risen);
}

size_t LoadPlan::DrawKind() {
  double point = random_.Unit() * total_share_;
  for (size_t i = 0; i < profile_.kinds.size(); ++i) {
    point -= profile_.kinds[i].share;
    if (point < 0) {
      return i;
    }
  }
  return profile_.kinds.size() - 1;
}

std::optional<LoadArrival> LoadPlan::Next() {
  const double highest =
      profile_.rate_per_s * std::max(1.0, profile_.crest_factor);
  do {
    const double gap_s = -std::log(1 - random_.Unit()) / highest;
    at_ += std::chrono::duration_cast<util::Duration>(
        std::chrono::duration<double>(gap_s));
    if (at_ >= profile_.duration) {
      return std::nullopt;
    }
  } while (random_.Unit() * highest >= RateAt(at_));
  LoadArrival arrival;
  arrival.at = at_;
  arrival.kind = DrawKind();
  const LoadKind& kind = profile_.kinds[arrival.kind];
  arrival.id = prefix_ + "-" + std::to_string(++number_);
  arrival.straggler = random_.Unit() < kind.straggler_share;
  const double mean_ms = static_cast<double>(kind.run_mean.count());
  const double run_ms = arrival.straggler
                            ? mean_ms * kind.straggler_factor
                            : -std::log(1 - random_.Unit()) * mean_ms;
  arrival.run = Millis(static_cast<int64_t>(run_ms));
  arrival.cancel = random_.Unit() < kind.cancel_share;
  arrival.repeat = random_.Unit() < kind.repeat_share;
  Json payload = {{"run_ms", arrival.run.count()},
                  {"answer_bytes", kind.answer_bytes}};
  payload["text"] = std::string(static_cast<size_t>(kind.payload_bytes), 'x');
  arrival.payload = payload.dump();
  return arrival;
}

}  // namespace chivedale
