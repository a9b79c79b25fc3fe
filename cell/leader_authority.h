// The time until which a leader may renew leases and start tasks.
//
// A successor takes a predecessor's leases as expired a fixed time after it was
// elected. So a leader may act only for kAuthorityTime after evidence that no
// other member had been elected: an answer of the store, or, while the store
// does not answer, an answer of every member that may have been elected without
// it. Evidence counts from when it was asked for, not from when it arrived.
// Neither silence nor a refused connection is evidence: a cut causes both while
// the member's process runs and may be elected.
//
//   LeaderAuthority authority(clock);
//   authority.OnStoreConfirmed(sent);       // the leader key is still its own
//   authority.OnRosterSent({"10.0.0.2:7000"});  // members that may be elected
//   authority.OnRosterStored();
//   authority.OnFollowed("10.0.0.2:7000", {boot_id, uptime}, sent);
//   if (authority.valid_until() > now) ...
#ifndef CELL_LEADER_AUTHORITY_H_
#define CELL_LEADER_AUTHORITY_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "cell/types.h"

namespace chivedale::cell {

// Interval between a leader's reads of the leader key.
inline constexpr Millis kConfirmInterval{300};
// Time for which evidence counts.
inline constexpr Millis kAuthorityTime{1'400};
// Time after its election at which a new leader takes its predecessor's
// authority as ended. kAuthorityTime, and 3% more as clocks differ.
inline constexpr Millis kFencingDelay{1'500};
// Maximum time without an answer of the store. After that a leader stops even
// if all members follow it.
inline constexpr std::chrono::minutes kMaxUnconfirmedTime{10};
// Likewise as kFencingDelay, for a new leader that its predecessor did not
// have to ask.
inline constexpr std::chrono::seconds kUnlistedFencingDelay{620};

class LeaderAuthority {
 public:
  enum class Basis { kNone, kStore, kMembers };
  // The process that answers for a member.
  struct Process {
    std::string boot_id;
    Millis uptime{0};  // or less
  };

  explicit LeaderAuthority(const Clock& clock) : clock_(clock) {}

  // Commands.
  // The store has answered a call sent at this time that the key is held.
  void OnStoreConfirmed(TimePoint sent);
  // The members at these addresses are being stored as the roster; the write
  // may take effect from now on. Only members of the stored roster are elected
  // without kUnlistedFencingDelay.
  void OnRosterSent(const std::set<std::string>& members);
  // The roster sent last has been stored.
  void OnRosterStored();
  // A process of the member follows this leader and has not been elected, by
  // its answer to a call sent at this time. Earlier processes of the member
  // have ended, but may have been elected before. So the answer of a process
  // that was not known counts only if it began within kAuthorityTime after
  // earlier evidence, or once the store has confirmed the leader since its
  // first answer.
  void OnFollowed(const std::string& member,
                  const Process& process,
                  TimePoint sent);

  // Queries. The leader asks for each executor, so that these do not depend on
  // the number of members.
  TimePoint valid_until() const;
  bool valid() const { return valid_until() > clock_.Now(); }
  Basis basis() const;
  // The time of the last answer of the store; zero if there was none.
  TimePoint confirmed() const { return confirmed_; }
  // Members whose answers are needed while the store does not answer.
  const std::set<std::string>& required() const { return required_; }
  // Those of them without evidence that still counts, separated by commas.
  std::string Silent() const;

 private:
  struct Member {
    std::string boot_id;       // of the process that answered last
    TimePoint first_answer{};  // of that process
    bool trusted = false;      // its answers count
    TimePoint followed{};      // latest evidence
  };

  // Latest time at which the member is known not to have been elected.
  TimePoint EvidenceOf(const std::string& member) const;
  void UpdateRequired();
  void UpdateMembersValidUntil();

  const Clock& clock_;
  TimePoint confirmed_{};
  std::optional<std::set<std::string>> stored_roster_;
  // All rosters sent since the stored one.
  std::set<std::string> sent_roster_;
  std::set<std::string> last_sent_roster_;
  std::set<std::string> required_;  // the stored and the sent ones
  std::map<std::string, Member> members_;
  // Until when answers of the members give authority.
  TimePoint members_valid_until_{};
};

}  // namespace chivedale::cell

#endif  // CELL_LEADER_AUTHORITY_H_
