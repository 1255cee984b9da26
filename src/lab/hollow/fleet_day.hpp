// Generates one day of a fleet: changes of its workers, as changes of discovery's list. Drawn from a seed;
// the same seed gives the same day. Uses no sockets and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

// How much happens on the day, and how fast it passes.
struct FleetDaySettings {
  std::size_t workers = 3'200;
  double speed = 1;  // factor by which the day passes faster than 24 h
  std::uint64_t seed = 1;
  double start_ms = 0;  // Unix time (ms) when the day starts; restarted workers list their start time
  // Counts for a fleet of kReferenceWorkers. Failures, restarts and weight changes scale with the fleet's
  // size and are at least one; rack and zone failures do not scale.
  static constexpr std::size_t kReferenceWorkers = 3'200;
  int failures = 61;           // a machine fails and returns
  int restarts = 1'000;        // a worker drains, leaves the list and starts again
  int rack_failures = 1;       // the 40 machines of a rack fail within a second and return
  int zone_failures = 1;       // all machines of a zone fail within a minute and return
  int weight_changes = 1'300;  // changes of a worker's weight
};

// One change of discovery's list.
struct FleetChange {
  double at_ms = 0;  // real time since the day started
  core::Endpoint endpoint;
};

// Returns the day's changes, ordered by time.
std::vector<FleetChange> generate_day(const FleetDaySettings& settings);

}  // namespace woadtide::lab::hollow
