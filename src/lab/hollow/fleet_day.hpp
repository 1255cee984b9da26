// What happens to the workers of a fleet on one day, as changes of discovery's list: drawn from a seed, and
// the same for the same seed. Knows no sockets and no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "core/host_list.hpp"

namespace woadtide::lab::hollow {

struct FleetDaySettings {
  std::size_t workers = 3'200;
  double speed = 1;  // so many times faster than a day of 24 h
  std::uint64_t seed = 1;
  double start_ms = 0;  // Unix time of the day's begin: workers that start again say when
  // Of a fleet of kReferenceWorkers; another size has its share of them, one at least.
  static constexpr std::size_t kReferenceWorkers = 3'200;
  int failures = 61;          // a machine is lost, and comes back
  int restarts = 1'000;       // drained, gone, and started again
  int racks = 1;              // kRackWorkers machines are lost within a second, and come back
  int zones = 1;              // all machines of a zone are, over a minute
  int other_changes = 1'300;  // of a worker's weight
};

struct FleetChange {
  double at_ms = 0;  // since the day's begin, speed counted in
  core::Host host;
};

// By time.
std::vector<FleetChange> draw_day(const FleetDaySettings& settings);

}  // namespace woadtide::lab::hollow
