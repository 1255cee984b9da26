// The sub-command `woadtide-lab scale`.
#pragma once

#include <string>

#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

struct CommandOptions {
  std::string part;
  std::string json_file, svg_file;  // empty: not written
  Settings settings;
};
// Prints the table to standard output. The program's exit code.
int run_command(const CommandOptions& options);

}  // namespace woadtide::lab::scale
