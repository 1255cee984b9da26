// Client process of a run: generates open-loop load for one dispatcher, whatever the outcome of earlier
// queries, and records what the clients saw.
#pragma once

#include <string>

namespace woadtide::lab::cluster {

// Returns when the time of the run is over and all queries have ended. `dispatcher` is its name.
void run_clients(const std::string& plan_path, const std::string& dispatcher, const std::string& record_path);

}  // namespace woadtide::lab::cluster
