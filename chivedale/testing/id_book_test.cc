// IdBook against a plain model: wrong probing or a lost record would let an id
// run twice, a record that stays would refuse new work and fill the memory.
#include "chivedale/id_book.h"

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

// The same by maps, without bounds.
class BookModel {
 public:
  explicit BookModel(const util::Clock& clock) : clock_(clock) {}

  void Insert(const RequestId& id, const IdBook::Entry& entry) {
    ids_[id] = {entry, clock_.Now()};
  }
  void Erase(const RequestId& id) { ids_.erase(id); }
  void Assign(const RequestId& id, const MemberId& member) {
    auto it = ids_.find(id);
    if (it == ids_.end()) {
      return;
    }
    IdBook::Entry& entry = it->second.entry;
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
  // Empty, or what differs.
  std::string Compare(const IdBook& book,
                      const std::vector<RequestId>& names) const {
    std::set<MemberId> members;
    for (const RequestId& name : names) {
      const auto found = book.Find(name);
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
    if (book.size() != static_cast<int64_t>(ids_.size())) {
      return "size is " + std::to_string(book.size());
    }
    const std::vector<MemberId> entries = book.Entries();
    return std::set<MemberId>(entries.begin(), entries.end()) == members
               ? ""
               : "entries differ";
  }

 private:
  struct Known {
    IdBook::Entry entry;
    util::TimePoint at{};
  };
  static bool Same(const IdBook::Entry& a, const IdBook::Entry& b) {
    return a.entry == b.entry && a.digest == b.digest &&
           a.registration == b.registration && a.repeatable == b.repeatable &&
           a.recording == b.recording && a.orphaned == b.orphaned &&
           a.granted == b.granted;
  }

  const util::Clock& clock_;
  std::map<RequestId, Known> ids_;
};

class BookPair {
 public:
  BookPair() : book_(clock_, 1'000'000), model_(clock_) {
    for (int i = 0; i < 120; ++i) {
      names_.emplace_back("request-" + std::to_string(i));
    }
  }

  void Apply(int kind, int name, int member) {
    const RequestId id = names_[static_cast<size_t>(name)];
    const MemberId who("entry-" + std::to_string(member) + "/1");
    switch (kind) {
      case 0:
        book_.Erase(id);
        model_.Erase(id);
        break;
      case 1:
        book_.Assign(id, who);
        model_.Assign(id, who);
        break;
      case 2:
        book_.SetRecorded(id, member % 2 == 0);
        model_.SetRecorded(id, member % 2 == 0);
        break;
      case 3:
        book_.Orphan(who);
        model_.Orphan(who);
        break;
      case 4:
        book_.EraseRepeatableOf(who);
        model_.EraseIf([&](const RequestId&, const IdBook::Entry& entry) {
          return entry.repeatable && entry.entry == who;
        });
        break;
      case 5:
        DropGroup(static_cast<uint64_t>(name % kGroups));
        break;
      case 6:
        clock_.Advance(Millis(100 * member));
        book_.Expire(Millis(1'000));
        model_.Expire(Millis(1'000));
        break;
      default:
        Insert(id, who, name);
    }
  }

  std::string Compare() const { return model_.Compare(book_, names_); }

 private:
  void Insert(const RequestId& id, const MemberId& who, int name) {
    IdBook::Entry entry;
    entry.entry = who;
    entry.digest = static_cast<uint64_t>(name);
    entry.registration = ++registrations_;
    entry.repeatable = name % 3 != 0;
    entry.recording = !entry.repeatable;
    book_.Insert(id, entry);
    model_.Insert(id, entry);
  }
  void DropGroup(uint64_t group) {
    book_.EraseIf([group](uint64_t hash, bool repeatable) {
      return repeatable && hash % kGroups == group;
    });
    model_.EraseIf([group](const RequestId& id, const IdBook::Entry& entry) {
      return entry.repeatable && util::Hash64(id.str()) % kGroups == group;
    });
  }

  FakeClock clock_;
  IdBook book_;
  BookModel model_;
  std::vector<RequestId> names_;
  uint64_t registrations_ = 0;
};

BOOST_AUTO_TEST_SUITE(IdBookOfAHolder)

RC_BOOST_PROP(KnowsWhatAPlainModelKnows, ()) {
  BookPair pair;
  const auto steps = *rc::gen::inRange(1, 400);
  for (int i = 0; i < steps; ++i) {
    const int kind = *rc::gen::inRange(0, 20);
    const int name = *rc::gen::inRange(0, 120);
    const int member = *rc::gen::inRange(0, 5);
    pair.Apply(kind, name, member);
    const std::string difference = pair.Compare();
    if (!difference.empty()) {
      RC_FAIL(difference);
    }
  }
}

BOOST_AUTO_TEST_CASE(KeepsTheLastIdsWithinItsBound) {
  FakeClock clock;
  IdBook book(clock, 1'000);
  for (int i = 0; i < 5'000; ++i) {
    IdBook::Entry entry;
    entry.entry = MemberId("entry-1/1");
    book.Insert(RequestId(std::to_string(i)), entry);
  }
  BOOST_TEST(book.size() == 1'000);
  BOOST_TEST(!book.Find(RequestId("3999")).has_value());
  BOOST_TEST(book.Find(RequestId("4000")).has_value());
  BOOST_TEST(book.Find(RequestId("4999")).has_value());
}

// An id that is refused and withdrawn again and again must not use up memory.
BOOST_AUTO_TEST_CASE(ErasedIdsCountInTheBound) {
  FakeClock clock;
  IdBook book(clock, 1'000);
  const double before = HeapBytes();
  for (int i = 0; i < 300'000; ++i) {
    const RequestId id(std::to_string(i));
    IdBook::Entry entry;
    entry.entry = MemberId("entry-1/1");
    book.Insert(id, entry);
    book.Erase(id);
  }
  BOOST_TEST(book.size() == 0);
  BOOST_TEST(HeapBytes() - before < 1'000'000);
}

// The node's budget for control is 128 MB; the bound on ids is two millions.
BOOST_AUTO_TEST_CASE(TwoMillionIdsFitIntoTheBudget) {
  FakeClock clock;
  IdBook book(clock, 2'000'000);
  const double before = HeapBytes();
  util::Random random(1);
  for (int i = 0; i < 2'100'000; ++i) {
    IdBook::Entry entry;
    entry.entry = MemberId("entry-1/1");
    book.Insert(RequestId(random.Hex(36)), entry);
  }
  BOOST_TEST(book.size() == 2'000'000);
  BOOST_TEST(HeapBytes() - before < 128e6);
}

// The adopter's own registration may have the number of the first one; a
// repeat of the first answer would start unrepeatable work a second time.
BOOST_AUTO_TEST_CASE(AnAdopterGetsNoRepeatOfTheFirstAnswer) {
  FakeClock clock;
  IdBook book(clock, 10);
  const RequestId id("invoice-1");
  IdBook::Entry entry;
  entry.entry = MemberId("entry-1/1");
  entry.registration = 7;
  entry.repeatable = false;
  entry.recording = true;
  book.Insert(id, entry);
  book.SetRecorded(id, true);
  BOOST_TEST(book.Find(id)->granted);
  book.Orphan(entry.entry);
  BOOST_TEST(book.Find(id)->orphaned);
  book.Assign(id, MemberId("entry-2/1"));
  BOOST_TEST(!book.Find(id)->orphaned);
  BOOST_TEST(!book.Find(id)->granted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace chivedale::testing
