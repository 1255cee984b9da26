// One soak run: a real dispatcher process with a preloaded library that makes system calls fail, stand-in
// workers and discovery, clients, and the events of the plan. The result is checked from what everyone but
// the dispatcher observed.
#pragma once

#include <string>

#include "lab/soak/judge.hpp"
#include "lab/soak/plan.hpp"

namespace woadtide::lab::soak {

// Files of a run.
struct RunSettings {
  std::string dispatcher;  // path of the program under test
  std::string shim;        // path of the fault library that is preloaded into it
  std::string folder;      // for its configuration and its log; created if missing
};

// Outcome of a run.
struct RunResult {
  Verdict verdict;
  std::size_t log_lines = 0;
  std::size_t backed_off_lines = 0;  // log lines about a worker that was backed off
  double shutdown_ms = 0;            // from SIGTERM to the exit of the process
};

// Executes the plan. Throws std::runtime_error if the dispatcher does not become ready.
RunResult run_soak(const SoakPlan& plan, const RunSettings& settings);

}  // namespace woadtide::lab::soak
