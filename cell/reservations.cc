#include "cell/reservations.h"

#include <algorithm>

namespace chivedale::cell {
namespace {

// Assumed until a run ends that is overdue or being stopped.
constexpr Millis kSoon{1};

// Resources that are free at `time` if each run takes as long as declared.
Resources FreeAt(const Executor& executor, TimePoint time, TimePoint now) {
  Resources free = executor.entry.capacity;
  for (const auto& [name, run] : executor.runs()) {
    if (ExpectedEnd(run, now) > time) {
      free -= run.size;
    }
  }
  return free;
}

// Earliest time at which that much is free.
TimePoint TimeOfRoom(const Executor& executor,
                     const Resources& room,
                     TimePoint now) {
  TimePoint earliest = TimePoint::max();
  const auto consider = [&](TimePoint time) {
    if (time < earliest && room.FitsIn(FreeAt(executor, time, now))) {
      earliest = time;
    }
  };
  consider(now);
  for (const auto& [name, run] : executor.runs()) {
    consider(ExpectedEnd(run, now));
  }
  return earliest;
}

}  // namespace

TimePoint ExpectedEnd(const Run& run, TimePoint now) {
  const TimePoint soon = now + kSoon;
  if (run.step == nullptr || run.phase == RunPhase::kStopping ||
      run.phase == RunPhase::kEndUnread) {
    return soon;
  }
  if (run.step->spec->long_running) {
    return TimePoint::max();
  }
  const TimePoint begin =
      run.running_since == TimePoint() ? run.start_sent : run.running_since;
  return std::max(soon, begin + run.step->spec->estimate);
}

void Reservations::Reserve(const std::vector<const Executor*>& executors,
                           const Resources& size,
                           int count,
                           int max_per_executor,
                           TimePoint now) {
  const auto number = static_cast<int>(executors.size());
  if (number == 0) {
    return;
  }
  // The tasks that one executor has to take, if it is large enough.
  int most = (count + number - 1) / number;
  if (max_per_executor > 0) {
    most = std::min(most, max_per_executor);
  }
  std::vector<std::pair<const Executor*, Resources>> rooms;
  TimePoint begin = now;
  for (const Executor* executor : executors) {
    Resources room;
    for (int i = 0; i < most; ++i) {
      if ((room + size).FitsIn(executor->entry.capacity)) {
        room += size;
      }
    }
    rooms.emplace_back(executor, room);
    begin = std::max(begin, TimeOfRoom(*executor, room, now));
  }
  for (const auto& [executor, room] : rooms) {
    by_executor_.try_emplace(
        executor,
        Reservation{false, begin, FreeAt(*executor, begin, now) - room});
  }
}

void Reservations::ReserveWhole(const Executor& executor) {
  by_executor_.try_emplace(&executor).first->second.whole = true;
}

// Also counts tasks that end before the step begins: passes are frequent, and
// the next one reserves anew.
void Reservations::OnStarted(const Executor& executor, const Resources& size) {
  const auto found = by_executor_.find(&executor);
  if (found != by_executor_.end()) {
    found->second.beside -= size;
  }
}

bool Reservations::Allows(const Executor& executor,
                          const Resources& size,
                          TimePoint end) const {
  const Reservation& reservation = by_executor_.at(&executor);
  return !reservation.whole &&
         (end <= reservation.begin || size.FitsIn(reservation.beside));
}

}  // namespace chivedale::cell
