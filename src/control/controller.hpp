// The process that leads one change through the fleet: it asks all supervisors how they stand, gives the
// rollout core's orders, lays what the dispatchers did before the verdict, and keeps its state on the disk
// before each step. One at a time in a folder; whoever asks it meanwhile does so over a socket in there.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "config/operator_file.hpp"
#include "rollout/rollout.hpp"

namespace woadtide::control {

struct Change {
  std::string program, settings;  // empty: what each runs
  bool take_over = false;         // from another controller
};

// What a supervisor says of itself.
struct Standing {
  std::string name, zone, control;
  bool reached = false, serves = false, evacuated = false;
  std::string version, wanted, good, candidate, before, controller, change, progress, why, fell_back;
  std::uint64_t newest = 0;
  int crashes = 0;
};
std::vector<Standing> ask_all(const config::RolloutPart& part, double within_ms);

class Controller {
 public:
  // Takes the folder. Throws std::runtime_error where another one has it.
  explicit Controller(const config::RolloutPart& part);
  ~Controller();

  bool has_change() const;  // one that is not over
  // Throws std::runtime_error where one is not over yet, or the plan is wrong. Written down when it returns.
  void begin(const Change& change);
  // Goes on, from where it is, to its end; or until it is paused, or SIGTERM. `said`: each line of what
  // happens.
  using Say = std::function<void(const std::string&)>;
  rollout::Phase run(const Say& said, bool until_paused);
  void resume();
  void abort();
  const rollout::Rollout& rollout() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// What the folder tells without a controller, and what one that runs answers. JSON texts.
std::string status_text(const config::RolloutPart& part);
std::string history_text(const config::RolloutPart& part);
// One word to the controller that runs: its answer, nothing where none runs.
std::optional<std::string> tell(const config::RolloutPart& part, const std::string& word);

// Stages of so many members, where the file names none: one, a quarter, all.
rollout::Plan plan_of(const config::RolloutPart& part, const std::string& change);

}  // namespace woadtide::control
