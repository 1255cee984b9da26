// The schedule of faults: drawn from the seed before anything starts, and the same for the same seed. Knows
// no process and no socket.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "lab/cluster/scenario.hpp"

namespace woadtide::lab::cluster {

// kill, stop (SIGSTOP, then SIGCONT), worker_kill: of a process; the killed are started again at the end.
// cut: links are reset and new ones too; stall: new links come up, nothing passes; one_way: nothing passes
// back; delay: each piece comes late; corrupt: one byte of each piece is another one. drain: discovery lists
// the worker as Terminating, then as Ready again. Of a run with a change: supervisor_kill, supervisor_stop,
// controller_kill, controller_stop, and controller_old: it is killed, and finds an older copy of its state.
enum class Kind {
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
inline bool is_of_controller(Kind kind) { return kind >= Kind::controller_kill; }
inline bool is_of_change(Kind kind) { return kind >= Kind::supervisor_kill; }
std::optional<Kind> kind_of(const std::string& word);
std::string word_of(Kind kind);
inline bool is_of_link(Kind kind) {
  return kind == Kind::cut || kind == Kind::stall || kind == Kind::one_way || kind == Kind::delay ||
         kind == Kind::corrupt;
}

struct Fault {
  double from_ms = 0, to_ms = 0;  // since the run's start
  Kind kind = Kind::kill;
  std::string at;       // who: "n0", "w2"
  std::string to = {};  // of a link: at -> to. "clients", "discovery", "control" for the controller
};

// A change drawn for one of many runs: what the new version does wrong (mostly nothing), which faults come
// beside it and whether it is aborted, on the scenario's fleet.
Scenario draw_change(Scenario scenario, std::uint64_t seed);

// By time. Every fault ends at least a tenth of the run before the run does.
std::vector<Fault> draw(const Scenario& scenario, std::uint64_t seed);

}  // namespace woadtide::lab::cluster
