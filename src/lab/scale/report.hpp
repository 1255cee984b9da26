// Formats a sweep's report as a table, as JSON and as a plot, with a fit for each series.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "lab/scale/fit.hpp"
#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

// The fits of one series.
struct SeriesFit {
  LineFit line;
  std::optional<PowerFit> power;
  std::optional<Bend> bend;
};
// Fits the medians of a series; nullopt if it has too few points.
std::optional<SeriesFit> fit_series(const Series& series);

// The report as text.
std::string format_table(const Report& report);
// The report as JSON.
nlohmann::json as_json(const Report& report);
// The gnuplot program that draws the report into `svg_path`, including the data.
std::string format_gnuplot(const Report& report, const std::string& svg_path);
// Draws the report with gnuplot. Returns false if gnuplot is not installed. Throws std::runtime_error if
// gnuplot fails.
bool write_svg(const Report& report, const std::string& svg_path);

}  // namespace woadtide::lab::scale
