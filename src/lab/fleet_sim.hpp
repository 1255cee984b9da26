// Simulates a rolling change of a large fleet on a virtual clock. It uses the real rollout and verdict logic,
// with simulated dispatchers whose query rates differ and outages that hit all dispatchers of a zone.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace woadtide::lab {

// Settings of a simulation.
struct FleetSimSettings {
  int dispatchers = 300, zones = 3;
  double queries_per_s = 10;       // mean queries per second and dispatcher
  double failed_payout_share = 0;  // additional share of payouts that fail on the new version
  double latency_increase = 0;     // relative increase of latency on the new version
  bool zone_outages = true;        // temporary outages of a zone
  std::vector<int> stages;         // dispatchers on the new version after each stage
  double look_s = 60, bake_s = 60, patience_s = 1'800, margin = 0.02;
};

// Result of a simulation.
struct FleetSimResult {
  std::string outcome, reason;     // outcome: "complete", "back" or "paused"
  double duration_s = 0;           // duration of the change
  double rolled_back_after_s = 0;  // from the first changed dispatcher to the rollback, s; 0: no rollback
  double lost_load_s = 0;  // queries that failed by the defect, in seconds of the load of the whole fleet
  int max_on_new = 0;
  int order_count = 0;
  double cpu_ms_per_step = 0;  // mean CPU time per step of the assessor and the rollout logic
};
// Runs a simulation; depends only on its arguments (except cpu_ms_per_step).
FleetSimResult simulate_change(const FleetSimSettings& setup, std::uint64_t seed);

}  // namespace woadtide::lab
