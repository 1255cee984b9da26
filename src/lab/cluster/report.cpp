#include "lab/cluster/report.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <sstream>
#include <vector>

namespace woadtide::lab::cluster {

namespace {

constexpr double kWide = 900, kHigh = 90, kStepMs = 250;

std::string escaped(const std::string& text) {
  std::string safe;
  for (const char c : text) safe += c == '<' ? "&lt;" : c == '&' ? "&amp;" : std::string(1, c);
  return safe;
}

const char* colour(Kind kind) {
  switch (kind) {
    case Kind::kill:
    case Kind::worker_kill:
    case Kind::supervisor_kill:
    case Kind::controller_kill:
    case Kind::controller_old:
      return "#d33";
    case Kind::stop:
    case Kind::supervisor_stop:
    case Kind::controller_stop:
      return "#b6f";
    case Kind::cut:
      return "#f80";
    case Kind::stall:
    case Kind::one_way:
    case Kind::delay:
      return "#fc4";
    case Kind::corrupt:
      return "#0aa";
    case Kind::drain:
      return "#48f";
  }
  return "#000";
}

// Stacked from below: served, refused, failed, without an answer.
void time_line(std::ostream& out, const Plan& plan, const Books& books, const std::string& node) {
  const double all_ms = plan.scenario.seconds * 1'000 + plan.scenario.budget_ms;
  const auto steps = static_cast<std::size_t>(all_ms / kStepMs) + 1;
  std::vector<std::array<int, 4>> counts(steps);
  for (const Asked& asked : books.asked) {
    if (asked.to != node) continue;
    const auto step = std::min(static_cast<std::size_t>(std::max(asked.asked_ms, 0.0) / kStepMs), steps - 1);
    const std::size_t what = asked.end != Asked::End::answer ? 3
                             : asked.status == 200           ? 0
                             : asked.status == 503           ? 1
                                                             : 2;
    counts[step][what] += 1;
  }
  int most = 1;
  for (const auto& step : counts) most = std::max(most, step[0] + step[1] + step[2] + step[3]);
  constexpr std::array<const char*, 4> kColours = {"#4a4", "#cc8", "#a55", "#000"};
  out << "<h3>" << node << "</h3><svg width=\"" << kWide << "\" height=\"" << kHigh + 16 << "\">";
  for (std::size_t i = 0; i < steps; ++i) {
    double from = kHigh;
    for (std::size_t what = 0; what < 4; ++what) {
      const double high = kHigh * counts[i][what] / most;
      from -= high;
      out << "<rect x=\"" << kWide * static_cast<double>(i) / static_cast<double>(steps) << "\" y=\"" << from
          << "\" width=\"" << kWide / static_cast<double>(steps) << "\" height=\"" << high << "\" fill=\""
          << kColours[what] << "\"/>";
    }
  }
  for (const Fault& fault : plan.faults) {
    const bool ours = fault.at == node || fault.to == node || !is_of_link(fault.kind);
    if (!ours || (fault.kind == Kind::kill && fault.at != node) ||
        (fault.kind == Kind::stop && fault.at != node))
      continue;
    out << "<rect x=\"" << kWide * fault.from_ms / all_ms << "\" y=\"" << kHigh + 4 << "\" width=\""
        << std::max(2.0, kWide * (fault.to_ms - fault.from_ms) / all_ms) << "\" height=\"10\" fill=\""
        << colour(fault.kind) << "\" fill-opacity=\"0.6\"><title>" << word_of(fault.kind) << ' ' << fault.at
        << (fault.to.empty() ? "" : " -> " + fault.to) << "</title></rect>";
  }
  out << "</svg>";
}

}  // namespace

void write_report(const Plan& plan, const Books& books, const Findings& found, const std::string& path) {
  std::ofstream out(path);
  out << "<!doctype html><meta charset=\"utf-8\"><title>seed " << plan.seed << "</title><h2>Seed "
      << plan.seed << ": " << (found.good() ? "good" : "broken") << "</h2><p>" << found.summary()
      << "</p><p>Green: served, sand: refused, red: failed, black: no answer; below them the faults.</p>";
  for (const auto& [node, dial] : plan.clients) time_line(out, plan, books, node);
  out << "<h3>Findings</h3><ul>";
  for (const std::string& line : found.lines) out << "<li>" << escaped(line) << "</li>";
  out << "</ul><h3>Faults</h3><table><tr><th>from<th>to, ms<th>fault<th>at</tr>";
  for (const Fault& fault : plan.faults)
    out << "<tr><td>" << static_cast<int>(fault.from_ms) << "<td>" << static_cast<int>(fault.to_ms) << "<td>"
        << word_of(fault.kind) << "<td>" << fault.at << (fault.to.empty() ? "" : " to " + fault.to)
        << "</tr>";
  out << "</table>\n";
}

}  // namespace woadtide::lab::cluster
