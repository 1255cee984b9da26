// Service discovery process of a run. It sends each dispatcher a list with the addresses of its own relays,
// drains workers by the schedule, and records what was written to which dispatcher and when.
#pragma once

#include <string>

namespace woadtide::lab::cluster {

// Serves until the process is killed. Throws if the plan or the port cannot be used.
[[noreturn]] void run_registry(const std::string& plan, const std::string& record);

}  // namespace woadtide::lab::cluster
