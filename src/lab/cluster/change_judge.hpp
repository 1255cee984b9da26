// Checker of a rolling change. From the histories of supervisors and controller and the final state of the
// supervisors it checks that the change kept to its stages and ended as reported. It starts and contacts no
// process.
#pragma once

#include <map>
#include <string>
#include <vector>

namespace woadtide::lab::cluster {

// An event in a supervisor's history.
struct SupervisorEvent {
  std::string member, event, version;  // what: start, serves, gone
  double at_ms = 0;
  int pid = 0;
  bool unexpected = false;
};
// State of the change as its controller recorded it.
struct ChangeState {
  double at_ms = 0;
  std::string phase, paused, reason;
  int allowed = 0;
  std::map<std::string, std::string> places;
};
// Records of one change.
struct ChangeRecords {
  std::vector<SupervisorEvent> events;
  std::vector<ChangeState> states;
  std::map<std::string, std::string>
      final_versions;  // by member: the version that serves at the end; empty: none
  std::string old_version;
};

// Result of the check.
struct ChangeFindings {
  int stage_overruns = 0;  // starts of the new version beyond the number that the stage allowed
  int wrong_versions = 0;  // members whose version contradicts the reported outcome
  int unfinished = 0;      // 1 if the change is neither complete nor rolled back
  std::string outcome, reason;
  std::vector<std::string> pauses;  // reasons, in order
  int max_on_new = 0;
  double new_ms = 0;  // from the first start of the new version to the exit of its last process, or to the
                      // end of the change
  std::vector<std::string> lines;

  bool good() const { return stage_overruns + wrong_versions + unfinished == 0; }
  std::string summary() const;
};

// Checks a change; pure.
ChangeFindings check_change(const ChangeRecords& books);
// Reads the history files: `histories` by supervisor name, and the controller's.
ChangeRecords read_change_records(const std::map<std::string, std::string>& histories,
                                  const std::string& controller);

}  // namespace woadtide::lab::cluster
