#include "cell/status_page.h"

#include <nlohmann/json.hpp>
#include <sstream>

namespace chivedale::cell {
namespace {

using nlohmann::json;

// Names from the store may be invalid UTF-8.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void WriteAccounts(const AccountLedger& ledger, std::ostream& out) {
  struct Column {
    std::string_view name;
    int64_t Resources::*amount;
  };
  static constexpr Column kColumns[] = {
      {"cpu_milli", &Resources::cpu_milli},
      {"memory_mb", &Resources::memory_mb},
      {"accelerators", &Resources::accelerators}};
  for (const auto& [name, account] : ledger.accounts()) {
    // Quoted as a JSON string, whose escapes the text format shares.
    const std::string label = "account=" + Dump(name);
    for (const Column& column : kColumns) {
      const auto write = [&](std::string_view metric, const Resources& value) {
        out << "chivedale_account_" << metric << "{" << label << ",resource=\""
            << column.name << "\"} " << value.*column.amount << "\n";
      };
      write("use", account->use);
      write("limit", account->policy.limit);
    }
    const auto write_jobs = [&](std::string_view share, int64_t jobs) {
      out << "chivedale_account_jobs_total{" << label << ",share=\"" << share
          << "\"} " << jobs << "\n";
    };
    write_jobs("within", account->jobs_within_share);
    write_jobs("over", account->jobs_over_share);
  }
}

std::string MetricsText(const CellNode& node) {
  std::ostringstream out;
  out << "chivedale_leading " << (node.leading() ? 1 : 0) << "\n"
      << "chivedale_ready " << (node.ready() ? 1 : 0) << "\n"
      << "chivedale_table_version " << node.table()->version << "\n"
      << "chivedale_table_confirmed_age_ms "
      << (node.freshness().Age()
              ? std::chrono::duration_cast<Millis>(*node.freshness().Age())
                    .count()
              : -1)
      << "\n"
      << "chivedale_store_calls_total " << node.store_calls() << "\n";
  if (const CellLeader* leader = node.leader()) {
    const LeaderCounts& counts = leader->counts();
    const WaitCounts& waits = leader->wait_counts();
    out << "chivedale_jobs " << leader->jobs() << "\n"
        << "chivedale_executors " << leader->executors().size() << "\n"
        << "chivedale_term " << leader->leadership().term << "\n"
        << "chivedale_starts_total " << counts.starts << "\n"
        << "chivedale_ends_total " << counts.ends << "\n"
        << "chivedale_stops_total " << counts.stops << "\n"
        << "chivedale_preempted_total " << counts.preempted << "\n"
        << "chivedale_executors_avoided_total " << counts.avoided << "\n"
        << "chivedale_probes_total " << counts.probes << "\n"
        << "chivedale_holds_total " << counts.holds << "\n"
        << "chivedale_passes_total " << counts.passes << "\n"
        << "chivedale_advice_calls_total " << counts.advice << "\n"
        << "chivedale_progress_writes_total " << counts.progress_writes << "\n"
        << "chivedale_progress_writes_rejected_total " << counts.rejected_writes
        << "\n"
        << "chivedale_steps_waiting " << waits.waiting << "\n"
        << "chivedale_steps_waiting_long " << waits.waiting_long << "\n"
        << "chivedale_unread_jobs " << leader->unread_jobs() << "\n"
        << "chivedale_steps_not_queued " << waits.not_queued << "\n";
    WriteAccounts(leader->account_ledger(), out);
  }
  const auto& refused = node.refusals().counts();
  for (size_t i = 0; i < refused.size(); ++i) {
    out << "chivedale_calls_refused_total{reason=\"" << kRefusalReasonNames[i]
        << "\"} " << refused[i] << "\n";
  }
  out << node.metrics().PrometheusText();
  return out.str();
}

std::string StatusText(const CellNode& node) {
  json status = {{"leading", node.leading()},
                 {"ready", node.ready()},
                 {"table_version", node.table()->version}};
  if (const auto& leader = node.election().leader()) {
    status["leader"] = {{"node", leader->node}, {"term", leader->term}};
  }
  if (const CellLeader* leader = node.leader()) {
    status["jobs"] = leader->jobs();
    json executors = json::array();
    for (const auto& [id, executor] : leader->executors()) {
      executors.push_back({{"id", id},
                           {"pool", executor->entry.pool},
                           {"adopted", executor->boot.adopted},
                           {"listed", executor->listed},
                           {"draining", executor->entry.draining},
                           {"misses", executor->missed_holds},
                           {"runs", executor->runs().size()}});
    }
    status["executors"] = std::move(executors);
  }
  return Dump(status);
}

constexpr char kJobsPath[] = "/jobs/";

int64_t ToMillis(Duration time) {
  return std::chrono::duration_cast<Millis>(time).count();
}

json StepRow(const CellLeader::StepView& view) {
  json row = {{"occurrence", view.occurrence}, {"step", view.step},
              {"tasks", view.tasks},           {"done", view.done},
              {"running", view.running},       {"waiting", view.waiting}};
  if (view.waits_for.empty()) {
    return row;
  }
  row["waits_for"] = view.waits_for;
  row["waits_for_ms"] = ToMillis(view.waits_for_time);
  row["waiting_ms"] = ToMillis(view.waiting_time);
  row["queued"] = view.queued;
  row["unconfirmed"] = view.unconfirmed;
  row["stopping"] = view.stopping;
  row["last_pass"] = view.last_pass;
  if (view.last_pass > 0) {
    row["last_pass_age_ms"] = ToMillis(view.last_pass_age);
  }
  row["starts"] = view.starts;
  row["rejected"] = view.rejected;
  row["unanswered"] = view.unanswered;
  if (!view.last_result.empty()) {
    row["last_result"] = view.last_result;
    row["last_executor"] = view.last_executor;
  }
  return row;
}

// The leader's view of a job. Other members refer to the leader.
HttpResponse JobPage(const CellNode& node, const JobId& id) {
  const CellLeader* leader = node.leader();
  if (leader == nullptr) {
    const auto& elected = node.election().leader();
    return HttpResponse::Problem(
        ErrorKind::kNotFound,
        elected ? "ask the leader, " + elected->node : "no leader is known");
  }
  const auto state = leader->Find(id);
  if (!state) {
    return HttpResponse::Problem(ErrorKind::kNotFound, "no job " + id);
  }
  json steps = json::array();
  for (const CellLeader::StepView& view : leader->DescribeSteps(id)) {
    steps.push_back(StepRow(view));
  }
  return HttpResponse::Json(200,
                            Dump({{"id", id},
                                  {"state", std::string(JobStateName(*state))},
                                  {"passes", leader->counts().passes},
                                  {"steps", std::move(steps)}}));
}

}  // namespace

HttpResponse StatusPage(const CellNode& node, const std::string& target) {
  if (target == "/metrics") {
    HttpResponse response = HttpResponse::Json(200, MetricsText(node));
    response.content_type = "text/plain; version=0.0.4";
    return response;
  }
  if (target == "/status") {
    return HttpResponse::Json(200, StatusText(node));
  }
  if (target.compare(0, sizeof kJobsPath - 1, kJobsPath) == 0) {
    return JobPage(node, target.substr(sizeof kJobsPath - 1));
  }
  return HttpResponse::Problem(ErrorKind::kNotFound, target);
}

}  // namespace chivedale::cell
