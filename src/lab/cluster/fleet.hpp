// Supervisors of a run and the controller of its rolling change: writes their files, starts them, injects
// their faults, and continues the change when its controller has exited.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.hpp"
#include "lab/cluster/change_judge.hpp"
#include "lab/cluster/plan.hpp"
#include "lab/cluster/relay.hpp"
#include "lab/process.hpp"

namespace woadtide::lab::cluster {

// Paths of the programs under test.
struct Programs {
  std::string supervisor_program;  // also the controller, and the default for the others
  // The dispatchers before and after the change. Empty new_program: a copy of supervisor_program with the
  // scenario's defect.
  std::string old_program, new_program;
};

// The supervised dispatchers of a run with a change.
class Fleet {
 public:
  // `ports`: three per dispatcher, for its supervisor and its two processes.
  Fleet(const Plan& plan, std::string folder, const Programs& programs, Relays& relays,
        const std::vector<int>& ports);

  // Starts the supervisor of a dispatcher.
  ChildProcess start_supervisor(const std::string& dispatcher) const;
  // Returns all processes of a dispatcher, the leading one first; none if its supervisor does not answer.
  std::vector<pid_t> process_ids(const std::string& dispatcher) const;

  // Starts and restarts the controller as needed until the change has finished. `now_ms`: time in the run.
  void poll_controller(double now_ms);
  // Begins or ends a fault of the controller.
  void inject_fault(FaultKind kind, bool begins);
  bool finished() const { return change_finished_; }
  // Kills the controller and returns the histories and the version that each dispatcher runs.
  ChangeRecords finish();
  const std::vector<std::string>& crashes() const { return crashes_; }

 private:
  std::string file(const std::string& name) const { return folder_ + '/' + name; }
  std::string control_address(const std::string& dispatcher) const {
    return "127.0.0.1:" + std::to_string(ports_.at(dispatcher).front());
  }
  void start_controller(const std::string& command);

  const Plan& plan_;
  const std::string folder_, program_;
  std::map<std::string, std::vector<int>> ports_;
  ChildProcess controller_, abort_command_;
  bool change_started_ = false, change_finished_ = false, abort_requested_ = false;
  int active_outages_ = 0, pause_count_ = 0;
  std::string next_command_;  // rollout command for the next start of the controller
  std::vector<std::string> crashes_;
};

}  // namespace woadtide::lab::cluster
