// The supervisors of a run and the controller of its change: their files, their starts, what strikes them,
// and how the change goes on where its controller ended.
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

struct Programs {
  std::string supervisor;   // and the controller's, and all that is not named
  std::string first, next;  // of the dispatchers; next: a copy of the supervisor's with the scenario's flaw
};

class Fleet {
 public:
  // `ports`: three for each dispatcher, for its supervisor and its two processes.
  Fleet(const Plan& plan, std::string folder, const Programs& programs, Relays& relays,
        const std::vector<int>& ports);

  Process supervisor(const std::string& node) const;
  // Of all processes of a dispatcher, the one that leads first; none where its supervisor does not answer.
  std::vector<pid_t> processes(const std::string& node) const;

  // The change's controller: from its first start until the change is over.
  void look_after(double now_ms);
  void strike(Kind kind, bool begins);
  bool over() const { return over_; }
  // Ends its controller, and tells how all stands.
  ChangeBooks end();
  const std::vector<std::string>& crashes() const { return crashes_; }

 private:
  std::string file(const std::string& name) const { return folder_ + '/' + name; }
  std::string control(const std::string& node) const {
    return "127.0.0.1:" + std::to_string(ports_.at(node).front());
  }
  void lead(const std::string& word);

  const Plan& plan_;
  const std::string folder_, program_;
  std::map<std::string, std::vector<int>> ports_;
  Process controller_, aborter_;
  bool begun_ = false, over_ = false, aborted_ = false;
  int down_ = 0, pauses_ = 0;
  std::string next_;  // word to start the controller with
  std::vector<std::string> crashes_;
};

}  // namespace woadtide::lab::cluster
