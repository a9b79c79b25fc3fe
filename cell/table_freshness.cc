#include "cell/table_freshness.h"

#include <algorithm>
#include <string>

namespace chivedale::cell {
namespace {

// Share of the bound for which a confirmation holds. The rest covers clocks of
// VMs and of the store, whose rates differ by up to 2%.
constexpr double kUsableShare = 0.95;

std::string MillisText(Duration time) {
  return std::to_string(std::chrono::duration_cast<Millis>(time).count());
}

}  // namespace

TableFreshness::TableFreshness(const Clock& clock, EventLog& log, Millis bound)
    : clock_(clock), log_(log), bound_(bound) {}

void TableFreshness::OnApplied(int64_t version) {
  version_ = std::max(version_, version);
  newest_shown_ = std::max(newest_shown_, version);
}

// An older version than the one in force also confirms: the one in force was
// newer than that, or became so later.
void TableFreshness::OnShown(int64_t version, Duration as_of) {
  newest_shown_ = std::max(newest_shown_, version);
  if (version <= 0 || version > version_ || as_of < invalid_at_) {
    return;
  }
  confirmed_as_of_ = std::max(confirmed_as_of_.value_or(as_of), as_of);
}

// Another member may not have read the invalid table yet. Only what is true
// after now shows that a valid one has replaced it.
void TableFreshness::OnInvalid() {
  invalid_at_ = clock_.SinceBoot();
  confirmed_as_of_.reset();
}

void TableFreshness::Report() {
  const bool lost = !IsConfirmed();
  if (lost == reported_lost_ || version_ == 0) {
    return;
  }
  reported_lost_ = lost;
  const Duration now = clock_.SinceBoot();
  if (lost) {
    lost_at_ = now;
    const auto age = Age();
    log_.Write(Event::kTableUnconfirmed,
               {{"version", std::to_string(version_)},
                {"age_ms", age ? MillisText(*age) : "unknown"}});
  } else {
    log_.Write(Event::kTableConfirmed,
               {{"version", std::to_string(version_)},
                {"after_ms", MillisText(now - lost_at_)}});
  }
}

bool TableFreshness::IsConfirmed() const {
  if (!enforced()) {
    return true;
  }
  const auto age = Age();
  return age &&
         *age <= std::chrono::duration_cast<Duration>(bound_ * kUsableShare);
}

std::optional<Duration> TableFreshness::Age() const {
  if (!confirmed_as_of_) {
    return std::nullopt;
  }
  return clock_.SinceBoot() - *confirmed_as_of_;
}

}  // namespace chivedale::cell
