#include "cell/progress_queue.h"

#include <algorithm>
#include <utility>

namespace chivedale::cell {

ProgressQueue::ProgressQueue(size_t lanes, size_t jobs_per_write)
    : lanes_(lanes), jobs_per_write_(jobs_per_write) {
  for (Lane& lane : lanes_) {
    lane.max_jobs = jobs_per_write;
  }
}

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

void ProgressQueue::Take(size_t index, const AddToWrite& add) {
  Lane& lane = lanes_[index];
  lane.in_flight = true;
  bool full = false;
  for (Jobs* jobs : {&lane.kept, &waiting_}) {
    while (!full && !jobs->empty()) {
      const auto first = jobs->begin();
      const JobId& id = first->second;
      Place& place = places_.at(id);
      place.jobs = nullptr;
      place.written_by = &lane;
      place.written_change = first->first;
      full = !add(id) || lane.written.size() + 1 >= lane.max_jobs;
      lane.written.insert(jobs->extract(first));
    }
  }
}

void ProgressQueue::Keep(Place& place, Jobs& jobs, const JobId& id) {
  if (place.jobs != nullptr) {
    place.jobs->erase(place.change);
  }
  place.jobs = &jobs;
  place.change = place.written_change;
  jobs.emplace(place.change, id);
}

void ProgressQueue::OnWritten(size_t index, WriteResult result) {
  Lane& lane = lanes_[index];
  lane.in_flight = false;
  const Jobs written = std::exchange(lane.written, {});
  if (result == WriteResult::kStored) {
    lane.max_jobs = std::min(jobs_per_write_, 2 * lane.max_jobs);
  } else if (result == WriteResult::kRejected) {
    lane.max_jobs = std::max<size_t>(1, written.size() / 2);
  }
  const bool left_out = result == WriteResult::kRejected && written.size() == 1;
  for (const auto& [change, id] : written) {
    Place& place = places_.at(id);
    place.written_by = nullptr;
    if (result != WriteResult::kStored) {
      Keep(place, left_out ? lane.rejected : lane.kept, id);
    } else if (place.jobs == nullptr) {
      places_.erase(id);
    } else {
      // Changed again meanwhile; now any lane may write it.
      waiting_.insert(place.jobs->extract(place.change));
      place.jobs = &waiting_;
    }
  }
}

void ProgressQueue::RetryRejected() {
  for (Lane& lane : lanes_) {
    for (const auto& [change, id] : lane.rejected) {
      places_.at(id).jobs = &lane.kept;
    }
    lane.kept.merge(lane.rejected);
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

int64_t ProgressQueue::LastChangeOf(const JobId& id) const {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return 0;
  }
  const Place& place = found->second;
  return place.jobs != nullptr ? place.change : place.written_change;
}

bool ProgressQueue::IsStored(const JobId& id, int64_t change) const {
  const auto found = places_.find(id);
  if (found == places_.end()) {
    return true;
  }
  const Place& place = found->second;
  const int64_t oldest =
      place.written_by != nullptr ? place.written_change : place.change;
  return oldest > change;
}

}  // namespace chivedale::cell
