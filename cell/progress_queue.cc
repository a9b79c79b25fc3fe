#include "cell/progress_queue.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {

// A job that is being written changes again in the lane of that write: until
// the write has an answer, another lane could be overtaken by it.
void ProgressQueue::Add(const JobId& id) {
  Place& place = places_[id];
  if (place.jobs != nullptr) {
    return;  // its next write includes this change
  }
  ++last_change_;
  place.jobs =
      place.written_by != nullptr ? &place.written_by->kept : &waiting_;
  place.change = last_change_;
  place.jobs->emplace(last_change_, id);
}

std::vector<JobId> ProgressQueue::Take(size_t index) {
  Lane& lane = lanes_[index];
  std::vector<JobId> taken;
  for (Jobs* jobs : {&lane.kept, &waiting_}) {
    while (!jobs->empty() && taken.size() < jobs_per_write_) {
      const auto first = jobs->begin();
      Place& place = places_.at(first->second);
      place.jobs = nullptr;
      place.written_by = &lane;
      taken.push_back(first->second);
      lane.written.insert(jobs->extract(first));
    }
  }
  lane.in_flight = true;
  return taken;
}

void ProgressQueue::OnWritten(size_t index, bool stored) {
  Lane& lane = lanes_[index];
  lane.in_flight = false;
  const Jobs written = std::exchange(lane.written, {});
  for (const auto& [change, id] : written) {
    Place& place = places_.at(id);
    place.written_by = nullptr;
    if (stored) {
      if (place.jobs == nullptr) {
        places_.erase(id);
      } else {
        // Changed again meanwhile; now any lane may write it.
        waiting_.insert(place.jobs->extract(place.change));
        place.jobs = &waiting_;
      }
      continue;
    }
    if (place.jobs != nullptr) {
      place.jobs->erase(place.change);
    }
    place.jobs = &lane.kept;
    place.change = change;
    lane.kept.emplace(change, id);
  }
}

bool ProgressQueue::MayWrite(size_t index) const {
  const Lane& lane = lanes_[index];
  const size_t least = index == 0 ? 1 : jobs_per_write_;
  return !lane.in_flight && (!lane.kept.empty() || waiting_.size() >= least);
}

bool ProgressQueue::waiting() const {
  return !waiting_.empty() ||
         std::any_of(lanes_.begin(), lanes_.end(),
                     [](const Lane& lane) { return !lane.kept.empty(); });
}

bool ProgressQueue::Contains(const JobId& id) const {
  return places_.count(id) > 0;
}

int64_t ProgressQueue::stored_change() const {
  int64_t stored = last_change_;
  const auto exclude = [&](const Jobs& jobs) {
    if (!jobs.empty()) {
      stored = std::min(stored, jobs.begin()->first - 1);
    }
  };
  exclude(waiting_);
  for (const Lane& lane : lanes_) {
    exclude(lane.kept);
    exclude(lane.written);
  }
  return stored;
}

}  // namespace chivedale::cell
