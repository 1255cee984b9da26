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

constexpr int kShellNotFound = 127;
constexpr double kRoundingError = 1e-9;

std::vector<Observation> observations_of(const Series& series) {
  std::vector<Observation> observations;
  for (const Point& point : series.points) observations.push_back({point.size, point.median});
  return observations;
}

// What is left of an exact fit by rounding is told as 0.
std::string number(double value) {
  if (std::abs(value) < kRoundingError) return "0";
  char text[32];
  std::snprintf(text, sizeof text, std::abs(value) >= 1e4 ? "%.0f" : "%.4g", value);
  return text;
}

std::string with_error(const Estimate& estimate) {
  return number(estimate.value) + " +- " + number(estimate.standard_error);
}

double largest_size(const Series& series) {
  double largest = 0;
  for (const Point& point : series.points) largest = std::max(largest, point.size);
  return largest;
}

void write_points(std::ostringstream& out, const Series& series) {
  out << "  | " << series.against << " | median | 10% | 90% | samples |\n  | --- | --- | --- | --- | --- |\n";
  for (const Point& point : series.points)
    out << "  | " << number(point.size) << " | " << number(point.median) << " | " << number(point.low)
        << " | " << number(point.high) << " | " << point.samples << " |\n";
}

// The line where it fits; else the power law, which has no error told; else nothing.
void write_target(std::ostringstream& out, const Series& series, const SeriesFit& fit, double target) {
  const bool line_fits = fit.line.relative_residual <= kMostResidual;
  const std::string where = target > largest_size(series) ? " (extrapolated)" : "";
  if (line_fits)
    out << "  line at " << number(target) << ": " << with_error(fit.line.at(target));
  else if (fit.power)
    out << "  no line fits; power law at " << number(target) << ": " << number(fit.power->at(target));
  else
    out << "  no line fits, and no power law: nothing is told for " << number(target);
  out << ' ' << series.unit << where << '\n';
}

void write_fit(std::ostringstream& out, const Series& series, const SeriesFit& fit) {
  if (fit.power)
    out << "  exponent " << with_error(fit.power->exponent) << "; ";
  else
    out << "  exponent none; ";
  out << "line " << with_error(fit.line.intercept) << " + (" << with_error(fit.line.slope) << ") x, residual "
      << number(100 * fit.line.relative_residual) << "%\n";
  if (fit.bend)
    out << "  bends at " << number(fit.bend->size) << ": slope " << number(fit.bend->slope_before)
        << ", then " << number(fit.bend->slope_after) << '\n';
  for (const double target : series.targets) write_target(out, series, fit, target);
}

json json_of(const Estimate& estimate) {
  return {{"value", estimate.value}, {"standard_error", estimate.standard_error}};
}

json json_of(const Series& series, const SeriesFit& fit) {
  json object{{"residual", fit.line.relative_residual},
              {"intercept", json_of(fit.line.intercept)},
              {"slope", json_of(fit.line.slope)}};
  if (fit.power) object["exponent"] = json_of(fit.power->exponent);
  if (fit.bend)
    object["bend"] = {{"size", fit.bend->size},
                      {"slope_before", fit.bend->slope_before},
                      {"slope_after", fit.bend->slope_after}};
  object["line_fits"] = fit.line.relative_residual <= kMostResidual;
  for (const double target : series.targets) {
    json at = json_of(fit.line.at(target));
    at["size"] = target;
    at["extrapolated"] = target > largest_size(series);
    object["at"].push_back(std::move(at));
  }
  return object;
}

// One panel for each pair of what grows and unit.
std::map<std::pair<std::string, std::string>, std::vector<const Series*>> panels_of(const Report& report) {
  std::map<std::pair<std::string, std::string>, std::vector<const Series*>> panels;
  for (const Series& series : report.series)
    if (!series.points.empty()) panels[{series.against, series.unit}].push_back(&series);
  return panels;
}

std::string quoted(const std::string& text) {
  std::string out = "'";
  for (const char c : text) out += c == '\'' ? std::string("''") : std::string(1, c);
  return out + "'";
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

std::string table_of(const Report& report) {
  std::ostringstream out;
  out << "part " << report.part << ", seed " << report.seed << '\n';
  for (const Series& series : report.series) {
    out << '\n' << series.name << (series.unit.empty() ? "" : " [" + series.unit + "]") << '\n';
    write_points(out, series);
    const auto fit = fit_series(series);
    if (fit)
      write_fit(out, series, *fit);
    else
      out << "  too few points for a fit\n";
  }
  if (!report.facts.empty()) out << '\n';
  for (const Fact& fact : report.facts)
    out << fact.name << ": " << number(fact.value) << (fact.unit.empty() ? "" : " " + fact.unit) << '\n';
  return out.str();
}

json json_of(const Report& report) {
  json all{{"part", report.part}, {"seed", report.seed}, {"series", json::array()}, {"facts", json::array()}};
  for (const Series& series : report.series) {
    json one{{"name", series.name}, {"against", series.against}, {"unit", series.unit}};
    for (const Point& point : series.points)
      one["points"].push_back({{"size", point.size},
                               {"median", point.median},
                               {"low", point.low},
                               {"high", point.high},
                               {"samples", point.samples}});
    if (const auto fit = fit_series(series)) one["fit"] = json_of(series, *fit);
    all["series"].push_back(std::move(one));
  }
  for (const Fact& fact : report.facts)
    all["facts"].push_back({{"name", fact.name}, {"value", fact.value}, {"unit", fact.unit}});
  return all;
}

std::string plot_of(const Report& report, const std::string& svg_path) {
  constexpr int kPanelWidth = 900, kPanelHeight = 420;
  const auto panels = panels_of(report);
  std::ostringstream out;
  out << "set terminal svg size " << kPanelWidth << ','
      << kPanelHeight * std::max<std::size_t>(panels.size(), 1) << "\nset output " << quoted(svg_path)
      << "\nset multiplot layout " << std::max<std::size_t>(panels.size(), 1)
      << ",1\nset logscale xy\nset key outside right\nset grid\n";
  int block = 0;
  for (const auto& [axes, all] : panels) {
    std::string plot;
    for (const Series* series : all) {
      const std::string data = "$data" + std::to_string(block++);
      out << data << " << EOD\n";
      for (const Point& point : series->points)
        out << point.size << ' ' << point.median << ' ' << point.low << ' ' << point.high << '\n';
      out << "EOD\n";
      plot +=
          (plot.empty() ? "" : ", ") + data + " using 1:2:3:4 with yerrorlines title " + quoted(series->name);
    }
    out << "set xlabel " << quoted(axes.first) << "\nset ylabel "
        << quoted(axes.second.empty() ? "count" : axes.second) << "\nplot " << plot << '\n';
  }
  out << "unset multiplot\n";
  return out.str();
}

bool write_svg(const Report& report, const std::string& svg_path) {
  if (std::system("command -v gnuplot >/dev/null 2>&1") != 0) return false;
  std::FILE* const gnuplot = ::popen("gnuplot", "w");
  if (!gnuplot) return false;
  const std::string program = plot_of(report, svg_path);
  const bool written = std::fwrite(program.data(), 1, program.size(), gnuplot) == program.size();
  const int status = ::pclose(gnuplot);
  if (WIFEXITED(status) && WEXITSTATUS(status) == kShellNotFound) return false;
  if (!written || status != 0) throw std::runtime_error("gnuplot failed");
  return true;
}

}  // namespace woadtide::lab::scale
