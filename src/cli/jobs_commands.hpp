// The sub-commands of durable jobs: `jobs list|show|settle` ask the running process at its operators'
// address, `store check|compact` work on the file of one that does not run.
#pragma once

#include <string>
#include <vector>

#include "config/operator_file.hpp"

namespace woadtide::cli {

struct Words {  // of the command line, behind `jobs` or `store`
  std::vector<std::string> places;
  std::string state, as, who, why;
  long long keep_hours = -1;  // below 0: as the file says
};

// The exit code. Throws std::runtime_error with one line.
int jobs_command(const Words& words, const config::JobsPart& part);
int store_command(const Words& words, const config::JobsPart& part);

}  // namespace woadtide::cli
