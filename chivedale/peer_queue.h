// Send queue of one peer, bounded by size and age. Not thread-safe.
//
//   if (!queue.Push({to, message, bytes, clock.Now()})) ...  // full
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
  MemberId to;  // empty: any member at the address
  Message message;
  size_t bytes = 0;
  util::TimePoint queued{};
};

// Messages of one lane are delivered in the order in which they were sent.
enum class PeerLane {
  kControl,   // membership, registration, summaries, acknowledgements
  kResults,   // an answer must not be overtaken by a WorkerTaken
  kDispatch,  // a dispatch must not be overtaken by its Cancel
  kTable,
};
inline constexpr size_t kPeerLaneCount = 4;
PeerLane LaneForMessage(const Message& message);

class PeerQueue {
 public:
  struct Options {
    size_t max_bytes = 32 << 20;
    // Additional room for control messages, so that pings can be queued even if
    // bulk data fills max_bytes.
    size_t control_reserve_bytes = 1 << 20;
    // Older messages are dropped: an owner must not start a dispatch that its
    // entry has given up as undelivered. Must be far below
    // Settings::orphan_ttl.
    util::Duration max_age = std::chrono::seconds(2);
  };

  explicit PeerQueue(const Options& options) : options_(options) {}

  // Returns false if the queue is full.
  bool Push(QueuedMessage message);
  // Control messages come first. Among the other lanes, the one with the fewest
  // bytes sent is next, so that none starves. A lane gains no priority while it
  // is empty.
  std::optional<QueuedMessage> Pop(util::TimePoint now);
  void DropExpired(util::TimePoint now);
  void Clear();

  bool empty() const;
  size_t bytes() const { return bytes_; }
  int64_t expired() const { return expired_; }

 private:
  struct Lane {
    std::deque<QueuedMessage> messages;
    uint64_t sent_bytes = 0;
  };

  void DropExpired(Lane& lane, util::TimePoint now);
  // Returns null if all lanes are empty.
  Lane* NextLane();

  const Options options_;
  std::array<Lane, kPeerLaneCount> lanes_;
  size_t bytes_ = 0;
  int64_t expired_ = 0;
};

}  // namespace chivedale

#endif  // CHIVEDALE_PEER_QUEUE_H_
