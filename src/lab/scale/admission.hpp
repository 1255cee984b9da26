// One of many dispatchers under its share of the fleet's tasks, on a made-up clock: how many run at once, and
// how many it refuses. Workers always have a free slot, start at once and take just the hinted time, so what
// is refused is refused by the dispatcher's own limits.
#pragma once

#include <cstdint>

namespace woadtide::lab::scale {

struct AdmissionLoad {
  int workers = 3'200;
  int dispatchers = 300;
  double fleet_starts_a_second = 290;
  double task_seconds = 114;  // mean of an exponential distribution
  double seconds = 1'200;     // simulated; the second half is counted
};

struct AdmissionResult {
  double offered_running = 0;  // tasks that would run at once, were none refused
  double mean_running = 0;
  int most_running = 0;
  int asked = 0, refused = 0;
};
AdmissionResult simulate(const AdmissionLoad& load, std::uint64_t seed);

}  // namespace woadtide::lab::scale
