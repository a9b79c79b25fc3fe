// Guards against an accepted table edit that is lost, reverted, late or applied
// twice. Runs random sequences of events on several daemons with real
// membership, editor and replica: concurrent edits, outages, lost answers,
// pauses and network partitions.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "chivedale/membership.h"
#include "chivedale/table_codec.h"
#include "chivedale/table_editor.h"
#include "chivedale/table_replica.h"
#include "chivedale/testing/simulation.h"

namespace chivedale::testing {
namespace {

constexpr Millis kInForceWithin{5'000};
// Time that membership needs to converge after a fault.
constexpr Millis kRecovery{6'000};

struct Accepted {
  uint64_t revision = 0;
  std::string change_id;
  util::TimePoint at{};
  int editor = 0;
};

// Observations of all daemons.
struct Observed {
  std::map<uint64_t, std::string> texts;  // by revision
  std::vector<Accepted> accepted;
  std::set<std::string> conflicts;  // change ids
  std::vector<std::string> violations;
};

class Daemon {
 public:
  Daemon(Simulation& sim,
         SimStore& store,
         SimNetwork& network,
         Observed& observed,
         int number,
         const MemberInfo& info)
      : sim_(sim),
        observed_(observed),
        number_(number),
        random_(sim.random().Next()),
        store_port_(store.PortOf(number)),
        peer_port_(network.PortOf(number)),
        editor_(sim.clock(), *store_port_),
        replica_(
            sim.clock(),
            *store_port_,
            info,
            [this](const MemberId& to, const Message& message) {
              peer_port_->Send(to, message);
            },
            [this](const Table& table) { OnApplied(table); }),
        members_(sim.clock(),
                 random_,
                 *peer_port_,
                 info,
                 Membership::Options(),
                 HooksOf(this)) {
    network.Add(number, info,
                [this](const MemberId& from, const Message& message) {
                  Handle(from, message);
                });
    for (int i = 0; i < 6; ++i) {
      members_.AddSeed("10.0.0." + std::to_string(i));
    }
    members_.SetSelfState(MemberState::kLive);
  }

  void Tick() {
    members_.Tick();
    Update();
    replica_.Tick();
  }

  void Edit(const std::string& change_id, int row) {
    TableEdit edit;
    edit.base_revision = replica_.table().revision;
    edit.change_id = change_id;
    edit.author = "operator";
    edit.table = replica_.table();
    WorkRow& changed = edit.table.rows["kind-" + std::to_string(row)];
    changed.kind = "kind-" + std::to_string(row);
    changed.weight = 1 + static_cast<double>(edit.base_revision % 900);
    Send(edit, 20);
  }

  const TableReplica& replica() const { return replica_; }

 private:
  static Membership::Hooks HooksOf(Daemon* daemon) {
    Membership::Hooks hooks;
    hooks.member_changed = [daemon](const MemberInfo&) {
      daemon->changed_ = true;
    };
    hooks.extras = [daemon] {
      Membership::PingPayload payload;
      payload.table_revision = daemon->replica_.table().revision;
      return payload;
    };
    hooks.payload_received = [daemon](const MemberId& id,
                                      const Membership::PingPayload& payload) {
      daemon->replica_.OnRevision(id, payload.table_revision);
    };
    return hooks;
  }

  void Update() {
    if (changed_) {
      changed_ = false;
      replica_.SetMembers(members_.Members());
    }
  }

  void Send(const TableEdit& edit, int tries) {
    editor_.Apply(edit, [this, edit, tries](const EditResult& result) {
      OnResult(edit, tries, result);
    });
  }

  void OnResult(const TableEdit& edit, int tries, const EditResult& result) {
    if (result.ok) {
      observed_.accepted.push_back({result.table->revision, edit.change_id,
                                    sim_.clock().Now(), number_});
      sim_.Count("edit accepted");
      replica_.ApplyIfNewer(*result.table);
      Expect(result.table->revision == edit.base_revision + 1,
             "an edit did not increase the revision by one");
      return;
    }
    if (result.error == ErrorKind::kTableConflict) {
      sim_.Count("edit in conflict");
      observed_.conflicts.insert(edit.change_id);
      Expect(result.table && result.table->revision != edit.base_revision,
             "a conflict without the current table");
      return;
    }
    Expect(result.error == ErrorKind::kStoreDown, result.detail);
    sim_.Count("edit sent again");
    if (tries > 0) {
      sim_.After(Millis(300), number_,
                 [this, edit, tries] { Send(edit, tries - 1); });
    }
  }

  void OnApplied(const Table& table) {
    Expect(table.revision > last_revision_,
           "a replica went back to an older table");
    last_revision_ = table.revision;
    const std::string text = TableToJson(table);
    const auto known = observed_.texts.emplace(table.revision, text).first;
    Expect(known->second == text,
           "two different tables with the same revision");
  }

  void Expect(bool holds, const std::string& what) {
    if (!holds) {
      observed_.violations.push_back(what);
    }
  }

  void Handle(const MemberId& from, const Message& message) {
    if (const auto* ping = std::get_if<Ping>(&message)) {
      members_.OnPing(from, *ping);
    } else if (const auto* reply = std::get_if<PingReply>(&message)) {
      members_.OnPingReply(from, *reply);
    } else if (const auto* request = std::get_if<PingRequest>(&message)) {
      members_.OnPingRequest(from, *request);
    } else if (const auto* pull = std::get_if<TablePull>(&message)) {
      replica_.OnPull(from, *pull);
    } else if (const auto* data = std::get_if<TableData>(&message)) {
      replica_.OnData(*data);
    }
    Update();
  }

  Simulation& sim_;
  Observed& observed_;
  const int number_;
  bool changed_ = false;
  uint64_t last_revision_ = 0;
  util::Random random_;
  std::unique_ptr<StorePort> store_port_;
  std::unique_ptr<PeerPort> peer_port_;
  TableEditor editor_;
  TableReplica replica_;
  Membership members_;
};

class Cell {
 public:
  explicit Cell(uint64_t seed) : sim(seed), store(sim), network(sim) {
    for (int vm = 0; vm < 6; ++vm) {
      Start(vm);
    }
    sim.RunFor(Millis(3'000));
    last_fault_end.assign(daemons.size(), util::TimePoint());
  }

  void Start(int vm) {
    const size_t n = daemons.size();
    const int number = sim.AddProcess([this, n] { daemons[n]->Tick(); });
    MemberInfo info;
    info.id = MemberId("vm" + std::to_string(vm) + "/" + std::to_string(n));
    info.address = "10.0.0." + std::to_string(vm);
    info.data_centre = DataCentreId("d" + std::to_string(vm % 3));
    info.region = RegionId(vm % 3 == 2 ? "r1" : "r0");
    daemons.push_back(
        std::make_unique<Daemon>(sim, store, network, observed, number, info));
    vms.push_back(vm);
    last_fault_end.push_back(sim.clock().Now());
  }

  void RecordFault(int number, Millis length) {
    util::TimePoint& until = last_fault_end[static_cast<size_t>(number)];
    until = std::max(until, sim.clock().Now() + length);
  }

  int Running(int preferred) const {
    const int count = static_cast<int>(daemons.size());
    for (int i = 0; i < count; ++i) {
      if (!sim.dead((preferred + i) % count)) {
        return (preferred + i) % count;
      }
    }
    return 0;
  }

  // Checks the edits whose time limit has passed, on all daemons that had no
  // fault since kRecovery before the edit. An edit made during an outage of the
  // store is checked only if its editor is one of these daemons: until the
  // store is up again, such an edit spreads only from its editor.
  void CheckInForce() {
    const util::TimePoint now = sim.clock().Now();
    while (checked < observed.accepted.size() &&
           now - observed.accepted[checked].at >= kInForceWithin) {
      const Accepted& edit = observed.accepted[checked++];
      const util::TimePoint from = edit.at - kRecovery;
      const bool must_be_in_force =
          FaultFreeSince(edit.editor, from) || store_faulty_until < edit.at;
      for (size_t i = 0; must_be_in_force && i < daemons.size(); ++i) {
        const int number = static_cast<int>(i);
        if (!sim.dead(number) && FaultFreeSince(number, from) &&
            daemons[i]->replica().table().revision < edit.revision) {
          observed.violations.push_back(
              "revision " + std::to_string(edit.revision) +
              " not in force at daemon " + std::to_string(i));
        }
      }
    }
  }

  bool FaultFreeSince(int number, util::TimePoint from) const {
    return last_fault_end[static_cast<size_t>(number)] < from;
  }

  void RunFor(Millis length) {
    for (Millis done{0}; done < length; done += Millis(100)) {
      sim.RunFor(std::min(Millis(100), length - done));
      CheckInForce();
    }
  }

  Simulation sim;
  SimStore store;
  SimNetwork network;
  Observed observed;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<int> vms;
  // End of the last fault of each daemon.
  std::vector<util::TimePoint> last_fault_end;
  util::TimePoint store_faulty_until{};
  size_t checked = 0;
  int changes = 0;
};

struct Op {
  int kind = 0;
  int target = 0;
  int length_ms = 0;
  int gap_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << "{kind " << op.kind << ", target " << op.target << ", "
             << op.length_ms << " ms, then " << op.gap_ms << " ms}";
}

rc::Gen<std::vector<Op>> GenOps() {
  return rc::gen::container<std::vector<Op>>(rc::gen::build<Op>(
      rc::gen::set(&Op::kind, rc::gen::inRange(0, 18)),
      rc::gen::set(&Op::target, rc::gen::inRange(0, 32)),
      rc::gen::set(&Op::length_ms, rc::gen::inRange(100, 8'000)),
      rc::gen::set(&Op::gap_ms, rc::gen::inRange(0, 2'000))));
}

void StoreFault(Cell& cell, const Op& op) {
  SimStore::Faults& faults = cell.store.faults();
  const Millis length(op.length_ms);
  if (op.kind == 0) {
    cell.sim.Count("store outage");
    faults.down = true;
    cell.store_faulty_until =
        std::max(cell.store_faulty_until, cell.sim.clock().Now() + length);
  } else if (op.kind == 1) {
    faults.lose_answer = 0.4;
  } else {
    faults.late_effect = 0.3;
  }
  cell.sim.After(length, Simulation::kEnvironment, [&faults, kind = op.kind] {
    if (kind == 0) {
      faults.down = false;
    } else if (kind == 1) {
      faults.lose_answer = 0;
    } else {
      faults.late_effect = 0;
    }
  });
}

void CutDataCentre(Cell& cell, const Op& op) {
  cell.sim.Count("isolation of a data centre");
  for (size_t i = 0; i < cell.daemons.size(); ++i) {
    const int number = static_cast<int>(i);
    if (cell.vms[i] % 3 != op.target % 3) {
      continue;
    }
    cell.network.partitions()[number] = 1;
    cell.store.unreachable().insert(number);
    cell.RecordFault(number, Millis(op.length_ms));
    cell.sim.After(Millis(op.length_ms), Simulation::kEnvironment,
                   [&cell, number] {
                     cell.network.partitions()[number] = 0;
                     cell.store.unreachable().erase(number);
                   });
  }
}

void Apply(Cell& cell, const Op& op) {
  const int n = cell.Running(op.target);
  const auto change = [&cell] {
    return "change-" + std::to_string(++cell.changes);
  };
  switch (op.kind) {
    case 0:
    case 1:
    case 2:
      StoreFault(cell, op);
      break;
    case 3:
      cell.sim.Count("pause");
      cell.sim.Pause(n, Millis(op.length_ms));
      cell.RecordFault(n, Millis(op.length_ms));
      break;
    case 4:
      cell.sim.Count("pause of one minute");
      cell.sim.Pause(n, Millis(60'000));
      cell.RecordFault(n, Millis(60'000));
      break;
    case 5:
      CutDataCentre(cell, op);
      break;
    case 6:
      cell.sim.Count(cell.store.faults().down
                         ? "restart while the store is down"
                         : "restart");
      cell.sim.Kill(n);
      cell.Start(cell.vms[static_cast<size_t>(n)]);
      break;
    case 7:
      cell.sim.Count("concurrent edits");
      for (int i = 0; i < 3; ++i) {
        const int editor = cell.Running(op.target + i);
        cell.daemons[static_cast<size_t>(editor)]->Edit(change(), i);
      }
      break;
    default:
      cell.daemons[static_cast<size_t>(n)]->Edit(change(), op.target % 5);
  }
  cell.RunFor(Millis(op.gap_ms));
}

void CheckChain(const Cell& cell) {
  std::map<std::string, uint64_t> revisions;
  for (const Accepted& edit : cell.observed.accepted) {
    RC_ASSERT(revisions.emplace(edit.change_id, edit.revision).second);
    const auto text = cell.observed.texts.find(edit.revision);
    RC_ASSERT(text != cell.observed.texts.end());
    RC_ASSERT(ParseTable(text->second).change_id == edit.change_id);
  }
  for (const auto& [revision, text] : cell.observed.texts) {
    // A conflict must not be reported for an edit that took effect.
    RC_ASSERT(cell.observed.conflicts.count(ParseTable(text).change_id) == 0);
  }
  for (const std::string& violation : cell.observed.violations) {
    RC_FAIL(violation);
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(TableChanges)

BOOST_AUTO_TEST_CASE(AreInForceEverywhereInTimeAndNeverRevert) {
  std::map<std::string, int64_t> counts;
  const bool holds = rc::check("accepted edits are in force within 5 s", [&] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const std::vector<Op> ops = *GenOps();
    Cell cell(seed);
    for (const Op& op : ops) {
      Apply(cell, op);
    }
    cell.RunFor(Millis(75'000));
    for (const auto& [what, number] : cell.sim.faults()) {
      counts[what] += number;
    }
    CheckChain(cell);
    for (size_t i = 0; i < cell.daemons.size(); ++i) {
      RC_ASSERT(cell.sim.dead(static_cast<int>(i)) ||
                TableToJson(cell.daemons[i]->replica().table()) ==
                    TableToJson(cell.daemons.back()->replica().table()));
    }
  });
  std::cout << "table histories:";
  for (const auto& [what, number] : counts) {
    std::cout << " " << what << " " << number << ";";
  }
  std::cout << std::endl;
  BOOST_TEST(holds);
}

// A change that is sent again after later changes is found in the history and
// is not applied twice.
BOOST_AUTO_TEST_CASE(AChangeSentAgainAfterALaterOneIsFoundInTheHistory) {
  Simulation sim(1);
  SimStore store(sim);
  const auto port = store.PortOf(Simulation::kEnvironment);
  TableEditor editor(sim.clock(), *port);
  const auto apply = [&](uint64_t base, const std::string& change_id) {
    TableEdit edit;
    edit.base_revision = base;
    edit.change_id = change_id;
    EditResult got;
    editor.Apply(edit, [&got](const EditResult& result) { got = result; });
    sim.RunFor(Millis(5'000));
    return got;
  };
  BOOST_TEST(apply(0, "a").ok);
  BOOST_TEST(apply(1, "b").ok);
  BOOST_TEST(apply(2, "c").ok);
  const EditResult again = apply(0, "a");
  BOOST_TEST(again.ok);
  BOOST_TEST((again.table && again.table->revision == 1U));
  BOOST_TEST((apply(0, "d").error == ErrorKind::kTableConflict));
}

BOOST_AUTO_TEST_CASE(AProcessThatStartsWhileTheStoreIsDownGetsItFromPeers) {
  Cell cell(5);
  cell.daemons[0]->Edit("first", 1);
  cell.RunFor(Millis(2'000));
  cell.store.faults().down = true;
  cell.sim.Kill(4);
  cell.Start(4);
  cell.RunFor(Millis(3'000));
  BOOST_TEST(cell.daemons.back()->replica().ready());
  BOOST_TEST(cell.daemons.back()->replica().table().revision == 1U);
}

BOOST_AUTO_TEST_CASE(AnInvalidTableInTheStoreIsNotPutInForce) {
  Cell cell(6);
  cell.daemons[0]->Edit("first", 1);
  cell.RunFor(Millis(2'000));
  Table bad = cell.daemons[0]->replica().table();
  bad.revision = 2;
  bad.rows["kind-1"].weight = -1;
  cell.store.Put("table", TableToJson(bad),
                 cell.store.entries().at("table").revision);
  cell.RunFor(Millis(2'000));
  for (const auto& daemon : cell.daemons) {
    BOOST_TEST(daemon->replica().table().revision == 1U);
  }
  BOOST_TEST(cell.daemons[0]->replica().rejected_revision() == 2U);
  BOOST_TEST(cell.daemons[0]->replica().rejected_reason().find("weight") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(OnlyTwoMembersPerDataCentreWatchTheStore) {
  Cell cell(7);
  cell.Start(6);
  cell.Start(9);
  cell.RunFor(Millis(6'000));
  int watchers = 0;
  for (const auto& daemon : cell.daemons) {
    watchers += daemon->replica().is_watcher() ? 1 : 0;
  }
  BOOST_TEST(watchers == 6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
