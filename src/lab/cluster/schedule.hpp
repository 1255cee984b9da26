// Fault schedule of a run. A pure function of scenario and seed, computed before any process starts; it uses
// neither processes nor sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/cluster/scenario.hpp"

namespace woadtide::lab::cluster {

// Kinds of faults.
// Processes: kill and worker_kill (SIGKILL; the process is started again when the fault ends), stop (SIGSTOP,
// then SIGCONT).
// Links: cut resets open and new links; stall accepts new links but forwards nothing; one_way forwards
// nothing back to the connecting side; delay forwards each chunk late; corrupt changes one byte of each
// chunk. Workers: drain lists the worker as Terminating in discovery, then as Ready again. Only in a run with
// a change: supervisor_kill, supervisor_stop, controller_kill, controller_stop, and controller_old, which
// kills the controller and leaves it an older copy of its state.
enum class FaultKind {
  kill,
  stop,
  worker_kill,
  cut,
  stall,
  one_way,
  delay,
  corrupt,
  drain,
  supervisor_kill,
  supervisor_stop,
  controller_kill,
  controller_stop,
  controller_old
};
// Whether the fault targets the rollout controller.
inline bool is_controller_fault(FaultKind kind) { return kind >= FaultKind::controller_kill; }
// Whether the fault only occurs in a run with a change.
inline bool is_change_fault(FaultKind kind) { return kind >= FaultKind::supervisor_kill; }
// Conversion from and to the names used in scenario files; nullopt for an unknown name.
std::optional<FaultKind> fault_kind_from_name(const std::string& name);
std::string fault_kind_name(FaultKind kind);
// Whether the fault targets the link between two processes.
inline bool is_link_fault(FaultKind kind) {
  return kind == FaultKind::cut || kind == FaultKind::stall || kind == FaultKind::one_way ||
         kind == FaultKind::delay || kind == FaultKind::corrupt;
}

// One scheduled fault.
struct Fault {
  double from_ms = 0, to_ms = 0;  // since the start of the run
  FaultKind kind = FaultKind::kill;
  std::string process;    // target, or connecting side of a link: "n0", "w2", "clients", "control"
  std::string peer = {};  // accepting side of a link, such as "discovery"; empty for other faults
};

// Returns the scenario with a random change for `seed`: the defect of the new version (none in 9 of 20
// draws), the faults during the change, and whether it is aborted.
Scenario draw_change_scenario(Scenario scenario, std::uint64_t seed);

// Returns the faults in order of their start. Every fault ends by nine tenths of the run.
std::vector<Fault> draw_faults(const Scenario& scenario, std::uint64_t seed);

}  // namespace woadtide::lab::cluster
