// Simulates one dispatcher of a fleet under its share of the fleet's tasks, on a simulated clock, and reports
// how many tasks run concurrently and how many are refused. Workers always have a free slot, start at once
// and take exactly the hinted time, so every refusal comes from the dispatcher's own limits.
#pragma once

#include <cstdint>

namespace woadtide::lab::scale {

// The simulated fleet and its load.
struct AdmissionLoad {
  int workers = 3'200;
  int dispatchers = 300;
  double fleet_starts_per_second = 290;  // task starts of the whole fleet
  double mean_task_seconds = 114;        // mean of an exponential distribution
  double simulated_seconds = 1'200;      // only the second half is counted
};

// What one dispatcher did in the counted half of the run.
struct AdmissionResult {
  double offered_running = 0;  // expected number of concurrent tasks if none were refused
  double mean_running = 0;     // concurrent tasks, averaged over time
  int max_running = 0;         // concurrent tasks, maximum
  int requests = 0;            // including the refused ones
  int refused = 0;
};
// Runs the simulation. The result depends on `load` and `seed` only.
AdmissionResult simulate(const AdmissionLoad& load, std::uint64_t seed);

}  // namespace woadtide::lab::scale
