// The clients of one dispatcher as a process of a run: open-loop load, whatever comes of it, and what they
// saw.
#pragma once

#include <string>

namespace woadtide::lab::cluster {

// Returns when the run's time is over and all queries have ended. `to`: the dispatcher's name.
void run_clients(const std::string& plan, const std::string& to, const std::string& record);

}  // namespace woadtide::lab::cluster
