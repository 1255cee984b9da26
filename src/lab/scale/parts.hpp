// The parts of woadtide that are swept, each on its own.
#pragma once

#include <string>
#include <vector>

#include "lab/scale/sweep.hpp"

namespace woadtide::lab::scale {

Report run_module_part(const Settings& settings);
Report run_list_part(const Settings& settings);
Report run_controller_part(const Settings& settings);
Report run_supervisor_part(const Settings& settings);
Report run_store_part(const Settings& settings);
Report run_crowd_part(const Settings& settings);
Report run_admission_part(const Settings& settings);

// The names that run_part() takes.
std::vector<std::string> part_names();
// Throws std::invalid_argument for a part that there is not.
Report run_part(const std::string& name, const Settings& settings);

}  // namespace woadtide::lab::scale
