#include "cell/outage_admission.h"

namespace chivedale::cell {
namespace {

// Keeps a submission long enough for its caller, whose timeout is about 3 s, to
// try once more.
class HoldPolicy final : public OutagePolicy {
 public:
  Millis UnsentWait() const override { return Millis(1'000); }
  std::chrono::seconds RetryAfter(int, util::Random&) const override {
    return std::chrono::seconds(1);
  }
};

// Refuses at once: an outage lasts for seconds, and another VM may reach the
// store. Callers return spread over time, so that they do not all arrive in the
// same second after the outage, and those of the most urgent queues first:
// their objectives are about 2 s.
class RefusePolicy final : public OutagePolicy {
 public:
  Millis UnsentWait() const override { return Millis(0); }
  std::chrono::seconds RetryAfter(int priority,
                                  util::Random& random) const override {
    const int shortest = priority <= 0 ? 1 : 2;
    return std::chrono::seconds(shortest +
                                (random.UniformReal() < 0.5 ? 0 : 1));
  }
};

}  // namespace

const OutagePolicy& OutagePolicy::Of(OutageAdmission admission) {
  static const HoldPolicy hold;
  static const RefusePolicy refuse;
  return admission == OutageAdmission::kRefuse
             ? static_cast<const OutagePolicy&>(refuse)
             : hold;
}

}  // namespace chivedale::cell
