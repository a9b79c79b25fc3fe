// Guards against a request that is answered twice, not at all, or with the
// answer of an earlier attempt.
#include "chivedale/request_ledger.h"

#include <rapidcheck/boost_test.h>

#include <boost/test/unit_test.hpp>
#include <iostream>

#include "chivedale/testing/fake_clock.h"

namespace chivedale::testing {
namespace {

Submission MakeSubmission(const std::string& id, uint64_t digest) {
  Submission submission;
  submission.id = RequestId(id);
  submission.kind = "transcribe";
  submission.digest = digest;
  return submission;
}

RequestResult MakeResult(const std::string& text) {
  RequestResult result;
  result.ok = true;
  result.payload = std::make_shared<const std::string>(text);
  return result;
}

struct Op {
  int kind = 0;
  int id = 0;
  int back = 0;  // number of attempts before the current one
};

std::ostream& operator<<(std::ostream& out, const Op& op) {
  return out << "{kind " << op.kind << ", id " << op.id << ", back " << op.back
             << "}";
}

// Mostly attempts and answers, so that many answers belong to the current
// attempt.
rc::Gen<std::vector<Op>> GenOps() {
  return rc::gen::resize(
      200, rc::gen::container<std::vector<Op>>(rc::gen::build<Op>(
               rc::gen::set(&Op::kind,
                            rc::gen::element(0, 0, 0, 1, 1, 2, 2, 2, 3, 4, 5)),
               rc::gen::set(&Op::id, rc::gen::inRange(0, 16)),
               rc::gen::set(&Op::back, rc::gen::element(-1, 0, 0, 0, 1, 2)))));
}

// Expected state of one request.
struct Expected {
  bool begun = false;
  bool finished = false;
  uint32_t attempt = 0;
  std::string answer;
  int callbacks = 0;
  std::vector<std::string> received;
};

class Model {
 public:
  explicit Model(std::map<std::string, int64_t>& counts)
      : ledger(clock, RequestLedger::Options()), counts_(counts) {}

  void Apply(const Op& op) {
    Expected& expected = requests[op.id];
    const RequestId id("id" + std::to_string(op.id));
    switch (op.kind) {
      case 0:
        ledger.Begin(MakeSubmission(id.str(), 1));
        expected.begun = true;
        break;
      case 1:
        if (expected.begun) {
          ++expected.callbacks;
          ledger.OnFinish(
              id, [&expected](const RequestId&, const RequestResult& result) {
                expected.received.push_back(result.payload ? *result.payload
                                                           : "cancelled");
              });
        }
        break;
      case 2:
        if (expected.begun && !expected.finished) {
          expected.attempt = ledger.BeginAttempt(id);
        }
        break;
      case 3:
        Cancel(expected, id);
        break;
      default:
        Answer(expected, id, op.back);
    }
    clock.Advance(Millis(10));
  }

  void Cancel(Expected& expected, const RequestId& id) {
    RequestResult result;
    result.error = ErrorKind::kCancelled;
    const bool accepted = ledger.Finish(id, result);
    RC_ASSERT(accepted == (expected.begun && !expected.finished));
    if (accepted) {
      ++counts_["cancel"];
      expected.finished = true;
      expected.answer = "cancelled";
    }
  }

  // Handles an answer as the entry does: drops it unless it belongs to the
  // current attempt.
  void Answer(Expected& expected, const RequestId& id, int back) {
    const uint32_t attempt = expected.attempt - static_cast<uint32_t>(back);
    const TaskKey key{TaskOfRequest(id), attempt};
    const bool is_current = expected.begun && !expected.finished && back == 0 &&
                            expected.attempt > 0;
    RequestState* state = ledger.FindCurrent(key);
    RC_ASSERT((state != nullptr) == is_current);
    ++counts_[is_current          ? "answer of the current attempt"
              : expected.finished ? "late or repeated answer"
              : back < 0          ? "answer of an unknown attempt"
                                  : "answer of an earlier attempt"];
    if (state == nullptr) {
      return;
    }
    const std::string text = "answer " + std::to_string(attempt);
    RC_ASSERT(ledger.Finish(id, MakeResult(text)));
    expected.finished = true;
    expected.answer = text;
  }

  void Check() const {
    int64_t open = 0;
    for (const auto& [number, expected] : requests) {
      open += expected.begun && !expected.finished ? 1 : 0;
      const size_t answers =
          expected.finished ? static_cast<size_t>(expected.callbacks) : 0;
      RC_ASSERT(expected.received.size() == answers);
      for (const std::string& text : expected.received) {
        RC_ASSERT(text == expected.answer);
      }
    }
    RC_ASSERT(ledger.open() == open);
  }

  FakeClock clock;
  RequestLedger ledger;
  std::map<int, Expected> requests;

 private:
  std::map<std::string, int64_t>& counts_;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(Requests)

BOOST_AUTO_TEST_CASE(AreAnsweredOnceByTheirCurrentAttempt) {
  std::map<std::string, int64_t> counts;
  const bool holds = rc::check("answered once, by the current attempt", [&] {
    const std::vector<Op> ops = *GenOps();
    Model model(counts);
    for (const Op& op : ops) {
      model.Apply(op);
      model.Check();
    }
  });
  std::cout << "ledger histories:";
  for (const auto& [what, number] : counts) {
    std::cout << " " << what << " " << number << ";";
  }
  std::cout << std::endl;
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(DifferentContentUnderOneIdIsRefused) {
  FakeClock clock;
  RequestLedger ledger(clock, RequestLedger::Options());
  ledger.Begin(MakeSubmission("a", 1));
  BOOST_TEST((ledger.Begin(MakeSubmission("a", 2)) ==
              RequestLedger::BeginOutcome::kDigestDiffers));
  BOOST_TEST((ledger.Begin(MakeSubmission("a", 1)) ==
              RequestLedger::BeginOutcome::kOpen));
}

BOOST_AUTO_TEST_CASE(RetainedAnswersAreBoundedInTimeAndBytes) {
  FakeClock clock;
  RequestLedger::Options options;
  options.max_retained_bytes = 100'000;
  RequestLedger ledger(clock, options);
  for (int i = 0; i < 5'000; ++i) {
    const std::string id = "id" + std::to_string(i);
    ledger.Begin(MakeSubmission(id, 1));
    ledger.Finish(RequestId(id), MakeResult(std::string(1'000, 'x')));
    ledger.Expire();
    BOOST_REQUIRE(ledger.retained_bytes() <= 100'000);
  }
  BOOST_TEST(ledger.Find(RequestId("id4999")) != nullptr);
  BOOST_TEST(ledger.Find(RequestId("id0")) == nullptr);
  clock.Advance(options.answer_retention);
  ledger.Expire();
  BOOST_TEST(ledger.retained_bytes() == 0);
  BOOST_TEST(ledger.Find(RequestId("id4999")) == nullptr);
}

BOOST_AUTO_TEST_CASE(TooManyOpenRequestsAreRefused) {
  FakeClock clock;
  RequestLedger::Options options;
  options.max_open = 1;
  RequestLedger ledger(clock, options);
  ledger.Begin(MakeSubmission("a", 1));
  BOOST_CHECK_THROW(ledger.Begin(MakeSubmission("b", 1)), Error);
  ledger.Finish(RequestId("a"), MakeResult("x"));
  BOOST_CHECK_NO_THROW(ledger.Begin(MakeSubmission("b", 1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace chivedale::testing
