// Encoders and decoders for the message bodies of the platform's protocols, for
// clients and servers. Decoders throw std::exception on malformed input of any
// kind; encoders throw it for text that is not UTF-8.
#ifndef CHIVEDALE_PLATFORM_CODEC_H_
#define CHIVEDALE_PLATFORM_CODEC_H_

#include <string>
#include <string_view>

#include "chivedale/ports.h"

namespace chivedale::protocol {

struct LeaseCall {
  MemberId owner;
  LeaseToken token;
  Millis ttl{0};
};

// Worker: requests. EncodeStart returns the JSON line; the payload is sent
// after it.
std::string EncodeLeaseCall(const LeaseCall& call);
LeaseCall DecodeLeaseCall(std::string_view body);
std::string EncodeStart(const StartRequest& request);
StartRequest DecodeStart(std::string_view body);
std::string EncodePoll(const CompletionsRequest& request);
CompletionsRequest DecodePoll(std::string_view body);
struct ControlCall {
  LeaseToken token;
  uint32_t attempt = 0;
};
std::string EncodeControl(const ControlCall& call);
ControlCall DecodeControl(std::string_view body);

// Worker: responses. The HTTP status distinguishes kOk and kRefused.
std::string EncodeLeaseResult(const LeaseResult& result);
LeaseResult DecodeLeaseResult(std::string_view body, WorkerCallStatus status);
std::string EncodeTasks(const std::vector<RunningTask>& tasks);
std::vector<RunningTask> DecodeTasks(std::string_view body);
std::string EncodeOutcome(StartOutcome outcome);
StartOutcome DecodeOutcome(std::string_view body);
int HttpStatusOf(StartOutcome outcome);
std::string EncodeCompletions(const std::vector<Completion>& completions);
std::vector<Completion> DecodeCompletions(std::string_view body);

// Store.
struct PutCall {
  std::string value;
  uint64_t expected = 0;
  // The store lease that the key is bound to, or empty.
  std::string lease;
};
std::string EncodePut(const PutCall& call);
PutCall DecodePut(std::string_view body);
std::string EncodeEntry(const StoreEntry& entry);
StoreEntry DecodeEntry(std::string_view body);
std::string EncodeRevision(uint64_t revision);
uint64_t DecodeRevision(std::string_view body);
std::string EncodeEntries(const StoreResult& result);
StoreResult DecodeEntries(std::string_view body);

// VM list.
std::string EncodeVms(const VmListResult& result);
VmListResult DecodeVms(std::string_view body);

}  // namespace chivedale::protocol

#endif  // CHIVEDALE_PLATFORM_CODEC_H_
