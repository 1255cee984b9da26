// The checker of a rolling change: from what supervisors and controller wrote down, and how the supervisors
// stand in the end, whether the change kept to its stages and ended as it says. It starts and asks nobody.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace woadtide::lab::cluster {

// A line of a supervisor's history.
struct Life {
  std::string member, what, version;  // what: start, serves, gone
  double at_ms = 0;
  int pid = 0;
  bool unordered = false;
};
// How the change stood, by its controller.
struct Stood {
  double at_ms = 0;
  std::string phase, paused, reason;
  int allowed = 0;
  std::map<std::string, std::string> places;
};
struct ChangeBooks {
  std::vector<Life> lives;
  std::vector<Stood> stood;
  std::map<std::string, std::string> runs;  // by member: the version that serves in the end; empty: nobody
  std::string old_version;
};

struct ChangeFindings {
  int over_stage = 0;  // more on the new version than the stage allowed
  int untrue = 0;      // the end is not what the controller says
  int no_end = 0;      // neither complete, nor back
  std::string outcome, reason;
  std::vector<std::string> pauses;  // reasons, in order
  int most_on_new = 0;
  double new_ms = 0;  // from the first process of the new version to the last's end, or to the change's end
  std::vector<std::string> lines;

  bool good() const { return over_stage + untrue + no_end == 0; }
  std::string summary() const;
};

ChangeFindings judge_change(const ChangeBooks& books);
// histories: NAME -> path of a supervisor's; controller's.
ChangeBooks read_change(const std::map<std::string, std::string>& histories, const std::string& controller);

}  // namespace woadtide::lab::cluster
