// An ended request stays in the ledger, so that a resubmission finds its answer
// and a late answer finds a closed request. `ended_` lists ended requests by
// time of their end and is compacted once half of it is consumed, which keeps
// Expire() linear in the number of evicted requests.
#include "chivedale/request_ledger.h"

namespace chivedale {
namespace {

constexpr char kRequestPrefix[] = "r/";
constexpr size_t kRequestPrefixSize = sizeof(kRequestPrefix) - 1;
// Size of the map node, strings and state of an ended request without its
// bodies.
constexpr int64_t kEntryOverheadBytes = 512;
// With fewer consumed elements `ended_` is not compacted.
constexpr size_t kCompactThreshold = 1024;

int64_t RetainedBytes(const RequestState& state) {
  int64_t bytes = kEntryOverheadBytes;
  bytes += static_cast<int64_t>(2 * state.submission.id.str().size());
  bytes += static_cast<int64_t>(state.submission.kind.size());
  if (state.result) {
    bytes += static_cast<int64_t>(state.result->detail.size());
    if (state.result->payload) {
      bytes += static_cast<int64_t>(state.result->payload->size());
    }
  }
  return bytes;
}

}  // namespace

RequestLedger::RequestLedger(const util::Clock& clock, Options options)
    : clock_(clock), options_(options) {}

RequestLedger::BeginOutcome RequestLedger::Begin(const Submission& submission) {
  auto it = requests_.find(submission.id);
  if (it != requests_.end()) {
    const RequestState& state = it->second.state;
    if (state.submission.digest != submission.digest) {
      return BeginOutcome::kDigestDiffers;
    }
    return state.phase == RequestPhase::kFinished ? BeginOutcome::kFinished
                                                  : BeginOutcome::kOpen;
  }
  if (open_ >= options_.max_open) {
    throw Error(ErrorKind::kOverloaded,
                "this process already has " + std::to_string(open_) +
                    " open requests, which is the limit");
  }
  Entry& entry = requests_[submission.id];
  entry.state.submission = submission;
  entry.state.accepted = clock_.Now();
  ++open_;
  return BeginOutcome::kNew;
}

void RequestLedger::OnFinish(const RequestId& id, ResultCallback done) {
  auto it = requests_.find(id);
  if (it == requests_.end()) {
    throw Error(ErrorKind::kNotFound, "unknown request '" + id.str() + "'");
  }
  if (it->second.state.phase != RequestPhase::kFinished) {
    it->second.callbacks.push_back(std::move(done));
    return;
  }
  // A copy, since the callback may drop the entry.
  const RequestResult result = *it->second.state.result;
  done(id, result);
}

void RequestLedger::Reopen(const Submission& submission) {
  auto it = requests_.find(submission.id);
  if (it == requests_.end() ||
      it->second.state.phase != RequestPhase::kFinished) {
    return;
  }
  const RequestState ended = std::move(it->second.state);
  retained_bytes_ -= RetainedBytes(ended);
  RequestState& state = it->second.state;
  state = RequestState();
  state.submission = submission;
  state.accepted = clock_.Now();
  state.attempt = ended.attempt;
  state.granted = ended.granted;
  state.may_have_run = ended.may_have_run;
  ++open_;
}

uint32_t RequestLedger::BeginAttempt(const RequestId& id) {
  RequestState* state = FindMutable(id);
  if (state == nullptr || state->phase == RequestPhase::kFinished) {
    throw Error(ErrorKind::kInternal, "cannot begin an attempt: request '" +
                                          id.str() + "' is not open");
  }
  state->owner = MemberId();
  state->worker = WorkerId();
  return ++state->attempt;
}

void RequestLedger::SetPhase(const RequestId& id, RequestPhase phase) {
  RequestState* state = FindMutable(id);
  // Only Finish() closes a request, and SetPhase() never reopens one.
  if (state == nullptr || state->phase == RequestPhase::kFinished ||
      phase == RequestPhase::kFinished) {
    return;
  }
  state->phase = phase;
  if (phase == RequestPhase::kDispatched) {
    state->dispatched = clock_.Now();
  }
  if (phase == RequestPhase::kRunning) {
    state->started = clock_.Now();
  }
}

void RequestLedger::SetPlace(const RequestId& id,
                             const MemberId& owner,
                             const WorkerId& worker) {
  RequestState* state = FindMutable(id);
  if (state == nullptr) {
    return;
  }
  state->owner = owner;
  state->worker = worker;
}

bool RequestLedger::Finish(const RequestId& request, RequestResult result) {
  // A copy, since `request` may refer into the entry that a callback drops.
  const RequestId id(request.str());
  auto it = requests_.find(id);
  if (it == requests_.end() ||
      it->second.state.phase == RequestPhase::kFinished) {
    return false;
  }
  RequestState& state = it->second.state;
  result.attempts = state.attempt;
  state.phase = RequestPhase::kFinished;
  state.finished = clock_.Now();
  state.submission.payload.reset();
  state.result = result;
  ended_.push_back(id);
  --open_;
  retained_bytes_ += RetainedBytes(state);
  const std::vector<ResultCallback> callbacks = std::move(it->second.callbacks);
  it->second.callbacks.clear();
  for (const ResultCallback& callback : callbacks) {
    callback(id, result);
  }
  return true;
}

void RequestLedger::Expire() {
  const util::TimePoint now = clock_.Now();
  while (ended_begin_ < ended_.size()) {
    auto it = requests_.find(ended_[ended_begin_]);
    if (it == requests_.end() ||
        it->second.state.phase != RequestPhase::kFinished) {
      ++ended_begin_;  // reopened; listed again when it ends
      continue;
    }
    const bool old =
        now - it->second.state.finished >= options_.answer_retention;
    if (!old && retained_bytes_ <= options_.max_retained_bytes) {
      break;
    }
    retained_bytes_ -= RetainedBytes(it->second.state);
    requests_.erase(it);
    ++ended_begin_;
  }
  if (ended_begin_ >= kCompactThreshold && ended_begin_ * 2 >= ended_.size()) {
    ended_.erase(ended_.begin(),
                 ended_.begin() + static_cast<ptrdiff_t>(ended_begin_));
    ended_begin_ = 0;
  }
}

const RequestState* RequestLedger::Find(const RequestId& id) const {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second.state;
}

RequestState* RequestLedger::FindMutable(const RequestId& id) {
  auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second.state;
}

RequestState* RequestLedger::FindCurrent(const TaskKey& key) {
  const RequestId id = RequestOfTask(key.task);
  RequestState* state = id.empty() ? nullptr : FindMutable(id);
  if (state == nullptr || state->phase == RequestPhase::kFinished ||
      state->attempt != key.attempt || key.attempt == 0) {
    return nullptr;
  }
  return state;
}

std::vector<RequestId> RequestLedger::OpenIds() const {
  std::vector<RequestId> ids;
  ids.reserve(static_cast<size_t>(open_));
  for (const auto& [id, entry] : requests_) {
    if (entry.state.phase != RequestPhase::kFinished) {
      ids.push_back(id);
    }
  }
  return ids;
}

int64_t RequestLedger::open() const {
  return open_;
}

int64_t RequestLedger::retained_bytes() const {
  return retained_bytes_;
}

TaskId TaskOfRequest(const RequestId& request) {
  return TaskId(kRequestPrefix + request.str());
}

RequestId RequestOfTask(const TaskId& task) {
  if (task.str().compare(0, kRequestPrefixSize, kRequestPrefix) != 0) {
    return RequestId();
  }
  return RequestId(task.str().substr(kRequestPrefixSize));
}

}  // namespace chivedale
