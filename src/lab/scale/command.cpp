#include "lab/scale/command.hpp"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "lab/scale/parts.hpp"
#include "lab/scale/report.hpp"

namespace woadtide::lab::scale {

int run_command(const CommandOptions& options) {
  const Report report = run_part(options.part, options.settings);
  std::cout << format_table(report) << std::flush;
  if (!options.json_file.empty()) {
    std::ofstream file(options.json_file);
    file << as_json(report).dump(2) << '\n';
    if (!file.flush()) throw std::runtime_error(options.json_file + ": cannot be written");
  }
  if (!options.svg_file.empty() && !write_svg(report, options.svg_file))
    std::cout << "no plot: gnuplot is not installed (package gnuplot-nox)\n";
  return 0;
}

}  // namespace woadtide::lab::scale
