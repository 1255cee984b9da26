// A run: starts all processes, wires them through relays, strikes by the schedule, ends them, and has the
// files judged.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "lab/cluster/change_judge.hpp"
#include "lab/cluster/judge.hpp"

namespace woadtide::lab::cluster {

struct RunSettings {
  std::string dispatcher;   // the program under test
  std::string self;         // the laboratory, for the other processes
  std::string folder;       // for all files; kept
  std::string first, next;  // of a change: other programs to begin with, and to change to; empty: the same
  std::uint64_t seed = 1;
  bool progress = false;  // a line every few seconds, on standard error
};

// Throws std::runtime_error where a process does not start or does not get ready.
struct Run {
  Findings findings;
  std::optional<ChangeFindings> change;  // where the scenario has one
  bool good() const { return findings.good() && (!change || change->good()); }
};
Run run(const Scenario& scenario, const RunSettings& settings);

}  // namespace woadtide::lab::cluster
