// The sub-command `woadtide-lab scale`: runs one sweep and writes its report.
#pragma once

#include <string>

#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

// The parsed command line.
struct CommandOptions {
  std::string part;                 // one of part_names()
  std::string json_file, svg_file;  // paths; empty: not written
  Settings settings;
};
// Prints the table to standard output and returns the program's exit code. Throws std::invalid_argument for
// an unknown part and std::runtime_error if a file cannot be written or gnuplot fails.
int run_command(const CommandOptions& options);

}  // namespace woadtide::lab::scale
