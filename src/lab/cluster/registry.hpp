// Discovery as a process of a run: to each dispatcher a list of its own dials, drains by the schedule, and a
// record of what was written to whom, when.
#pragma once

#include <string>

namespace woadtide::lab::cluster {

// Serves until it is killed. Throws where the plan or the port cannot be used.
[[noreturn]] void run_registry(const std::string& plan, const std::string& record);

}  // namespace woadtide::lab::cluster
