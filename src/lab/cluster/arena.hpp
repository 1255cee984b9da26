// Test cluster: starts all processes of a run, connects them through relays, injects faults by the schedule,
// stops the processes and checks the files that they wrote.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lab/cluster/change_judge.hpp"
#include "lab/cluster/judge.hpp"

namespace woadtide::lab::cluster {

// Programs, files and seed of one run.
struct RunSettings {
  std::string dispatcher_program;  // the program under test
  std::string lab_program;         // woadtide-lab, for the other processes
  std::string folder;              // for all files; not deleted
  std::string old_program,
      new_program;  // of a change: the programs before and after; empty: the program under test
  std::uint64_t seed = 1;
  bool progress = false;  // write a progress line to standard error every few seconds
};

// Findings of one run.
struct RunResult {
  Findings findings;
  std::optional<ChangeFindings> change;  // if the scenario has a change
  bool good() const { return findings.good() && (!change || change->good()); }
};
// Runs a scenario to its end. Throws std::runtime_error if a process does not start or become ready.
RunResult run(const Scenario& scenario, const RunSettings& settings);

}  // namespace woadtide::lab::cluster
