#include "cell/scheduling_round.h"

#include <iterator>

namespace chivedale::cell {

bool SchedulingRound::Resume(int64_t pass, TimePoint now) {
  if (!finished_) {
    return true;
  }
  if (now < next_) {
    return false;
  }
  finished_ = false;
  first_pass_ = pass;
  spent_ = Duration(0);
  reserved_.clear();
  reserving_steps_.clear();
  return true;
}

void SchedulingRound::OnPassEnd(TimePoint now,
                                Duration spent,
                                bool all_considered) {
  spent_ += spent;
  finished_ = all_considered;
  if (finished_) {
    next_ = now + pause_factor_ * spent_;
  }
}

void SchedulingRound::Release(const Step& step) {
  for (auto it = reserved_.begin(); it != reserved_.end();) {
    it = it->second == &step ? reserved_.erase(it) : std::next(it);
  }
  for (auto& [pool, steps] : reserving_steps_) {
    steps.erase(&step);
  }
}

int SchedulingRound::reserving_steps(const std::string& pool) const {
  const auto found = reserving_steps_.find(pool);
  return found == reserving_steps_.end()
             ? 0
             : static_cast<int>(found->second.size());
}

}  // namespace chivedale::cell
