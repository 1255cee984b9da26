// One run of a hollow fleet over a time-compressed day: measures the cost of its dispatchers and the delay of
// list updates, and checks that all dispatchers end with discovery's list.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::hollow {

// Settings of a run; all are printed in its report.
struct HollowRunSettings {
  int workers = 3'200;
  int dispatchers = 300;
  double seconds = 60;   // real time, from the end of the start phase
  double speed = 1'440;  // 24 h in 60 s
  std::uint64_t seed = 1;
  double outage_at_s = 0, outage_s = 0;  // real time since the day started; outage_s 0: none
  double cut_share = 0;                  // share of discovery's lines that are cut off in the middle
  // Of discovery, see CallQueue::Settings.
  double work_per_call_ms = 15, work_per_line_ms = 0.002, patience_ms = 2'000;
};

// A statement that was checked.
struct Finding {
  std::string what;
  bool holds = false;
};

// Outcome of a run.
struct HollowRunResult {
  std::vector<Finding> findings;
  std::string report;  // one JSON object

  // Whether all findings hold.
  bool passed() const;
};

// Runs a hollow fleet. Discards the process's log lines meanwhile. May throw std::system_error.
HollowRunResult run_hollow(const HollowRunSettings& settings);

}  // namespace woadtide::lab::hollow
