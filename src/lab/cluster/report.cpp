#include "lab/cluster/report.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <vector>

namespace woadtide::lab::cluster {

namespace {

constexpr double kWidthPx = 900, kHeightPx = 90, kBinMs = 250;

std::string escaped(const std::string& text) {
  std::string result;
  for (const char c : text) result += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  return result;
}

const char* colour(FaultKind kind) {
  switch (kind) {
    case FaultKind::kill:
    case FaultKind::worker_kill:
    case FaultKind::supervisor_kill:
    case FaultKind::controller_kill:
    case FaultKind::controller_old:
      return "#d33";
    case FaultKind::stop:
    case FaultKind::supervisor_stop:
    case FaultKind::controller_stop:
      return "#b6f";
    case FaultKind::cut:
      return "#f80";
    case FaultKind::stall:
    case FaultKind::one_way:
    case FaultKind::delay:
      return "#fc4";
    case FaultKind::corrupt:
      return "#0aa";
    case FaultKind::drain:
      return "#48f";
  }
  return "#000";
}

// Bars stacked from the bottom: served, refused, failed, no answer.
void write_timeline(std::ostream& html, const Plan& plan, const RunRecords& records,
                    const std::string& dispatcher) {
  const double total_ms = plan.scenario.seconds * 1'000 + plan.scenario.budget_ms;
  const auto bin_count = static_cast<std::size_t>(total_ms / kBinMs) + 1;
  std::vector<std::array<int, 4>> counts(bin_count);
  for (const QueryRecord& query : records.queries) {
    if (query.dispatcher != dispatcher) continue;
    const auto bin = std::min(static_cast<std::size_t>(std::max(query.sent_ms, 0.0) / kBinMs), bin_count - 1);
    const std::size_t category = query.outcome != QueryRecord::Outcome::answered ? 3
                                 : query.status == 200                           ? 0
                                 : query.status == 503                           ? 1
                                                                                 : 2;
    counts[bin][category] += 1;
  }
  int max_count = 1;
  for (const auto& bin : counts) max_count = std::max(max_count, bin[0] + bin[1] + bin[2] + bin[3]);
  constexpr std::array<const char*, 4> kCategoryColours = {"#4a4", "#cc8", "#a55", "#000"};
  html << "<h3>" << dispatcher << "</h3><svg width=\"" << kWidthPx << "\" height=\"" << kHeightPx + 16
       << "\">";
  for (std::size_t i = 0; i < bin_count; ++i) {
    double bottom = kHeightPx;
    for (std::size_t category = 0; category < 4; ++category) {
      const double height = kHeightPx * counts[i][category] / max_count;
      bottom -= height;
      html << "<rect x=\"" << kWidthPx * static_cast<double>(i) / static_cast<double>(bin_count) << "\" y=\""
           << bottom << "\" width=\"" << kWidthPx / static_cast<double>(bin_count) << "\" height=\"" << height
           << "\" fill=\"" << kCategoryColours[category] << "\"/>";
    }
  }
  for (const Fault& fault : plan.faults) {
    const bool is_shown =
        fault.process == dispatcher || fault.peer == dispatcher || !is_link_fault(fault.kind);
    if (!is_shown || (fault.kind == FaultKind::kill && fault.process != dispatcher) ||
        (fault.kind == FaultKind::stop && fault.process != dispatcher))
      continue;
    html << "<rect x=\"" << kWidthPx * fault.from_ms / total_ms << "\" y=\"" << kHeightPx + 4 << "\" width=\""
         << std::max(2.0, kWidthPx * (fault.to_ms - fault.from_ms) / total_ms) << "\" height=\"10\" fill=\""
         << colour(fault.kind) << "\" fill-opacity=\"0.6\"><title>" << fault_kind_name(fault.kind) << ' '
         << fault.process << (fault.peer.empty() ? "" : " -> " + fault.peer) << "</title></rect>";
  }
  html << "</svg>";
}

}  // namespace

void write_report(const Plan& plan, const RunRecords& records, const Findings& findings,
                  const std::string& path) {
  std::ofstream html(path);
  html << "<!doctype html><meta charset=\"utf-8\"><title>seed " << plan.seed << "</title><h2>Seed "
       << plan.seed << ": " << (findings.good() ? "good" : "broken") << "</h2><p>" << findings.summary()
       << "</p><p>Green: served, sand: refused, red: failed, black: no answer; below them the faults.</p>";
  for (const auto& [dispatcher, address] : plan.client_addresses)
    write_timeline(html, plan, records, dispatcher);
  html << "<h3>Findings</h3><ul>";
  for (const std::string& line : findings.lines) html << "<li>" << escaped(line) << "</li>";
  html << "</ul><h3>Faults</h3><table><tr><th>from<th>to, ms<th>fault<th>at</tr>";
  for (const Fault& fault : plan.faults)
    html << "<tr><td>" << static_cast<int>(fault.from_ms) << "<td>" << static_cast<int>(fault.to_ms) << "<td>"
         << fault_kind_name(fault.kind) << "<td>" << fault.process
         << (fault.peer.empty() ? "" : " to " + fault.peer) << "</tr>";
  html << "</table>\n";
}

}  // namespace woadtide::lab::cluster
