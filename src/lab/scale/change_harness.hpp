// A rollout to a whole fleet, driven by the real rollout and assessor state machines over members simulated
// in this process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>

#include "config/operator_file.hpp"
#include "control/assessor.hpp"
#include "rollout/rollout.hpp"

namespace woadtide::lab::scale {

// Rollout settings with this many members, spread over zones, without observation or soak times.
config::RolloutSettings rollout_settings(int members);

// Drives one rollout step by step on a simulated clock. Deterministic for a given seed.
class ChangeHarness {
 public:
  ChangeHarness(int members, std::uint64_t seed);

  // Completes the checks: every member has the files of the new version, and none runs it yet.
  void complete_checks();
  // Simulates one second of traffic at each member.
  void serve_one_second();
  // What the controller does with the answers of one polling cycle: records each member's status and
  // statistics, updates the verdict, and ticks the rollout.
  void run_turn();
  // Moves all members that the stage allows; each order is acknowledged at once. Returns how many were moved.
  std::size_t move_allowed_members();
  // Reports the verdict that the stage does not do worse, so that the next stage begins.
  void approve_stage();

  // The rollout under test.
  const rollout::Rollout& rollout() const { return rollout_; }
  // How many orders the first tick issued.
  std::size_t orders_at_first_tick() const { return orders_at_first_tick_; }

 private:
  // Acknowledges every outstanding order as done.
  void acknowledge_orders();

  config::RolloutSettings settings_;
  rollout::Rollout rollout_;
  control::Assessor assessor_;
  std::map<std::string, control::Sample> samples_;
  std::set<std::string> members_on_new_version_;
  std::mt19937_64 random_;
  double now_ms_ = 1'000;
  std::size_t orders_at_first_tick_ = 0;
};

}  // namespace woadtide::lab::scale
