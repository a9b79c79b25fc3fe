#include "cell/account_ledger.h"

#include <algorithm>
#include <sstream>

namespace chivedale::cell {
namespace {

// Jobs may come earlier than the account's rate by this much, as callers send
// in small bursts.
constexpr Duration kShareTolerance = std::chrono::seconds(1);
// An account counts as limited until no step has waited for its limit for this
// time, so that one which is at its limit at times is not reported each time.
constexpr Millis kLimitedTime{1'000};
// Longest time that a job uses up of its account's share, as the interval of a
// very small weight exceeds the range of a duration.
constexpr std::chrono::hours kMaxShareInterval{24};

// Number of tasks that fit below a limit of one resource; `wanted` if there is
// no limit.
int64_t MaxBelow(int64_t limit, int64_t used, int64_t each, int64_t wanted) {
  if (limit <= 0 || each <= 0) {
    return wanted;
  }
  return std::clamp<int64_t>((limit - used) / each, 0, wanted);
}

int64_t MaxBelow(const Resources& limit,
                 const Resources& used,
                 const Resources& each,
                 int64_t wanted) {
  return std::min(
      {MaxBelow(limit.cpu_milli, used.cpu_milli, each.cpu_milli, wanted),
       MaxBelow(limit.memory_mb, used.memory_mb, each.memory_mb, wanted),
       MaxBelow(limit.accelerators, used.accelerators, each.accelerators,
                wanted)});
}

int64_t Scaled(int64_t amount, double factor) {
  return static_cast<int64_t>(static_cast<double>(amount) * factor);
}

Resources Scaled(const Resources& limit, double factor) {
  return {Scaled(limit.cpu_milli, factor), Scaled(limit.memory_mb, factor),
          Scaled(limit.accelerators, factor), 0};
}

template <typename T>
std::string ToText(const T& value) {
  std::ostringstream out;
  out << value;
  return out.str();
}

}  // namespace

AccountLedger::AccountLedger(double overshoot, EventLog& log)
    : overshoot_(overshoot), log_(log) {}

void AccountLedger::SetTable(const AccountTable& table) {
  for (const Account& row : table.accounts()) {
    if (table.Find(row.name) != &row) {
      continue;  // a name that occurs twice belongs to the first account
    }
    std::unique_ptr<AccountUse>& account = accounts_[row.name];
    if (account == nullptr) {
      account = std::make_unique<AccountUse>();
      account->name = row.name;
    }
    account->policy = row.policy;
  }
}

AccountUse* AccountLedger::AccountOf(const Caller& owner) {
  if (owner.account.empty()) {
    return nullptr;
  }
  std::unique_ptr<AccountUse>& account = accounts_[owner.account];
  if (account == nullptr) {
    account = std::make_unique<AccountUse>();
    account->name = owner.account;
    account->policy = owner.policy;
  }
  return account.get();
}

// Generic cell rate algorithm: a job over the share uses up nothing of it.
bool AccountLedger::CountJob(AccountUse& account, TimePoint accepted) {
  if (account.policy.weight <= 0) {
    ++account.jobs_within_share;
    return false;
  }
  if (accepted + kShareTolerance < account.share_used_until) {
    ++account.jobs_over_share;
    return true;
  }
  const auto interval = std::chrono::duration_cast<Duration>(
      std::min<std::chrono::duration<double>>(
          std::chrono::duration<double>(1 / account.policy.weight),
          kMaxShareInterval));
  account.share_used_until =
      std::max(account.share_used_until, accepted) + interval;
  ++account.jobs_within_share;
  return false;
}

void AccountLedger::ClearPossibleUse() {
  for (auto& [name, account] : accounts_) {
    account->possible_use = Resources();
  }
}

void AccountLedger::Report(TimePoint now) {
  for (auto& [name, account] : accounts_) {
    const bool limited = account->limited_at != TimePoint() &&
                         now - account->limited_at < kLimitedTime;
    if (limited == account->limit_reported) {
      continue;
    }
    account->limit_reported = limited;
    log_.Write(limited ? Event::kAccountLimited : Event::kAccountUnlimited,
               {{"account", name},
                {"use", ToText(account->use)},
                {"limit", ToText(account->policy.limit)}});
  }
}

int AccountLedger::MaxStarts(const AccountUse& account,
                             const Resources& size,
                             int wanted) const {
  const Resources& limit = account.policy.limit;
  const int64_t most =
      std::min(MaxBelow(limit, account.use, size, wanted),
               MaxBelow(Scaled(limit, 1 + overshoot_),
                        account.use + account.possible_use, size, wanted));
  // A task that is larger than the limit could never run otherwise.
  const bool idle = account.use.IsZero() && account.possible_use.IsZero();
  return static_cast<int>(idle ? std::max<int64_t>(most, 1) : most);
}

// A gang that is larger than the limit runs alone, and only if it exceeds the
// limit by no more than the overshoot.
int AccountLedger::MaxGangStarts(const AccountUse& account,
                                 const Resources& size,
                                 int members) const {
  const bool idle = account.use.IsZero() && account.possible_use.IsZero();
  const int64_t most =
      idle ? MaxBelow(Scaled(account.policy.limit, 1 + overshoot_), Resources(),
                      size, members)
           : MaxStarts(account, size, members);
  return most < members ? 0 : members;
}

}  // namespace chivedale::cell
