// Counts refused calls by reason, for metrics.
//
//   refusals.Count(RefusalReason::kUnknownKey);
#ifndef CELL_CALL_REFUSALS_H_
#define CELL_CALL_REFUSALS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace chivedale::cell {

enum class RefusalReason {
  kNoKey,
  kUnknownKey,
  kOtherAccount,
  kTableUnconfirmed,
  kStoreDown,
  kNotStored,
};
inline constexpr std::array<std::string_view, 6> kRefusalReasonNames = {
    "no_key",     "unknown_key", "other_account", "table_unconfirmed",
    "store_down", "not_stored"};

class CallRefusals {
 public:
  void Count(RefusalReason reason) { ++counts_[static_cast<size_t>(reason)]; }
  // In the order of kRefusalReasonNames.
  const std::array<int64_t, kRefusalReasonNames.size()>& counts() const {
    return counts_;
  }

 private:
  std::array<int64_t, kRefusalReasonNames.size()> counts_{};
};

}  // namespace chivedale::cell

#endif  // CELL_CALL_REFUSALS_H_
