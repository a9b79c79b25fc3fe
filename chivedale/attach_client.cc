// A question is repeated rather than acknowledged: the answer may take as long
// as the work does, and the other side keeps no state for a lost question.
//
// The news of a death reaches members one after the other. A holder that has
// not heard it yet names the dead entry once more; a question to it would stay
// open until its deadline. It is therefore given up after one interval, and the
// holder is asked again. A member that was called dead wrongly is served by the
// same repetition.
#include "chivedale/attach_client.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace chivedale {
namespace {

// By then every holder has heard of a death, or is called dead itself.
constexpr Millis kNewsSpread{60'000};
// News of a member that joins may be this late.
constexpr Millis kUnknownEntryGrace{3'000};

}  // namespace

AttachClient::AttachClient(const util::Clock& clock,
                           MemberSender& sender,
                           MemberId self,
                           Millis ask_again)
    : clock_(clock),
      sender_(sender),
      self_(std::move(self)),
      ask_again_(ask_again) {}

void AttachClient::Ask(const RequestId& id,
                       const MemberId& entry,
                       AttachMode mode,
                       util::TimePoint give_up_at,
                       Done done) {
  Question question;
  question.entry = entry;
  question.mode = mode;
  question.asked = clock_.Now();
  question.give_up_at = give_up_at;
  question.done = std::move(done);
  if (dead_.count(entry) > 0) {
    question.give_up_at = std::min(give_up_at, clock_.Now() + ask_again_);
  }
  Send(id, question);
  questions_[id].push_back(std::move(question));
}

void AttachClient::Send(const RequestId& id, Question& question) {
  question.ask_at = clock_.Now() + ask_again_;
  sender_.SendToMember(question.entry, Attach{id, self_, question.mode});
}

std::vector<AttachClient::Question> AttachClient::TakeIf(
    const std::function<bool(const RequestId&, Question&)>& ended) {
  std::vector<Question> taken;
  for (auto it = questions_.begin(); it != questions_.end();) {
    std::vector<Question>& list = it->second;
    for (auto question = list.begin(); question != list.end();) {
      if (ended(it->first, *question)) {
        taken.push_back(std::move(*question));
        question = list.erase(question);
      } else {
        ++question;
      }
    }
    it = list.empty() ? questions_.erase(it) : std::next(it);
  }
  return taken;
}

void AttachClient::OnAnswer(const MemberId& from, const AttachAnswer& answer) {
  auto it = questions_.find(answer.request);
  if (it == questions_.end()) {
    return;
  }
  std::vector<Question> answered;
  std::vector<Question> open;
  for (Question& question : it->second) {
    const bool matches = question.entry == from && question.mode == answer.mode;
    (matches ? answered : open).push_back(std::move(question));
  }
  it->second = std::move(open);
  if (it->second.empty()) {
    questions_.erase(it);
  }
  for (const Question& question : answered) {
    question.done(answer);
  }
}

void AttachClient::SetMembers(const std::vector<MemberInfo>& members) {
  members_.clear();
  for (const MemberInfo& member : members) {
    members_.insert(member.id);
  }
}

void AttachClient::OnMemberDead(const MemberId& member) {
  dead_[member] = clock_.Now();
  const std::vector<Question> ended =
      TakeIf([&](const RequestId&, Question& question) {
        return question.entry == member;
      });
  for (const Question& question : ended) {
    question.done(std::nullopt);
  }
}

void AttachClient::Tick() {
  const util::TimePoint now = clock_.Now();
  for (auto it = dead_.begin(); it != dead_.end();) {
    it = now - it->second < kNewsSpread ? std::next(it) : dead_.erase(it);
  }
  const std::vector<Question> ended =
      TakeIf([&](const RequestId& id, Question& question) {
        const bool gone = members_.count(question.entry) == 0 &&
                          now - question.asked >= kUnknownEntryGrace;
        if (gone || now >= question.give_up_at) {
          return true;
        }
        if (now >= question.ask_at) {
          Send(id, question);
        }
        return false;
      });
  for (const Question& question : ended) {
    question.done(std::nullopt);
  }
}

MemberId AttachClient::EntryOf(const RequestId& id) const {
  auto it = questions_.find(id);
  return it == questions_.end() ? MemberId() : it->second.front().entry;
}

}  // namespace chivedale
