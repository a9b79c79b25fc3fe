// Decides when this member tries to become the leader of the cell and whether
// it is. The store arbitrates: the leader's key changes hands by compare and
// swap, and its revision is the fence of the leader's orders.
//
//   Election election(clock, random, self, options, callbacks);
//   election.OnRecord(record, revision);  // from the store
//   election.OnBeat(node, boot, term);    // from the leader
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

// What the leader's key holds.
struct LeaderRecord {
  std::string node;
  std::string boot;  // differs after each start of the process
  std::string address;
  int64_t term = 0;
};
std::string EncodeLeaderRecord(const LeaderRecord& record);
std::optional<LeaderRecord> DecodeLeaderRecord(const std::string& bytes);

struct ElectionOptions {
  // Without a beat for so long the leader is suspected: several beats, and well
  // under the executors' leases.
  Millis silence{900};
  // Two candidates of one suspicion seldom write in the same few milliseconds.
  Millis stagger{80};
  Millis retry{150};
  // Before the first election of a cell, so that all members are known.
  Millis gather{700};
  // A gap between two ticks that says this process itself stood still.
  Millis pause{400};
};

class Election {
 public:
  enum class Outcome { kWon, kLost, kUnknown };
  struct Callbacks {
    // Writes the record if the key still has the revision (0: is absent), then
    // calls back, with the new revision when won.
    std::function<void(const LeaderRecord&,
                       int64_t expected,
                       std::function<void(Outcome, int64_t revision)>)>
        write;
    // `predecessor_gone`: the process that led before has certainly ended.
    std::function<void(int64_t term, int64_t fence, bool predecessor_gone)>
        on_leading;
    std::function<void(const std::string& reason)> on_not_leading;
    // This process stood still for that long.
    std::function<void(Duration)> on_pause;
    std::function<void(const std::string& reason)> on_suspect;
    // How long members that are fitter to lead go first.
    std::function<Millis()> deference;
  };

  Election(const Clock& clock,
           util::Random& random,
           LeaderRecord self,
           const ElectionOptions& options,
           Callbacks callbacks);
  ~Election();

  // Commands.
  void Tick();
  // The key's present state; no record: it is absent.
  void OnRecord(const std::optional<LeaderRecord>& record, int64_t revision);
  // A beat of a member that leads.
  void OnBeat(const std::string& node, const std::string& boot, int64_t term);
  // A beat of a member that leads in a later term than is known here: the
  // store may not be in reach to tell.
  void OnLaterTerm(const LeaderRecord& record);
  // Evidence that the leader is gone or gives up; no need to wait for silence.
  // `gone`: it has certainly ended.
  void Suspect(const std::string& reason, bool gone);
  // This member must not become the leader; a leader steps down.
  void Leave();
  void StepDown(const std::string& reason);

  // Queries.
  bool leading() const;
  const std::optional<LeaderRecord>& leader() const { return leader_; }
  int64_t revision() const { return revision_; }
  bool known() const { return known_; }

 private:
  struct Machine;

  void Contend();
  void OnWritten(Outcome outcome, int64_t revision, int64_t term);

  const Clock& clock_;
  util::Random& random_;
  const LeaderRecord self_;
  const ElectionOptions options_;
  const Callbacks callbacks_;
  const std::unique_ptr<Machine> machine_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);

  bool known_ = false;  // the key has been read
  std::optional<LeaderRecord> leader_;
  int64_t revision_ = 0;
  TimePoint last_beat_{};
  TimePoint last_tick_{};
  TimePoint next_try_{};
  bool suspected_ = false;
  bool gone_ = false;
  bool leaving_ = false;
};

}  // namespace chivedale::cell

#endif  // CELL_ELECTION_H_
