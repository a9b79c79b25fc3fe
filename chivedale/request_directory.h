// Who has which request id, on the member that holds the id's group; and the
// asking side's view of which member that is.
//
// Holder side:
//   directory.OnRegister(msg, [&](const RegisterReply& reply) { send(reply);
//   });
// Asking side:
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
    // How long an ended or abandoned id is remembered.
    Millis retention{3'600'000};
    // After an entry's death its unreported ids are free after this.
    Millis orphan_wait = OrphanWait();
    int64_t max_ids = 2'000'000;
    // A member that has just become a holder answers kWait for ids that it
    // does not know for this long (two heartbeat intervals), so that entries
    // register their ids again first.
    Millis settle{1'000};
    // In a kWait or kNotHolder reply.
    Millis ask_again{100};
  };

  RequestDirectory(const util::Clock& clock,
                   MemberInfo self,
                   RecordLog& records,
                   Options options);
  ~RequestDirectory();

  // Commands.
  // All members that are not dead or left.
  void SetMembers(const std::vector<MemberInfo>& members);
  // `reply` is called once, at once or after the record is in the store.
  void OnRegister(const Register& request,
                  std::function<void(const RegisterReply&)> reply);
  void OnUnregister(const Unregister& message);
  void OnEntryGone(const EntryGone& message);
  void OnMemberDead(const MemberId& member);
  // It stopped as planned: all its requests were answered.
  void OnMemberLeft(const MemberId& member);
  void Tick();

  // Queries.
  int GroupOf(const RequestId& request) const;
  // Empty when there is no live member.
  MemberId HolderOf(const RequestId& request, bool repeatable) const;
  int64_t known_ids() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace chivedale

#endif  // CHIVEDALE_REQUEST_DIRECTORY_H_
