// Each row has three plots: the burn rate per window on a logarithmic axis with
// lines at the alarm rates, the waits of the last hour, and the lost work by
// cause. Every bar shows its value as text or as a tooltip.
#include "chivedale/burn_html.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <string_view>

namespace chivedale {
namespace {

constexpr std::array<std::string_view, kBurnWindows.size()> kWindowNames = {
    "5 min", "1 h", "6 h", "3 d"};
constexpr int kPlotWidth = 300;
constexpr int kPlotHeight = 150;
constexpr int kBase = 120;  // y of the horizontal axis
constexpr int kTop = 20;
// Range of the burn-rate axis; rates outside it are clamped.
constexpr double kLowestRate = 0.01;
constexpr double kHighestRate = 100;

constexpr char kHead[] = R"(<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>
:root { color-scheme: light dark; --text: #1b1f24; --dim: #59636e;
  --back: #ffffff; --line: #d0d7de; --bar: #2f6fb5; --bad: #b3261e;
  --warn: #8a5a00; }
@media (prefers-color-scheme: dark) {
  :root { --text: #e6edf3; --dim: #9aa4ae; --back: #0f1419; --line: #343b43;
    --bar: #6cb0f5; --bad: #ff7b72; --warn: #e3a73b; } }
body { font: 15px/1.45 system-ui, sans-serif; margin: 2rem auto;
  max-width: 66rem; padding: 0 1rem; color: var(--text);
  background: var(--back); }
h1 { font-size: 1.4rem; } h2 { font-size: 1.1rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .3rem .6rem;
  border-bottom: 1px solid var(--line); }
th:first-child, td:first-child { text-align: left; }
.plots { display: flex; flex-wrap: wrap; gap: 1rem; }
figure { margin: 0; } figcaption { color: var(--dim); }
svg text { fill: var(--dim); font: 11px system-ui, sans-serif; }
.bar { fill: var(--bar); } .loss { fill: var(--bad); }
.axis { stroke: var(--line); } .page { stroke: var(--bad); }
.ticket { stroke: var(--warn); }
.alarm { color: var(--bad); font-weight: 600; }
.gap { color: var(--warn); }
</style>
</head>
<body>
<h1>Service-level burn</h1>
)";

std::string Escaped(std::string_view text) {
  std::string out;
  for (char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

std::string Number(double value, int digits = 1) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.*f", digits, value);
  return text.data();
}

std::string TextAt(double x, double y, const std::string& text) {
  return "<text text-anchor=\"middle\" x=\"" + Number(x) + "\" y=\"" +
         Number(y) + "\">" + Escaped(text) + "</text>\n";
}

std::string Bar(double x,
                double width,
                double height,
                const std::string& style,
                const std::string& title) {
  return "<rect class=\"" + style + "\" x=\"" + Number(x) + "\" y=\"" +
         Number(kBase - height) + "\" width=\"" + Number(width) +
         "\" height=\"" + Number(height) + "\"><title>" + Escaped(title) +
         "</title></rect>\n";
}

std::string Line(const std::string& style, double y) {
  return "<line class=\"" + style + "\" x1=\"0\" x2=\"" +
         std::to_string(kPlotWidth) + "\" y1=\"" + Number(y) + "\" y2=\"" +
         Number(y) + "\"/>\n";
}

std::string Plot(const std::string& caption, const std::string& content) {
  return "<figure><svg role=\"img\" aria-label=\"" + Escaped(caption) +
         "\" width=\"" + std::to_string(kPlotWidth) + "\" height=\"" +
         std::to_string(kPlotHeight) + "\" viewBox=\"0 0 " +
         std::to_string(kPlotWidth) + " " + std::to_string(kPlotHeight) +
         "\">\n" + content + Line("axis", kBase) + "</svg><figcaption>" +
         Escaped(caption) + "</figcaption></figure>\n";
}

double RateHeight(double rate) {
  const double bounded = std::clamp(rate, kLowestRate, kHighestRate);
  return (kBase - kTop) * std::log10(bounded / kLowestRate) /
         std::log10(kHighestRate / kLowestRate);
}

std::string RatePlot(const BurnRow& row) {
  std::string content = Line("page", kBase - RateHeight(kPageBurnRate)) +
                        Line("ticket", kBase - RateHeight(kTicketBurnRate));
  const double step = double{kPlotWidth} / kBurnWindows.size();
  for (size_t i = 0; i < kBurnWindows.size(); ++i) {
    const double x = step * static_cast<double>(i);
    const double height = RateHeight(row.burn_rate[i]);
    const std::string rate = Number(row.burn_rate[i], 2);
    content += Bar(x + step * 0.2, step * 0.6, height, "bar",
                   std::string(kWindowNames[i]) + ": " + rate) +
               TextAt(x + step / 2, kBase - height - 4, rate) +
               TextAt(x + step / 2, kBase + 15, std::string(kWindowNames[i]));
  }
  return Plot("Burn rate (logarithmic); lines at 1 (ticket) and 14.4 (page)",
              content);
}

std::string WaitPlot(const std::vector<int64_t>& buckets) {
  const int64_t highest =
      buckets.empty() ? 0 : *std::max_element(buckets.begin(), buckets.end());
  std::string content;
  const double step = double{kPlotWidth} / kBurnWaitBuckets;
  for (size_t i = 0; i < buckets.size() && highest > 0; ++i) {
    if (buckets[i] > 0) {
      const double height = (kBase - kTop) * static_cast<double>(buckets[i]) /
                            static_cast<double>(highest);
      content += Bar(step * static_cast<double>(i), step, height, "bar",
                     "up to " + Number(BurnWaitBound(static_cast<int>(i)), 0) +
                         " ms: " + std::to_string(buckets[i]));
    }
  }
  static constexpr std::array<const char*, 4> kLabels = {"1 ms", "100 ms",
                                                         "10 s", "17 min"};
  for (size_t i = 0; i < kLabels.size(); ++i) {
    content += TextAt(std::max(step * 20 * static_cast<double>(i), 16.0),
                      kBase + 15, kLabels[i]);
  }
  return Plot("Waits of the last hour", content);
}

std::string CausePlot(const BurnRow& row) {
  const BurnWindow& window = row.windows.back();
  const int64_t highest =
      *std::max_element(window.causes.begin(), window.causes.end());
  std::string content;
  const double step = double{kPlotWidth} / kBurnCauseCount;
  for (int i = 0; i < kBurnCauseCount; ++i) {
    const int64_t count = window.causes[static_cast<size_t>(i)];
    const double height = highest == 0
                              ? 0
                              : (kBase - kTop) * static_cast<double>(count) /
                                    static_cast<double>(highest);
    const std::string name(BurnCauseName(static_cast<BurnCause>(i)));
    content +=
        Bar(step * (i + 0.2), step * 0.6, height, "loss",
            name + ": " + std::to_string(count)) +
        TextAt(step * (i + 0.5), kBase - height - 4, std::to_string(count)) +
        TextAt(step * (i + 0.5), kBase + 15, name);
  }
  return Plot("Lost work of the last 3 d by cause", content);
}

std::string Alarm(const BurnRow& row) {
  if (row.page) {
    return "<span class=\"alarm\">page</span>";
  }
  return row.ticket ? "<span class=\"gap\">ticket</span>" : "none";
}

std::string Exhaustion(const BurnRow& row) {
  if (row.exhausted) {
    return "used up";
  }
  const double hours =
      static_cast<double>(row.time_to_exhaustion.count()) / 3'600'000;
  return hours <= 0 ? "-" : Number(hours) + " h";
}

std::string SummaryTable(const BurnReport& report) {
  std::string out =
      "<table>\n<tr><th>Kind</th><th>Objective</th><th>Alarm</th>"
      "<th>5 min</th><th>1 h</th><th>6 h</th><th>3 d</th>"
      "<th>Budget lasts</th><th>p50 ms</th><th>p99 ms</th>"
      "<th>Largest cause</th></tr>\n";
  for (const BurnRow& row : report.rows) {
    out += "<tr><td>" + Escaped(row.kind) + "</td><td>" +
           Number(row.objective.share * 100, 2) + "% in " +
           std::to_string(row.objective.wait.count()) + " ms</td><td>" +
           Alarm(row) + "</td>";
    for (double rate : row.burn_rate) {
      out += "<td>" + Number(rate, 2) + "</td>";
    }
    const bool lost = row.windows.back().bad > 0;
    out += "<td>" + Exhaustion(row) + "</td><td>" + Number(row.wait_p50_ms, 0) +
           "</td><td>" + Number(row.wait_p99_ms, 0) + "</td><td>" +
           (lost ? std::string(BurnCauseName(row.largest_cause)) : "-") +
           "</td></tr>\n";
  }
  return out + "</table>\n";
}

}  // namespace

std::string BurnReportToHtml(const std::vector<BurnSnapshot>& parts,
                             const std::vector<std::string>& missing) {
  BurnReport report = EvaluateBurn(parts);
  report.gaps.insert(report.gaps.end(), missing.begin(), missing.end());
  const BurnSnapshot merged = MergeBurn(parts);
  std::string page = kHead;
  page += "<p>From " + std::to_string(parts.size()) +
          " daemon(s): " + Escaped(merged.member) + ".</p>\n";
  for (const std::string& gap : report.gaps) {
    page += "<p class=\"gap\">" + Escaped(gap) + "</p>\n";
  }
  page += report.rows.empty() ? "<p>No work in the last 3 d.</p>\n"
                              : SummaryTable(report);
  for (const BurnRow& row : report.rows) {
    page += "<h2>" + Escaped(row.kind) + "</h2>\n<div class=\"plots\">\n" +
            RatePlot(row) + WaitPlot(merged.rows.at(row.kind).wait_buckets) +
            CausePlot(row) + "</div>\n";
  }
  return page + "</body>\n</html>\n";
}

}  // namespace chivedale
