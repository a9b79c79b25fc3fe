// Serialized form of one segment of the record log.
#ifndef CHIVEDALE_RECORD_SEGMENT_H_
#define CHIVEDALE_RECORD_SEGMENT_H_

#include <cstdint>
#include <string>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/ports.h"
#include "util/clock.h"

namespace chivedale {

struct RecordSegment {
  uint64_t sequence = 0;
  uint64_t revision = 0;  // of the store
  std::string nonce;
  util::WallTime written{};
  std::vector<uint64_t> keys;  // RecordKey of each id
};

// Upper bound on the size of the other fields and separators of a segment.
inline constexpr size_t kSegmentOverheadBytes = 256;

// 64-bit hash that represents an id in memory.
uint64_t RecordKey(const std::string& id);

// Store keys.
std::string SegmentPrefix(int group);
std::string SegmentName(int group, uint64_t sequence);

// Number of bytes that the id adds to the text of a segment.
size_t SegmentBytes(const RequestId& id);
std::string SegmentText(const std::string& nonce,
                        util::WallTime written,
                        const std::vector<RequestId>& ids);
// Throws std::exception for a malformed entry.
RecordSegment ParseSegment(const StoreEntry& entry);

}  // namespace chivedale

#endif  // CHIVEDALE_RECORD_SEGMENT_H_
