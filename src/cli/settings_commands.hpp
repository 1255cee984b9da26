// The sub-command `settings show|diff|check`: what the operator's file sets, how it differs from another one,
// and which differences apply without a restart.
#pragma once

#include <string>
#include <vector>

#include "config/operator_file.hpp"

namespace woadtide::cli {

// A setting with different values in two files. `from` and `to` are JSON.
struct SettingChange {
  std::string key, from, to;  // key: such as "jobs.lease_ms"
};
// Returns all settings that differ, sorted by key.
std::vector<SettingChange> changed_settings(const config::OperatorFile& from, const config::OperatorFile& to);
// Returns true if a change of `key` applies on SIGHUP; other changes apply when the next process starts.
bool applies_on_reload(const std::string& key);

// Returns the exit code. Throws std::runtime_error with one line.
int settings_command(const std::vector<std::string>& words);

}  // namespace woadtide::cli
