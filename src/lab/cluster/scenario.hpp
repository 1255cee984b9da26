// What a run of the rig is made of, from a TOML file.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace woadtide::lab::cluster {

// One rolling change in the midst of a run: dispatchers stand under supervisors then.
struct ChangePlan {
  bool on = false;
  std::string flaw = "none";  // of the new version, see lab/flawed.cpp
  double at_s = 1;            // when it is asked for
  double abort_s = 0;         // when it is aborted; 0: not
  std::vector<int> stages;
  double look_ms = 1'500, bake_ms = 1'000, patience_ms = 8'000, step_ms = 2'500, turn_ms = 200;
  double margin = 0.15, false_stop = 0.02, false_go = 0.1;
};

struct Scenario {
  int dispatchers = 3, workers = 4;
  double seconds = 6;
  double rate = 60;      // queries a second, in all, open loop
  double payouts = 0.4;  // share of them
  double budget_ms = 2'000;
  double grace_ms = 300;  // after a drain was told
  double most_s = 1.5;    // a fault's longest time
  bool steady = false;    // workers whose executions take 5 to 30 ms, and end well
  int zones = 1;          // dispatchers and workers are dealt out to them in turn
  ChangePlan change;
  std::map<std::string, int> faults;  // by kind, see schedule.hpp: how many are drawn
};

// Throws std::runtime_error, with file and line, where a key is unknown or a value cannot be.
Scenario read_scenario(const std::string& path);

}  // namespace woadtide::lab::cluster
