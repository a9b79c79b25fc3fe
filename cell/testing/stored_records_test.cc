// Guards against records in the store that this cell did not write: whatever
// they contain, the members keep running, and at most what such a record
// describes is lost.
#include <boost/test/unit_test.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "cell/testing/cell_fixture.h"

namespace chivedale::cell {
namespace {

using nlohmann::json;
using testing::CellFixture;
using testing::kJobId;
using testing::MakeJobSpec;

// Until a new leader has been elected and the longest leases have expired on
// executors whose rows it cannot read.
constexpr Millis kElection{27'000};
constexpr Millis kRun{2'000};

std::string Msgpack(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

// Bytes that are no record of any kind.
std::vector<std::string> OddRecords() {
  return {"",
          "\xc1",
          std::string(100'000, '\x91'),
          std::string("\x91\xdd\xff\xff\xff\xff"),
          Msgpack(7),
          Msgpack({{"a", 1}}),
          Msgpack(json::array({7})),
          Msgpack(json::array({json::array({1, 2, 3, 4, 5, 6, 7})})),
          Msgpack(json::array({json::array({"e9"})}))};
}

void CheckJobCompletes(CellFixture& cell) {
  BOOST_REQUIRE(cell.leader() != nullptr);
  cell.Submit("a", kJobId, MakeJobSpec(4, Millis(300)), "q0");
  cell.RunFor(kRun);
  BOOST_TEST((cell.StateOf(kJobId) == JobState::kCompleted));
}

void ReplaceLeader(CellFixture& cell) {
  const std::string leader = cell.LeaderName();
  cell.Kill(leader);
  cell.RunFor(kElection);
  cell.Restart(leader);
  cell.RunFor(kRun);
}

BOOST_AUTO_TEST_SUITE(ACellWithRecordsOfAnotherWriter)

// Regression: each new leader ended when it read a row of another form.
BOOST_AUTO_TEST_CASE(StartsWithAnOddListOfExecutors) {
  std::vector<std::string> lists = OddRecords();
  lists.push_back(Msgpack(
      json::array({json::array({std::string(5'000, 'e'), "e9:80", "pool"}),
                   json::array({"e9", std::string(5'000, 'a'), "pool"}),
                   json::array({"", "e9:80", "pool"})})));
  for (const std::string& list : lists) {
    CellFixture cell;
    cell.store.Put(kExecutorsKey, list);
    ReplaceLeader(cell);
    BOOST_TEST_CONTEXT(list.substr(0, 20)) {
      CheckJobCompletes(cell);
    }
  }
}

// Regression: the new leader started the task again while it was running on an
// executor whose row it had skipped.
BOOST_AUTO_TEST_CASE(StartsNothingThatMayRunOnAnExecutorOfAnOddRow) {
  for (const bool is_list : {true, false}) {
    CellFixture cell;
    cell.Submit("a", kJobId, MakeJobSpec(1, Millis(20'000)), "q0");
    cell.RunFor(Millis(800));
    json list = json::from_msgpack(cell.store.Find(kExecutorsKey)->value);
    for (json& row : list) {
      const auto id = row[0].get<std::string>();
      if (cell.executors.RunsOn({kJobId, 0, 0, 0}, id)) {
        for (const char* member : {"a", "b", "c"}) {
          cell.executors.links[{member, id}].cut = true;
        }
        row[1] = 7;
      }
    }
    cell.store.Put(kExecutorsKey, is_list ? Msgpack(list) : "\xc1");
    ReplaceLeader(cell);
    BOOST_TEST(cell.executors.starts() == 2);  // once its lease has expired
  }
}

// Guards against a roster that keeps a new leader from starting tasks.
BOOST_AUTO_TEST_CASE(StartsWithAnOddRoster) {
  std::vector<std::string> rosters = OddRecords();
  rosters.push_back(
      Msgpack(json::array({"z", "z-1", "z:1", json::array({7, "", "z"}), 1})));
  for (const std::string& roster : rosters) {
    CellFixture cell;
    cell.store.Put(kRosterKey, roster);
    ReplaceLeader(cell);
    BOOST_TEST_CONTEXT(roster.substr(0, 20)) {
      CheckJobCompletes(cell);
    }
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheOtherRowsOfTheListOfExecutors) {
  CellFixture cell;
  const StoreItem* stored = cell.store.Find(kExecutorsKey);
  BOOST_REQUIRE(stored != nullptr);
  json list = json::from_msgpack(stored->value);
  list.insert(list.begin(), 7);
  list.push_back(json::array({"e9", 7, "pool"}));
  cell.entries_down = true;
  cell.store.Put(kExecutorsKey, Msgpack(list));
  ReplaceLeader(cell);
  BOOST_REQUIRE(cell.leader() != nullptr);
  BOOST_TEST(cell.leader()->leader()->executors().size() == 4u);
}

BOOST_AUTO_TEST_CASE(IgnoresOddMembers) {
  std::vector<std::string> members = OddRecords();
  for (const double strength :
       {-1.0, std::numeric_limits<double>::infinity(),
        std::numeric_limits<double>::quiet_NaN(), 1e300}) {
    members.push_back(Msgpack(json::array({"boot", "z:1", strength})));
  }
  members.push_back(Msgpack(json::array({"boot", std::string(5'000, 'a'), 1})));
  CellFixture cell;
  for (size_t i = 0; i < members.size(); ++i) {
    cell.store.Put(kMemberPrefix + ("z" + std::to_string(i)), members[i]);
  }
  cell.RunFor(kElection);
  ReplaceLeader(cell);
  CheckJobCompletes(cell);
}

BOOST_AUTO_TEST_CASE(ElectsALeaderAfterAnOddLeaderRecord) {
  std::vector<std::string> records = OddRecords();
  records.push_back(Msgpack(json::array({"z", "boot", "z:1", INT64_MAX})));
  records.push_back(Msgpack(json::array({"z", "boot", "z:1", UINT64_MAX})));
  records.push_back(Msgpack(json::array({"z", "boot", "z:1", -1})));
  records.push_back(
      Msgpack(json::array({std::string(5'000, 'z'), "boot", "z:1", 9})));
  for (const std::string& record : records) {
    CellFixture cell;
    cell.store.Put(kLeaderKey, record);
    cell.RunFor(kElection);
    BOOST_TEST_CONTEXT(record.substr(0, 20)) {
      CheckJobCompletes(cell);
    }
  }
}

BOOST_AUTO_TEST_CASE(SkipsOddJobsAndOddProgress) {
  CellFixture cell;
  constexpr char kOther[] = "00000000000000bb";
  cell.Submit("a", kOther, MakeJobSpec(1, Millis(600'000)), "q0");
  cell.RunFor(Millis(200));
  const std::vector<std::string> records = OddRecords();
  for (size_t i = 0; i < records.size(); ++i) {
    cell.store.Put(JobKey("odd" + std::to_string(i)), records[i]);
  }
  cell.RunFor(Millis(500));
  for (const std::string& record : records) {
    cell.store.Put(ProgressKey(kOther), record);
    ReplaceLeader(cell);
    BOOST_TEST((cell.StateOf(kOther) == JobState::kRunning));
  }
  BOOST_TEST(cell.log.Lines("cell_bad_record").find("odd0") !=
             std::string::npos);
  CheckJobCompletes(cell);
}

// Regression: the leader ended when it asked for advice on a job without an ID.
BOOST_AUTO_TEST_CASE(SkipsJobsWithAnOddId) {
  JobRecord record;
  record.queue = testing::MakeQueue(0);
  record.queue.advice = AdvicePolicy{Millis(5), Millis(1), Millis(2'000)};
  record.spec = MakeJobSpec(1, Millis(300));
  for (const std::string& id : {std::string(), std::string(5'000, 'a')}) {
    CellFixture cell;
    cell.store.Put(JobKey(id), EncodeJobRecord(record));
    cell.RunFor(kRun);
    BOOST_TEST(cell.log.Lines("cell_bad_record").find("not a job ID") !=
               std::string::npos);
    CheckJobCompletes(cell);
  }
}

BOOST_AUTO_TEST_CASE(RunsAWaveWithAnOddRecord) {
  std::vector<std::string> records = OddRecords();
  records.push_back(Msgpack(json::array({std::string(5'000, 'm'), 7})));
  int64_t number = 0;
  CellFixture cell;
  for (const std::string& record : records) {
    UpkeepWave wave;
    wave.number = ++number;
    wave.vms = {"vm-e1"};
    wave.deadline = Millis(20'000);
    cell.store.Put(kWaveProgressPrefix + std::to_string(number), record);
    cell.Announce(wave);
  }
  cell.RunFor(kElection);
  CheckJobCompletes(cell);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::cell
