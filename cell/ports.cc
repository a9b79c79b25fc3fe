#include "cell/ports.h"

#include <array>

namespace chivedale::cell {
namespace {

constexpr std::array<std::string_view, 11> kOrderResultNames = {
    "ok",       "fenced",    "old_run",    "late",     "no_room", "bad_ticket",
    "rejected", "unhealthy", "other_life", "not_sent", "unknown"};

}  // namespace

std::string_view OrderResultName(OrderResult result) {
  return kOrderResultNames[static_cast<size_t>(result)];
}

}  // namespace chivedale::cell
