// All code, including the callbacks of the HTTP client, runs on the one thread
// of the io_context, so no locks are needed.
#include "chivedale/load_caller.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "chivedale/error.h"

namespace chivedale {
namespace {

using Json = nlohmann::json;
using Timer = boost::asio::steady_timer;

struct OpenRequest {
  LoadArrival arrival;
  util::TimePoint due{};
  util::TimePoint give_up{};
  int sends = 0;
  bool cancelled = false;
  // Whether the last answer was a refusal that allows a resend.
  bool refused = false;
  std::string error;
};

}  // namespace

struct LoadCaller::Impl : std::enable_shared_from_this<LoadCaller::Impl> {
  Impl(boost::asio::io_context& io_in,
       HttpClient& client_in,
       const util::Clock& clock_in,
       LoadPlan& plan_in,
       uint64_t seed,
       Options options_in,
       Check check_in)
      : io(io_in),
        client(client_in),
        clock(clock_in),
        plan(plan_in),
        random(seed),
        options(std::move(options_in)),
        check(std::move(check_in)),
        results(plan.profile()),
        arrivals(io),
        cancel_timer(io) {}

  const LoadKind& KindOf(const LoadArrival& arrival) const {
    return plan.profile().kinds[arrival.kind];
  }

  void ScheduleNext() {
    std::optional<LoadArrival> next = plan.Next();
    if (!next) {
      all_sent = true;
      EndIfDone();
      return;
    }
    arrivals.expires_at(started + next->at);
    arrivals.async_wait([self = shared_from_this(),
                         arrival = std::move(*next)](const auto& error) {
      if (error) {
        return;
      }
      self->Begin(arrival);
      self->ScheduleNext();
    });
  }

  void ScheduleCancellations() {
    if (plan.profile().cancel_at.count() == 0) {
      return;
    }
    cancel_timer.expires_at(started + plan.profile().cancel_at);
    cancel_timer.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) {
        self->CancelSelected();
      }
    });
  }

  void Begin(const LoadArrival& arrival) {
    OpenRequest request;
    request.arrival = arrival;
    request.due = started + arrival.at;
    request.give_up =
        request.due + KindOf(arrival).deadline + options.result_grace;
    open[arrival.id] = std::move(request);
    Send(arrival.id);
    if (arrival.repeat) {
      Send(arrival.id);
    }
  }

  const std::string& RandomEntry() {
    return options.entries[random.UniformInt(options.entries.size())];
  }

  void Send(const std::string& id) {
    auto it = open.find(id);
    if (it == open.end()) {
      return;
    }
    OpenRequest& request = it->second;
    ++request.sends;
    const LoadKind& kind = KindOf(request.arrival);
    HttpCall call;
    call.address = RandomEntry();
    call.method = "POST";
    call.target = "/v1/requests";
    call.headers = {{"Content-Type", "application/json"},
                    {"Idempotency-Key", id}};
    const auto left = std::chrono::duration_cast<Millis>(
        request.due + kind.deadline - clock.Now());
    const int64_t deadline_ms = std::max<int64_t>(1, left.count());
    call.body_prefix = "{\"kind\":\"" + kind.kind +
                       "\",\"deadline_ms\":" + std::to_string(deadline_ms) +
                       ",\"payload\":" + request.arrival.payload + "}";
    call.timeout = options.send_timeout;
    const std::string entry = call.address;
    client.Call(std::move(call), [self = shared_from_this(), id,
                                  entry](const HttpResult& result) {
      if (result.status != CallStatus::kAnswered && self->options.unanswered) {
        self->options.unanswered(entry, result);
      }
      self->OnResult(id, result);
    });
  }

  void ScheduleResend(const std::string& id, Millis pause) {
    // Adds random jitter of up to half the pause, so that refused callers do
    // not retry at the same time.
    const Millis jitter(static_cast<int64_t>(
        random.UniformReal() * 0.5 * static_cast<double>(pause.count())));
    auto timer = std::make_shared<Timer>(io);
    timer->expires_after(pause + jitter);
    timer->async_wait(
        [self = shared_from_this(), timer, id](const auto& error) {
          if (!error) {
            self->Send(id);
          }
        });
  }

  void OnResult(const std::string& id, const HttpResult& result) {
    auto it = open.find(id);
    if (it == open.end()) {
      CheckRepeatedAnswer(id, result);
      return;
    }
    OpenRequest& request = it->second;
    if (result.status != CallStatus::kAnswered) {
      request.refused = false;
      ResendOrEnd(id, options.resend_delay, LoadOutcome::kLost, "no_answer");
      return;
    }
    Json body = Json::parse(*result.body, nullptr, /*allow_exceptions=*/false);
    if (result.http_status == 200 && body.is_object() &&
        body.contains("answer")) {
      const bool own =
          body.value("request_id", "") == id &&
          check(id, request.arrival.payload, body["answer"].dump());
      End(id, own ? LoadOutcome::kOk : LoadOutcome::kMixedUp, "");
      return;
    }
    OnProblem(id, body);
  }

  void OnProblem(const std::string& id, const Json& body) {
    OpenRequest& request = open.at(id);
    const std::string kind =
        body.is_object() ? body.value("kind", "malformed") : "malformed";
    const std::string ran =
        body.is_object() ? body.value("ran", "unknown") : "unknown";
    const bool retry = body.is_object() && body.value("retry", false);
    const Millis pause(
        body.is_object() ? body.value("retry_after_ms", int64_t{100}) : 100);
    const LoadOutcome outcome =
        request.cancelled && kind.rfind("cancelled", 0) == 0
            ? LoadOutcome::kCancelled
        : ran == "no"  ? LoadOutcome::kRefused
        : ran == "yes" ? LoadOutcome::kFailed
                       : LoadOutcome::kUnknown;
    const bool in_time =
        clock.Now() < request.due + KindOf(request.arrival).deadline;
    if (retry && (in_time || outcome == LoadOutcome::kUnknown)) {
      request.refused = outcome == LoadOutcome::kRefused;
      ResendOrEnd(id, std::max(pause, options.resend_delay), outcome, kind);
      return;
    }
    End(id, outcome, kind);
  }

  void ResendOrEnd(const std::string& id,
                   Millis pause,
                   LoadOutcome outcome,
                   const std::string& error) {
    OpenRequest& request = open.at(id);
    request.error = error;
    if (clock.Now() + pause < request.give_up) {
      ScheduleResend(id, pause);
      return;
    }
    End(id, outcome, error);
  }

  void End(const std::string& id,
           LoadOutcome outcome,
           const std::string& error) {
    auto it = open.find(id);
    const OpenRequest request = std::move(it->second);
    open.erase(it);
    LoadRequest result;
    result.id = id;
    result.kind = request.arrival.kind;
    result.run = request.arrival.run;
    result.straggler = request.arrival.straggler;
    result.outcome = outcome;
    result.error = error;
    result.latency = clock.Now() - request.due;
    result.at = request.arrival.at;
    result.sends = request.sends;
    if (request.arrival.repeat) {
      repeated[id] = request.arrival.payload;
    }
    results.Add(std::move(result));
    EndIfDone();
  }

  void EndIfDone() {
    if (all_sent && open.empty() && ended) {
      std::exchange(ended, nullptr)();
    }
  }

  // The second answer to a repeated send must also belong to the request.
  void CheckRepeatedAnswer(const std::string& id, const HttpResult& result) {
    auto it = repeated.find(id);
    if (it == repeated.end() || result.status != CallStatus::kAnswered ||
        result.http_status != 200) {
      return;
    }
    Json body = Json::parse(*result.body, nullptr, /*allow_exceptions=*/false);
    if (!body.is_object() || !body.contains("answer") ||
        !check(id, it->second, body["answer"].dump())) {
      LoadRequest mixed;
      mixed.id = id;
      mixed.outcome = LoadOutcome::kMixedUp;
      mixed.error = "repeated_send";
      results.Add(std::move(mixed));
    }
    repeated.erase(it);
  }

  void CancelSelected() {
    for (auto& [id, request] : open) {
      if (!request.arrival.cancel) {
        continue;
      }
      request.cancelled = true;
      HttpCall call;
      call.address = RandomEntry();
      call.method = "DELETE";
      call.target = "/v1/requests/" + id;
      call.timeout = Millis(5'000);
      client.Call(std::move(call), [](const HttpResult&) {});
    }
  }

  boost::asio::io_context& io;
  HttpClient& client;
  const util::Clock& clock;
  LoadPlan& plan;
  util::Random random;
  const Options options;
  const Check check;
  LoadResults results;
  Timer arrivals;
  Timer cancel_timer;
  util::TimePoint started{};
  bool all_sent = false;
  std::function<void()> ended;
  std::unordered_map<std::string, OpenRequest> open;
  std::unordered_map<std::string, std::string> repeated;
};

LoadCaller::LoadCaller(boost::asio::io_context& io,
                       HttpClient& client,
                       const util::Clock& clock,
                       LoadPlan& plan,
                       uint64_t seed,
                       Options options,
                       Check check)
    : impl_(std::make_shared<Impl>(io,
                                   client,
                                   clock,
                                   plan,
                                   seed,
                                   std::move(options),
                                   std::move(check))) {}

LoadCaller::~LoadCaller() = default;

void LoadCaller::Start(std::function<void()> ended) {
  impl_->ended = std::move(ended);
  impl_->started = impl_->clock.Now();
  impl_->ScheduleNext();
  impl_->ScheduleCancellations();
}

const LoadResults& LoadCaller::results() const {
  return impl_->results;
}

}  // namespace chivedale
