// The process that leads one change through the fleet: it queries all supervisors, sends the orders of the
// rollout state machine, feeds the dispatchers' statistics to the comparison, and stores its state before
// each step. One controller runs per folder; others reach it over a Unix socket in that folder.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_file.hpp"
#include "rollout/rollout.hpp"

namespace woadtide::control {

// What a rollout changes.
struct ChangeRequest {
  std::string program, settings;  // paths of the new files; empty: unchanged
  bool take_over = false;         // even if another controller leads
};

// The status that a supervisor reports. `reached` is false if it did not answer.
struct SupervisorStatus {
  std::string name, zone, control;
  bool reached = false, serving = false, evacuated = false;
  std::string version, desired, last_good, candidate, previous, controller, change, progress, failure_reason,
      fallback_reason;
  std::uint64_t last_order_number = 0;
  int crashes = 0;
};
// Asks all supervisors for their status, concurrently, for at most `within_ms`.
std::vector<SupervisorStatus> query_supervisors(const config::RolloutSettings& settings, double within_ms);

class Controller {
 public:
  // Locks the folder and restores its state. Throws std::runtime_error if another controller has the lock.
  explicit Controller(const config::RolloutSettings& settings);
  ~Controller();

  // Returns true if there is a change that has not ended.
  bool has_change() const;
  // Starts a new change and stores it. Throws std::runtime_error if a change has not ended or the plan is
  // invalid.
  void begin(const ChangeRequest& request);
  // Runs the change until it ends or a SIGTERM arrives, or, with `until_paused`, until it pauses. Calls
  // `on_progress` with a line of text for each event. Returns the phase that was reached.
  using ProgressCallback = std::function<void(const std::string&)>;
  rollout::Phase run(const ProgressCallback& on_progress, bool until_paused);
  // Continues a paused change. run() takes the next steps.
  void resume();
  // Begins to roll the change back.
  void abort();
  // The change must exist.
  const rollout::Rollout& rollout() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Returns the status as JSON: from the running controller, or from the folder and the supervisors if none
// runs.
std::string status_json(const config::RolloutSettings& settings);
// Returns the history, one JSON object per line.
std::string read_history(const config::RolloutSettings& settings);
// Sends one command to the running controller. Returns its answer, or nothing if none runs.
std::optional<std::string> send_command(const config::RolloutSettings& settings, const std::string& command);

// Returns the plan for the settings. If they name no stages: one member, a quarter, all.
rollout::Plan make_plan(const config::RolloutSettings& settings, const std::string& change);

}  // namespace woadtide::control
