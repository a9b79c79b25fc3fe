// Keeps a member's table confirmed with few reads of the store: the leader
// reads it at intervals, the other members ask the leader, and read the store
// themselves only while it does not confirm.
//
//   TableConfirmer confirmer(clock, random, freshness, callbacks);
//   confirmer.Tick(leading);                // every kNodeTick
//   confirmer.OnConfirmation(message);      // answers to its calls
#ifndef CELL_TABLE_CONFIRMER_H_
#define CELL_TABLE_CONFIRMER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "cell/call_numbers.h"
#include "cell/table_freshness.h"
#include "cell/types.h"
#include "chivedale/messages.h"
#include "util/random.h"

namespace chivedale::cell {

// Reads the table from the store and applies it if it is newer. `done` gets its
// version; 0 if the read failed or the table is invalid.
using TableReader =
    std::function<void(Millis timeout, std::function<void(int64_t version)>)>;

class TableConfirmer {
 public:
  struct Callbacks {
    TableReader read_table;
    // Asks the leader. Returns false if there is none to ask.
    std::function<bool(uint64_t call)> ask_leader;
  };

  TableConfirmer(const Clock& clock,
                 util::Random& random,
                 TableFreshness& freshness,
                 Callbacks callbacks);

  // Commands.
  void Tick(bool leading);
  void OnConfirmation(const TableConfirmation& message);

  // Queries.
  // Answer to another member's call.
  TableConfirmation Answer(const TableCall& call) const;

 private:
  void Read();
  void Ask();

  const Clock& clock_;
  util::Random& random_;
  CallNumbers call_numbers_;
  TableFreshness& freshness_;
  const Callbacks callbacks_;
  const std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  bool read_in_flight_ = false;
  TimePoint next_read_{};
  TimePoint next_ask_{};
  uint64_t last_call_ = 0;
  Duration asked_at_{0};  // when last_call_ was sent, since boot
};

}  // namespace chivedale::cell

#endif  // CELL_TABLE_CONFIRMER_H_
