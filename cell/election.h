// Leader election of the cell. The leader key in the store is replaced by
// compare-and-swap; its revision is the fencing token of the leader's orders.
//
//   Election election(clock, random, self, options, callbacks);
//   election.OnRecord(record, revision);  // leader key read from the store
//   election.OnBeat(node, boot_id, term);  // heartbeat from the leader
//   election.Tick();
#ifndef CELL_ELECTION_H_
#define CELL_ELECTION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "cell/types.h"
#include "util/random.h"

namespace chivedale::cell {

// Value of the leader key.
struct LeaderRecord {
  std::string node;
  std::string boot_id;  // differs after each start of the process
  std::string address;
  int64_t term = 0;
};
std::string EncodeLeaderRecord(const LeaderRecord& record);
std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& bytes);

struct ElectionOptions {
  // The leader is suspected after this time without a heartbeat. Spans several
  // heartbeats and is well below the executors' lease time.
  Millis beat_timeout{900};
  // Time for other members to report that a leader is not silent to them.
  Millis confirm_time{150};
  // They are asked again after this time if the leader stays silent.
  Millis confirm_interval{300};
  // The leader is not silent to a member that has received a heartbeat within
  // this time, which spans two heartbeats.
  Millis heard_time{500};
  // Upper bound of the random delay before a candidacy, so that two members
  // that suspect the leader at once seldom write within the same few
  // milliseconds.
  Millis max_jitter{80};
  // Delay before the next candidacy after an unsuccessful one.
  Millis retry{150};
  // Delay before the first election of a cell, so that all members are known.
  Millis initial_delay{700};
  // A longer gap between two ticks means that this process was paused.
  Millis pause_threshold{400};
};

class Election {
 public:
  enum class Outcome { kWon, kLost, kUnknown };
  struct Callbacks {
    // Writes the record if the key still has the expected revision (0: the key
    // is absent). The callback gets the new revision if the write won.
    std::function<void(const LeaderRecord&,
                       int64_t expected,
                       std::function<void(Outcome, int64_t revision)>)>
        write;
    // `predecessor_gone`: the previous leader's process is known to have ended.
    std::function<void(int64_t term, int64_t fence, bool predecessor_gone)>
        on_leading;
    std::function<void(const std::string& reason)> on_not_leading;
    // This process was paused for the given time.
    std::function<void(Duration)> on_pause;
    std::function<void(const std::string& reason)> on_suspect;
    // Asks other members whether they receive heartbeats from the leader of
    // this term. Returns false if there are none.
    std::function<bool(int64_t term)> ask_members;
    // Delay before this member's candidacy; longer for members with a lower
    // NodeOptions::strength, so that the others are elected first.
    std::function<Millis()> candidacy_delay;
  };

  Election(const Clock& clock,
           util::Random& random,
           LeaderRecord self,
           const ElectionOptions& options,
           Callbacks callbacks);
  ~Election();

  // Commands.
  void Tick();
  // Current state of the leader key; nullopt if the key is absent.
  void OnRecord(const std::optional<LeaderRecord>& record, int64_t revision);
  // Heartbeat of a member that leads.
  void OnBeat(const std::string& node,
              const std::string& boot_id,
              int64_t term);
  // Another member receives heartbeats from the leader of this term.
  void OnLeaderHeard(int64_t term);
  // Follows the leader that sent a heartbeat if its term is later than the one
  // known here. Needed while the store is unreachable and the leader key cannot
  // be read.
  void OnLaterTerm(const LeaderRecord& record);
  // Reports evidence that the leader has failed or is handing over, without
  // waiting for the heartbeat timeout. `gone`: its process is known to have
  // ended.
  void Suspect(const std::string& reason, bool gone);
  // Reports that the leader sends heartbeats and cannot lead on. Other
  // suspicions end with a heartbeat, this one with OnLeaderAble().
  void SuspectUnable(const std::string& reason);
  void OnLeaderAble();
  // Prevents this member from becoming the leader. If it leads now, it keeps
  // leading until another member is elected.
  void StopCompeting();
  void StepDown(const std::string& reason);

  // Queries.
  bool leading() const;
  const std::optional<LeaderRecord>& leader() const { return leader_; }
  int64_t revision() const { return revision_; }
  bool known() const { return record_read_; }
  // True if this member leads in this term or receives the leader's heartbeats.
  bool HearsLeader(int64_t term) const;
  // True if this member has seen no later term and is no candidate.
  bool MayFollow(int64_t term) const;
  // The leader key before the current one, as far as it was read.
  const std::optional<LeaderRecord>& predecessor() const {
    return predecessor_;
  }

 private:
  struct Machine;

  bool IsSuspected() const { return suspected_ || unable_; }
  // Sets one of the flags.
  void SetSuspected(bool& flag, const std::string& reason);
  void CheckSilence();
  void StartCandidacy();
  void OnWritten(Outcome outcome, int64_t revision, int64_t term);

  const Clock& clock_;
  util::Random& random_;
  const LeaderRecord self_;
  const ElectionOptions options_;
  const Callbacks callbacks_;
  const std::unique_ptr<Machine> machine_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  bool record_read_ = false;  // the leader key has been read
  std::optional<LeaderRecord> leader_;
  std::optional<LeaderRecord> predecessor_;
  int64_t revision_ = 0;
  TimePoint last_beat_{};   // or when the leader became known
  TimePoint last_heard_{};  // last heartbeat of the leader
  TimePoint asked_at_{};    // when other members were asked; zero if not
  TimePoint last_tick_{};
  TimePoint next_candidacy_{};
  bool suspected_ = false;  // until the next heartbeat
  bool unable_ = false;     // until OnLeaderAble()
  bool leader_gone_ = false;
  bool leaving_ = false;
};

}  // namespace chivedale::cell

#endif  // CELL_ELECTION_H_
