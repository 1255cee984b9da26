// A change of a large fleet on a made-up clock: the real cores of rollout, verdict and what lies between
// them, with dispatchers that are asked unlike numbers of queries, and troubles that hit a zone's all alike.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab {

struct FleetSim {
  int dispatchers = 300, zones = 3;
  double rate = 10;   // queries a second and dispatcher, in the mean
  double failed = 0;  // share of payouts that the new version fails, beside the usual
  double slow = 0;    // its times are longer by this share
  bool troubles = true;
  std::vector<int> stages;
  double look_s = 60, bake_s = 60, patience_s = 1'800, margin = 0.02;
};

struct FleetSimResult {
  std::string outcome, reason;  // complete, back, paused
  double seconds = 0;           // until its end
  double stopped_s = 0;         // from the first one changed until it turned back; 0: it did not
  double lost = 0;  // queries that the defect failed, as a share of one second's of the whole fleet
  int most_on_new = 0;
  int orders = 0;
  double judge_ms = 0;  // CPU of look, judge and tick together, a turn
};
FleetSimResult simulate(const FleetSim& setup, std::uint64_t seed);

}  // namespace woadtide::lab
