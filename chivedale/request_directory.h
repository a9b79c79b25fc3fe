// Maps request ids to the entry that owns them, on the member that holds the
// group of the id. Also tells which member holds a group.
//
// Holder side:
//   directory.OnRegister(message, send_reply);
// Client side:
//   MemberId holder = directory.HolderOf(id, repeatable);
#ifndef CHIVEDALE_REQUEST_DIRECTORY_H_
#define CHIVEDALE_REQUEST_DIRECTORY_H_

#include <functional>
#include <memory>
#include <vector>

#include "chivedale/ids.h"
#include "chivedale/lease_times.h"
#include "chivedale/messages.h"
#include "chivedale/record_log.h"
#include "util/clock.h"

namespace chivedale {

class RequestDirectory {
 public:
  struct Options {
    int record_groups = 8;
    // Time for which an ended or orphaned id is remembered.
    Millis retention{3'600'000};
    // Time from the death of an entry until its unreported ids are freed.
    Millis orphan_timeout = OrphanTimeout();
    int64_t max_ids = 2'000'000;
    // A new holder answers kRetryLater for unknown ids for this long (two
    // heartbeat intervals), so that entries register their ids again first.
    Millis settle_time{1'000};
    // Retry delay in a kRetryLater or kNotHolder reply.
    Millis retry_interval{100};
  };

  RequestDirectory(const util::Clock& clock,
                   MemberInfo self,
                   RecordLog& records,
                   Options options);
  ~RequestDirectory();

  // Commands.
  // All members that are neither dead nor left.
  void SetMembers(const std::vector<MemberInfo>& members);
  // `reply` is called exactly once, immediately or once the record is in the
  // store.
  void OnRegister(const Register& request,
                  std::function<void(const RegisterReply&)> reply);
  void OnUnregister(const Unregister& message);
  void OnEntryGone(const EntryGone& message);
  void OnMemberDead(const MemberId& member);
  // The member stopped as planned, after all its requests were answered.
  void OnMemberLeft(const MemberId& member);
  void Tick();

  // Queries.
  int GroupOf(const RequestId& request) const;
  // Returns an empty id if there is no live member.
  MemberId HolderOf(const RequestId& request, bool repeatable) const;
  int64_t known_ids() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_REQUEST_DIRECTORY_H_
