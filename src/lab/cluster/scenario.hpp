// What a run of the rig is made of, from a TOML file.
#pragma once

#include <map>
#include <string>

namespace woadtide::lab::cluster {

struct Scenario {
  int dispatchers = 3, workers = 4;
  double seconds = 6;
  double rate = 60;      // queries a second, in all, open loop
  double payouts = 0.4;  // share of them
  double budget_ms = 2'000;
  double grace_ms = 300;              // after a drain was told
  double most_s = 1.5;                // a fault's longest time
  std::map<std::string, int> faults;  // by kind, see schedule.hpp: how many are drawn
};

// Throws std::runtime_error, with file and line, where a key is unknown or a value cannot be.
Scenario read_scenario(const std::string& path);

}  // namespace woadtide::lab::cluster
