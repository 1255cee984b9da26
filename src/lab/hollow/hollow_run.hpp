// One run of a hollow fleet over a day that is sped up: what its dispatchers cost, how late they were told,
// and whether all of them ended with discovery's list.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab::hollow {

struct HollowRunSettings {
  int workers = 3'200;
  int dispatchers = 300;
  double seconds = 60;   // of real time, from when all first lists are due
  double speed = 1'440;  // 24 h in 60 s
  std::uint64_t seed = 1;
  double outage_at_s = 0, outage_s = 0;  // since the day's begin, in real time; 0 s long: none
  double cut_share = 0;                  // of discovery's lines that are cut in the middle
  double work_per_call_ms = 15, work_per_line_ms = 0.002, patience_ms = 2'000;  // of discovery
};

struct Finding {
  std::string what;
  bool holds = false;
};

struct HollowRunResult {
  std::vector<Finding> findings;
  std::string report;  // one JSON object

  bool good() const;
};

HollowRunResult run_hollow(const HollowRunSettings& settings);

}  // namespace woadtide::lab::hollow
