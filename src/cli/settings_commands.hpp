// `settings show|diff|check`: what the operator's file sets, in what it differs from another one, and what of
// that takes hold in service.
#pragma once

#include <string>
#include <vector>

#include "config/operator_file.hpp"

namespace woadtide::cli {

struct Changed {
  std::string key, from, to;
};
// By key, as "jobs.lease_ms".
std::vector<Changed> differences(const config::OperatorFile& one, const config::OperatorFile& other);
// On SIGHUP; the others wait for a next process.
bool changes_live(const std::string& key);

// The exit code. Throws std::runtime_error with one line.
int settings_command(const std::vector<std::string>& words);

}  // namespace woadtide::cli
