// The sweeps, one for each part of woadtide.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

// The decision module, by event.
Report run_module_part(const Settings& settings);
// The endpoint list: its size, its codec and its client.
Report run_list_part(const Settings& settings);
// The rollout controller, by number of dispatchers.
Report run_controller_part(const Settings& settings);
// The supervisor's core, by number of excluded workers.
Report run_supervisor_part(const Settings& settings);
// The job store and the lease table.
Report run_store_part(const Settings& settings);
// Calls for the endpoint list after a simultaneous start of all dispatchers, simulated.
Report run_crowd_part(const Settings& settings);
// Concurrent and refused tasks of one dispatcher, simulated.
Report run_admission_part(const Settings& settings);

// The names that run_part() takes.
std::vector<std::string> part_names();
// Runs one sweep by name. Throws std::invalid_argument for an unknown name.
Report run_part(const std::string& name, const Settings& settings);

}  // namespace woadtide::lab::scale
