#include "lab/scale/report.hpp"

#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

namespace woadtide::lab::scale {

using nlohmann::json;

namespace {

constexpr int kShellNotFound = 127;  // exit status of the shell for an unknown command
constexpr double kMaxRoundingError = 1e-9;

std::vector<Observation> observations_of(const Series& series) {
  std::vector<Observation> observations;
  for (const Point& point : series.points) observations.push_back({point.size, point.median});
  return observations;
}

// Rounding residue of an exact fit is printed as 0.
std::string format_number(double value) {
  if (std::abs(value) < kMaxRoundingError) return "0";
  char text[32];
  std::snprintf(text, sizeof text, std::abs(value) >= 1e4 ? "%.0f" : "%.4g", value);
  return text;
}

std::string format_with_error(const Estimate& estimate) {
  return format_number(estimate.value) + " +- " + format_number(estimate.standard_error);
}

double largest_size(const Series& series) {
  double largest = 0;
  for (const Point& point : series.points) largest = std::max(largest, point.size);
  return largest;
}

void write_points(std::ostringstream& stream, const Series& series) {
  stream << "  | " << series.against
         << " | median | 10% | 90% | samples |\n  | --- | --- | --- | --- | --- |\n";
  for (const Point& point : series.points)
    stream << "  | " << format_number(point.size) << " | " << format_number(point.median) << " | "
           << format_number(point.low) << " | " << format_number(point.high) << " | " << point.samples
           << " |\n";
}

// Evaluates the line if it fits; otherwise the power law, without an error; otherwise prints that neither
// fits.
void write_target(std::ostringstream& stream, const Series& series, const SeriesFit& fit, double target) {
  const bool line_fits = fit.line.relative_residual <= kMaxLineResidual;
  const std::string note = target > largest_size(series) ? " (extrapolated)" : "";
  if (line_fits)
    stream << "  line at " << format_number(target) << ": " << format_with_error(fit.line.at(target));
  else if (fit.power)
    stream << "  no line fits; power law at " << format_number(target) << ": "
           << format_number(fit.power->at(target));
  else
    stream << "  no line fits, and no power law: nothing is told for " << format_number(target);
  stream << ' ' << series.unit << note << '\n';
}

void write_fit(std::ostringstream& stream, const Series& series, const SeriesFit& fit) {
  if (fit.power)
    stream << "  exponent " << format_with_error(fit.power->exponent) << "; ";
  else
    stream << "  exponent none; ";
  stream << "line " << format_with_error(fit.line.intercept) << " + (" << format_with_error(fit.line.slope)
         << ") x, residual " << format_number(100 * fit.line.relative_residual) << "%\n";
  if (fit.bend)
    stream << "  bends at " << format_number(fit.bend->size) << ": slope "
           << format_number(fit.bend->slope_before) << ", then " << format_number(fit.bend->slope_after)
           << '\n';
  for (const double target : series.targets) write_target(stream, series, fit, target);
}

json as_json(const Estimate& estimate) {
  return {{"value", estimate.value}, {"standard_error", estimate.standard_error}};
}

json as_json(const Series& series, const SeriesFit& fit) {
  json object{{"residual", fit.line.relative_residual},
              {"intercept", as_json(fit.line.intercept)},
              {"slope", as_json(fit.line.slope)}};
  if (fit.power) object["exponent"] = as_json(fit.power->exponent);
  if (fit.bend)
    object["bend"] = {{"size", fit.bend->size},
                      {"slope_before", fit.bend->slope_before},
                      {"slope_after", fit.bend->slope_after}};
  object["line_fits"] = fit.line.relative_residual <= kMaxLineResidual;
  for (const double target : series.targets) {
    json at = as_json(fit.line.at(target));
    at["size"] = target;
    at["extrapolated"] = target > largest_size(series);
    object["at"].push_back(std::move(at));
  }
  return object;
}

// One plot panel for each pair of swept quantity and unit.
std::map<std::pair<std::string, std::string>, std::vector<const Series*>> panels_of(const Report& report) {
  std::map<std::pair<std::string, std::string>, std::vector<const Series*>> panels;
  for (const Series& series : report.series)
    if (!series.points.empty()) panels[{series.against, series.unit}].push_back(&series);
  return panels;
}

std::string gnuplot_quoted(const std::string& text) {
  std::string result = "'";
  for (const char c : text) result += c == '\'' ? std::string("''") : std::string(1, c);
  return result + "'";
}

}  // namespace

std::optional<SeriesFit> fit_series(const Series& series) {
  const std::vector<Observation> observations = observations_of(series);
  try {
    return SeriesFit{fit_line(observations), fit_power(observations), find_bend(observations)};
  } catch (const std::invalid_argument&) {
    return std::nullopt;
  }
}

std::string format_table(const Report& report) {
  std::ostringstream stream;
  stream << "part " << report.part << ", seed " << report.seed << '\n';
  for (const Series& series : report.series) {
    stream << '\n' << series.name << (series.unit.empty() ? "" : " [" + series.unit + "]") << '\n';
    write_points(stream, series);
    const auto fit = fit_series(series);
    if (fit)
      write_fit(stream, series, *fit);
    else
      stream << "  too few points for a fit\n";
  }
  if (!report.facts.empty()) stream << '\n';
  for (const Fact& fact : report.facts)
    stream << fact.name << ": " << format_number(fact.value) << (fact.unit.empty() ? "" : " " + fact.unit)
           << '\n';
  return stream.str();
}

json as_json(const Report& report) {
  json document{
      {"part", report.part}, {"seed", report.seed}, {"series", json::array()}, {"facts", json::array()}};
  for (const Series& series : report.series) {
    json entry{{"name", series.name}, {"against", series.against}, {"unit", series.unit}};
    for (const Point& point : series.points)
      entry["points"].push_back({{"size", point.size},
                                 {"median", point.median},
                                 {"low", point.low},
                                 {"high", point.high},
                                 {"samples", point.samples}});
    if (const auto fit = fit_series(series)) entry["fit"] = as_json(series, *fit);
    document["series"].push_back(std::move(entry));
  }
  for (const Fact& fact : report.facts)
    document["facts"].push_back({{"name", fact.name}, {"value", fact.value}, {"unit", fact.unit}});
  return document;
}

std::string format_gnuplot(const Report& report, const std::string& svg_path) {
  constexpr int kPanelWidth = 900, kPanelHeight = 420;
  const auto panels = panels_of(report);
  std::ostringstream stream;
  stream << "set terminal svg size " << kPanelWidth << ','
         << kPanelHeight * std::max<std::size_t>(panels.size(), 1) << "\nset output "
         << gnuplot_quoted(svg_path) << "\nset multiplot layout " << std::max<std::size_t>(panels.size(), 1)
         << ",1\nset logscale xy\nset key outside right\nset grid\n";
  int block = 0;
  for (const auto& [axes, panel_series] : panels) {
    std::string plot;
    for (const Series* series : panel_series) {
      const std::string data = "$data" + std::to_string(block++);
      stream << data << " << EOD\n";
      for (const Point& point : series->points)
        stream << point.size << ' ' << point.median << ' ' << point.low << ' ' << point.high << '\n';
      stream << "EOD\n";
      plot += (plot.empty() ? "" : ", ") + data + " using 1:2:3:4 with yerrorlines title " +
              gnuplot_quoted(series->name);
    }
    stream << "set xlabel " << gnuplot_quoted(axes.first) << "\nset ylabel "
           << gnuplot_quoted(axes.second.empty() ? "count" : axes.second) << "\nplot " << plot << '\n';
  }
  stream << "unset multiplot\n";
  return stream.str();
}

bool write_svg(const Report& report, const std::string& svg_path) {
  if (std::system("command -v gnuplot >/dev/null 2>&1") != 0) return false;
  std::FILE* const gnuplot = ::popen("gnuplot", "w");
  if (!gnuplot) return false;
  const std::string program = format_gnuplot(report, svg_path);
  const bool written = std::fwrite(program.data(), 1, program.size(), gnuplot) == program.size();
  const int status = ::pclose(gnuplot);
  if (WIFEXITED(status) && WEXITSTATUS(status) == kShellNotFound) return false;
  if (!written || status != 0) throw std::runtime_error("gnuplot failed");
  return true;
}

}  // namespace woadtide::lab::scale
