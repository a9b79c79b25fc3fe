// Messages that must not overtake each other share a lane. There is no order
// between lanes: the protocol does not rely, for example, on a Dispatch
// arriving before an Answer to earlier work.
#include "chivedale/peer_queue.h"

#include <algorithm>
#include <utility>

namespace chivedale {
namespace {

struct LaneVisitor {
  template <typename T>
  PeerLane operator()(const T&) const {
    return PeerLane::kControl;
  }
  PeerLane operator()(const DispatchReply&) const { return PeerLane::kResults; }
  PeerLane operator()(const Answer&) const { return PeerLane::kResults; }
  PeerLane operator()(const WorkerTaken&) const { return PeerLane::kResults; }
  PeerLane operator()(const AttachAnswer&) const { return PeerLane::kResults; }
  PeerLane operator()(const Dispatch&) const { return PeerLane::kDispatch; }
  PeerLane operator()(const Cancel&) const { return PeerLane::kDispatch; }
  PeerLane operator()(const HoldRelease&) const { return PeerLane::kDispatch; }
  PeerLane operator()(const TableData&) const { return PeerLane::kTable; }
};

}  // namespace

PeerLane LaneForMessage(const Message& message) {
  return std::visit(LaneVisitor(), message);
}

bool PeerQueue::Push(QueuedMessage message) {
  const PeerLane lane = LaneForMessage(message.message);
  const size_t reserve =
      lane == PeerLane::kControl ? options_.control_reserve_bytes : 0;
  if (bytes_ + message.bytes > options_.max_bytes + reserve) {
    return false;
  }
  Lane& target = lanes_[static_cast<size_t>(lane)];
  if (target.messages.empty()) {
    // An idle lane must not accumulate priority over the busy ones.
    for (const Lane& other : lanes_) {
      if (!other.messages.empty()) {
        target.sent_bytes = std::max(target.sent_bytes, other.sent_bytes);
      }
    }
  }
  bytes_ += message.bytes;
  target.messages.push_back(std::move(message));
  return true;
}

std::optional<QueuedMessage> PeerQueue::Pop(util::TimePoint now) {
  DropExpired(now);
  Lane* lane = NextLane();
  if (lane == nullptr) {
    return std::nullopt;
  }
  QueuedMessage next = std::move(lane->messages.front());
  lane->messages.pop_front();
  lane->sent_bytes += next.bytes;
  bytes_ -= next.bytes;
  return next;
}

void PeerQueue::DropExpired(util::TimePoint now) {
  for (Lane& lane : lanes_) {
    DropExpired(lane, now);
  }
}

void PeerQueue::Clear() {
  for (Lane& lane : lanes_) {
    lane.messages.clear();
  }
  bytes_ = 0;
}

bool PeerQueue::empty() const {
  return std::all_of(lanes_.begin(), lanes_.end(),
                     [](const Lane& lane) { return lane.messages.empty(); });
}

void PeerQueue::DropExpired(Lane& lane, util::TimePoint now) {
  while (!lane.messages.empty() &&
         now - lane.messages.front().queued > options_.max_age) {
    bytes_ -= lane.messages.front().bytes;
    lane.messages.pop_front();
    ++expired_;
  }
}

PeerQueue::Lane* PeerQueue::NextLane() {
  Lane& control = lanes_[static_cast<size_t>(PeerLane::kControl)];
  if (!control.messages.empty()) {
    return &control;
  }
  Lane* next = nullptr;
  for (Lane& lane : lanes_) {
    if (!lane.messages.empty() &&
        (next == nullptr || lane.sent_bytes < next->sent_bytes)) {
      next = &lane;
    }
  }
  return next;
}

}  // namespace chivedale
