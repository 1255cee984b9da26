// Scenario of a multi-process test run, read from a TOML file.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace woadtide::lab::cluster {

// A rolling change during the run. With one, every dispatcher runs under a supervisor.
struct ChangeScenario {
  bool enabled = false;
  std::string flaw = "none";  // defect of the new version, see lab/flawed.cpp
  double at_s = 1;            // when it is requested, s after the start of the run
  double abort_s = 0;         // when it is aborted, s after the start of the run; 0: never
  std::vector<int> stages;    // dispatchers on the new version after each stage
  // Settings of the rollout controller, under the same names.
  double look_ms = 1'500, bake_ms = 1'000, patience_ms = 8'000, step_ms = 2'500, turn_ms = 200;
  double margin = 0.15, false_stop = 0.02, false_go = 0.1;
};

// Number of processes, load and faults of one run. Members carry the names of their keys.
struct Scenario {
  int dispatchers = 3, workers = 4;
  double seconds = 6;
  double rate = 60;          // queries per second over all dispatchers, open loop
  double payouts = 0.4;      // share of queries of the at-most-once class
  double budget_ms = 2'000;  // time limit of each query
  double grace_ms = 300;     // how long a worker may still be sent queries after its drain was announced
  double most_s = 1.5;       // longest duration of a fault
  bool steady = false;       // executions take 5 to 30 ms and all succeed
  int zones = 1;             // dispatchers and workers are assigned round robin
  ChangeScenario change;
  std::map<std::string, int> faults;  // number of faults to draw, by name of the kind (see schedule.hpp)
};

// Throws std::runtime_error with file and line if a key is unknown or a value is invalid.
Scenario read_scenario(const std::string& path);

}  // namespace woadtide::lab::cluster
