// Messages waiting for one peer, bounded by bytes and by age. Not thread safe.
//
//   if (!queue.Push({to, message, bytes, clock.Now()})) ...  // no room
//   while (auto next = queue.Pop(clock.Now())) Write(*next);
#ifndef CHIVEDALE_PEER_QUEUE_H_
#define CHIVEDALE_PEER_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "chivedale/messages.h"
#include "util/clock.h"

namespace chivedale {

struct QueuedMessage {
  MemberId to;  // empty: whoever answers at the address
  Message message;
  size_t bytes = 0;
  util::TimePoint queued{};
};

// Messages of one lane arrive in the order in which they were sent.
enum class PeerLane {
  kControl,   // membership, registration, summaries, acknowledgements
  kResults,   // an answer must not be overtaken by a WorkerTaken
  kDispatch,  // a dispatch must not be overtaken by its Cancel
  kTable,
};
inline constexpr size_t kPeerLaneCount = 4;
PeerLane LaneOf(const Message& message);

class PeerQueue {
 public:
  struct Options {
    size_t max_bytes = 32 << 20;
    // For control messages beyond max_bytes, so that bulk data cannot keep
    // pings from being queued.
    size_t control_reserve_bytes = 1 << 20;
    // Older messages are dropped: an owner must not start a dispatch after its
    // entry has concluded that it was never delivered. Far below orphan_ttl.
    util::Duration max_age = std::chrono::seconds(2);
  };

  explicit PeerQueue(const Options& options) : options_(options) {}

  // Commands.
  // False when there is no room.
  bool Push(QueuedMessage message);
  // Control first. Of the other lanes the one with the fewest bytes sent gets
  // the next turn, so that none is starved.
  std::optional<QueuedMessage> Pop(util::TimePoint now);
  void DropExpired(util::TimePoint now);
  void Clear();

  // Queries.
  bool empty() const;
  size_t bytes() const { return bytes_; }
  int64_t expired() const { return expired_; }

 private:
  struct Lane {
    std::deque<QueuedMessage> messages;
    uint64_t sent_bytes = 0;
  };

  void DropExpired(Lane& lane, util::TimePoint now);
  // Null when all are empty.
  Lane* NextLane();

  const Options options_;
  std::array<Lane, kPeerLaneCount> lanes_;
  size_t bytes_ = 0;
  int64_t expired_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_QUEUE_H_
