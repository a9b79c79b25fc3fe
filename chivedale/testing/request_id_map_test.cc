// Compares RequestIdMap with a simple reference model: wrong probing or a lost
// record would let an id run twice, and a record that is not erased would
// refuse new work and fill the memory.
#include "chivedale/request_id_map.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

#include "chivedale/testing/fake_clock.h"
#include "chivedale/tools/capacity_bench.h"
#include "util/random.h"

namespace chivedale::testing {
namespace {

constexpr int kGroups = 8;

// Reference model based on maps, without bounds.
class ReferenceModel {
 public:
  explicit ReferenceModel(const util::Clock& clock) : clock_(clock) {}

  void Insert(const RequestId& id, const RequestIdMap::Entry& entry) {
    ids_[id] = {entry, clock_.Now()};
  }
  void Erase(const RequestId& id) { ids_.erase(id); }
  void Assign(const RequestId& id, const MemberId& member) {
    auto it = ids_.find(id);
    if (it == ids_.end()) {
      return;
    }
    RequestIdMap::Entry& entry = it->second.entry;
    entry.granted = entry.granted && entry.entry == member;
    entry.entry = member;
    entry.orphaned = false;
  }
  void SetRecorded(const RequestId& id, bool granted) {
    auto it = ids_.find(id);
    if (it != ids_.end()) {
      it->second.entry.recording = false;
      it->second.entry.granted = granted;
    }
  }
  void Orphan(const MemberId& member) {
    for (auto& [id, known] : ids_) {
      known.entry.orphaned =
          known.entry.orphaned || known.entry.entry == member;
    }
  }
  template <typename Drop>
  void EraseIf(const Drop& drop) {
    for (auto it = ids_.begin(); it != ids_.end();) {
      it = drop(it->first, it->second.entry) ? ids_.erase(it) : std::next(it);
    }
  }
  void Expire(Millis age) {
    for (auto it = ids_.begin(); it != ids_.end();) {
      const bool old = clock_.Now() - it->second.at >= age;
      it = old ? ids_.erase(it) : std::next(it);
    }
  }
  // Returns an empty string or a description of the difference.
  std::string Compare(const RequestIdMap& ids,
                      const std::vector<RequestId>& names) const {
    std::set<MemberId> members;
    for (const RequestId& name : names) {
      const auto found = ids.Find(name);
      const auto it = ids_.find(name);
      if (found.has_value() != (it != ids_.end())) {
        return name.str() + (found ? " is still known" : " is lost");
      }
      if (found && !Same(*found, it->second.entry)) {
        return name.str() + " differs";
      }
      if (found) {
        members.insert(found->entry);
      }
    }
    if (ids.size() != static_cast<int64_t>(ids_.size())) {
      return "size is " + std::to_string(ids.size());
    }
    const std::vector<MemberId> entries = ids.Entries();
    return std::set<MemberId>(entries.begin(), entries.end()) == members
               ? ""
               : "entries differ";
  }

 private:
  struct Known {
    RequestIdMap::Entry entry;
    util::TimePoint at{};
  };
  static bool Same(const RequestIdMap::Entry& a, const RequestIdMap::Entry& b) {
    return a.entry == b.entry && a.digest == b.digest &&
           a.registration == b.registration && a.repeatable == b.repeatable &&
           a.recording == b.recording && a.orphaned == b.orphaned &&
           a.granted == b.granted;
  }

  const util::Clock& clock_;
  std::map<RequestId, Known> ids_;
};

class ModelComparison {
 public:
  ModelComparison() : ids_under_test_(clock_, 1'000'000), model_(clock_) {
    for (int i = 0; i < 120; ++i) {
      names_.emplace_back("request-" + std::to_string(i));
    }
  }

  void Apply(int kind, int name, int member) {
    const RequestId id = names_[static_cast<size_t>(name)];
    const MemberId entry_id("entry-" + std::to_string(member) + "/1");
    switch (kind) {
      case 0:
        ids_under_test_.Erase(id);
        model_.Erase(id);
        break;
      case 1:
        ids_under_test_.Assign(id, entry_id);
        model_.Assign(id, entry_id);
        break;
      case 2:
        ids_under_test_.SetRecorded(id, member % 2 == 0);
        model_.SetRecorded(id, member % 2 == 0);
        break;
      case 3:
        ids_under_test_.Orphan(entry_id);
        model_.Orphan(entry_id);
        break;
      case 4:
        ids_under_test_.EraseRepeatableOf(entry_id);
        model_.EraseIf([&](const RequestId&, const RequestIdMap::Entry& entry) {
          return entry.repeatable && entry.entry == entry_id;
        });
        break;
      case 5:
        DropGroup(static_cast<uint64_t>(name % kGroups));
        break;
      case 6:
        clock_.Advance(Millis(100 * member));
        ids_under_test_.Expire(Millis(1'000));
        model_.Expire(Millis(1'000));
        break;
      default:
        Insert(id, entry_id, name);
    }
  }

  std::string Compare() const {
    return model_.Compare(ids_under_test_, names_);
  }

 private:
  void Insert(const RequestId& id, const MemberId& entry_id, int name) {
    RequestIdMap::Entry entry;
    entry.entry = entry_id;
    entry.digest = static_cast<uint64_t>(name);
    entry.registration = ++registrations_;
    entry.repeatable = name % 3 != 0;
    entry.recording = !entry.repeatable;
    ids_under_test_.Insert(id, entry);
    model_.Insert(id, entry);
  }
  void DropGroup(uint64_t group) {
    ids_under_test_.EraseIf([group](uint64_t hash, bool repeatable) {
      return repeatable && hash % kGroups == group;
    });
    model_.EraseIf(
        [group](const RequestId& id, const RequestIdMap::Entry& entry) {
          return entry.repeatable && util::Hash64(id.str()) % kGroups == group;
        });
  }

  FakeClock clock_;
  RequestIdMap ids_under_test_;
  ReferenceModel model_;
  std::vector<RequestId> names_;
  uint64_t registrations_ = 0;
};

BOOST_AUTO_TEST_SUITE(RequestIdMapTest)

RC_BOOST_PROP(AgreesWithTheReferenceModel, ()) {
  ModelComparison comparison;
  const auto steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) {
    const int kind = *rc::gen::inRange(0, 20);
    const int name = *rc::gen::inRange(0, 120);
    const int member = *rc::gen::inRange(0, 5);
    comparison.Apply(kind, name, member);
    const std::string difference = comparison.Compare();
    if (!difference.empty()) {
      RC_FAIL(difference);
    }
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheNewestIdsWithinItsBound) {
  FakeClock clock;
  RequestIdMap ids(clock, 1'000);
  for (int i = 0; i < 5'000; ++i) {
    RequestIdMap::Entry entry;
    entry.entry = MemberId("entry-1/1");
    ids.Insert(RequestId(std::to_string(i)), entry);
  }
  BOOST_TEST(ids.size() == 1'000);
  BOOST_TEST(!ids.Find(RequestId("3999")).has_value());
  BOOST_TEST(ids.Find(RequestId("4000")).has_value());
  BOOST_TEST(ids.Find(RequestId("4999")).has_value());
}

// Ids that are refused and withdrawn repeatedly must not use up memory.
BOOST_AUTO_TEST_CASE(ErasedIdsDoNotAccumulate) {
  FakeClock clock;
  RequestIdMap ids(clock, 1'000);
  const double before = HeapBytes();
  for (int i = 0; i < 300'000; ++i) {
    const RequestId id(std::to_string(i));
    RequestIdMap::Entry entry;
    entry.entry = MemberId("entry-1/1");
    ids.Insert(id, entry);
    ids.Erase(id);
  }
  BOOST_TEST(ids.size() == 0);
  BOOST_TEST(HeapBytes() - before < 1'000'000);
}

// The memory budget of the control role on a node is 128 MB; the bound on ids
// is two million.
BOOST_AUTO_TEST_CASE(TwoMillionIdsFitIntoTheBudget) {
  FakeClock clock;
  RequestIdMap ids(clock, 2'000'000);
  const double before = HeapBytes();
  util::Random random(1);
  for (int i = 0; i < 2'100'000; ++i) {
    RequestIdMap::Entry entry;
    entry.entry = MemberId("entry-1/1");
    ids.Insert(RequestId(random.HexString(36)), entry);
  }
  BOOST_TEST(ids.size() == 2'000'000);
  BOOST_TEST(HeapBytes() - before < 128e6);
}

// The registration of the adopter may have the same number as the first one;
// repeating the first answer would start unrepeatable work a second time.
BOOST_AUTO_TEST_CASE(AdopterGetsNoRepeatOfTheFirstAnswer) {
  FakeClock clock;
  RequestIdMap ids(clock, 10);
  const RequestId id("invoice-1");
  RequestIdMap::Entry entry;
  entry.entry = MemberId("entry-1/1");
  entry.registration = 7;
  entry.repeatable = false;
  entry.recording = true;
  ids.Insert(id, entry);
  ids.SetRecorded(id, true);
  BOOST_TEST(ids.Find(id)->granted);
  ids.Orphan(entry.entry);
  BOOST_TEST(ids.Find(id)->orphaned);
  ids.Assign(id, MemberId("entry-2/1"));
  BOOST_TEST(!ids.Find(id)->orphaned);
  BOOST_TEST(!ids.Find(id)->granted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::testing
