// Checker of a rolling change. From the histories of supervisors and controller and the final state of the
// supervisors it checks that the change kept to its stages and ended as reported. It starts and contacts no
// process.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace woadtide::lab::cluster {

// An event in a supervisor's history.
struct Life {
  std::string member, what, version;  // what: start, serves, gone
  double at_ms = 0;
  int pid = 0;
  bool unordered = false;
};
// State of the change as its controller recorded it.
struct Stood {
  double at_ms = 0;
  std::string phase, paused, reason;
  int allowed = 0;
  std::map<std::string, std::string> places;
};
// Records of one change.
struct ChangeBooks {
  std::vector<Life> lives;
  std::vector<Stood> stood;
  std::map<std::string, std::string> runs;  // by member: the version that serves at the end; empty: none
  std::string old_version;
};

// Result of the check.
struct ChangeFindings {
  int over_stage = 0;  // starts of the new version beyond the number that the stage allowed
  int untrue = 0;      // members whose version contradicts the reported outcome
  int no_end = 0;      // 1 if the change is neither complete nor rolled back
  std::string outcome, reason;
  std::vector<std::string> pauses;  // reasons, in order
  int most_on_new = 0;
  double new_ms = 0;  // from the first start of the new version to the exit of its last process, or to the
                      // end of the change
  std::vector<std::string> lines;

  bool good() const { return over_stage + untrue + no_end == 0; }
  std::string summary() const;
};

// Checks a change; pure.
ChangeFindings judge_change(const ChangeBooks& books);
// Reads the history files: `histories` by supervisor name, and the controller's.
ChangeBooks read_change(const std::map<std::string, std::string>& histories, const std::string& controller);

}  // namespace woadtide::lab::cluster
