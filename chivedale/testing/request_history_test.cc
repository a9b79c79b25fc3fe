// Guards against an unrepeatable request that is granted twice, and against
// "not run" answers for one that was granted. Random histories of several
// processes with the real membership, directory and record log, under store
// outages, lost answers, late writes, pauses, partitions, crashes and planned
// replacements.
#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "chivedale/membership.h"
#include "chivedale/record_log.h"
#include "chivedale/request_directory.h"
#include "chivedale/testing/simulation.h"

namespace chivedale::testing {
namespace {

// Decisions of the holders about one id.
struct IdHistory {
  int granted = 0;
  int already_recorded = 0;
  int known = 0;
  int store_down = 0;
  int store_down_after_grant = 0;
};

class Daemon {
 public:
  Daemon(Simulation& sim,
         SimStore& store,
         SimNetwork& network,
         std::map<RequestId, IdHistory>& ids,
         int number,
         const MemberInfo& info)
      : sim_(sim),
        network_(network),
        ids_(ids),
        number_(number),
        info_(info),
        random_(sim.random().Next()),
        store_port_(store.PortOf(number)),
        peer_port_(network.PortOf(number)),
        records_(sim.clock(), random_, *store_port_, RecordLog::Options()),
        directory_(sim.clock(), info, records_, RequestDirectory::Options()),
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
  }

  void Start(int daemons) {
    for (int i = 0; i < daemons; ++i) {
      members_.AddSeed("10.0.0." + std::to_string(i));
    }
    members_.SetSelfState(MemberState::kLive);
  }

  void Tick() {
    members_.Tick();
    Update();
    records_.Tick();
    directory_.Tick();
  }

  // Acts as an entry: registers an id and resends until there is a final
  // answer.
  void RegisterId(const RequestId& id, uint64_t registration) {
    Register message;
    message.request = id;
    message.entry = info_.id;
    message.repeatable = false;
    message.digest = 7;
    message.registration = registration;
    unanswered_[id] = message;
    Send(id);
  }

  void Drain() { members_.SetSelfState(MemberState::kDraining); }
  bool IsUnanswered(const RequestId& id) const {
    return unanswered_.count(id) != 0;
  }
  const MemberInfo& info() const { return info_; }
  uint64_t writes() const { return records_.writes(); }

 private:
  static Membership::Hooks HooksOf(Daemon* daemon) {
    Membership::Hooks hooks;
    hooks.member_changed = [daemon](const MemberInfo&) {
      daemon->changed_ = true;
    };
    return hooks;
  }

  void Update() {
    if (!changed_) {
      return;
    }
    changed_ = false;
    directory_.SetMembers(members_.Members());
  }

  void Send(const RequestId& id) {
    const MemberId holder = directory_.HolderOf(id, false);
    if (!holder.empty()) {
      network_.Send(number_, holder, unanswered_.at(id));
    }
    // Resends until OnReply() has received a final answer.
    sim_.After(Millis(300), number_, [this, id] {
      if (unanswered_.count(id) != 0) {
        Send(id);
      }
    });
  }

  void Handle(const MemberId& from, const Message& message) {
    if (const auto* ping = std::get_if<Ping>(&message)) {
      members_.OnPing(from, *ping);
    } else if (const auto* reply = std::get_if<PingReply>(&message)) {
      members_.OnPingReply(from, *reply);
    } else if (const auto* request = std::get_if<PingRequest>(&message)) {
      members_.OnPingRequest(from, *request);
    } else if (const auto* ask = std::get_if<Register>(&message)) {
      Decide(from, *ask);
    } else if (const auto* register_reply =
                   std::get_if<RegisterReply>(&message)) {
      OnReply(*register_reply);
    }
    Update();
  }

  void Decide(const MemberId& from, const Register& ask) {
    directory_.OnRegister(ask, [this, from, ask](const RegisterReply& reply) {
      Count(ask, reply);
      network_.Send(number_, from, reply);
    });
  }

  // A repeated reply to the same registration is not a second grant.
  void Count(const Register& ask, const RegisterReply& reply) {
    IdHistory& id = ids_[reply.request];
    if (reply.outcome == RegisterOutcome::kNew) {
      const auto grant = std::make_pair(ask.entry, ask.registration);
      id.granted += grants_.insert({reply.request, grant}).second ? 1 : 0;
    }
    id.known += reply.outcome == RegisterOutcome::kKnown;
    id.already_recorded += reply.outcome == RegisterOutcome::kAlreadyRecorded;
    // With may_have_run the reply does not state that the request was not run.
    if (reply.outcome == RegisterOutcome::kStoreDown && !reply.may_have_run) {
      ++id.store_down;
      id.store_down_after_grant += id.granted > 0 ? 1 : 0;
    }
  }

  void OnReply(const RegisterReply& reply) {
    if (reply.outcome != RegisterOutcome::kRetryLater &&
        reply.outcome != RegisterOutcome::kNotHolder) {
      unanswered_.erase(reply.request);
    }
  }

  Simulation& sim_;
  SimNetwork& network_;
  std::map<RequestId, IdHistory>& ids_;
  const int number_;
  const MemberInfo info_;
  bool changed_ = false;
  std::set<std::pair<RequestId, std::pair<MemberId, uint64_t>>> grants_;
  std::map<RequestId, Register> unanswered_;
  util::Random random_;
  std::unique_ptr<StorePort> store_port_;
  std::unique_ptr<PeerPort> peer_port_;
  RecordLog records_;
  RequestDirectory directory_;
  Membership members_;
};

class Cell {
 public:
  Cell(uint64_t seed, int count)
      : sim(seed), store(sim), network(sim), count_(count) {
    for (int i = 0; i < count; ++i) {
      Start(i);
    }
  }

  void Start(int vm) {
    const int number =
        sim.AddProcess([this, n = daemons.size()] { daemons[n]->Tick(); });
    MemberInfo info;
    info.id =
        MemberId("vm" + std::to_string(vm) + "/" + std::to_string(number));
    info.address = "10.0.0." + std::to_string(vm);
    info.region = RegionId("r");
    info.data_centre = DataCentreId("d");
    daemons.push_back(
        std::make_unique<Daemon>(sim, store, network, ids, number, info));
    daemons.back()->Start(count_);
    vms.push_back(vm);
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

  void Restart(int number) {
    sim.Kill(number);
    Start(vms[static_cast<size_t>(number)]);
  }

  void EndFaults() {
    store.faults() = SimStore::Faults();
    store.unreachable().clear();
    network.partitions().clear();
    network.loss_probability() = 0;
  }

  Simulation sim;
  SimStore store;
  SimNetwork network;
  std::map<RequestId, IdHistory> ids;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::vector<int> vms;
  uint64_t registrations = 0;

 private:
  const int count_;
};

struct Op {
  int kind = 0;
  int target = 0;
  int id = 0;
  int length_ms = 0;
  int gap_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << "{kind " << op.kind << ", target " << op.target << ", id "
             << op.id << ", " << op.length_ms << " ms, then " << op.gap_ms
             << " ms}";
}

rc::Gen<std::vector<Op>> GenOps() {
  // Kinds from 10 upwards are sends, so that most operations are sends.
  return rc::gen::scale(
      2.0, rc::gen::container<std::vector<Op>>(rc::gen::build<Op>(
               rc::gen::set(&Op::kind, rc::gen::inRange(0, 25)),
               rc::gen::set(&Op::target, rc::gen::inRange(0, 32)),
               rc::gen::set(&Op::id, rc::gen::inRange(0, 12)),
               rc::gen::set(&Op::length_ms, rc::gen::inRange(100, 7'000)),
               rc::gen::set(&Op::gap_ms, rc::gen::inRange(0, 900)))));
}

// Injects a store fault that ends after `length`.
void StoreFault(Cell& cell, const Op& op, int n) {
  SimStore& store = cell.store;
  const Millis length(op.length_ms);
  const auto later = [&cell, length](std::function<void()> run) {
    cell.sim.After(length, Simulation::kEnvironment, std::move(run));
  };
  switch (op.kind) {
    case 0:
      cell.sim.Count("store outage");
      store.faults().down = true;
      later([&store] { store.faults().down = false; });
      break;
    case 1:
      store.faults().lose_answer = 0.4;
      later([&store] { store.faults().lose_answer = 0; });
      break;
    case 2:
      store.faults().late_effect = 0.4;
      later([&store] { store.faults().late_effect = 0; });
      break;
    case 3:
      store.faults().slow = Millis(1'500);
      later([&store] { store.faults().slow = Millis(0); });
      break;
    default:
      cell.sim.Count("one process cut off from the store");
      store.unreachable().insert(n);
      later([&store, n] { store.unreachable().erase(n); });
  }
}

// Each history enables only some kinds of faults, since one kind can hide
// another: after a pause, for example, no request is refused because of a store
// outage.
Op DisableUnlessEnabled(Op op, int enabled) {
  if (op.kind < 10 && (enabled & (1 << op.kind)) == 0) {
    op.kind = 10;
  }
  return op;
}

void Apply(Cell& cell, const Op& op) {
  const int n = cell.Running(op.target);
  const Millis length(op.length_ms);
  switch (op.kind) {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
      StoreFault(cell, op, n);
      break;
    case 5:
    case 6:
      cell.sim.Count("pause");
      cell.sim.Pause(n, length);
      break;
    case 7:
      cell.sim.Count("partition of one process");
      cell.network.partitions()[n] = 1;
      cell.sim.After(length, Simulation::kEnvironment,
                     [&cell, n] { cell.network.partitions()[n] = 0; });
      break;
    case 8:
      cell.sim.Count("planned replacement");
      cell.daemons[static_cast<size_t>(n)]->Drain();
      cell.sim.RunFor(Millis(200));
      cell.Restart(n);
      break;
    case 9:
      cell.sim.Count("crash and restart");
      cell.Restart(n);
      break;
    default:
      cell.sim.Count("send");
      cell.daemons[static_cast<size_t>(n)]->RegisterId(
          RequestId("id" + std::to_string(op.id)), ++cell.registrations);
  }
  cell.sim.RunFor(Millis(op.gap_ms));
}

void Check(const Cell& cell) {
  for (const auto& [id, history] : cell.ids) {
    RC_LOG() << id.str() << ": granted " << history.granted
             << ", store down after the grant "
             << history.store_down_after_grant << "\n";
    RC_ASSERT(history.granted <= 1);
    RC_ASSERT(history.store_down_after_grant == 0);
  }
}

void Add(const Cell& cell, std::map<std::string, int64_t>& counts) {
  for (const auto& [fault, number] : cell.sim.faults()) {
    counts[fault] += number;
  }
  for (const auto& [id, history] : cell.ids) {
    counts["granted"] += history.granted;
    counts["known"] += history.known;
    counts["recorded before"] += history.already_recorded;
    counts["refused, store down"] += history.store_down;
  }
}

void Print(const char* name, const std::map<std::string, int64_t>& counts) {
  std::cout << name << ":";
  for (const auto& [event, number] : counts) {
    std::cout << " " << event << " " << number << ";";
  }
  std::cout << std::endl;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(UnrepeatableRequests)

BOOST_AUTO_TEST_CASE(AreGrantedAtMostOnceAndNeverReportedNotRunAfterAGrant) {
  std::map<std::string, int64_t> counts;
  const bool holds = rc::check("at most one grant per id", [&] {
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const auto enabled = *rc::gen::inRange(0, 1 << 10);
    const std::vector<Op> ops = *GenOps();
    Cell cell(seed, 4);
    cell.sim.RunFor(Millis(3'000));
    for (const Op& op : ops) {
      Apply(cell, DisableUnlessEnabled(op, enabled));
    }
    cell.sim.RunFor(Millis(8'000));
    cell.EndFaults();
    // Long enough for late writes, isolation and all resends.
    cell.sim.RunFor(Millis(15'000));
    // Registrations through each process still find earlier grants.
    for (size_t i = 0; i < cell.daemons.size(); ++i) {
      if (!cell.sim.dead(static_cast<int>(i))) {
        for (int id = 0; id < 12; ++id) {
          cell.daemons[i]->RegisterId(RequestId("id" + std::to_string(id)),
                                      ++cell.registrations);
        }
        cell.sim.RunFor(Millis(700));
      }
    }
    cell.sim.RunFor(Millis(5'000));
    Add(cell, counts);
    Check(cell);
    for (size_t i = 0; i < cell.daemons.size(); ++i) {
      for (int id = 0; id < 12; ++id) {
        const RequestId request("id" + std::to_string(id));
        RC_ASSERT(cell.sim.dead(static_cast<int>(i)) ||
                  !cell.daemons[i]->IsUnanswered(request));
      }
    }
  });
  Print("request histories", counts);
  BOOST_TEST(holds);
}

// Verifies the guarantee of at most one write per group and 100 ms, regardless
// of load.
BOOST_AUTO_TEST_CASE(ManyIdsShareOneWrite) {
  Cell cell(3, 3);
  cell.sim.RunFor(Millis(4'000));
  const int64_t before = cell.store.writes();
  for (int i = 0; i < 2'000; ++i) {
    cell.daemons[0]->RegisterId(RequestId("many" + std::to_string(i)), 1);
    if (i % 2 == 0) {
      cell.sim.RunFor(Millis(1));
    }
  }
  cell.sim.RunFor(Millis(1'000));
  int granted = 0;
  for (const auto& [id, history] : cell.ids) {
    granted += history.granted;
  }
  const int64_t writes = cell.store.writes() - before;
  std::cout << "2,000 records in 1 s: " << writes << " writes" << std::endl;
  BOOST_TEST(granted == 2'000);
  BOOST_TEST(writes <= 8 * 20);
}

BOOST_AUTO_TEST_CASE(AStoreOutageWithStableMembersIsReportedAsNotRun) {
  Cell cell(4, 3);
  cell.sim.RunFor(Millis(4'000));
  cell.store.faults().down = true;
  cell.daemons[0]->RegisterId(RequestId("a"), 1);
  cell.sim.RunFor(Millis(2'500));
  BOOST_TEST(cell.ids[RequestId("a")].store_down == 1);
  BOOST_TEST(!cell.daemons[0]->IsUnanswered(RequestId("a")));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
