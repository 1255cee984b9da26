// A sweep's report as a table, as JSON and as a plot, with a fit for each series.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>

#include "lab/scale/fit.hpp"
#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

struct SeriesFit {
  LineFit line;
  std::optional<PowerFit> power;
  std::optional<Bend> bend;
};
// nullopt where a series has too few points.
std::optional<SeriesFit> fit_series(const Series& series);

std::string table_of(const Report& report);
nlohmann::json json_of(const Report& report);
// The gnuplot program that draws the report into `svg_path`, data included.
std::string plot_of(const Report& report, const std::string& svg_path);
// False where there is no gnuplot on this machine. Throws std::runtime_error where gnuplot fails.
bool write_svg(const Report& report, const std::string& svg_path);

}  // namespace woadtide::lab::scale
