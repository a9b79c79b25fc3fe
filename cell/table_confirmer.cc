#include "cell/table_confirmer.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {
namespace {

// A member's confirmation is at most the leader's interval, its own and the
// time of a read and of a call old, well below half of a bound of 5 s.
constexpr Millis kLeaderReadInterval{900};
constexpr Millis kAskInterval{900};
// Delay after a member's own read, spread by half, as many members read at the
// same time while no leader confirms.
constexpr Millis kMemberReadInterval{600};
constexpr Millis kReadTimeout{1'500};

}  // namespace

TableConfirmer::TableConfirmer(const Clock& clock,
                               util::Random& random,
                               TableFreshness& freshness,
                               Callbacks callbacks)
    : clock_(clock),
      random_(random),
      call_numbers_(random),
      freshness_(freshness),
      callbacks_(std::move(callbacks)) {}

void TableConfirmer::Tick(bool leading) {
  if (!freshness_.enforced() || freshness_.version() == 0) {
    return;
  }
  freshness_.Report();
  const TimePoint now = clock_.Now();
  const auto age = freshness_.Age();
  const bool late = !age || *age > freshness_.MaxNormalAge();
  if (!leading && now >= next_ask_) {
    next_ask_ = now + kAskInterval;
    Ask();
  }
  // A member that is behind leaves the newer table to its watch: another copy
  // of a large table would delay it at all members.
  const bool needed = leading || (late && !freshness_.IsBehind());
  if (needed && !read_in_flight_ && now >= next_read_) {
    next_read_ =
        now + (leading
                   ? kLeaderReadInterval
                   : std::chrono::duration_cast<Millis>(
                         kMemberReadInterval * (0.5 + random_.UniformReal())));
    Read();
  }
}

void TableConfirmer::Read() {
  read_in_flight_ = true;
  callbacks_.read_table(kReadTimeout,
                        [this, alive = std::weak_ptr<bool>(alive_),
                         sent = clock_.SinceBoot()](int64_t version) {
                          if (!alive.lock()) {
                            return;
                          }
                          read_in_flight_ = false;
                          if (version > 0) {
                            freshness_.OnShown(version, sent);
                          }
                        });
}

void TableConfirmer::Ask() {
  const Duration now = clock_.SinceBoot();
  const uint64_t call = call_numbers_.Next();
  if (callbacks_.ask_leader(call)) {
    last_call_ = call;
    asked_at_ = now;
  }
}

// The leader's confirmation is `age` old when it answers, so at least that old
// when the question was sent. The time that the answer took does not matter.
void TableConfirmer::OnConfirmation(const TableConfirmation& message) {
  if (message.call != last_call_ || message.version <= 0 ||
      message.age < Millis(0)) {
    return;
  }
  freshness_.OnShown(message.version, asked_at_ - message.age);
}

TableConfirmation TableConfirmer::Answer(const TableCall& call) const {
  TableConfirmation answer;
  answer.call = call.call;
  if (const auto age = freshness_.Age()) {
    answer.version = freshness_.version();
    answer.age = std::chrono::ceil<Millis>(std::max(*age, Duration(0)));
  }
  return answer;
}

}  // namespace chivedale::cell
