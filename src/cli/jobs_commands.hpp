// The sub-commands for durable jobs: `jobs list|show|settle` query the running process at its operators'
// address, `store check|compact` work on the file of a dispatcher that does not run.
#pragma once

#include <string>
#include <vector>

#include "config/operator_file.hpp"

namespace woadtide::cli {

// The command line after `jobs` or `store`.
struct JobArguments {
  std::vector<std::string> positional;  // positional arguments
  std::string state, as, who, why;      // values of the options of the same names
  long long keep_hours = -1;            // negative: as set in the file
};

// Both return the exit code and throw std::runtime_error with one line.
int jobs_command(const JobArguments& arguments, const config::JobsSettings& settings);
int store_command(const JobArguments& arguments, const config::JobsSettings& settings);

}  // namespace woadtide::cli
